//! A sum whose old parts fade, brought up to date when it is read.

use crate::time::{Span, Time};

#[derive(Clone, Debug)]
pub struct DecayingSum {
    sum: f64,
    at: Option<Time>,
    fade: Span,
}

impl DecayingSum {
    /// A sum of which a part that is `fade` old still counts by 1/e.
    pub fn new(fade: Span) -> DecayingSum {
        DecayingSum { sum: 0.0, at: None, fade }
    }

    pub fn read(&mut self, now: Time) -> f64 {
        if let Some(at) = self.at.filter(|at| *at < now) {
            self.sum *= (-(now.since(at) / self.fade)).exp();
        }
        self.at = self.at.max(Some(now));
        self.sum
    }

    pub fn add(&mut self, now: Time, amount: f64) {
        self.sum = self.read(now) + amount;
    }

    /// Fades over another span from now on. A steady rate sums up to rate times fade, so the sum is brought to that.
    pub fn set_time_constant(&mut self, now: Time, fade: Span) {
        let sum = self.read(now);
        if fade != self.fade {
            self.sum = sum * (fade / self.fade);
            self.fade = fade;
        }
    }
}

/// Mean of a figure, over what was seen lately.
#[derive(Clone, Debug)]
pub struct Mean {
    total: DecayingSum,
    count: DecayingSum,
}

impl Mean {
    pub fn new(fade: Span) -> Mean {
        Mean { total: DecayingSum::new(fade), count: DecayingSum::new(fade) }
    }

    pub fn learn(&mut self, now: Time, figure: f64) {
        self.total.add(now, figure);
        self.count.add(now, 1.0);
    }

    /// Fades over another span from now on; the mean stays.
    pub fn set_time_constant(&mut self, now: Time, fade: Span) {
        self.total.set_time_constant(now, fade);
        self.count.set_time_constant(now, fade);
    }

    /// Nothing before the first sample; after idleness the last mean still stands.
    pub fn mean(&mut self, now: Time) -> Option<f64> {
        let (total, count) = (self.total.read(now), self.count.read(now));
        (count > f64::MIN_POSITIVE).then(|| total / count)
    }
}

/// Mean of a length of time, over what ended lately.
#[derive(Clone, Debug)]
pub struct MeanDuration(Mean);

impl MeanDuration {
    pub fn new(fade: Span) -> MeanDuration {
        MeanDuration(Mean::new(fade))
    }

    pub fn learn(&mut self, now: Time, span: Span) {
        self.0.learn(now, span.as_ms());
    }

    pub fn set_time_constant(&mut self, now: Time, fade: Span) {
        self.0.set_time_constant(now, fade);
    }

    /// How many samples still count.
    pub fn count(&mut self, now: Time) -> f64 {
        self.0.count.read(now)
    }

    pub fn mean(&mut self, now: Time) -> Option<Span> {
        self.0.mean(now).map(Span::from_ms)
    }

    /// The mean, or nothing before the first sample.
    pub fn usual(&mut self, now: Time) -> Span {
        self.mean(now).unwrap_or(Span::ZERO)
    }
}
