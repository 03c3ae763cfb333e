//! When the node's state is written: one write at a time, and after one that failed the next comes after a delay.

use hazelgrade::time::{Span, Time};

/// The delay after a first write that failed, in milliseconds; doubled for each further one.
const FIRST_RETRY_DELAY_MS: f64 = 500.0;
/// The longest delay, in milliseconds.
const MAX_RETRY_DELAY_MS: f64 = 60_000.0;
/// Failures past which the delay is doubled no further.
const MAX_DOUBLINGS: u32 = 10;

/// The writes of a node's state.
#[derive(Clone, Debug, Default)]
pub(super) struct WriteSchedule {
    /// The ticket of the last write that was asked for.
    last_ticket: u64,
    /// The ticket of the write that is under way.
    in_flight: Option<u64>,
    /// The state changed while a write was under way.
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

    /// The next write need not wait.
    pub fn cancel_delay(&mut self) {
        self.retry_at = None;
    }

    /// Asks for a write: its ticket, and whether it begins now. Otherwise it begins after the write that is under
    /// way or after the delay.
    pub fn request(&mut self) -> (u64, bool) {
        self.last_ticket += 1;
        let is_due = self.in_flight.is_none() && self.retry_at.is_none();
        if self.in_flight.is_some() {
            self.changed = true;
        }
        if is_due {
            self.in_flight = Some(self.last_ticket);
        }
        (self.last_ticket, is_due)
    }

    /// The write with this ticket ended; false if it is not the one under way.
    pub fn end(&mut self, ticket: u64) -> bool {
        self.in_flight.take_if(|in_flight| *in_flight == ticket).is_some()
    }

    /// Whether the state changed during the write that ended, and no other has begun.
    pub fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.changed) && self.in_flight.is_none()
    }

    /// A write worked.
    pub fn reset_delay(&mut self) {
        self.failures = 0;
        self.retry_at = None;
    }

    /// A write failed: the next waits.
    pub fn delay_retry(&mut self, now: Time) {
        let doublings = self.failures.min(MAX_DOUBLINGS) as i32;
        let delay_ms = FIRST_RETRY_DELAY_MS * 2f64.powi(doublings);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + Span::from_ms(delay_ms.min(MAX_RETRY_DELAY_MS)));
    }
}
