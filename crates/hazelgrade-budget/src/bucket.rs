//! A part of a rate, or of retries, as single jobs: a bucket whose size and inflow change as its part does.
//!
//! The parts of all nodes add up to the whole, and what moves from one to another moves empty: what a bucket holds beyond its
//! new size is gone, and what another gains fills at its rate. So all buckets together hold no more than one of the whole's
//! size would, and are filled no faster.

use crate::Units;
use crate::terms::Measure;
use hazelgrade::time::{Span, Time};

#[derive(Clone, Debug)]
pub struct Bucket {
    measure: Measure,
    /// What the part is a part of.
    whole: Units,
    part: Units,
    /// In thousandths of a job, so that slow rates lose nothing to rounding.
    level: u64,
    filled: Time,
}

const MILLI: u64 = 1000;

impl Bucket {
    /// Empty: a process that was started anew brings no second burst.
    pub fn new(now: Time, measure: Measure, whole: Units) -> Bucket {
        Bucket { measure, whole, part: 0, level: 0, filled: now }
    }

    /// What it holds at most, in thousandths.
    fn size(&self) -> u64 {
        let part = u64::from(self.part);
        match self.measure {
            Measure::InHand => 0,
            // Rounded down: the parts never add up to more than the whole.
            Measure::Rate { burst } => u64::from(burst) * MILLI * part / u64::from(self.whole.max(1)),
            Measure::Tries { .. } => part * MILLI,
        }
    }

    fn fill(&mut self, now: Time) {
        if let Measure::Rate { .. } = self.measure {
            let came = now.since(self.filled).as_ms() * f64::from(self.part);
            // The rest of a thousandth counts the next time.
            if came >= 1.0 {
                self.level = self.level.saturating_add(came as u64);
                let whole = Span::from_ms(came.floor() / f64::from(self.part.max(1)));
                self.filled = if whole > Span::ZERO { self.filled + whole } else { now };
            }
        }
        self.level = self.level.min(self.size());
    }

    /// From now on this part, of this whole.
    pub fn revise(&mut self, now: Time, measure: Measure, whole: Units, part: Units) {
        self.fill(now);
        if self.part == 0 {
            self.filled = now;
        }
        (self.measure, self.whole, self.part) = (measure, whole, part);
        self.level = self.level.min(self.size());
    }

    /// A first try came: it earns a part of a further one.
    pub fn earn(&mut self) {
        if let Measure::Tries { per_mille } = self.measure {
            self.level = (self.level + u64::from(per_mille)).min(self.size());
        }
    }

    /// Takes one job out, or says when there may be one; nothing if that can't be told.
    pub fn take(&mut self, now: Time) -> Result<(), Option<Span>> {
        self.fill(now);
        if self.level >= MILLI {
            self.level -= MILLI;
            return Ok(());
        }
        let rate = matches!(self.measure, Measure::Rate { .. }) && self.size() >= MILLI;
        Err(rate.then(|| Span::from_ms((MILLI - self.level) as f64 / f64::from(self.part.max(1)))))
    }

    /// One that was taken for a job that was not let in after all.
    pub fn put_back(&mut self) {
        self.level = (self.level + MILLI).min(self.size());
    }
}
