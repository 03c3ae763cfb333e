//! The folder with the documents that are published.

use super::ControlService;
use super::file_names::document_file;
use crate::publisher::Event;
use async_io::Timer;
use hazelgrade_config::{Document, Kind, error_summary};
use std::collections::BTreeMap;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

/// How often the files' lengths and modification times are checked, which costs microseconds.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A file that has changed is read once more after this delay, as a second change within the resolution of the file
/// system's clock may not show. The delay is longer than that resolution.
const REREAD_DELAY: Duration = Duration::from_millis(50);
/// The most errors of a document that are named in the log and the status.
const MAX_ERRORS_NAMED: usize = 20;

/// What changes when a file is replaced or written to.
#[derive(Clone, Copy, PartialEq)]
struct Fingerprint {
    modified: Option<SystemTime>,
    bytes: u64,
    inode: u64,
}

impl Fingerprint {
    fn of(path: &Path) -> Option<Fingerprint> {
        let metadata = std::fs::metadata(path).ok()?;
        let modified = metadata.modified().ok();
        Some(Fingerprint { modified, bytes: metadata.len(), inode: metadata.ino() })
    }
}

/// What was last seen of a document's file.
#[derive(Default)]
struct Watched {
    /// `None` before the first check; `Some(None)` while there is no file.
    seen: Option<Option<Fingerprint>>,
    reread_at: Option<Instant>,
}

impl Watched {
    /// Whether the file has changed since the last check and is to be read.
    fn has_changed(&mut self, kind: Kind, path: &Path) -> bool {
        let fingerprint = Fingerprint::of(path);
        let changed = self.seen.replace(fingerprint) != Some(fingerprint);
        // Without a serving document there is nothing to publish, which is an error; the other kinds are optional.
        changed && (fingerprint.is_some() || kind == Kind::Serving)
    }

    /// Whether the file is to be read once more after a change.
    fn is_reread_due(&mut self) -> bool {
        self.reread_at.take_if(|at| *at <= Instant::now()).is_some()
    }
}

impl ControlService {
    /// Reads the documents when they change, and drives the publishers' timers.
    pub(super) async fn watch_folder(&self) {
        let mut watched: BTreeMap<Kind, Watched> = BTreeMap::new();
        loop {
            for kind in Kind::ALL {
                let path = self.config.documents.join(document_file(kind));
                let watched = watched.entry(kind).or_default();
                if watched.has_changed(kind, &path) {
                    self.read_document(kind, &path);
                    watched.reread_at = Some(Instant::now() + REREAD_DELAY);
                } else if watched.is_reread_due() {
                    self.read_document(kind, &path);
                }
                self.notify_publisher(kind, Event::TimerFired);
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn read_document(&self, kind: Kind, path: &Path) {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"));
        let document = text.and_then(|text| {
            Document::read_as(kind, &text, &shown).map_err(|errors| error_summary(&errors, MAX_ERRORS_NAMED))
        });
        match document {
            Ok(document) => {
                self.document_errors.borrow_mut().remove(&kind);
                self.notify_publisher(kind, Event::DocumentChanged(document));
            }
            Err(error) => {
                let before = self.document_errors.borrow_mut().insert(kind, error.clone());
                if before.as_ref() != Some(&error) {
                    tracing::error!("not published: {error}");
                }
            }
        }
    }
}
