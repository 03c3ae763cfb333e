//! How many subscribers a control service admits: a rate with a burst. Each further one gets its own retry-after, so
//! that they don't all come back at the same time.

use hazelgrade::time::{Span, Time};

/// The longest retry-after, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// The lowest rate, in subscribers a second.
const MIN_RATE_PER_S: f64 = 0.1;

/// A rate limit that reserves a later time for each subscriber that it doesn't admit.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Time between two subscribers at the rate.
    interval: Span,
    /// How far ahead of the rate subscribers may be admitted.
    burst: Span,
    /// When the next one would be due at an even rate.
    next_due: Time,
    /// The latest time that is reserved for a subscriber to come back.
    reserved_until: Time,
    /// The longest retry-after; subscribers past it share the last reserved time.
    max_retry_after: Span,
}

impl Admission {
    /// Admits `rate_per_s` subscribers a second in the long run (at least 0.1), and `burst` at once after an idle
    /// time (at least 1).
    pub fn new(rate_per_s: f64, burst: f64) -> Admission {
        let interval = Span::from_ms(1000.0 / rate_per_s.max(MIN_RATE_PER_S));
        let past = Time::from_ms(0.0);
        Admission {
            interval,
            burst: interval * burst.max(1.0),
            next_due: past,
            reserved_until: past,
            max_retry_after: Span::from_ms(MAX_RETRY_AFTER_MS),
        }
    }

    /// Admits a subscriber.
    ///
    /// # Errors
    ///
    /// The subscriber is not admitted now; holds the time after which it may come back.
    pub fn admit(&mut self, now: Time) -> Result<(), Span> {
        let due = self.next_due.max(now);
        if due.since(now) < self.burst {
            self.next_due = due + self.interval;
            return Ok(());
        }
        // Reservations begin when the burst has been worked off, each an interval after the one before.
        let earliest = now + self.burst;
        let reserved = self.reserved_until.max(earliest) + self.interval;
        self.reserved_until = reserved.min(now + self.max_retry_after);
        Err(self.reserved_until.since(now))
    }
}
