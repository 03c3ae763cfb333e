//! The load signal that the server publishes to callers. The load signal falls at once while jobs wait too long, and
//! rises slowly otherwise.

use crate::api::LoadSignal;
use crate::time::{Span, Time};

/// Highest openness for the load signal kind `Credit`.
const MAX_CREDIT_OPENNESS: f64 = 5.0;
/// Highest openness for the other kinds of load signal. A value above 1 would only delay the fall in an overload.
const MAX_OPENNESS: f64 = 1.0;
/// Lowest openness. Without some load, the server could not detect that it has capacity again.
const MIN_OPENNESS: f64 = 0.08;
/// Maximum relative decrease of the openness per update.
const FALL_RATIO: f64 = 0.01;
/// Relative increase of the openness per update while no job waits.
const RISE_RATIO: f64 = 0.06;
/// Number of updates during the lifetime of a load signal.
const UPDATES_PER_LIFETIME: f64 = 10.0;

/// Controls the load signal.
pub(crate) struct LoadSignalController {
    openness: f64,
    published: Option<f64>,
    next_update: Option<Time>,
}

impl LoadSignalController {
    /// Creates a controller with an openness of 1 that has published no signal yet.
    pub fn new() -> LoadSignalController {
        LoadSignalController { openness: 1.0, published: None, next_update: None }
    }

    /// Returns the openness: the load that callers are asked to send, above 0, relative to the usual load of 1.
    pub fn openness(&self) -> f64 {
        self.openness
    }

    /// Returns whether an update is due, and if so schedules the next update.
    pub fn begin_update(&mut self, now: Time, signal_lifetime: Span) -> bool {
        if self.next_update.is_some_and(|next_update| now < next_update) {
            return false;
        }
        self.next_update = Some(now + signal_lifetime * (1.0 / UPDATES_PER_LIFETIME));
        true
    }

    /// Makes the next update due immediately.
    pub fn update_at_once(&mut self) {
        self.next_update = None;
    }

    /// Returns when the next update is due.
    pub fn next_update(&self) -> Option<Time> {
        self.next_update
    }

    /// Returns the signal to publish, or `None` if the signal has not changed. `wait_ratio` is the time that jobs wait
    /// as a ratio of the target wait; `credit` is the number of jobs in flight that an openness of 1 grants to each
    /// caller.
    pub fn update(&mut self, wait_ratio: f64, signal: LoadSignal, credit: f64) -> Option<f64> {
        let max = if signal == LoadSignal::Credit { MAX_CREDIT_OPENNESS } else { MAX_OPENNESS };
        let factor = if wait_ratio > 1.0 {
            1.0 - FALL_RATIO * (wait_ratio - 1.0).min(1.0)
        } else {
            1.0 + RISE_RATIO * (1.0 - wait_ratio)
        };
        self.openness = (self.openness * factor).clamp(MIN_OPENNESS, max);
        let openness = self.openness / wait_ratio.max(1.0).sqrt();
        let value = match signal {
            LoadSignal::Silent => None,
            LoadSignal::Weight => Some(openness),
            LoadSignal::Credit => Some(openness * credit),
            LoadSignal::Level => Some(1.0 - openness),
        };
        let changed = value.filter(|value| self.published != Some(*value))?;
        self.published = Some(changed);
        Some(changed)
    }
}
