//! The rate at which each caller requests jobs, compared with its limit.

use hazelgrade::statistics::DecayingSum;
use hazelgrade::time::{Span, Time};
use std::collections::HashMap;

/// Time constant of the count of a caller's jobs, in milliseconds: bursts of some seconds stay below the limit.
const DECAY_MS: f64 = 5000.0;

/// Counts each caller's jobs by its name, so that the counts stay valid when the policy is replaced.
pub(crate) struct CallerRates {
    max_callers: usize,
    jobs: HashMap<String, DecayingSum>,
}

impl CallerRates {
    /// Tracks at most `max_callers`; with one more all counts are reset.
    pub(crate) fn new(max_callers: usize) -> CallerRates {
        CallerRates { max_callers, jobs: HashMap::new() }
    }

    /// Counts a job of a caller; returns whether the caller is now over its limit, in jobs per second.
    pub(crate) fn count(&mut self, now: Time, caller: &str, limit_per_s: f64) -> bool {
        if !self.jobs.contains_key(caller) {
            if self.jobs.len() >= self.max_callers {
                self.jobs.clear();
            }
            self.jobs.insert(caller.to_owned(), DecayingSum::new(Span::from_ms(DECAY_MS)));
        }
        let Some(jobs) = self.jobs.get_mut(caller) else { return false };
        jobs.add(now, 1.0);
        jobs.value(now) > limit_per_s * DECAY_MS / 1000.0
    }
}
