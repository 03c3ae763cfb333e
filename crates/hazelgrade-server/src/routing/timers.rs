//! The controller's timers. When a timer is due, the gauges are requested from the executor. The timer fires with the
//! values of the gauges, or without values if the executor does not answer before a timeout.

use hazelgrade::time::Time;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long a timer that is due waits for the executor's gauges.
const GAUGES_TIMEOUT: Duration = Duration::from_millis(25);
/// Number of timers that may be set at the same time. When one more timer is set, the latest timer is dropped, because
/// the controller needs only the earliest ones.
const MAX_TIMERS: usize = 256;

/// Timers, identified by the tokens with which the controller set them.
#[derive(Default)]
pub struct Timers {
    scheduled: RefCell<BTreeSet<(Time, u64)>>,
    /// Timers that are due and wait for the gauges, with the instant at which the gauges were requested.
    awaiting_gauges: RefCell<BTreeMap<u64, Instant>>,
}

impl Timers {
    /// Sets a timer that is due at `at`.
    pub fn set(&self, at: Time, token: u64) {
        let mut scheduled = self.scheduled.borrow_mut();
        scheduled.insert((at, token));
        if scheduled.len() > MAX_TIMERS {
            scheduled.pop_last();
        }
    }

    /// Returns when the earliest timer is due.
    pub fn next_due(&self) -> Option<Time> {
        self.scheduled.borrow().first().map(|(at, _)| *at)
    }

    /// Takes the earliest timer if it is due. The timer then waits for the gauges, which the caller must request.
    pub fn take_due(&self, now: Time) -> Option<u64> {
        let mut scheduled = self.scheduled.borrow_mut();
        let (at, token) = scheduled.first().copied().filter(|(at, _)| *at <= now)?;
        scheduled.remove(&(at, token));
        self.awaiting_gauges.borrow_mut().insert(token, Instant::now());
        Some(token)
    }

    /// Takes a timer whose wait for the gauges has timed out.
    pub fn take_without_gauges(&self) -> Option<u64> {
        let mut awaiting = self.awaiting_gauges.borrow_mut();
        let timed_out = |requested_at: &Instant| *requested_at + GAUGES_TIMEOUT <= Instant::now();
        let token =
            awaiting.iter().find(|(_, requested_at)| timed_out(requested_at)).map(|(token, _)| *token)?;
        awaiting.remove(&token);
        Some(token)
    }

    /// Takes the timer with this token, whose gauges have arrived. Returns when the gauges were requested.
    pub fn take_with_gauges(&self, token: u64) -> Option<Instant> {
        self.awaiting_gauges.borrow_mut().remove(&token)
    }

    /// Returns when the next wait for gauges times out.
    pub fn next_gauges_timeout(&self) -> Option<Instant> {
        self.awaiting_gauges.borrow().values().min().map(|requested_at| *requested_at + GAUGES_TIMEOUT)
    }
}
