//! How long to wait before connecting again: exponential backoff with full jitter, so that a thousand nodes that
//! lost one control service don't come back to it together.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Span;

/// The longest delay after a first failure, in milliseconds: some round trips.
const FIRST_DELAY_MS: f64 = 200.0;
/// The longest delay after many failures, in milliseconds. A fleet of thousands then tries some hundred times per
/// second, which a host that refuses connections can handle, and is back within this time after the control service.
const MAX_DELAY_MS: f64 = 5_000.0;
/// Failures past which the delay is doubled no further.
const MAX_DOUBLINGS: u32 = 16;
/// Ratio of a delay stated by the control service that is added to it at random, at most: such delays are spread
/// already.
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
    /// A backoff that always takes the longest delay: a baseline for measurements.
    pub fn without_jitter() -> Backoff {
        Backoff { failures: 0, jitter: false }
    }

    /// A connection worked: the next failure counts as a first one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The delay before the next attempt; at least `retry_after`, if the control service stated one. Draws one
    /// random number if there is jitter.
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
