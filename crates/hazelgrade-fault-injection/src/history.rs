//! The history of a group of processes, and the checks of the rules on it. An event whose instant is uncertain has a
//! span. Nothing here asks a process: it goes by what callers, executors and the control service saw, so that a group
//! that is wrong about itself is found out.

use hazelgrade::time::{Span, Time};
use hazelgrade_fakes::callers::JobOutcome;
use hazelgrade_fakes::dependency::Overload;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};

/// How far off a span's ends may be on a crowded machine.
const UNSURE_MS: f64 = 500.0;
/// A lost job on its way to a process that is about to end may have been sent so long before the end was seen.
const CROSSING_MS: f64 = 1000.0;

/// What happened so long before a job was sent is told with it.
const DESCRIBED_MS: f64 = 5000.0;

/// So long before it was seen to be good a version may have been on trial.
const TRIAL_MS: f64 = 3000.0;
/// The trial that groups of nodes are started with.
const SHORT_TRIAL_MS: f64 = 300.0;

/// What was done to a node that excuses something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Killed: what it had in flight is lost.
    Killed,
    /// Not running after an orderly end: what reaches it then is refused, and never ran.
    Gone,
    /// Suspended: lateness is no fault of its own.
    Stopped,
    /// Its callers' connections are reset, or refused.
    CallersReset,
    /// Its callers are cut off or delayed: lost connections and lateness are due to the link.
    CallersHeld,
    /// What it depends on is cut off or slow: excuses only that a version can't be judged by its service.
    Hampered,
    /// The lessor of its site is out, or grants nothing new: it may have no lease, and then nearly all its jobs are
    /// rejected. Excuses only that a version can't be judged by its service.
    LessorOut,
}

/// When a fault lasted.
#[derive(Clone, Debug)]
pub struct FaultInterval {
    /// The node.
    pub node: usize,
    /// What kind of fault.
    pub fault_kind: FaultKind,
    /// When it began.
    pub from: Time,
    /// When it ended; none while it lasts.
    pub to: Option<Time>,
}

/// A job and how it ended for its caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// The node.
    pub node: usize,
    /// Its id, unique over the group.
    pub id: String,
    /// When it was sent.
    pub sent: Time,
    /// From then until its answer, or until its connection ended.
    pub latency: Span,
    /// How it ended.
    pub outcome: JobOutcome,
}

/// The version that a node was seen to serve by, by the control service that it follows.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeObservation {
    /// The node.
    pub node: usize,
    /// When it was seen.
    pub at: Time,
    /// The observation before: the version changed at some time in between.
    pub since: Time,
    /// Grows when the node is started with another disk than its own.
    pub disk: u32,
    /// The version's number.
    pub number: u64,
    /// The version's digest.
    pub digest: String,
    /// The control service's word for the version; empty while another one is offered.
    pub standing: String,
}

/// What happened to a group.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The deadline of every job.
    pub deadline: Span,
    /// By how much later than given an answer may reach its caller.
    pub grace: Span,
    /// Faults of nodes.
    pub fault_intervals: Vec<FaultInterval>,
    /// All jobs of callers.
    pub jobs: Vec<Job>,
    /// How often each job was started, by node.
    pub runs: Vec<BTreeMap<String, u32>>,
    /// Answers to calls that were not open.
    pub unmatched_answers: u64,
    /// Versions that nodes were seen to serve by, in order of time.
    pub observations: Vec<NodeObservation>,
    /// When each node was last observed.
    pub last_observed: BTreeMap<usize, Time>,
    /// Digests of published documents that do harm.
    pub harmful: Vec<String>,
    /// The control service was given an old counter or none, or there are two: numbers may name other documents again.
    pub version_numbers_reused: bool,
    /// How often calls came past the budget's total at the dependency, and by how many at worst.
    pub budget_overloads: Option<(usize, usize)>,
    /// The worst of them.
    pub worst_budget_overload: Option<Overload>,
    /// Nodes that ended otherwise than they should, and how.
    pub unexpected_exits: Vec<(usize, String)>,
    /// From the start of each node's process until it answered a health check.
    pub start_times: Vec<Span>,
    /// What did not happen in time once all faults were over.
    pub unmet_expectations: Vec<String>,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// What broke it.
    pub what: String,
}

impl Display for Violation {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        write!(to, "{}: {}", self.rule, self.what)
    }
}

impl History {
    /// Notes that a fault begins; does nothing if it lasts already.
    pub fn fault_begins(&mut self, node: usize, fault_kind: FaultKind, from: Time) {
        if !self.fault_lasts(node, fault_kind) {
            self.fault_intervals.push(FaultInterval { node, fault_kind, from, to: None });
        }
    }

