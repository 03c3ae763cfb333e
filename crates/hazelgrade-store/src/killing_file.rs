//! A file that kills its own process at one of its changes, for tests in which a real node crashes there.

use redb::backends::FileBackend;
use redb::{DatabaseError, StorageBackend};
use rustix::process::{Signal, getpid, kill_process};
use std::fs::File;
use std::io::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts changes (writes, changes of length and syncs) across reopenings of the file, and decides when to kill.
#[derive(Clone, Debug)]
pub struct KillSwitch {
    changes: Arc<AtomicU64>,
    kill_at: u64,
}

impl KillSwitch {
    /// Kills at change number `kill_at`, from 0.
    pub fn new(kill_at: u64) -> KillSwitch {
        KillSwitch { changes: Arc::default(), kill_at }
    }

    /// Counts a change; `true` if it is the one at which to kill.
    fn is_due(&self) -> bool {
        self.changes.fetch_add(1, Ordering::SeqCst) == self.kill_at
    }
}

/// A file with a [`KillSwitch`].
#[derive(Debug)]
pub struct KillingFile {
    file: FileBackend,
    switch: KillSwitch,
}

impl KillingFile {
    /// Locks the file and counts its changes.
    ///
    /// # Errors
    /// As redb's [`FileBackend`].
    pub fn new(file: File, switch: KillSwitch) -> Result<KillingFile, DatabaseError> {
        Ok(KillingFile { file: FileBackend::new(file)?, switch })
    }
}

/// Ends the process by SIGKILL, as a power failure would: nothing is cleaned up.
fn kill_this_process() -> Result<(), Error> {
    kill_process(getpid(), Signal::KILL)?;
    Err(Error::other("killed"))
}

impl StorageBackend for KillingFile {
    fn len(&self) -> Result<u64, Error> {
        self.file.len()
    }

    fn read(&self, offset: u64, buffer: &mut [u8]) -> Result<(), Error> {
        self.file.read(offset, buffer)
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        if self.switch.is_due() { kill_this_process() } else { self.file.set_len(length) }
    }

    fn sync_data(&self) -> Result<(), Error> {
        if self.switch.is_due() { kill_this_process() } else { self.file.sync_data() }
    }

    /// If the process is killed at this write, half of it is done first.
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        if self.switch.is_due() {
            self.file.write(offset, &data[..data.len() / 2])?;
            return kill_this_process();
        }
        self.file.write(offset, data)
    }

    fn close(&self) -> Result<(), Error> {
        self.file.close()
    }
}
