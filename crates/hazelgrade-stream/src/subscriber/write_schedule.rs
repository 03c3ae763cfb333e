//! Scheduling of the writes of the node's state: one write at a time, with a delay after a failed write.

use hazelgrade::time::{Span, Time};

/// The delay after the first failed write, in milliseconds. Each further failure in a row doubles the delay.
const FIRST_RETRY_DELAY_MS: f64 = 500.0;
/// The longest delay after a failed write, in milliseconds.
const MAX_RETRY_DELAY_MS: f64 = 60_000.0;
/// The maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 10;

/// The result of requesting a write.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestedWrite {
    /// The ticket that identifies the write.
    pub ticket: u64,
    /// Whether the write begins now.
    pub begins_now: bool,
}

/// The schedule of the writes of a node's state.
#[derive(Clone, Debug, Default)]
pub(super) struct WriteSchedule {
    /// The ticket of the last requested write.
    last_ticket: u64,
    /// The ticket of the write in progress, if any.
    in_flight: Option<u64>,
    /// Whether the state changed since the write in progress began.
    changed_in_flight: bool,
    /// Failed writes since the last successful one.
    failures: u32,
    /// The time at which the write is retried after a failure, if any.
    retry_at: Option<Time>,
}

impl WriteSchedule {
    /// The time at which the write is retried after a failure, if any.
    pub fn retry_at(&self) -> Option<Time> {
        self.retry_at
    }

    /// Cancels the delay after a failed write, so that the next requested write begins at once.
    pub fn cancel_delay(&mut self) {
        self.retry_at = None;
    }

    /// Requests a write. If the write does not begin now, the state is written after the write in progress or after the
    /// delay.
    pub fn request(&mut self) -> RequestedWrite {
        self.last_ticket += 1;
        let begins_now = self.in_flight.is_none() && self.retry_at.is_none();
        if self.in_flight.is_some() {
            self.changed_in_flight = true;
        }
        if begins_now {
            self.in_flight = Some(self.last_ticket);
        }
        RequestedWrite { ticket: self.last_ticket, begins_now }
    }

    /// Ends the write with this ticket. Returns `false` if the write in progress has another ticket or none is in
    /// progress.
    pub fn end(&mut self, ticket: u64) -> bool {
        self.in_flight.take_if(|in_flight| *in_flight == ticket).is_some()
    }

    /// Returns whether the state changed during the write that ended and no other write has begun. Clears the record of
    /// the change.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.changed_in_flight) && self.in_flight.is_none()
    }

    /// Resets the delay after a successful write.
    pub fn reset_delay(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// Delays the next write after a failed one.
    pub fn delay_retry(&mut self, now: Time) {
        let doublings = self.failures.min(MAX_DOUBLINGS) as i32;
        let delay_ms = FIRST_RETRY_DELAY_MS * 2f64.powi(doublings);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + Span::from_ms(delay_ms.min(MAX_RETRY_DELAY_MS)));
    }
}