    /// Notes that a fault ends.
    pub fn fault_ends(&mut self, node: usize, fault_kind: FaultKind, to: Time) {
        let open = |interval: &&mut FaultInterval| {
            interval.node == node && interval.fault_kind == fault_kind && interval.to.is_none()
        };
        self.fault_intervals.iter_mut().filter(open).for_each(|interval| interval.to = Some(to));
    }

    /// Whether a fault lasts.
    pub fn fault_lasts(&self, node: usize, fault_kind: FaultKind) -> bool {
        self.fault_intervals.iter().any(|interval| {
            interval.node == node && interval.fault_kind == fault_kind && interval.to.is_none()
        })
    }

    /// Notes an observation if it differs from the node's previous one.
    pub fn record_observation(&mut self, mut observation: NodeObservation) {
        observation.since =
            self.last_observed.insert(observation.node, observation.at).unwrap_or(observation.at);
        let before = self.observations.iter().rev().find(|before| before.node == observation.node);
        if before.is_none_or(|before| {
            NodeObservation { at: before.at, since: before.since, ..observation.clone() } != *before
        }) {
            self.observations.push(observation);
        }
    }

    /// Whether one of these faults of the node touches the time from the job's sending to its end.
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
        let mut report = |rule, what: String| violations.push(Violation { rule, what });
        self.check_jobs(&mut report);
        self.check_runs(&mut report);
        if self.unmatched_answers > 0 {
            report("one answer", format!("{} answers for no open call", self.unmatched_answers));
        }
        if let Some((times, worst)) = self.budget_overloads.filter(|(times, _)| *times > 0) {
            report(
                "never more than the whole",
                format!(
                    "{times} calls came past it, {worst} too many at worst{}",
                    self.describe_worst_overload()
                ),
            );
        }
        self.check_versions(&mut report);
        self.unexpected_exits
            .iter()
            .for_each(|(node, how)| report("safe drain", format!("node {node} {how}")));
        self.unmet_expectations.iter().for_each(|what| report("all is well again", what.clone()));
        violations
    }

    /// The calls in flight in the worst overload; empty if they are not known.
    fn describe_worst_overload(&self) -> String {
        self.worst_budget_overload.map_or(String::new(), |worst| {
            let Overload { in_flight, capacity, on_ended_connections } = worst;
            format!(
                ": {in_flight} of {capacity}, {on_ended_connections} of them on connections that had ended"
            )
        })
    }

    /// What was known of a job's node shortly before the job was sent: faults, and versions that it served by.
    fn describe_before(&self, job: &Job) -> String {
        let ms_before = |at: Time| job.sent.since(at).as_ms() - at.since(job.sent).as_ms();
        let is_recent = |at: Time| ms_before(at) <= DESCRIBED_MS;
        let faults = self.fault_intervals.iter().filter(|interval| {
            interval.node == job.node && interval.from <= job.sent && interval.to.is_none_or(is_recent)
        });
        let faults = faults.map(|interval| {
            let until =
                interval.to.map_or("on".to_owned(), |to| format!("until {:.0} ms before", ms_before(to)));
            format!("{:?} from {:.0} ms before {until}", interval.fault_kind, ms_before(interval.from))
        });
        let versions = self
            .observations
            .iter()
            .filter(|seen| seen.node == job.node && seen.at <= job.sent && is_recent(seen.at));
        let versions = versions.map(|seen| {
            let harm = if self.harmful.contains(&seen.digest) { ", harmful" } else { "" };
            format!("{} {} {:.0} ms before{harm}", seen.digest, seen.standing, ms_before(seen.at))
        });
        let all: Vec<String> = faults.chain(versions).collect();
        let ran = if self.ran(job) { "; it ran" } else { "; it did not run" };
        format!("{ran}; its node before: {}", if all.is_empty() { "nothing".into() } else { all.join(", ") })
    }

    /// No job lost or late, but for faults of its node that excuse it.
    fn check_jobs(&self, report: &mut impl FnMut(&'static str, String)) {
        use FaultKind::*;
        for job in &self.jobs {
            let late = job.latency > self.deadline + self.grace;
            let broken = match job.outcome {
                JobOutcome::Lost => {
                    let by_force = self.excused(job, &[Killed, CallersReset, CallersHeld]);
                    let refused = !self.ran(job) && self.excused(job, &[Gone]);
                    (!by_force && !refused).then_some("no job lost")
                }
                // It never reached the node, or the node had left: it is sent again elsewhere.
                JobOutcome::Crossed => None,
                _ => (late && !self.excused(job, &[Stopped, CallersHeld])).then_some("no job late"),
            };
            if let Some(rule) = broken {
                let latency_ms = job.latency.as_ms();
                let what = format!(
                    "job {} of node {}, {:?} after {latency_ms} ms{}",
                    job.id,
                    job.node,
                    job.outcome,
                    self.describe_before(job)
                );
                report(rule, what);
            }
        }
    }

    /// No job run twice, by one node or by two.
    fn check_runs(&self, report: &mut impl FnMut(&'static str, String)) {
        for (node, runs) in self.runs.iter().enumerate() {
            for (id, count) in runs.iter().filter(|(_, count)| **count > 1) {
                report("no effect twice", format!("job {id} was run {count} times by node {node}"));
            }
        }
        let mut by_id: BTreeMap<&str, usize> = BTreeMap::new();
        for (node, runs) in self.runs.iter().enumerate() {
            for id in runs.keys() {
                if let Some(other) = by_id.insert(id, node) {
                    report("no effect twice", format!("job {id} was run by nodes {other} and {node}"));
                }
            }
        }
    }

    /// No two nodes by different documents of one number; no node ever by a second one; none back but after a trial; none good by what does harm.
    fn check_versions(&self, report: &mut impl FnMut(&'static str, String)) {
        let mut documents: BTreeMap<u64, &NodeObservation> = BTreeMap::new();
        let mut last: BTreeMap<usize, &NodeObservation> = BTreeMap::new();
        let mut own: BTreeMap<(usize, u32, u64), &str> = BTreeMap::new();
        for observation in &self.observations {
            let first = *own
                .entry((observation.node, observation.disk, observation.number))
                .or_insert(&observation.digest);
            if first != observation.digest {
                let what = format!(
                    "node {} has {} as {first} and as {}",
                    observation.node, observation.number, observation.digest
                );
                report("one document a number", what);
            }
            let first = documents.entry(observation.number).or_insert(observation);
            if first.digest != observation.digest && !self.version_numbers_reused {
                let what = format!(
                    "number {} is {} for node {} and {} for node {}",
                    observation.number, first.digest, first.node, observation.digest, observation.node
                );
                report("one document a number", what);
            }
            if observation.standing == "good"
                && self.harmful.contains(&observation.digest)
                && !self.unjudged(observation)
            {
                report(
                    "no harm stays",
                    format!(
                        "node {} took {} {} as good; {}",
                        observation.node,
                        observation.number,
                        observation.digest,
                        self.describe_service_before(observation)
                    ),
                );
            }
            let before =
                last.insert(observation.node, observation).filter(|before| before.disk == observation.disk);
            if let Some(before) = before.filter(|before| before.number > observation.number)
                && before.standing == "good"
            {
                let what = format!(
                    "node {} went from {} back to {}",
                    observation.node, before.number, observation.number
                );
                report("versions go on", what);
            }
        }
    }

    /// How the node's jobs fared in the second before a version may have come on trial.
    fn describe_service_before(&self, observation: &NodeObservation) -> String {
        let to = observation.since - Span::from_ms(SHORT_TRIAL_MS);
        let from = to - Span::from_ms(1000.0);
        let sent =
            self.jobs.iter().filter(|job| job.node == observation.node && job.sent >= from && job.sent < to);
        let (all, succeeded) = sent.fold((0, 0), |(all, succeeded), job| {
            (all + 1, succeeded + usize::from(job.outcome == JobOutcome::Succeeded))
        });
        format!("{succeeded} of {all} jobs succeeded in the second before")
    }

    /// Whether anything was done to the node while the version was on trial: with few jobs, or none that fare well
    /// before, service proves nothing.
    fn unjudged(&self, observation: &NodeObservation) -> bool {
        let from = observation.since - Span::from_ms(TRIAL_MS);
        let of_node = self
            .fault_intervals
            .iter()
            .filter(|interval| interval.node == observation.node && interval.from <= observation.at);
        of_node.into_iter().any(|interval| interval.to.is_none_or(|to| to >= from))
    }

    /// The ratio of a node's jobs sent in this interval that succeeded within `objective`; none if it had no jobs.
    pub fn served_ratio(&self, node: usize, from: Time, to: Time, objective: Span) -> Option<f64> {
        self.ratio(node, from, to, |job| job.outcome == JobOutcome::Succeeded && job.latency <= objective)
    }

    /// The ratio of a node's jobs sent in this interval that were answered within `timeout`, whatever the answer.
    pub fn answered_ratio(&self, node: usize, from: Time, to: Time, timeout: Span) -> Option<f64> {
        self.ratio(node, from, to, |job| job.outcome != JobOutcome::Lost && job.latency <= timeout)
    }

    fn ratio(&self, node: usize, from: Time, to: Time, condition: impl Fn(&Job) -> bool) -> Option<f64> {
        let sent = |job: &&Job| {
            job.node == node && job.sent >= from && job.sent < to && job.outcome != JobOutcome::Crossed
        };
        let (all, matching) = self.jobs.iter().filter(sent).fold((0.0, 0.0), |(all, matching), job| {
            (all + 1.0, matching + f64::from(u8::from(condition(job))))
        });
        (all > 0.0).then(|| matching / all)
    }
}
