//! Bounds what connections cost whose jobs were rejected, none of which has run: their peers may retry immediately, in
//! any number.
//!
//! All throttled connections share one rate, so that a few of them are read without delay, and only many of them, or
//! hostile ones, wait for each other. No connection waits for longer than [`MAX_PAUSE`] before its next message.

use async_io::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Shortest time between two messages on all throttled connections together, on average.
const MESSAGE_INTERVAL: Duration = Duration::from_micros(200);
/// Longest pause before a message of a throttled connection.
const MAX_PAUSE: Duration = Duration::from_millis(25);

/// The rate that all throttled connections share.
pub struct SharedThrottle {
    /// When the next message may be read.
    next_at: Cell<Instant>,
    draining: Cell<bool>,
}

impl SharedThrottle {
    /// Creates a rate of which nothing is used at `now`.
    pub fn new(now: Instant) -> SharedThrottle {
        SharedThrottle { next_at: Cell::new(now), draining: Cell::new(false) }
    }

    /// Records that the instance drains.
    pub(super) fn start_drain(&self) {
        self.draining.set(true);
    }

    /// Returns whether the instance drains: then everything that was received has to be read before the stop.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Reserves the next message for the caller, and returns for how long the caller has to pause before it.
    pub fn reserve(&self, now: Instant) -> Duration {
        let at = self.next_at.get().clamp(now, now + MAX_PAUSE);
        self.next_at.set(at + MESSAGE_INTERVAL);
        at.duration_since(now)
    }

    /// Waits until the caller may read its next message.
    pub(super) async fn wait(&self) {
        let pause = self.reserve(Instant::now());
        if pause > Duration::ZERO {
            Timer::after(pause).await;
        }
    }
}
