//! A sum whose old parts fade, brought up to date when it is read.

use crate::time::{Span, Time};

#[derive(Clone, Debug)]
pub struct DecaySum {
    sum: f64,
    at: Option<Time>,
    fade: Span,
}

impl DecaySum {
    /// A sum of which a part that is `fade` old still counts by 1/e.
    pub fn new(fade: Span) -> DecaySum {
        DecaySum { sum: 0.0, at: None, fade }
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
}
