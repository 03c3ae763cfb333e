//! Token bucket that admits single jobs or retries according to a node's share of a budget. The size and the refill
//! rate of the bucket follow the share.
//!
//! The shares of all nodes add up to the total, and units that move from node to node carry no tokens: tokens beyond
//! a bucket's new size are discarded, and a bucket that grew fills at its rate. Therefore all buckets together hold
//! no more tokens than a single bucket for the total would, and fill no faster.

use crate::Units;
use crate::terms::Measure;
use hazelgrade::time::{Span, Time};

/// Thousandths per token. Levels are counted in thousandths so that slow rates lose nothing to rounding.
const MILLI: u64 = 1000;

/// A node's tokens of one budget. One token admits one job or one retry.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    measure: Measure,
    /// Total of the budget over all nodes.
    total: Units,
    share: Units,
    /// Tokens in the bucket as of `refilled_at`, in thousandths.
    level_milli: u64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket without a share, so that a process that restarts gets no second burst.
    pub fn new(now: Time, measure: Measure, total: Units) -> TokenBucket {
        TokenBucket { measure, total, share: 0, level_milli: 0, refilled_at: now }
    }

    /// Returns the size of the bucket, in thousandths of a token.
    fn size_milli(&self) -> u64 {
        let share = u64::from(self.share);
        match self.measure {
            Measure::ConcurrentCalls => 0,
            // Rounded down, so that the sizes of all nodes' buckets never add up to more than the burst of the total.
            Measure::Rate { burst } => u64::from(burst) * MILLI * share / u64::from(self.total.max(1)),
            Measure::Retries { .. } => share * MILLI,
        }
    }

    /// Adds the tokens that a rate earned since the last refill.
    fn refill(&mut self, now: Time) {
        if let Measure::Rate { .. } = self.measure {
            // One unit is one job per second, which is one thousandth of a token per millisecond.
            let refill_milli = now.since(self.refilled_at).as_ms() * f64::from(self.share);
            // A remaining fraction of a thousandth is added by the next refill, because `refilled_at` advances only
            // by the time of whole thousandths.
            if refill_milli >= 1.0 {
                self.level_milli = self.level_milli.saturating_add(refill_milli as u64);
                let counted = Span::from_ms(refill_milli.floor() / f64::from(self.share.max(1)));
                self.refilled_at = if counted > Span::ZERO { self.refilled_at + counted } else { now };
            }
        }
        self.level_milli = self.level_milli.min(self.size_milli());
    }

    /// Changes the measure, the total and the share as of `now`.
    pub fn resize(&mut self, now: Time, measure: Measure, total: Units, share: Units) {
        self.refill(now);
        if self.share == 0 {
            self.refilled_at = now;
        }
        self.measure = measure;
        self.total = total;
        self.share = share;
        self.level_milli = self.level_milli.min(self.size_milli());
    }

    /// Adds the fraction of a retry that a first attempt earns. Has no effect on other measures than retries.
    pub fn deposit(&mut self) {
        if let Measure::Retries { per_mille } = self.measure {
            self.level_milli = (self.level_milli + u64::from(per_mille)).min(self.size_milli());
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The bucket holds less than one token. The error contains the time until there may be a token, or `None` if
    /// that time is unknown.
    pub fn try_take(&mut self, now: Time) -> Result<(), Option<Span>> {
        self.refill(now);
        if self.level_milli >= MILLI {
            self.level_milli -= MILLI;
            return Ok(());
        }
        let refills_over_time = matches!(self.measure, Measure::Rate { .. }) && self.size_milli() >= MILLI;
        let missing_milli = (MILLI - self.level_milli) as f64;
        Err(refills_over_time.then(|| Span::from_ms(missing_milli / f64::from(self.share.max(1)))))
    }

    /// Returns the token of a job that was not admitted after all.
    pub fn refund(&mut self) {
        self.level_milli = (self.level_milli + MILLI).min(self.size_milli());
    }
}
