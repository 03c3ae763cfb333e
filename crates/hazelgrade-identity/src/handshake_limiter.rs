//! Bounds the TLS handshakes in progress. Past the bound the oldest one is evicted, so that a flood of unfinished
//! handshakes costs a fixed amount and does not block clients that complete theirs at an ordinary pace.

use hazelgrade::time::{Span, Time};
use std::collections::BTreeMap;

/// The most handshakes in progress at once, at some 50 KB each: enough for a fleet's callers that all reconnect at
/// once.
pub const MAX_HANDSHAKES: usize = 128;

/// Identifies a handshake within its limiter.
pub type HandshakeId = u64;

/// A handshake that has begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartedHandshake {
    /// Its id, for [`HandshakeLimiter::finish`].
    pub id: HandshakeId,
    /// When it must be complete.
    pub deadline: Time,
    /// The handshake that is to be ended to make room for this one, if any.
    pub evicted: Option<HandshakeId>,
}

/// The handshakes in progress.
#[derive(Debug)]
pub struct HandshakeLimiter {
    max_handshakes: usize,
    timeout: Span,
    last_id: HandshakeId,
    in_progress: BTreeMap<HandshakeId, Time>,
    ended_early: u64,
}

impl HandshakeLimiter {
    /// A limiter of `max_handshakes` at once (at least one), each of which may take up to `timeout`.
    pub fn new(max_handshakes: usize, timeout: Span) -> HandshakeLimiter {
        HandshakeLimiter {
            max_handshakes: max_handshakes.max(1),
            timeout,
            last_id: 0,
            in_progress: BTreeMap::new(),
            ended_early: 0,
        }
    }

    /// Begins a handshake, and evicts the oldest one if there is no room.
    pub fn begin(&mut self, now: Time) -> StartedHandshake {
        let is_full = self.in_progress.len() >= self.max_handshakes;
        let evicted = if is_full { self.in_progress.pop_first().map(|(id, _)| id) } else { None };
        if evicted.is_some() {
            self.ended_early += 1;
        }
        self.last_id += 1;
        self.in_progress.insert(self.last_id, now);
        StartedHandshake { id: self.last_id, deadline: now + self.timeout, evicted }
    }

    /// Ends a handshake, complete or not; returns `false` if it had been evicted.
    pub fn finish(&mut self, id: HandshakeId, is_complete: bool) -> bool {
        let was_in_progress = self.in_progress.remove(&id).is_some();
        if was_in_progress && !is_complete {
            self.ended_early += 1;
        }
        was_in_progress
    }

    /// Handshakes in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.len()
    }

    /// Handshakes since the start that failed, took too long or were evicted.
    pub fn ended_early(&self) -> u64 {
        self.ended_early
    }
}
