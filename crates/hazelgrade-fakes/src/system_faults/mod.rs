//! Faults in the system calls of one process: steps of the Unix clock, calls that fail for a moment, short reads and
//! writes, a disk that fails. They are injected by a small library that the process loads (`shim.c`), and may be changed
//! while it runs.
//!
//! Reached are calls that go through the C library: those of the standard library, not those that `rustix` makes itself
//! (epoll, connect, timers).

use rustix::io::Errno;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("shim.c");
const SLOT_BYTES: u64 = 8;

/// The values that the process and this module share, in the order of `enum slot` in `shim.c`.
#[derive(Clone, Copy)]
enum Slot {
    UnixClockOffsetNs,
    Seed,
    AcceptPercent,
    AcceptHits,
    ShortIoPercent,
    ShortIoHits,
    InterruptPercent,
    InterruptHits,
    SocketOptionPercent,
    SocketOptionHits,
    SocketPercent,
    SocketHits,
    OpenPercent,
    OpenHits,
    SyncPercent,
    SyncError,
    SyncHits,
    WritePercent,
    WriteError,
    WriteHits,
}

/// Number of values in [`Slot`].
const SLOTS: u64 = Slot::WriteHits as u64 + 1;

/// A kind of system call that may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// Accepting a connection fails, by all errors that pass in turn.
    Accept,
    /// Reading from or writing to a socket transfers 40 bytes at most.
    ShortIo,
    /// Reading from or writing to a socket is interrupted by a signal.
    InterruptedIo,
    /// Setting an option of a socket, or asking for its peer, fails.
    SocketOption,
    /// Creating a socket, or binding it to an address, fails.
    Socket,
    /// Opening a file fails.
    Open,
}

/// A kind of system call on files that may fail, with the error that it returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskCall {
    /// A file or its data is synchronized.
    Sync(Errno),
    /// A file is written or resized.
    Write(Errno),
}

/// The faults of one process.
pub struct SystemFaults {
    library: PathBuf,
    path: PathBuf,
    values: File,
}

impl SystemFaults {
    /// Builds the library in `folder` by the C compiler that links Rust programs too. Nothing fails yet; which calls will
    /// fail is drawn by `seed`.
    ///
    /// # Errors
    ///
    /// If a file can't be written, or the library can't be built.
    pub fn new(folder: &Path, seed: u64) -> io::Result<SystemFaults> {
        let (source, library) = (folder.join("shim.c"), folder.join("shim.so"));
        if !library.exists() {
            std::fs::write(&source, SOURCE)?;
            let mut compiler = Command::new("cc");
            compiler.args(["-O1", "-Wall", "-Werror", "-shared", "-fPIC", "-o"]).arg(&library).arg(&source);
            if !compiler.status()?.success() {
                return Err(io::Error::other("the C compiler failed"));
            }
        }
        let path = folder.join(format!("faults-{seed:x}"));
        let values = File::options().read(true).write(true).create(true).truncate(true).open(&path)?;
        values.set_len(SLOTS * SLOT_BYTES)?;
        let faults = SystemFaults { library, path, values };
        faults.set(Slot::Seed, seed as i64);
        Ok(faults)
    }

    /// Has a process that is about to be started load the library.
    pub fn apply_to(&self, command: &mut Command) {
        command.envs(self.environment());
    }

    /// The variables by which a process that is started with them loads the library.
    pub fn environment(&self) -> [(&'static str, PathBuf); 2] {
        [("LD_PRELOAD", self.library.clone()), ("SYSTEM_FAULTS", self.path.clone())]
    }

    /// Steps the Unix clock of the process to be ahead by this many milliseconds, or behind if negative.
    pub fn set_unix_clock_offset_ms(&self, offset_ms: i64) {
        self.set(Slot::UnixClockOffsetNs, offset_ms * 1_000_000);
    }

    /// How far the Unix clock of the process is ahead, in milliseconds.
    pub fn unix_clock_offset_ms(&self) -> i64 {
        self.get(Slot::UnixClockOffsetNs) / 1_000_000
    }

    /// Has this kind of call fail so many times in a hundred from now on.
    pub fn set_failing(&self, call: SystemCall, percent: i64) {
        self.set(Self::slots(call).0, percent);
    }

    /// Has this kind of call on files fail so many times in a hundred from now on.
    pub fn set_disk_failing(&self, call: DiskCall, percent: i64) {
        let (percent_slot, error_slot, error) = match call {
            DiskCall::Sync(error) => (Slot::SyncPercent, Slot::SyncError, error),
            DiskCall::Write(error) => (Slot::WritePercent, Slot::WriteError, error),
        };
        self.set(error_slot, i64::from(error.raw_os_error()));
        self.set(percent_slot, percent);
    }

    /// Ends all faults but the offset of the clock.
    pub fn heal(&self) {
        for slot in [
            Slot::AcceptPercent,
            Slot::ShortIoPercent,
            Slot::InterruptPercent,
            Slot::SocketOptionPercent,
            Slot::SocketPercent,
            Slot::OpenPercent,
            Slot::SyncPercent,
            Slot::WritePercent,
        ] {
            self.set(slot, 0);
        }
    }

    /// How often a call of this kind has failed.
    pub fn hits(&self, call: SystemCall) -> i64 {
        self.get(Self::slots(call).1)
    }

    /// How often a call on files has failed: syncs, then writes.
    pub fn disk_hits(&self) -> (i64, i64) {
        (self.get(Slot::SyncHits), self.get(Slot::WriteHits))
    }

    fn slots(call: SystemCall) -> (Slot, Slot) {
        match call {
            SystemCall::Accept => (Slot::AcceptPercent, Slot::AcceptHits),
            SystemCall::ShortIo => (Slot::ShortIoPercent, Slot::ShortIoHits),
            SystemCall::InterruptedIo => (Slot::InterruptPercent, Slot::InterruptHits),
            SystemCall::SocketOption => (Slot::SocketOptionPercent, Slot::SocketOptionHits),
            SystemCall::Socket => (Slot::SocketPercent, Slot::SocketHits),
            SystemCall::Open => (Slot::OpenPercent, Slot::OpenHits),
        }
    }

    fn set(&self, slot: Slot, value: i64) {
        // A mapped file in the page cache: the write can only fail if the process is out of memory.
        let _ = self.values.write_all_at(&value.to_ne_bytes(), slot as u64 * SLOT_BYTES);
    }

    fn get(&self, slot: Slot) -> i64 {
        let mut bytes = [0; SLOT_BYTES as usize];
        match self.values.read_exact_at(&mut bytes, slot as u64 * SLOT_BYTES) {
            Ok(()) => i64::from_ne_bytes(bytes),
            Err(_) => 0,
        }
    }
}
