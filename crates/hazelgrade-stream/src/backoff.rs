//! How long to wait before connecting again: full jitter, so that a thousand nodes that lost one control service don't
//! come back to it together.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Span;

/// The longest wait after a first failure: some round trips.
const FIRST_MS: f64 = 200.0;
/// And after many: a fleet of thousands then tries some hundred times a second, which an address that refuses does not
/// mind, and is back within this when the control service is. What comes at once is the control service's to spread.
const MOST_MS: f64 = 5_000.0;
/// What is added by chance to a wait that the control service named, as a part of it: it has spread them already.
const SPREAD: f64 = 0.1;

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
    /// Without chance, as a baseline to measure against.
    pub fn plain() -> Backoff {
        Backoff { failures: 0, jitter: false }
    }

    /// A connection did its work: the next failure counts as a first one.
    pub fn worked(&mut self) {
        self.failures = 0;
    }

    /// The wait before the next attempt; at least what the control service asked for, if it did.
    pub fn next(&mut self, chance: &mut MultiplyWithCarry, asked: Option<Span>) -> Span {
        let most = (FIRST_MS * 2f64.powi(self.failures.min(16) as i32)).min(MOST_MS);
        self.failures = self.failures.saturating_add(1);
        let draw = if self.jitter { chance.next_f64() } else { 1.0 };
        match asked {
            Some(asked) => asked + asked * (SPREAD * draw),
            None => Span::from_ms(most * draw),
        }
    }
}
