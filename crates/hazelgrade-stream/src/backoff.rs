//! The delay before a node connects again: exponential backoff with full jitter, so that a thousand nodes that lost the
//! same control service don't all connect to it again at the same time.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Span;

/// The longest delay after a first failure, in milliseconds: a few round trips.
const FIRST_DELAY_MS: f64 = 200.0;
/// The longest delay after many failures, in milliseconds. A fleet of thousands of nodes then makes some
/// hundred attempts per second, which a host that refuses connections can handle, and all nodes have connected again
/// within this time after the control service is available.
const MAX_DELAY_MS: f64 = 5_000.0;
/// The maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 16;
/// The maximum jitter that is added to a retry-after of the control service, as a ratio of the retry-after. A small
/// ratio suffices, as the control service spreads its retry-afters already.
const RETRY_AFTER_JITTER_RATIO: f64 = 0.1;

/// The delays between attempts to connect.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    jitter: bool,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { failures: 0, jitter: true }
    }
}

impl Backoff {
    /// Creates a backoff that always returns the longest delay, as a baseline for measurements.
    pub fn without_jitter() -> Backoff {
        Backoff { failures: 0, jitter: false }
    }

    /// Resets the delay after a connection that worked: the next failure counts as the first one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay before the next attempt to connect; at least `retry_after`, if the control service requested
    /// one. Draws one random number if there is jitter.
    pub fn next_delay(&mut self, random: &mut MultiplyWithCarry, retry_after: Option<Span>) -> Span {
        let doublings = self.failures.min(MAX_DOUBLINGS) as i32;
        let longest_ms = (FIRST_DELAY_MS * 2f64.powi(doublings)).min(MAX_DELAY_MS);
        self.failures = self.failures.saturating_add(1);
        let draw = if self.jitter { random.next_f64() } else { 1.0 };
        match retry_after {
            Some(retry_after) => retry_after + retry_after * (RETRY_AFTER_JITTER_RATIO * draw),
            None => Span::from_ms(longest_ms * draw),
        }
    }
}
