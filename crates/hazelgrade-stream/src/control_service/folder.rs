//! Watches the folder with the documents to publish.

use super::ControlService;
use super::file_names::document_file;
use crate::publisher::Event;
use async_io::Timer;
use hazelgrade_config::{Document, Kind, error_summary};
use std::collections::BTreeMap;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

/// The interval between two checks of the metadata of the documents' files. One check takes some microseconds.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The delay after which a changed file is read once more, because a second change within the resolution of the file
/// system's clock may leave the fingerprint the same. The delay is longer than that resolution.
const REREAD_DELAY: Duration = Duration::from_millis(50);
/// The delay after which a document is read again that is not published: the disk may have failed for a while, when the
/// document was read or when its number was stored.
const UNPUBLISHED_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The most errors of a document that are listed in the log and in the status report.
const MAX_ERRORS_NAMED: usize = 20;

/// The metadata of a file by which a replaced or rewritten file is recognised.
#[derive(Clone, Copy, PartialEq)]
struct Fingerprint {
    modified: Option<SystemTime>,
    bytes: u64,
    inode: u64,
}

impl Fingerprint {
    /// Returns the fingerprint of a file; `None` if there is no such file or its metadata can't be read.
    fn of(path: &Path) -> Option<Fingerprint> {
        let metadata = std::fs::metadata(path).ok()?;
        let modified = metadata.modified().ok();
        Some(Fingerprint { modified, bytes: metadata.len(), inode: metadata.ino() })
    }
}

/// The state of watching one document's file.
#[derive(Default)]
struct WatchedFile {
    /// The result of the last check: `None` before the first check, `Some(None)` while there is no file.
    last_fingerprint: Option<Option<Fingerprint>>,
    /// When the file is to be read once more after a change.
    reread_at: Option<Instant>,
}

impl WatchedFile {
    /// Checks the file; returns whether the file has changed since the last check and is to be read.
    fn has_changed(&mut self, kind: Kind, path: &Path) -> bool {
        let fingerprint = Fingerprint::of(path);
        let changed = self.last_fingerprint.replace(fingerprint) != Some(fingerprint);
        // A missing serving document is read nevertheless, so that its absence is reported as an error. The documents
        // of the other kinds are optional.
        changed && (fingerprint.is_some() || kind == Kind::Serving)
    }

    /// Plans the next reading of a file that was just read: shortly after a change, and until its document is published.
    fn plan_reread(&mut self, has_changed: bool, is_published: bool) {
        let delay = match (has_changed, is_published) {
            (true, _) => REREAD_DELAY,
            (false, false) => UNPUBLISHED_RETRY_DELAY,
            (false, true) => return,
        };
        self.reread_at = Some(Instant::now() + delay);
    }

    /// Returns whether the file is to be read once more now after a change, and clears the time of the reading if so.
    fn is_reread_due(&mut self) -> bool {
        self.reread_at.take_if(|at| *at <= Instant::now()).is_some()
    }
}

impl ControlService {
    /// Reads the documents whenever their files change, and triggers the timers of the publishers.
    pub(super) async fn watch_folder(&self) {
        let mut watched: BTreeMap<Kind, WatchedFile> = BTreeMap::new();
        loop {
            for kind in Kind::ALL {
                let path = self.config.documents.join(document_file(kind));
                let watched = watched.entry(kind).or_default();
                let has_changed = watched.has_changed(kind, &path);
                if has_changed || watched.is_reread_due() {
                    let is_published = self.read_document(kind, &path);
                    watched.plan_reread(has_changed, is_published);
                }
                self.notify_publisher(kind, Event::TimerFired);
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Reads a document and passes it to its publisher, or records and logs why the document can't be published. Returns
    /// whether the document is published.
    fn read_document(&self, kind: Kind, path: &Path) -> bool {
        let displayed_path = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| format!("{displayed_path}: {error}"));
        let document = text.and_then(|text| {
            Document::read_as(kind, &text, &displayed_path)
                .map_err(|errors| error_summary(&errors, MAX_ERRORS_NAMED))
        });
        match document {
            Ok(document) => {
                self.document_errors.borrow_mut().remove(&kind);
                let digest = document.digest();
                self.notify_publisher(kind, Event::DocumentChanged(document));
                let publisher = self.publishers.get(&kind).map(|publisher| publisher.borrow());
                publisher.is_some_and(|publisher| {
                    publisher.current_version().is_some_and(|current| current.digest == digest)
                })
            }
            Err(error) => {
                let previous = self.document_errors.borrow_mut().insert(kind, error.clone());
                if previous.as_ref() != Some(&error) {
                    tracing::error!("document is not published: {error}");
                }
                false
            }
        }
    }
}
