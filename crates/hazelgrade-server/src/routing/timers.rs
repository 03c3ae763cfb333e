//! The controller's timers. When one is due, the gauges are requested from the executor; the timer fires with their
//! values, or without them after a timeout.

use hazelgrade::time::Time;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long to wait for the gauges.
const GAUGES_TIMEOUT: Duration = Duration::from_millis(25);
/// Timers that may be set at once. Beyond that the latest is dropped, as the controller needs only the earliest.
const MAX_TIMERS: usize = 256;

/// Timers, identified by the tokens that the controller set them with.
#[derive(Default)]
pub struct Timers {
    scheduled: RefCell<BTreeSet<(Time, u64)>>,
    /// Timers that are due and wait for the gauges, with the time of the request.
    awaiting_gauges: RefCell<BTreeMap<u64, Instant>>,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&self, at: Time, token: u64) {
        let mut scheduled = self.scheduled.borrow_mut();
        scheduled.insert((at, token));
        if scheduled.len() > MAX_TIMERS {
            scheduled.pop_last();
        }
    }

    /// When the earliest timer is due.
    pub fn next_due(&self) -> Option<Time> {
        self.scheduled.borrow().first().map(|(at, _)| *at)
    }

    /// Takes the earliest timer if it is due. From now on it waits for the gauges, which the caller must request.
    pub fn take_due(&self, now: Time) -> Option<u64> {
        let mut scheduled = self.scheduled.borrow_mut();
        let (at, token) = scheduled.first().copied().filter(|(at, _)| *at <= now)?;
        scheduled.remove(&(at, token));
        self.awaiting_gauges.borrow_mut().insert(token, Instant::now());
        Some(token)
    }

    /// Takes a timer that has waited for the gauges for too long.
    pub fn take_without_gauges(&self) -> Option<u64> {
        let mut awaiting = self.awaiting_gauges.borrow_mut();
        let timed_out = |requested: &Instant| *requested + GAUGES_TIMEOUT <= Instant::now();
        let token = awaiting.iter().find(|(_, requested)| timed_out(requested)).map(|(token, _)| *token)?;
        awaiting.remove(&token);
        Some(token)
    }

    /// Takes the timer that waits for these gauges; returns when they were requested.
    pub fn take_with_gauges(&self, token: u64) -> Option<Instant> {
        self.awaiting_gauges.borrow_mut().remove(&token)
    }

    /// When a wait for gauges times out next.
    pub fn next_gauges_timeout(&self) -> Option<Instant> {
        self.awaiting_gauges.borrow().values().min().map(|requested| *requested + GAUGES_TIMEOUT)
    }
}
