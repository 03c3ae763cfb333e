//! The load signal that is published to callers: it falls at once while jobs wait too long and rises slowly while they
//! don't.

use crate::api::LoadSignal;
use crate::time::{Span, Time};

/// The highest openness that a credit may mean.
const MAX_CREDIT_OPENNESS: f64 = 5.0;
/// The highest openness of the other signals: above 1 they would only fall later.
const MAX_OPENNESS: f64 = 1.0;
/// The lowest openness: without some load the server could not see that it has room.
const MIN_OPENNESS: f64 = 0.08;
/// Ratio by which the openness falls in one update, at most.
const FALL_RATIO: f64 = 0.01;
/// Ratio by which the openness rises in one update while nothing waits.
const RISE_RATIO: f64 = 0.06;
/// The signal is updated this many times during its lifetime.
const UPDATES_PER_LIFETIME: f64 = 10.0;

/// Steers the load signal.
pub(crate) struct LoadSignalController {
    openness: f64,
    published: Option<f64>,
    next_update: Option<Time>,
}

impl LoadSignalController {
    /// Fully open, nothing published yet.
    pub fn new() -> LoadSignalController {
        LoadSignalController { openness: 1.0, published: None, next_update: None }
    }

    /// How much load callers are asked to send, over 0; 1 is the usual load.
    pub fn openness(&self) -> f64 {
        self.openness
    }

    /// Whether an update is due; if so, sets when the next one is.
    pub fn begin_update(&mut self, now: Time, signal_lifetime: Span) -> bool {
        if self.next_update.is_some_and(|next_update| now < next_update) {
            return false;
        }
        self.next_update = Some(now + signal_lifetime * (1.0 / UPDATES_PER_LIFETIME));
        true
    }

    /// Makes the next update due at once.
    pub fn update_at_once(&mut self) {
        self.next_update = None;
    }

    /// When the next update is due.
    pub fn next_update(&self) -> Option<Time> {
        self.next_update
    }

    /// The signal to publish, or `None` if it has not changed. `wait_ratio` is how long jobs wait, as a ratio of the
    /// target wait; `credit` is how many jobs in flight an openness of 1 grants to each caller.
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
