//! When a version that was rejected because it could not be stored is requested again: the disk may work again, or be
//! too full for this version for good.

use hazelgrade::time::{Span, Time};

/// The delay after the first rejection, in milliseconds. Each further one in a row doubles the delay.
const FIRST_DELAY_MS: f64 = 2000.0;
/// The longest delay, in milliseconds.
const MAX_DELAY_MS: f64 = 60_000.0;
/// The maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 5;

/// The requests for a version that could not be stored.
#[derive(Clone, Debug, Default)]
pub(super) struct UnstoredVersion {
    /// Rejections since a version was last stored.
    rejections: u32,
    request_at: Option<Time>,
}

impl UnstoredVersion {
    /// Returns when the version is to be requested again, if it is.
    pub fn request_at(&self) -> Option<Time> {
        self.request_at
    }

    /// Records that a version was rejected because it could not be stored.
    pub fn rejected(&mut self, now: Time) {
        let delay_ms = FIRST_DELAY_MS * 2f64.powi(self.rejections.min(MAX_DOUBLINGS) as i32);
        self.rejections = self.rejections.saturating_add(1);
        self.request_at = Some(now + Span::from_ms(delay_ms.min(MAX_DELAY_MS)));
    }

    /// Records that a version was stored.
    pub fn stored(&mut self) {
        *self = UnstoredVersion::default();
    }

    /// Returns whether a request is due at `now`, once.
    pub fn take_due(&mut self, now: Time) -> bool {
        self.request_at.take_if(|at| *at <= now).is_some()
    }
}
