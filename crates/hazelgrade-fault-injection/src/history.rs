//! One account of what happened to a group of processes, and the checkers that judge by it. Where the instant of an event
//! isn't certain it is a span. Nothing here asks a process: it goes by what callers, executors and the control service
//! saw, so that a group that is wrong about itself is found out.

use hazelgrade::time::{Span, Time};
use hazelgrade_fakes::callers::JobOutcome;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};

/// How far off a span's ends may be on a crowded machine.
const UNSURE_MS: f64 = 500.0;
/// A lost job on its way to a process that is about to end may have been sent so long before the end was seen.
const CROSSING_MS: f64 = 1000.0;

/// So long before it was seen to be good a version may have been on trial.
const TRIAL_MS: f64 = 3000.0;

/// What was done to a node that excuses something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Killed: what it had in hand is lost.
    Killed,
    /// Not running after an orderly end: what reaches it then is refused, and never ran.
    Gone,
    /// Stopped: late is no fault of its own.
    Stopped,
    /// Its callers' connections are reset, or refused.
    CallersReset,
    /// Its callers are cut off from it or held up: lost connections and lateness are the edge's doing.
    CallersHeld,
    /// What it stands on is cut off or slow: it excuses nothing but that a version can't be judged by its service.
    Hampered,
}

#[derive(Clone, Debug)]
pub struct FaultInterval {
    pub node: usize,
    pub fault_kind: FaultKind,
    pub from: Time,
    /// None while it lasts.
    pub to: Option<Time>,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub node: usize,
    pub id: String,
    pub sent: Time,
    pub latency: Span,
    pub outcome: JobOutcome,
}

/// What a node was seen to serve by, by the control service that it follows.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeObservation {
    pub node: usize,
    pub at: Time,
    /// When it was looked at before: it has been so since some moment in between.
    pub since: Time,
    /// Grows when the node is started with another disk than its own.
    pub disk: u32,
    pub number: u64,
    pub digest: String,
    pub standing: String,
}

#[derive(Clone, Debug, Default)]
pub struct History {
    pub deadline: Span,
    pub grace: Span,
    pub fault_intervals: Vec<FaultInterval>,
    pub jobs: Vec<Job>,
    /// How often each job was started, by node.
    pub runs: Vec<BTreeMap<String, u32>>,
    /// Answers for no open call.
    pub unmatched_answers: u64,
    pub observations: Vec<NodeObservation>,
    /// When each node was last looked at.
    pub last_observed: BTreeMap<usize, Time>,
    /// What was published: digests of documents that do harm.
    pub harmful: Vec<String>,
    /// The control service was given an old counter or none, or there are two: numbers may come again with other documents.
    pub version_numbers_reused: bool,
    /// What came together at the dependency was more than the whole: how often, and by how much at worst.
    pub budget_overloads: Option<(usize, usize)>,
    /// Processes that ended otherwise than they should.
    pub unexpected_exits: Vec<(usize, String)>,
    /// What did not come in time, once all faults were over.
    pub unmet_expectations: Vec<String>,
}

/// A rule that was broken, and by what.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: &'static str,
    pub what: String,
}

impl Display for Violation {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        write!(to, "{}: {}", self.rule, self.what)
    }
}

impl History {
    pub fn fault_begins(&mut self, node: usize, fault_kind: FaultKind, from: Time) {
        if !self.fault_lasts(node, fault_kind) {
            self.fault_intervals.push(FaultInterval { node, fault_kind, from, to: None });
        }
    }

    pub fn fault_ends(&mut self, node: usize, fault_kind: FaultKind, to: Time) {
        let open = |interval: &&mut FaultInterval| {
            interval.node == node && interval.fault_kind == fault_kind && interval.to.is_none()
        };
        self.fault_intervals.iter_mut().filter(open).for_each(|interval| interval.to = Some(to));
    }

    pub fn fault_lasts(&self, node: usize, fault_kind: FaultKind) -> bool {
        self.fault_intervals.iter().any(|interval| {
            interval.node == node && interval.fault_kind == fault_kind && interval.to.is_none()
        })
    }

    /// What was seen of a node: noted only when it differs from before.
    pub fn record_observation(&mut self, mut seen: NodeObservation) {
        seen.since = self.last_observed.insert(seen.node, seen.at).unwrap_or(seen.at);
        let before = self.observations.iter().rev().find(|before| before.node == seen.node);
        if before.is_none_or(|before| {
            NodeObservation { at: before.at, since: before.since, ..seen.clone() } != *before
        }) {
            self.observations.push(seen);
        }
    }

    /// Whether one of these troubles of the node touches the time from the job's sending to its end.
    fn excused(&self, job: &Job, by: &[FaultKind]) -> bool {
        let (unsure, crossing) = (Span::from_ms(UNSURE_MS), Span::from_ms(CROSSING_MS));
        let (from, to) = (job.sent - unsure, job.sent + job.latency + unsure);
        self.fault_intervals
            .iter()
            .filter(|interval| interval.node == job.node && by.contains(&interval.fault_kind))
            .any(|interval| {
                let early = if interval.fault_kind == FaultKind::Gone { crossing } else { Span::ZERO };
                interval.from - early <= to && interval.to.is_none_or(|end| end >= from)
            })
    }

    fn ran(&self, job: &Job) -> bool {
        self.runs.get(job.node).is_some_and(|runs| runs.contains_key(&job.id))
    }

