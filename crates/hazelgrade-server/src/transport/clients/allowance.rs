//! Bounds the messages of one connection that owe no answer to a job: health checks, aborts of unknown calls, messages
//! that are not accepted. Handling them costs processor time that the jobs of other clients need.
//!
//! An honest client sends few of them. A connection that sends more is throttled until its allowance has grown again.

use std::cell::Cell;
use std::time::Instant;

/// Messages that a connection may send at once beyond its rate.
const BURST_MESSAGES: f64 = 128.0;
/// Messages per second by which the allowance grows: more than a health monitor or an honest client needs.
const MESSAGES_PER_S: f64 = 64.0;
/// Length of a message that counts as one more message, in bytes.
const BYTES_PER_MESSAGE: f64 = 1024.0;

/// The messages that a connection may send for which no job is answered.
pub struct MessageAllowance {
    messages: Cell<f64>,
    updated_at: Cell<Instant>,
}

impl MessageAllowance {
    /// Creates an allowance of which nothing is used at `now`.
    pub fn new(now: Instant) -> MessageAllowance {
        MessageAllowance { messages: Cell::new(BURST_MESSAGES), updated_at: Cell::new(now) }
    }

    /// Takes a message of this length. The allowance may be overdrawn by as much as it can hold.
    pub fn take(&self, now: Instant, bytes: usize) {
        let cost = 1.0 + bytes as f64 / BYTES_PER_MESSAGE;
        self.messages.set((self.available(now) - cost).max(-BURST_MESSAGES));
        self.updated_at.set(now);
    }

    /// Returns whether the connection has used up its allowance.
    pub fn is_exhausted(&self, now: Instant) -> bool {
        self.available(now) < 0.0
    }

    fn available(&self, now: Instant) -> f64 {
        let grown = now.duration_since(self.updated_at.get()).as_secs_f64() * MESSAGES_PER_S;
        (self.messages.get() + grown).min(BURST_MESSAGES)
    }
}
