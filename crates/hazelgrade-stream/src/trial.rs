//! Whether a version on trial does well: by guards that trip, and by service compared with the span before.

use hazelgrade::time::{Span, Time};
use hazelgrade_config::operator;
use std::collections::VecDeque;

/// Samples in a span: a trial that goes badly is seen after a few of them.
pub const SAMPLES: f64 = 20.0;
/// A fall counts once it is past this many standard errors of what chance does between two such counts: looked at twenty
/// times a trial, three would take back one version in some hundreds that does as well as the one before.
const ERRORS: f64 = 4.0;
/// Samples in a row without an executor that fail a trial: links break and come back within one or two.
const UNLINKED: u32 = 4;

/// What happened since the sample before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Jobs that were answered, those included that asked for what the version doesn't know.
    pub answered: f64,
    /// Of them, succeeded.
    pub succeeded: f64,
    /// The executor's link stands.
    pub linked: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Sums {
    answered: f64,
    succeeded: f64,
}

impl Sums {
    fn add(&mut self, sample: &Sample) {
        self.answered += sample.answered;
        self.succeeded += sample.succeeded;
    }

    fn part(self) -> f64 {
        self.succeeded / self.answered.max(1.0)
    }
}

/// Service of late: what a version on trial is compared with.
#[derive(Clone, Debug)]
pub struct Service {
    span: Span,
    samples: VecDeque<(Time, Sample)>,
}

impl Service {
    pub fn new(span: Span) -> Service {
        Service { span, samples: VecDeque::new() }
    }

    pub fn served(&mut self, now: Time, sample: Sample) {
        self.samples.push_back((now, sample));
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > self.span)
            || self.samples.len() > 4 * SAMPLES as usize
        {
            self.samples.pop_front();
        }
    }

    fn sums(&self) -> Sums {
        let mut sums = Sums::default();
        self.samples.iter().for_each(|(_, sample)| sums.add(sample));
        sums
    }

    fn linked(&self) -> bool {
        self.samples.back().is_some_and(|(_, sample)| sample.linked)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Undecided,
    Good,
    Bad(String),
}

#[derive(Clone, Debug)]
pub struct Trial {
    rules: operator::Trial,
    began: Time,
    before: Sums,
    linked_before: bool,
    now: Sums,
    unlinked: u32,
}

impl Trial {
    pub fn begin(rules: operator::Trial, now: Time, service: &Service) -> Trial {
        Trial {
            rules,
            began: now,
            before: service.sums(),
            linked_before: service.linked(),
            now: Sums::default(),
            unlinked: 0,
        }
    }

    pub fn ends_at(&self) -> Time {
        self.began + self.rules.span
    }

    /// The part of jobs that were succeeded in the span before and on trial, where enough were answered.
    fn parts(&self) -> Option<(f64, f64)> {
        let enough = |sums: Sums| sums.answered >= self.rules.min_jobs;
        (enough(self.before) && enough(self.now)).then(|| (self.before.part(), self.now.part()))
    }

    pub fn served(&mut self, now: Time, sample: &Sample) -> Verdict {
        self.now.add(sample);
        self.unlinked = if sample.linked { 0 } else { self.unlinked + 1 };
        if self.linked_before && self.unlinked >= UNLINKED {
            return Verdict::Bad("the link to the executor went and did not come back".into());
        }
        if let Some((before, after)) = self.parts() {
            let both =
                (self.before.succeeded + self.now.succeeded) / (self.before.answered + self.now.answered);
            let spread = both * (1.0 - both) * (1.0 / self.before.answered + 1.0 / self.now.answered);
            if after < before * (1.0 - self.rules.max_success_drop_ratio)
                && before - after > ERRORS * spread.max(0.0).sqrt()
            {
                let [before, after] = [before, after].map(|part| (part * 100.0).round());
                return Verdict::Bad(format!("{after} of 100 jobs were satisfied, {before} before"));
            }
        }
        if now >= self.ends_at() { Verdict::Good } else { Verdict::Undecided }
    }
}
