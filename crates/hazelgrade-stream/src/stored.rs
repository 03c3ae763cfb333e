//! The state that a node stores about its configuration, so that the configuration survives a restart.

use hazelgrade_config::{Digest, Document, Kind, Version, error_summary};
use serde_json::{Value, json};

/// The maximum number of documents whose crashes are remembered. Past this number the oldest count is dropped.
const MAX_CRASH_COUNTS: usize = 16;

/// The maximum number of errors of the stored document that [`StoredStateError::InvalidDocument`] names.
const MAX_ERRORS_NAMED: usize = 3;

/// The number of crashes on trial after which a document is always rejected.
pub const MAX_CRASHES_ON_TRIAL: u32 = 2;

/// The key under which the node's state for a kind of document is stored.
pub fn store_key(kind: Kind) -> &'static str {
    match kind {
        Kind::Serving => "configuration",
        Kind::Identity => "configuration.identity",
        Kind::Budgets => "configuration.budgets",
    }
}

/// A version and its document.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredVersion {
    /// The version's number and the digest of its document.
    pub version: Version,
    /// The version's document.
    pub document: Document,
}

/// The version on trial and its text. Storing the text shows, before the version takes effect, whether the store has
/// room for the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionOnTrial {
    /// The version's number and the digest of its document.
    pub version: Version,
    /// The document in TOML.
    pub text: String,
}

/// A version that failed its trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedVersion {
    /// The version's number and the digest of its document.
    pub version: Version,
    /// The reason of the failure.
    pub reason: String,
}

/// The number of crashes of the node while a document was on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// The document's digest.
    pub digest: Digest,
    /// The number of crashes; at least 1.
    pub count: u32,
}

/// The state that a node stores for one kind of document. Each write replaces the whole state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The lineage whose versions the node applies.
    pub lineage: Option<String>,
    /// The last version that passed its trial.
    pub last_good: Option<StoredVersion>,
    /// The latest version that the node began to apply, whether it passed its trial or not.
    pub latest_known: Option<Version>,
    /// The version on trial. A version that is found here at a start was on trial when the node crashed.
    pub on_trial: Option<VersionOnTrial>,
    /// The last version that failed its trial.
    pub last_failed: Option<FailedVersion>,
    /// The crashes on trial of at most 16 documents, the one that crashed last at the end.
    pub crashes: Vec<CrashCount>,
}

/// The reason why stored bytes can't be decoded as the state of a node.
#[derive(Debug, thiserror::Error)]
pub enum StoredStateError {
    /// The bytes are not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A version lacks its number or its digest, or one of them is invalid.
    #[error("a version lacks its number or digest")]
    IncompleteVersion,
    /// The last good version lacks the text of its document.
    #[error("the last good version lacks its text")]
    MissingDocument,
    /// The document of the last good version doesn't pass this program's checks; the text names the errors.
    #[error("{0}")]
    InvalidDocument(String),
    /// The document of the last good version has another digest than the version.
    #[error("the last good version doesn't have its digest")]
    DigestMismatch,
    /// A crash count lacks its digest or its count, or one of them is invalid.
    #[error("a death lacks its digest or count")]
    IncompleteCrashCount,
}

impl StoredState {
    /// The number of crashes of the node while this document was on trial.
    pub fn crashes_of(&self, digest: Digest) -> u32 {
        self.crashes.iter().find(|crash| crash.digest == digest).map_or(0, |crash| crash.count)
    }

    /// Records a crash while this document was on trial. Returns the number of such crashes, this one included.
    pub fn record_crash(&mut self, digest: Digest) -> u32 {
        let count = self.crashes_of(digest) + 1;
        self.crashes.retain(|crash| crash.digest != digest);
        self.crashes.push(CrashCount { digest, count });
        if self.crashes.len() > MAX_CRASH_COUNTS {
            self.crashes.remove(0);
        }
        count
    }

