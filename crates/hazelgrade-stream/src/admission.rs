//! The rate limit, with a burst, for new subscribers of a control service. Each subscriber that is not admitted gets a
//! retry-after of its own, so that the subscribers don't all connect again at the same time.

use hazelgrade::time::{Span, Time};

/// The longest retry-after, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;
/// The lowest rate, in subscribers per second.
const MIN_RATE_PER_S: f64 = 0.1;

/// A rate limit that reserves a later time for each subscriber that is not admitted.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The time between two subscribers at the configured rate.
    interval: Span,
    /// The time by which subscribers may be admitted ahead of the configured rate.
    burst: Span,
    /// The time at which the next subscriber is due at an even rate.
    next_due: Time,
    /// The latest time that is reserved for a subscriber to connect again.
    reserved_until: Time,
    /// The longest retry-after. Subscribers whose reservation would be later share the last reserved time.
    max_retry_after: Span,
}

impl Admission {
    /// Creates a limit that admits `rate_per_s` subscribers per second in the long run (at least 0.1), and `burst` at
    /// once after an idle time (at least 1).
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

    /// Admits a subscriber if the rate and the burst allow it.
    ///
    /// # Errors
    ///
    /// If the subscriber is not admitted now: the delay after which it may connect again.
    pub fn admit(&mut self, now: Time) -> Result<(), Span> {
        let due = self.next_due.max(now);
        if due.since(now) < self.burst {
            self.next_due = due + self.interval;
            return Ok(());
        }
        // Reservations begin once the admitted burst has been worked off, with an interval between them.
        let earliest = now + self.burst;
        let reserved = self.reserved_until.max(earliest) + self.interval;
        self.reserved_until = reserved.min(now + self.max_retry_after);
        Err(self.reserved_until.since(now))
    }
}
