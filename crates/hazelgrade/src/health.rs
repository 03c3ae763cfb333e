//! The health that decides whether a server is in the endpoint list of callers. The health is bad in a drain, and
//! temporarily if the server lags and its callers send requests too rarely to follow the load signal. Risk: servers
//! that all start to lag at the same time are unlisted together.

use crate::time::{Span, Time};
use crate::timescales::Timescales;

/// Requests per caller during the lifetime of a load signal below which the signal has little effect.
const MIN_REQUESTS_PER_SIGNAL: f64 = 0.25;
/// Ratio of retries among the requests above which a server stays listed, as other servers have no capacity either.
pub(crate) const MAX_RETRY_RATIO: f64 = 0.15;
/// Shortest time for which a server stays listed after it was unlisted, in units of the shortest latency objective.
const MIN_LISTED_OBJECTIVES: f64 = 2.0;
/// Shortest time for which a server is unlisted, in units of the shortest latency objective.
const MIN_UNLISTED_OBJECTIVES: f64 = 0.75;
/// Width of the range from which the unlisted time is drawn, in units of the shortest latency objective.
const UNLISTED_RANGE_OBJECTIVES: f64 = 0.5;

/// Decides the health that the server publishes.
#[derive(Default)]
pub(crate) struct Health {
    published: Option<bool>,
    unlisted_until: Option<Time>,
    /// Since when every job that was read had waited unread for longer than [`Timescales::lag`].
    lagging_since: Option<Time>,
}

impl Health {
    /// Records that a job was read. `lagging` is whether the job had waited unread for longer than [`Timescales::lag`].
    pub fn job_read(&mut self, now: Time, lagging: bool) {
        self.lagging_since = if lagging { self.lagging_since.or(Some(now)) } else { None };
    }

    /// Returns whether the server lags and may be unlisted. `mean_unread` is how long jobs wait unread on average.
    ///
    /// The server must have lagged for at least the target wait: a process that was paused reads all waiting jobs at
    /// once and is then as fast as before. If many servers that were paused together were unlisted, their callers would
    /// find no other server.
    pub fn is_lagging(&self, now: Time, mean_unread: Span, timescales: &Timescales) -> bool {
        let min_listed = timescales.shortest_objective * MIN_LISTED_OBJECTIVES;
        let listed_long_enough = self.unlisted_until.is_none_or(|until| now.since(until) > min_listed);
        let lag_persists = self.lagging_since.is_some_and(|since| now.since(since) >= timescales.target_wait);
        listed_long_enough && lag_persists && mean_unread > timescales.lag
    }

    /// Returns whether callers send requests too rarely to follow the load signal. `requests_per_signal` is the number
    /// of requests that each caller sends during the lifetime of one signal.
    pub fn is_signal_ineffective(requests_per_signal: f64) -> bool {
        requests_per_signal < MIN_REQUESTS_PER_SIGNAL
    }

    /// Unlists the server for about the shortest latency objective. `random` is from 0 (inclusive) to 1 (exclusive) and
    /// spreads the times of servers that are unlisted together.
    pub fn unlist(&mut self, now: Time, shortest_objective: Span, random: f64) {
        self.unlisted_until =
            Some(now + shortest_objective * (MIN_UNLISTED_OBJECTIVES + UNLISTED_RANGE_OBJECTIVES * random));
    }

    /// Returns the health to publish, or `None` if it has not changed.
    pub fn update(&mut self, now: Time, draining: bool) -> Option<bool> {
        let healthy = !draining && self.unlisted_until.is_none_or(|until| until <= now);
        let changed = self.published.replace(healthy) != Some(healthy);
        changed.then_some(healthy)
    }

    /// Returns whether the health published last is bad.
    pub fn is_published_bad(&self) -> bool {
        self.published == Some(false)
    }
}
