//! The decision whether a version passes its trial: the executor must stay connected, and the ratio of jobs that
//! succeed must not fall compared with the time before the trial.

use hazelgrade::time::{Span, Time};
use hazelgrade_config::operator;
use std::collections::VecDeque;

/// The number of samples in the span of a trial. A failing version is detected after a few of them.
pub const SAMPLES_PER_SPAN: f64 = 20.0;
/// The maximum number of samples that a baseline holds.
const MAX_BASELINE_SAMPLES: usize = 4 * SAMPLES_PER_SPAN as usize;
/// The number of standard errors of the difference that a drop in the success ratio must exceed to fail the trial. A
/// trial is judged at each of its twenty samples: with three standard errors, one in some hundreds of the versions that
/// do as well as their predecessor would be rolled back.
const SIGNIFICANT_STANDARD_ERRORS: f64 = 4.0;
/// The number of samples in a row without a connection to the executor after which a trial fails. A broken connection
/// is re-established within one or two samples.
const MAX_DISCONNECTED_SAMPLES: u32 = 4;

/// The outcomes of jobs since the previous sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Jobs that were answered, including jobs of a job class that the version doesn't define.
    pub answered: f64,
    /// Answered jobs that succeeded.
    pub succeeded: f64,
    /// Whether the executor is connected now.
    pub executor_connected: bool,
}

/// The sums over several samples.
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

/// The recent samples taken while no version was on trial, which the next trial is compared with.
#[derive(Clone, Debug)]
pub struct Baseline {
    span: Span,
    samples: VecDeque<(Time, Sample)>,
}

impl Baseline {
    /// Creates a baseline that holds the samples of the last `span`; empty at first.
    pub fn new(span: Span) -> Baseline {
        Baseline { span, samples: VecDeque::new() }
    }

    /// Adds a sample, and drops samples that are older than the span or exceed the maximum number.
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

/// The result of a trial according to the samples so far.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The trial continues.
    Undecided,
    /// The version did not fail within the span of the trial.
    Passed,
    /// The version failed, for this reason.
    Failed(String),
}

/// The trial of a version.
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

    /// The time at which the trial is passed unless it fails before.
    pub fn ends_at(&self) -> Time {
        self.started_at + self.rules.span
    }

    /// Adds a sample and returns the result of the trial so far.
    pub fn record(&mut self, now: Time, sample: &Sample) -> Verdict {
        self.during.add(sample);
        self.disconnected_samples = if sample.executor_connected { 0 } else { self.disconnected_samples + 1 };
        if self.executor_connected_before && self.disconnected_samples >= MAX_DISCONNECTED_SAMPLES {
            return Verdict::Failed("the link to the executor went and did not come back".into());
        }
        if let Some(failure) = self.success_ratio_drop() {
            return Verdict::Failed(failure);
        }
        if now >= self.ends_at() { Verdict::Passed } else { Verdict::Undecided }
    }

    /// Describes the drop in the ratio of jobs that succeed, if the drop is greater than the rules allow and greater
    /// than chance explains. Returns `None` while either side has fewer jobs than the rules require.
    fn success_ratio_drop(&self) -> Option<String> {
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
        let exceeds_rules = ratio_during < ratio_before * (1.0 - self.rules.max_success_drop_ratio);
        let exceeds_chance = ratio_before - ratio_during > SIGNIFICANT_STANDARD_ERRORS * standard_error;
        (exceeds_rules && exceeds_chance).then(|| {
            let percent = |ratio: f64| (ratio * 100.0).round();
            format!("{} of 100 jobs were satisfied, {} before", percent(ratio_during), percent(ratio_before))
        })
    }
}
