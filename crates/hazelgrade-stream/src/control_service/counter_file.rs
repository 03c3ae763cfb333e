//! Reads and writes the stored counter of a publisher, which is a file in the folder of the documents.

use super::file_names::counter_file;
use crate::publisher::Counter;
use hazelgrade_config::{Kind, Version};
use hazelgrade_net::transient;
use serde_json::{Value, json};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The reason why a stored counter can't be read.
#[derive(Debug, thiserror::Error)]
pub enum CounterFileError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not valid JSON.
    #[error("{}: {source}", path.display())]
    NotJson {
        /// The file.
        path: PathBuf,
        /// The syntax error and its position.
        source: serde_json::Error,
    },
    /// A field is missing or has a value that a publisher doesn't write.
    #[error("{}: field {field}: expected it as this program writes it", path.display())]
    Field {
        /// The file.
        path: PathBuf,
        /// The field's name.
        field: &'static str,
    },
}

/// How long a start waits for a counter that can't be read.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two attempts to read the counter.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// Reads the stored counter of a kind of document from the folder. Returns `None` if no counter has been stored yet.
///
/// # Errors
///
/// Returns what is wrong with the file.
pub fn read_counter(documents: &Path, kind: Kind) -> Result<Option<Counter>, CounterFileError> {
    let path = documents.join(counter_file(kind));
    let bytes = match transient::retry(READ_TIMEOUT, READ_PAUSE, || std::fs::read(&path)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(CounterFileError::Unreadable { path, source }),
    };
    let stored: Value = match serde_json::from_slice(&bytes) {
        Ok(stored) => stored,
        Err(source) => return Err(CounterFileError::NotJson { path, source }),
    };
    match parse_counter(&stored) {
        Ok(counter) => Ok(Some(counter)),
        Err(field) => Err(CounterFileError::Field { path, field }),
    }
}

/// Parses a stored counter; fails with the name of the field that is missing or malformed.
fn parse_counter(stored: &Value) -> Result<Counter, &'static str> {
    let lineage = stored["lineage"].as_str().ok_or("lineage")?.to_owned();
    let last = match &stored["last"] {
        Value::Null => None,
        last => {
            let digest = last["digest"].as_str().and_then(|digest| digest.parse().ok());
            let (number, digest) = last["number"].as_u64().zip(digest).ok_or("last")?;
            Some(Version { number, digest })
        }
    };
    Ok(Counter { lineage, last })
}

/// Replaces the stored counter atomically; returns once the new counter is on the disk.
pub(super) fn write_counter(documents: &Path, kind: Kind, counter: &Counter) -> io::Result<()> {
    let last = counter.last.map(|last| json!({"number": last.number, "digest": last.digest.to_string()}));
    let stored = json!({"lineage": counter.lineage, "last": last});
    let mut file = tempfile::NamedTempFile::new_in(documents)?;
    file.write_all(stored.to_string().as_bytes())?;
    file.as_file().sync_all()?;
    file.persist(documents.join(counter_file(kind)))?;
    std::fs::File::open(documents)?.sync_all()
}
