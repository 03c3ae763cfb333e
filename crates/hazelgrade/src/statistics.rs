//! Sums and means whose samples decay exponentially with age. Reading a sum or mean applies the decay and therefore
//! changes its state.

use crate::time::{Span, Time};

/// A sum whose samples decay exponentially with age.
#[derive(Clone, Debug)]
pub struct DecayingSum {
    sum: f64,
    updated_at: Option<Time>,
    time_constant: Span,
}

impl DecayingSum {
    /// Creates an empty sum in which a sample of age `time_constant` has the weight 1/e.
    pub fn new(time_constant: Span) -> DecayingSum {
        DecayingSum { sum: 0.0, updated_at: None, time_constant }
    }

    /// Returns the sum at `now`.
    pub fn value(&mut self, now: Time) -> f64 {
        if let Some(updated_at) = self.updated_at.filter(|updated_at| *updated_at < now) {
            self.sum *= (-(now.since(updated_at) / self.time_constant)).exp();
        }
        self.updated_at = self.updated_at.max(Some(now));
        self.sum
    }

    /// Adds a sample at `now`.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.sum = self.value(now) + amount;
    }

    /// Changes the time constant. At a steady rate, the sum converges to the rate times the time constant, so the sum
    /// is scaled to the new time constant.
    pub fn set_time_constant(&mut self, now: Time, time_constant: Span) {
        let sum = self.value(now);
        if time_constant != self.time_constant {
            self.sum = sum * (time_constant / self.time_constant);
            self.time_constant = time_constant;
        }
    }
}

/// An exponentially weighted mean, in which older samples have less weight.
#[derive(Clone, Debug)]
pub struct DecayingMean {
    total: DecayingSum,
    count: DecayingSum,
}

impl DecayingMean {
    /// Creates a mean without samples, in which a sample of age `time_constant` has the weight 1/e.
    pub fn new(time_constant: Span) -> DecayingMean {
        DecayingMean { total: DecayingSum::new(time_constant), count: DecayingSum::new(time_constant) }
    }

    /// Adds a sample.
    pub fn record(&mut self, now: Time, sample: f64) {
        self.total.add(now, sample);
        self.count.add(now, 1.0);
    }

    /// Changes the time constant; the mean does not change.
    pub fn set_time_constant(&mut self, now: Time, time_constant: Span) {
        self.total.set_time_constant(now, time_constant);
        self.count.set_time_constant(now, time_constant);
    }

    /// Returns the mean, or `None` before the first sample. The mean does not change while no samples are added.
    pub fn mean(&mut self, now: Time) -> Option<f64> {
        let total = self.total.value(now);
        let count = self.count.value(now);
        (count > f64::MIN_POSITIVE).then(|| total / count)
    }
}

/// An exponentially weighted mean of durations, in which older samples have less weight.
#[derive(Clone, Debug)]
pub struct MeanDuration(DecayingMean);

impl MeanDuration {
    /// Creates a mean without samples, in which a sample of age `time_constant` has the weight 1/e.
    pub fn new(time_constant: Span) -> MeanDuration {
        MeanDuration(DecayingMean::new(time_constant))
    }

    /// Adds a sample.
    pub fn record(&mut self, now: Time, duration: Span) {
        self.0.record(now, duration.as_ms());
    }

    /// Changes the time constant; the mean does not change.
    pub fn set_time_constant(&mut self, now: Time, time_constant: Span) {
        self.0.set_time_constant(now, time_constant);
    }

    /// Returns the decayed number of samples.
    pub fn sample_count(&mut self, now: Time) -> f64 {
        self.0.count.value(now)
    }

    /// Returns the mean, or `None` before the first sample.
    pub fn mean(&mut self, now: Time) -> Option<Span> {
        self.0.mean(now).map(Span::from_ms)
    }

    /// Returns the mean, or zero before the first sample.
    pub fn mean_or_zero(&mut self, now: Time) -> Span {
        self.mean(now).unwrap_or(Span::ZERO)
    }
}
