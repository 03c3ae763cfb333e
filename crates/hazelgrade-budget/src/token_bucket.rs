//! A node's share of a rate, or of retries, as single jobs: a token bucket whose size and refill rate follow the
//! share.
//!
//! The shares of all nodes add up to the total, and units move from node to node without tokens: tokens beyond a
//! bucket's new size are gone, and a bucket that grew fills at its rate. So all buckets together hold no more
//! tokens than one bucket for the total would, and fill no faster.

use crate::Units;
use crate::terms::Measure;
use hazelgrade::time::{Span, Time};

/// Thousandths of a token, in which levels are counted so that slow rates lose nothing to rounding.
const MILLI: u64 = 1000;

/// A node's tokens of one budget. One token lets one job pass.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    measure: Measure,
    /// The budget's total, of which the share is a part.
    total: Units,
    share: Units,
    /// Tokens in the bucket, in thousandths.
    level_milli: u64,
    /// The time that the level is as of.
    filled_at: Time,
}

impl TokenBucket {
    /// A bucket that is empty and has no share, so that a process that restarts gets no second burst.
    pub fn new(now: Time, measure: Measure, total: Units) -> TokenBucket {
        TokenBucket { measure, total, share: 0, level_milli: 0, filled_at: now }
    }

    /// The most that it holds, in thousandths of a token.
    fn size_milli(&self) -> u64 {
        let share = u64::from(self.share);
        match self.measure {
            Measure::ConcurrentCalls => 0,
            // Rounded down: the sizes of all nodes never add up to more than the total's.
            Measure::Rate { burst } => u64::from(burst) * MILLI * share / u64::from(self.total.max(1)),
            Measure::Retries { .. } => share * MILLI,
        }
    }

    /// Adds the tokens of a rate since the last refill.
    fn refill(&mut self, now: Time) {
        if let Measure::Rate { .. } = self.measure {
            // One unit is a job per second: one thousandth of a token per millisecond.
            let refill_milli = now.since(self.filled_at).as_ms() * f64::from(self.share);
            // A fraction of a thousandth counts at the next refill.
            if refill_milli >= 1.0 {
                self.level_milli = self.level_milli.saturating_add(refill_milli as u64);
                let counted = Span::from_ms(refill_milli.floor() / f64::from(self.share.max(1)));
                self.filled_at = if counted > Span::ZERO { self.filled_at + counted } else { now };
            }
        }
        self.level_milli = self.level_milli.min(self.size_milli());
    }

    /// Sets measure, total and share from now on.
    pub fn resize(&mut self, now: Time, measure: Measure, total: Units, share: Units) {
        self.refill(now);
        if self.share == 0 {
            self.filled_at = now;
        }
        self.measure = measure;
        self.total = total;
        self.share = share;
        self.level_milli = self.level_milli.min(self.size_milli());
    }

    /// Adds what a first attempt earns for retries; nothing where a rate is measured.
    pub fn deposit(&mut self) {
        if let Measure::Retries { per_mille } = self.measure {
            self.level_milli = (self.level_milli + u64::from(per_mille)).min(self.size_milli());
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// There is none. Holds the time until there may be one, or `None` if that is unknown.
    pub fn try_take(&mut self, now: Time) -> Result<(), Option<Span>> {
        self.refill(now);
        if self.level_milli >= MILLI {
            self.level_milli -= MILLI;
            return Ok(());
        }
        let fills_by_itself = matches!(self.measure, Measure::Rate { .. }) && self.size_milli() >= MILLI;
        let missing_milli = (MILLI - self.level_milli) as f64;
        Err(fills_by_itself.then(|| Span::from_ms(missing_milli / f64::from(self.share.max(1)))))
    }

    /// Puts a token back whose job was not admitted after all.
    pub fn refund(&mut self) {
        self.level_milli = (self.level_milli + MILLI).min(self.size_milli());
    }
}
