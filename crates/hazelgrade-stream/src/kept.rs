//! What a node keeps across restarts about its configuration.

use hazelgrade_config::{Digest, Document, Kind, Version};
use serde_json::{Value, json};

/// The name that it is kept under.
pub fn name(kind: Kind) -> &'static str {
    match kind {
        Kind::Serving => "configuration",
        Kind::Identity => "configuration.identity",
        Kind::Budgets => "configuration.budgets",
    }
}
/// Versions whose deaths are remembered; the oldest goes.
const DEATHS: usize = 16;

/// Deaths on trial that make a version suspect for good.
pub const SUSPECT_AT: u32 = 2;

/// A version with what it says.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    pub version: Version,
    pub document: Document,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    /// Whose versions the node takes.
    pub lineage: Option<String>,
    /// The last version that stood its trial.
    pub good: Option<Held>,
    /// The latest that was taken up, whatever became of it.
    pub known: Option<Version>,
    /// The one on trial, with its text: if there is no room for it, that is found out before it serves. Found at a
    /// start, the node died with it.
    pub trial: Option<(Version, String)>,
    /// The last that failed its trial, and why.
    pub failed: Option<(Version, String)>,
    /// Deaths on trial, by what the version said, the latest last.
    pub deaths: Vec<(Digest, u32)>,
}

impl Kept {
    pub fn deaths_of(&self, digest: Digest) -> u32 {
        self.deaths.iter().find(|(of, _)| *of == digest).map_or(0, |(_, count)| *count)
    }

    pub fn died(&mut self, digest: Digest) -> u32 {
        let count = self.deaths_of(digest) + 1;
        self.deaths.retain(|(of, _)| *of != digest);
        self.deaths.push((digest, count));
        if self.deaths.len() > DEATHS {
            self.deaths.remove(0);
        }
        count
    }

    pub fn encode(&self) -> Vec<u8> {
        let version =
            |version: &Version| json!({"number": version.number, "digest": version.digest.to_string()});
        let deaths: Vec<Value> =
            self.deaths.iter().map(|(digest, count)| json!([digest.to_string(), count])).collect();
        let kept = json!({
            "lineage": self.lineage,
            "good": self.good.as_ref().map(|good| json!({"version": version(&good.version), "text": good.document.to_toml()})),
            "known": self.known.as_ref().map(version),
            "trial": self.trial.as_ref().map(|(of, text)| json!({"version": version(of), "text": text})),
            "failed": self.failed.as_ref().map(|(failed, why)| json!({"version": version(failed), "why": why})),
            "deaths": deaths,
        });
        kept.to_string().into_bytes()
    }

    /// What was kept; says what is wrong with it if it can't be read, or if it no longer passes the checks.
    pub fn decode(kind: Kind, bytes: &[u8]) -> Result<Kept, String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        let version = |value: &Value| -> Result<Version, String> {
            let digest = value["digest"].as_str().and_then(|digest| digest.parse().ok());
            let both = value["number"].as_u64().zip(digest);
            let (number, digest) = both.ok_or("a version lacks its number or digest")?;
            Ok(Version { number, digest })
        };
        let some = |value: &Value| if value.is_null() { Ok(None) } else { version(value).map(Some) };
        let good = match &value["good"] {
            Value::Null => None,
            good => {
                let version = version(&good["version"])?;
                let text = good["text"].as_str().ok_or("the last good version lacks its text")?;
                let document = Document::read_as(kind, text, "the last good version")
                    .map_err(|faults| hazelgrade_config::error_summary(&faults, 3))?;
                if document.digest() != version.digest {
                    return Err("the last good version doesn't have its digest".into());
                }
                Some(Held { version, document })
            }
        };
        let failed = match &value["failed"] {
            Value::Null => None,
            failed => {
                Some((version(&failed["version"])?, failed["why"].as_str().unwrap_or_default().to_owned()))
            }
        };
        let mut deaths = Vec::new();
        for death in value["deaths"].as_array().into_iter().flatten() {
            let digest = death[0].as_str().and_then(|digest| digest.parse().ok());
            let both = digest.zip(death[1].as_u64());
            let (digest, count) = both.ok_or("a death lacks its digest or count")?;
            deaths.push((digest, u32::try_from(count).unwrap_or(u32::MAX)));
        }
        Ok(Kept {
            lineage: value["lineage"].as_str().map(str::to_owned),
            good,
            known: some(&value["known"])?,
            trial: some(&value["trial"]["version"])?
                .map(|version| (version, value["trial"]["text"].as_str().unwrap_or_default().to_owned())),
            failed,
            deaths,
        })
    }
}