    /// Every rule that was broken.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut say = |rule, what: String| violations.push(Violation { rule, what });
        use FaultKind::*;
        for job in &self.jobs {
            let shown = || {
                format!(
                    "job {} of node {}, {:?} after {} ms",
                    job.id,
                    job.node,
                    job.outcome,
                    job.latency.as_ms()
                )
            };
            match job.outcome {
                JobOutcome::Lost => {
                    let by_force = self.excused(job, &[Killed, CallersReset, CallersHeld]);
                    let refused = !self.ran(job) && self.excused(job, &[Gone]);
                    if !by_force && !refused {
                        say("no job lost", shown());
                    }
                }
                // It never reached the node, or the node had left: it is sent again elsewhere.
                JobOutcome::Crossed => {}
                _ if job.latency > self.deadline + self.grace
                    && !self.excused(job, &[Stopped, CallersHeld]) =>
                {
                    say("no job late", shown());
                }
                _ => {}
            }
        }
        for (node, runs) in self.runs.iter().enumerate() {
            for (id, count) in runs.iter().filter(|(_, count)| **count > 1) {
                say("no effect twice", format!("job {id} was run {count} times by node {node}"));
            }
        }
        let mut by_id: BTreeMap<&str, usize> = BTreeMap::new();
        for (node, runs) in self.runs.iter().enumerate() {
            for id in runs.keys() {
                if let Some(other) = by_id.insert(id, node) {
                    say("no effect twice", format!("job {id} was run by nodes {other} and {node}"));
                }
            }
        }
        if self.unmatched_answers > 0 {
            say("one answer", format!("{} answers for no open call", self.unmatched_answers));
        }
        if let Some((times, worst)) = self.budget_overloads.filter(|(times, _)| *times > 0) {
            say(
                "never more than the whole",
                format!("{times} calls came past it, {worst} too many at worst"),
            );
        }
        self.check_versions(&mut say);
        self.unexpected_exits.iter().for_each(|(node, how)| say("safe drain", format!("node {node} {how}")));
        self.unmet_expectations.iter().for_each(|what| say("all is well again", what.clone()));
        violations
    }

    /// No two nodes by different documents of one number; no node ever by a second one; none back but after a trial; none good by what does harm.
    fn check_versions(&self, say: &mut impl FnMut(&'static str, String)) {
        let mut documents: BTreeMap<u64, &NodeObservation> = BTreeMap::new();
        let mut last: BTreeMap<usize, &NodeObservation> = BTreeMap::new();
        let mut own: BTreeMap<(usize, u32, u64), &str> = BTreeMap::new();
        for seen in &self.observations {
            let first = *own.entry((seen.node, seen.disk, seen.number)).or_insert(&seen.digest);
            if first != seen.digest {
                let what =
                    format!("node {} has {} as {first} and as {}", seen.node, seen.number, seen.digest);
                say("one document a number", what);
            }
            let first = documents.entry(seen.number).or_insert(seen);
            if first.digest != seen.digest && !self.version_numbers_reused {
                let what = format!(
                    "number {} is {} for node {} and {} for node {}",
                    seen.number, first.digest, first.node, seen.digest, seen.node
                );
                say("one document a number", what);
            }
            if seen.standing == "good" && self.harmful.contains(&seen.digest) && !self.unjudged(seen) {
                say(
                    "no harm stays",
                    format!("node {} took {} {} as good", seen.node, seen.number, seen.digest),
                );
            }
            let before = last.insert(seen.node, seen).filter(|before| before.disk == seen.disk);
            if let Some(before) = before.filter(|before| before.number > seen.number)
                && before.standing == "good"
            {
                let what = format!("node {} went from {} back to {}", seen.node, before.number, seen.number);
                say("versions go on", what);
            }
        }
    }

    /// Whether anything was done to the node while the version was on trial: with few jobs, or none that fare well
    /// before, service proves nothing.
    fn unjudged(&self, seen: &NodeObservation) -> bool {
        let from = seen.since - Span::from_ms(TRIAL_MS);
        let of_node = self
            .fault_intervals
            .iter()
            .filter(|interval| interval.node == seen.node && interval.from <= seen.at);
        of_node.into_iter().any(|interval| interval.to.is_none_or(|to| to >= from))
    }

    /// The part of a node's jobs, sent in this time, that were succeeded within `goal`; none if it had none.
    pub fn served_ratio(&self, node: usize, from: Time, to: Time, goal: Span) -> Option<f64> {
        self.ratio(node, from, to, |job| job.outcome == JobOutcome::Succeeded && job.latency <= goal)
    }

    /// What was answered by then, whatever the answer, in parts of all.
    pub fn answered_ratio(&self, node: usize, from: Time, to: Time, within: Span) -> Option<f64> {
        self.ratio(node, from, to, |job| job.outcome != JobOutcome::Lost && job.latency <= within)
    }

    fn ratio(&self, node: usize, from: Time, to: Time, so: impl Fn(&Job) -> bool) -> Option<f64> {
        let sent = |job: &&Job| {
            job.node == node && job.sent >= from && job.sent < to && job.outcome != JobOutcome::Crossed
        };
        let (all, those) = self
            .jobs
            .iter()
            .filter(sent)
            .fold((0.0, 0.0), |(all, those), job| (all + 1.0, those + f64::from(u8::from(so(job)))));
        (all > 0.0).then(|| those / all)
    }
}
