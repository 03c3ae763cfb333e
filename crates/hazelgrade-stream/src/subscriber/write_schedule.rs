//! When the node's state is written: one write at a time, with a delay after one that failed.

use hazelgrade::time::{Span, Time};

/// The delay after a first write that failed, in milliseconds; doubled for each further one.
const FIRST_RETRY_DELAY_MS: f64 = 500.0;
/// The longest delay, in milliseconds.
const MAX_RETRY_DELAY_MS: f64 = 60_000.0;
/// Failures past which the delay is doubled no further.
const MAX_DOUBLINGS: u32 = 10;

/// A write that was requested.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestedWrite {
    /// Identifies the write.
    pub ticket: u64,
    /// Whether it begins now.
    pub begins_now: bool,
}

/// The writes of a node's state.
#[derive(Clone, Debug, Default)]
pub(super) struct WriteSchedule {
    /// The ticket of the last write that was requested.
    last_ticket: u64,
    /// The ticket of the write in progress.
    in_flight: Option<u64>,
    /// Whether the state changed during a write.
    changed: bool,
    /// Writes in a row that failed.
    failures: u32,
    /// When a write that failed is tried again.
    retry_at: Option<Time>,
}

impl WriteSchedule {
    /// When to write again after a write that failed.
    pub fn retry_at(&self) -> Option<Time> {
        self.retry_at
    }

    /// Lets the next write begin without a delay.
    pub fn cancel_delay(&mut self) {
        self.retry_at = None;
    }

    /// Requests a write. If it does not begin now, the state is written after the write in progress or after the delay.
    pub fn request(&mut self) -> RequestedWrite {
        self.last_ticket += 1;
        let begins_now = self.in_flight.is_none() && self.retry_at.is_none();
        if self.in_flight.is_some() {
            self.changed = true;
        }
        if begins_now {
            self.in_flight = Some(self.last_ticket);
        }
        RequestedWrite { ticket: self.last_ticket, begins_now }
    }

    /// Ends the write with this ticket; returns `false` if it is not the one in progress.
    pub fn end(&mut self, ticket: u64) -> bool {
        self.in_flight.take_if(|in_flight| *in_flight == ticket).is_some()
    }

    /// Whether the state changed during the write that ended and no other write has begun; clears the change.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.changed) && self.in_flight.is_none()
    }

    /// Ends the delay after a write that succeeded.
    pub fn reset_delay(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Delays the next write after one that failed.
    pub fn delay_retry(&mut self, now: Time) {
        let doublings = self.failures.min(MAX_DOUBLINGS) as i32;
        let delay_ms = FIRST_RETRY_DELAY_MS * 2f64.powi(doublings);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + Span::from_ms(delay_ms.min(MAX_RETRY_DELAY_MS)));
    }
}
