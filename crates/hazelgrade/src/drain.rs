//! Graceful shutdown: until when jobs are admitted and answered after the notice that the process will be stopped.

use crate::api::ServiceLimits;
use crate::time::{Span, Time};

/// Margin between the last answer and the stop, as a ratio of the drain grace. The margin allows for short pauses of
/// the process.
const STOP_MARGIN_RATIO: f64 = 0.2;
/// Minimum margin between the last answer and the stop, in ticks.
const STOP_MARGIN_TICKS: f64 = 4.0;

/// A drain that has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drain {
    /// When the notice was received.
    pub notified_at: Time,
    /// When the process will be stopped.
    pub stops_at: Time,
}

impl Drain {
    /// Returns until when answers may be sent, with a safety margin before the stop.
    pub fn answer_deadline(&self, limits: &ServiceLimits, tick: Span) -> Time {
        let margin = (limits.drain_grace * STOP_MARGIN_RATIO).max(tick * STOP_MARGIN_TICKS);
        self.stops_at - margin
    }

    /// Returns whether a job received at `received_at` is within the drain grace and may still be admitted.
    pub fn in_grace(&self, received_at: Time, limits: &ServiceLimits) -> bool {
        received_at <= self.notified_at + limits.drain_grace
    }
}
