//! A file that kills the process at one of its changes, for tests that have a real node die there.

use redb::backends::FileBackend;
use redb::{DatabaseError, StorageBackend};
use rustix::process::{Signal, getpid, kill_process};
use std::fs::File;
use std::io::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts changes over all times that the file is opened.
#[derive(Clone, Debug)]
pub struct Changes {
    count: Arc<AtomicU64>,
    dies_at: u64,
}

impl Changes {
    pub fn new(dies_at: u64) -> Changes {
        Changes { count: Arc::default(), dies_at }
    }

    /// Whether this change is the one.
    fn is_last(&self) -> bool {
        self.count.fetch_add(1, Ordering::SeqCst) == self.dies_at
    }
}

#[derive(Debug)]
pub struct Dying {
    file: FileBackend,
    changes: Changes,
}

impl Dying {
    pub fn new(file: File, changes: Changes) -> Result<Dying, DatabaseError> {
        Ok(Dying { file: FileBackend::new(file)?, changes })
    }
}

/// As the power would go: nothing is tidied up.
fn die() -> Result<(), Error> {
    kill_process(getpid(), Signal::KILL)?;
    Err(Error::other("killed"))
}

impl StorageBackend for Dying {
    fn len(&self) -> Result<u64, Error> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.file.read(offset, out)
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        if self.changes.is_last() { die() } else { self.file.set_len(length) }
    }

    fn sync_data(&self) -> Result<(), Error> {
        if self.changes.is_last() { die() } else { self.file.sync_data() }
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        if self.changes.is_last() {
            self.file.write(offset, &data[..data.len() / 2])?;
            return die();
        }
        self.file.write(offset, data)
    }

    fn close(&self) -> Result<(), Error> {
        self.file.close()
    }
}
