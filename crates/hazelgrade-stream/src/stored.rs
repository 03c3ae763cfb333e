//! What a node stores about its configuration, so that it survives a restart.

use hazelgrade_config::{Digest, Document, Kind, Version, error_summary};
use serde_json::{Value, json};

/// The most documents whose crashes are remembered; past that the oldest is forgotten.
const MAX_CRASH_COUNTS: usize = 16;

/// The most errors of the stored document that are named.
const MAX_ERRORS_NAMED: usize = 3;

/// Crashes on trial after which a document is rejected for good.
pub const MAX_CRASHES_ON_TRIAL: u32 = 2;

/// The key that a node's state about a kind of document is stored under.
pub fn store_key(kind: Kind) -> &'static str {
    match kind {
        Kind::Serving => "configuration",
        Kind::Identity => "configuration.identity",
        Kind::Budgets => "configuration.budgets",
    }
}

/// A version with its document.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredVersion {
    /// Number and digest.
    pub version: Version,
    /// The document that has this digest.
    pub document: Document,
}

/// The version on trial, with its text: storing it shows whether the store has room before the version takes effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionOnTrial {
    /// Number and digest.
    pub version: Version,
    /// The document in TOML.
    pub text: String,
}

/// A version that failed its trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedVersion {
    /// Number and digest.
    pub version: Version,
    /// Why it failed.
    pub reason: String,
}

/// How often the node crashed with a document on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// The document's digest.
    pub digest: Digest,
    /// Crashes, from 1.
    pub count: u32,
}

/// What a node stores about one kind of document. Each write replaces all of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The lineage whose versions the node takes.
    pub lineage: Option<String>,
    /// The last version that passed its trial.
    pub last_good: Option<StoredVersion>,
    /// The latest version that the node began to apply, whatever became of it.
    pub latest_known: Option<Version>,
    /// The version on trial. If there is one at a start, the node crashed with it.
    pub on_trial: Option<VersionOnTrial>,
    /// The last version that failed its trial.
    pub last_failed: Option<FailedVersion>,
    /// Crashes on trial by document, the latest last; at most 16.
    pub crashes: Vec<CrashCount>,
}

/// Why stored bytes can't be decoded as the state of a node.
#[derive(Debug, thiserror::Error)]
pub enum StoredStateError {
    /// They are not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A version lacks a field.
    #[error("a version lacks its number or digest")]
    IncompleteVersion,
    /// The last good version lacks its document.
    #[error("the last good version lacks its text")]
    MissingDocument,
    /// The document of the last good version doesn't pass the checks of this program; the text names its errors.
    #[error("{0}")]
    InvalidDocument(String),
    /// The document of the last good version has another digest.
    #[error("the last good version doesn't have its digest")]
    DigestMismatch,
    /// A count of crashes lacks a field.
    #[error("a death lacks its digest or count")]
    IncompleteCrashCount,
}

impl StoredState {
    /// How often the node crashed with this document on trial.
    pub fn crashes_of(&self, digest: Digest) -> u32 {
        self.crashes.iter().find(|crash| crash.digest == digest).map_or(0, |crash| crash.count)
    }

    /// Counts a crash with this document on trial; returns the count including this one.
    pub fn record_crash(&mut self, digest: Digest) -> u32 {
        let count = self.crashes_of(digest) + 1;
        self.crashes.retain(|crash| crash.digest != digest);
        self.crashes.push(CrashCount { digest, count });
        if self.crashes.len() > MAX_CRASH_COUNTS {
            self.crashes.remove(0);
        }
        count
    }

    /// The bytes to store.
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

    /// The state that was stored about this kind of document.
    ///
    /// # Errors
    ///
    /// What is wrong with the bytes, if they can't be read or the document no longer passes the checks.
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
