//! The health by which a server is listed to callers: bad in a drain, and for a while where it lags and its callers
//! come too seldom to heed the load signal. Risk: servers that all lag at once are unlisted together.

use crate::time::{Span, Time};
use crate::timescales::Timescales;

/// With fewer requests than this per caller during the lifetime of a load signal, the signal steers little.
const SELDOM_REQUESTS_PER_SIGNAL: f64 = 0.25;
/// A server stays listed while more of the requests than this ratio are retries: others have no room either.
pub(crate) const MAX_RETRY_RATIO: f64 = 0.15;
/// After it was unlisted a server is listed for at least this many of the shortest latency objectives.
const MIN_LISTED_OBJECTIVES: f64 = 2.0;
/// A server is unlisted for at least this ratio of the shortest latency objective.
const UNLISTED_FROM: f64 = 0.75;
/// The width of the range that the time unlisted is drawn from, as a ratio of the shortest latency objective.
const UNLISTED_RANGE: f64 = 0.5;

/// Decides the health that is published.
#[derive(Default)]
pub(crate) struct Health {
    published: Option<bool>,
    unlisted_until: Option<Time>,
    /// Since when every job that was read had waited unread for longer than the lag.
    lagging_since: Option<Time>,
}

impl Health {
    /// A job was read; `lagging` is whether it had waited unread for longer than the lag.
    pub fn job_read(&mut self, now: Time, lagging: bool) {
        self.lagging_since = if lagging { self.lagging_since.or(Some(now)) } else { None };
    }

    /// Whether the server lags and may be unlisted; `mean_unread` is how long jobs wait unread on average.
    ///
    /// The lag must have lasted for the target wait: a process that was paused reads all that waited in one go and is
    /// as quick as ever then. If many that were paused together were unlisted, their callers would find no other
    /// server.
    pub fn is_lagging(&self, now: Time, mean_unread: Span, timescales: &Timescales) -> bool {
        let min_listed = timescales.shortest_objective * MIN_LISTED_OBJECTIVES;
        let listed_long_enough = self.unlisted_until.is_none_or(|until| now.since(until) > min_listed);
        let lasts = self.lagging_since.is_some_and(|since| now.since(since) >= timescales.target_wait);
        listed_long_enough && lasts && mean_unread > timescales.lag
    }

    /// Whether callers come too seldom to heed the load signal; `requests_per_signal` is how many requests each sends
    /// during the lifetime of one signal.
    pub fn signal_is_unheeded(requests_per_signal: f64) -> bool {
        requests_per_signal < SELDOM_REQUESTS_PER_SIGNAL
    }

    /// Unlists the server for about one of the shortest latency objectives; `random` is from 0 up to less than 1.
    pub fn unlist(&mut self, now: Time, shortest_objective: Span, random: f64) {
        self.unlisted_until = Some(now + shortest_objective * (UNLISTED_FROM + UNLISTED_RANGE * random));
    }

    /// The health to publish, or `None` if it has not changed.
    pub fn update(&mut self, now: Time, draining: bool) -> Option<bool> {
        let healthy = !draining && self.unlisted_until.is_none_or(|until| until <= now);
        let changed = self.published.replace(healthy) != Some(healthy);
        changed.then_some(healthy)
    }

    /// Whether bad health was published last.
    pub fn is_published_bad(&self) -> bool {
        self.published == Some(false)
    }
}
