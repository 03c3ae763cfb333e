//! Graceful shutdown: until when jobs are admitted and answered after the notice that the process will be stopped.

use crate::api::ServiceLimits;
use crate::time::{Span, Time};

/// All answers are given before the stop by this ratio of the drain's grace, as the process may pause for a moment.
const STOP_MARGIN_RATIO: f64 = 0.2;
/// All answers are given at least this many ticks before the stop.
const STOP_MARGIN_TICKS: f64 = 4.0;

/// A drain that has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drain {
    /// When the notice came.
    pub notified_at: Time,
    /// When the process is stopped.
    pub stops_at: Time,
}

impl Drain {
    /// Until when answers may be given, safely before the stop.
    pub fn answer_deadline(&self, limits: &ServiceLimits, tick: Span) -> Time {
        let margin = (limits.drain_grace * STOP_MARGIN_RATIO).max(tick * STOP_MARGIN_TICKS);
        self.stops_at - margin
    }

    /// Whether a job that was received at `received_at` may still be admitted.
    pub fn in_grace(&self, received_at: Time, limits: &ServiceLimits) -> bool {
        received_at <= self.notified_at + limits.drain_grace
    }
}
