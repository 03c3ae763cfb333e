//! Whether a version on trial does well: the executor stays connected, and the ratio of jobs that succeed doesn't fall
//! compared with the time before the trial.

use hazelgrade::time::{Span, Time};
use hazelgrade_config::operator;
use std::collections::VecDeque;

/// Samples in the span of a trial: a failing version shows after a few of them.
pub const SAMPLES_PER_SPAN: f64 = 20.0;
/// The most samples that a baseline holds.
const MAX_BASELINE_SAMPLES: usize = 4 * SAMPLES_PER_SPAN as usize;
/// A fall counts once it exceeds this many standard errors of the difference. As a trial is judged at each of its
/// twenty samples, three would roll back one in some hundreds of the versions that do as well as the one before.
const SIGNIFICANT_STANDARD_ERRORS: f64 = 4.0;
/// A trial fails after this many samples in a row without a connection to the executor: broken connections come back
/// within one or two.
const MAX_DISCONNECTED_SAMPLES: u32 = 4;

/// How jobs fared since the sample before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Jobs that were answered, including those of a job class that the version doesn't know.
    pub answered: f64,
    /// Those of them that succeeded.
    pub succeeded: f64,
    /// Whether the executor is connected now.
    pub executor_connected: bool,
}

/// Sums over several samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Totals {
    answered: f64,
    succeeded: f64,
}

impl Totals {
    fn add(&mut self, sample: &Sample) {
        self.answered += sample.answered;
        self.succeeded += sample.succeeded;
    }

    fn success_ratio(self) -> f64 {
        self.succeeded / self.answered.max(1.0)
    }
}

/// How jobs fared recently, with no version on trial: what the next trial is compared with.
#[derive(Clone, Debug)]
pub struct Baseline {
    span: Span,
    samples: VecDeque<(Time, Sample)>,
}

impl Baseline {
    /// A baseline without samples; it holds those of the last `span`.
    pub fn new(span: Span) -> Baseline {
        Baseline { span, samples: VecDeque::new() }
    }

    /// Adds a sample, and drops those that are too old.
    pub fn record(&mut self, now: Time, sample: Sample) {
        self.samples.push_back((now, sample));
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > self.span)
            || self.samples.len() > MAX_BASELINE_SAMPLES
        {
            self.samples.pop_front();
        }
    }

    fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        self.samples.iter().for_each(|(_, sample)| totals.add(sample));
        totals
    }

    fn executor_connected(&self) -> bool {
        self.samples.back().is_some_and(|(_, sample)| sample.executor_connected)
    }
}

/// The result of a trial by the samples so far.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The trial goes on.
    Undecided,
    /// The version did well for the span of the trial.
    Passed,
    /// The version failed, for this reason.
    Failed(String),
}

/// A version's trial.
#[derive(Clone, Debug)]
pub struct Trial {
    rules: operator::Trial,
    started_at: Time,
    before: Totals,
    executor_connected_before: bool,
    during: Totals,
    disconnected_samples: u32,
}

impl Trial {
    /// Starts a trial against a baseline.
    pub fn start(rules: operator::Trial, now: Time, baseline: &Baseline) -> Trial {
        Trial {
            rules,
            started_at: now,
            before: baseline.totals(),
            executor_connected_before: baseline.executor_connected(),
            during: Totals::default(),
            disconnected_samples: 0,
        }
    }

    /// When the trial is passed, unless it fails before.
    pub fn ends_at(&self) -> Time {
        self.started_at + self.rules.span
    }

    /// Takes a sample into account.
    pub fn record(&mut self, now: Time, sample: &Sample) -> Verdict {
        self.during.add(sample);
        self.disconnected_samples = if sample.executor_connected { 0 } else { self.disconnected_samples + 1 };
        if self.executor_connected_before && self.disconnected_samples >= MAX_DISCONNECTED_SAMPLES {
            return Verdict::Failed("the link to the executor went and did not come back".into());
        }
        if let Some(failure) = self.fall_in_success() {
            return Verdict::Failed(failure);
        }
        if now >= self.ends_at() { Verdict::Passed } else { Verdict::Undecided }
    }

    /// How the ratio of jobs that succeed fell, if it fell by more than the rules allow and by more than chance
    /// explains.
    fn fall_in_success(&self) -> Option<String> {
        let before = self.before;
        let during = self.during;
        if before.answered < self.rules.min_jobs || during.answered < self.rules.min_jobs {
            return None;
        }
        let ratio_before = before.success_ratio();
        let ratio_during = during.success_ratio();
        let pooled_ratio = (before.succeeded + during.succeeded) / (before.answered + during.answered);
        let variance = pooled_ratio * (1.0 - pooled_ratio) * (1.0 / before.answered + 1.0 / during.answered);
        let standard_error = variance.max(0.0).sqrt();
        let falls_past_rules = ratio_during < ratio_before * (1.0 - self.rules.max_success_drop_ratio);
        let falls_past_chance = ratio_before - ratio_during > SIGNIFICANT_STANDARD_ERRORS * standard_error;
        (falls_past_rules && falls_past_chance).then(|| {
            let percent = |ratio: f64| (ratio * 100.0).round();
            format!("{} of 100 jobs were satisfied, {} before", percent(ratio_during), percent(ratio_before))
        })
    }
}
