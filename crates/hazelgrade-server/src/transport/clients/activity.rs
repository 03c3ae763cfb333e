//! What happened on one client connection since it was opened, for the log line at its end.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Counts and waits of one client connection.
pub(super) struct Activity {
    opened_at: Instant,
    pub(super) messages: Cell<u64>,
    pub(super) rejections: Cell<u32>,
    pub(super) violations: Cell<u32>,
    pub(super) health_checks: Cell<u32>,
    /// Total time for which the reader waited because the connection was throttled.
    throttled: Cell<Duration>,
    /// Total time for which the reader waited because the connection had the maximum number of open calls.
    awaiting_free_call: Cell<Duration>,
    /// Bytes that came before the connection ended and were not read as messages.
    pub(super) dropped_bytes: Cell<usize>,
}

impl Activity {
    pub(super) fn new() -> Activity {
        Activity {
            opened_at: Instant::now(),
            messages: Cell::new(0),
            rejections: Cell::new(0),
            violations: Cell::new(0),
            health_checks: Cell::new(0),
            throttled: Cell::new(Duration::ZERO),
            awaiting_free_call: Cell::new(Duration::ZERO),
            dropped_bytes: Cell::new(0),
        }
    }

    /// Records a wait of the reader that began at `since` because the connection was throttled.
    pub(super) fn record_throttled(&self, since: Instant) {
        self.throttled.set(self.throttled.get() + since.elapsed());
    }

    /// Records a wait of the reader for a free call that began at `since`.
    pub(super) fn record_wait_for_free_call(&self, since: Instant) {
        self.awaiting_free_call.set(self.awaiting_free_call.get() + since.elapsed());
    }

    pub(super) fn summary(&self, number: u64, is_trusted: bool) -> ConnectionSummary {
        ConnectionSummary {
            number,
            is_trusted,
            open_for: self.opened_at.elapsed(),
            messages: self.messages.get(),
            rejections: self.rejections.get(),
            violations: self.violations.get(),
            throttled: self.throttled.get(),
            awaiting_free_call: self.awaiting_free_call.get(),
            dropped_bytes: self.dropped_bytes.get(),
        }
    }
}

/// What happened on a client connection that has ended.
#[derive(Clone, Debug)]
pub struct ConnectionSummary {
    /// Number of the connection since the start of the process.
    pub number: u64,
    /// Whether a job requested on the connection has run.
    pub is_trusted: bool,
    /// How long the connection was open.
    pub open_for: Duration,
    /// Messages that were read.
    pub messages: u64,
    /// Jobs that were rejected.
    pub rejections: u32,
    /// Messages that violated the protocol.
    pub violations: u32,
    /// How long the reader waited because the connection was throttled.
    pub throttled: Duration,
    /// How long the reader waited because the connection had the maximum number of open calls.
    pub awaiting_free_call: Duration,
    /// Bytes that were received and not read as messages, because the connection was being closed.
    pub dropped_bytes: usize,
}