    /// Encodes the state as the bytes to store.
    pub fn encode(&self) -> Vec<u8> {
        let crashes = self.crashes.iter().map(|crash| json!([crash.digest.to_string(), crash.count]));
        let stored = json!({
            "lineage": self.lineage,
            "good": self.last_good.as_ref().map(|good| json!({
                "version": version_to_json(&good.version),
                "text": good.document.to_toml(),
            })),
            "known": self.latest_known.as_ref().map(version_to_json),
            "trial": self.on_trial.as_ref().map(|trial| json!({
                "version": version_to_json(&trial.version),
                "text": trial.text,
            })),
            "failed": self.last_failed.as_ref().map(|failed| json!({
                "version": version_to_json(&failed.version),
                "why": failed.reason,
            })),
            "deaths": crashes.collect::<Vec<Value>>(),
        });
        stored.to_string().into_bytes()
    }

    /// Decodes the stored state for a kind of document.
    ///
    /// # Errors
    ///
    /// Fails if the bytes can't be decoded, or if the last good document no longer passes this program's checks.
    pub fn decode(kind: Kind, bytes: &[u8]) -> Result<StoredState, StoredStateError> {
        let stored: Value = serde_json::from_slice(bytes)?;
        Ok(StoredState {
            lineage: stored["lineage"].as_str().map(str::to_owned),
            last_good: parse_last_good(kind, &stored["good"])?,
            last_failed: parse_last_failed(&stored["failed"])?,
            crashes: parse_crashes(&stored["deaths"])?,
            latest_known: parse_optional_version(&stored["known"])?,
            on_trial: parse_on_trial(&stored["trial"])?,
        })
    }
}

fn version_to_json(version: &Version) -> Value {
    json!({"number": version.number, "digest": version.digest.to_string()})
}

fn parse_version(value: &Value) -> Result<Version, StoredStateError> {
    let digest = value["digest"].as_str().and_then(|digest| digest.parse().ok());
    let number_and_digest = value["number"].as_u64().zip(digest);
    let (number, digest) = number_and_digest.ok_or(StoredStateError::IncompleteVersion)?;
    Ok(Version { number, digest })
}

fn parse_optional_version(value: &Value) -> Result<Option<Version>, StoredStateError> {
    if value.is_null() { Ok(None) } else { parse_version(value).map(Some) }
}

fn parse_last_good(kind: Kind, value: &Value) -> Result<Option<StoredVersion>, StoredStateError> {
    if value.is_null() {
        return Ok(None);
    }
    let version = parse_version(&value["version"])?;
    let text = value["text"].as_str().ok_or(StoredStateError::MissingDocument)?;
    let document = Document::read_as(kind, text, "the last good version")
        .map_err(|errors| StoredStateError::InvalidDocument(error_summary(&errors, MAX_ERRORS_NAMED)))?;
    if document.digest() != version.digest {
        return Err(StoredStateError::DigestMismatch);
    }
    Ok(Some(StoredVersion { version, document }))
}

fn parse_on_trial(value: &Value) -> Result<Option<VersionOnTrial>, StoredStateError> {
    let version = parse_optional_version(&value["version"])?;
    let text = value["text"].as_str().unwrap_or_default();
    Ok(version.map(|version| VersionOnTrial { version, text: text.to_owned() }))
}

fn parse_last_failed(value: &Value) -> Result<Option<FailedVersion>, StoredStateError> {
    if value.is_null() {
        return Ok(None);
    }
    let version = parse_version(&value["version"])?;
    let reason = value["why"].as_str().unwrap_or_default().to_owned();
    Ok(Some(FailedVersion { version, reason }))
}

fn parse_crashes(value: &Value) -> Result<Vec<CrashCount>, StoredStateError> {
    let mut crashes = Vec::new();
    for crash in value.as_array().into_iter().flatten() {
        let digest = crash[0].as_str().and_then(|digest| digest.parse().ok());
        let digest_and_count = digest.zip(crash[1].as_u64());
        let (digest, count) = digest_and_count.ok_or(StoredStateError::IncompleteCrashCount)?;
        crashes.push(CrashCount { digest, count: u32::try_from(count).unwrap_or(u32::MAX) });
    }
    Ok(crashes)
}
