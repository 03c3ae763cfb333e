//! Sums and means whose samples decay exponentially with age. The decay is applied whenever they are read, so a read
//! changes their state.

use crate::time::{Span, Time};

/// A sum whose parts decay exponentially with their age.
#[derive(Clone, Debug)]
pub struct DecayingSum {
    sum: f64,
    updated_at: Option<Time>,
    time_constant: Span,
}

impl DecayingSum {
    /// A sum of which a part that is `time_constant` old still counts by 1/e.
    pub fn new(time_constant: Span) -> DecayingSum {
        DecayingSum { sum: 0.0, updated_at: None, time_constant }
    }

    /// The sum as of `now`.
    pub fn value(&mut self, now: Time) -> f64 {
        if let Some(updated_at) = self.updated_at.filter(|updated_at| *updated_at < now) {
            self.sum *= (-(now.since(updated_at) / self.time_constant)).exp();
        }
        self.updated_at = self.updated_at.max(Some(now));
        self.sum
    }

    /// Adds `amount` at `now`.
    pub fn add(&mut self, now: Time, amount: f64) {
        self.sum = self.value(now) + amount;
    }

    /// Decays by another time constant from now on. A steady rate adds up to rate times time constant, so the sum is
    /// scaled to the new one.
    pub fn set_time_constant(&mut self, now: Time, time_constant: Span) {
        let sum = self.value(now);
        if time_constant != self.time_constant {
            self.sum = sum * (time_constant / self.time_constant);
            self.time_constant = time_constant;
        }
    }
}

/// The mean of a figure, in which old samples count for less.
#[derive(Clone, Debug)]
pub struct DecayingMean {
    total: DecayingSum,
    count: DecayingSum,
}

impl DecayingMean {
    /// A mean without samples; a sample that is `time_constant` old counts by 1/e.
    pub fn new(time_constant: Span) -> DecayingMean {
        DecayingMean { total: DecayingSum::new(time_constant), count: DecayingSum::new(time_constant) }
    }

    /// Adds a sample.
    pub fn record(&mut self, now: Time, sample: f64) {
        self.total.add(now, sample);
        self.count.add(now, 1.0);
    }

    /// Decays by another time constant from now on; the mean stays.
    pub fn set_time_constant(&mut self, now: Time, time_constant: Span) {
        self.total.set_time_constant(now, time_constant);
        self.count.set_time_constant(now, time_constant);
    }

    /// The mean, or `None` before the first sample; while no samples come it stays as it was.
    pub fn mean(&mut self, now: Time) -> Option<f64> {
        let total = self.total.value(now);
        let count = self.count.value(now);
        (count > f64::MIN_POSITIVE).then(|| total / count)
    }
}

/// The mean of durations, in which old samples count for less.
#[derive(Clone, Debug)]
pub struct MeanDuration(DecayingMean);

impl MeanDuration {
    /// A mean without samples; a sample that is `time_constant` old counts by 1/e.
    pub fn new(time_constant: Span) -> MeanDuration {
        MeanDuration(DecayingMean::new(time_constant))
    }

    /// Adds a sample.
    pub fn record(&mut self, now: Time, duration: Span) {
        self.0.record(now, duration.as_ms());
    }

    /// Decays by another time constant from now on; the mean stays.
    pub fn set_time_constant(&mut self, now: Time, time_constant: Span) {
        self.0.set_time_constant(now, time_constant);
    }

    /// How many samples still count.
    pub fn sample_count(&mut self, now: Time) -> f64 {
        self.0.count.value(now)
    }

    /// The mean, or `None` before the first sample.
    pub fn mean(&mut self, now: Time) -> Option<Span> {
        self.0.mean(now).map(Span::from_ms)
    }

    /// The mean, or zero before the first sample.
    pub fn mean_or_zero(&mut self, now: Time) -> Span {
        self.mean(now).unwrap_or(Span::ZERO)
    }
}
