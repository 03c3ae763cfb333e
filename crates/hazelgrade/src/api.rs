//! The interface of the module: what it is told about jobs and its surroundings, and the writer that takes
//! its decisions. Nothing here decides.

use crate::time::{Span, Time};
use std::rc::Rc;

/// A job's id, as the front end gave it.
pub type JobId = Rc<str>;

/// A job that has been read.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: JobId,
    pub job_class: usize,
    pub tenant: usize,
    /// When it reached the machine, which may be long before it was read.
    pub received_at: Time,
    /// When its caller stops waiting, where callers tell.
    pub caller_deadline: Option<Time>,
    /// Time on a standard core that it is expected to take, where that is told.
    pub expected_work: Option<Span>,
    /// Memory it takes while held, in kilobytes.
    pub queued_kb: f64,
    /// Its place by priority weight among all jobs, from 0 up to less than 1.
    pub priority_rank: f64,
    /// Known to be a retry or a hedged request.
    pub is_retry: bool,
    /// The job that this one repeats.
    pub retry_of: Option<JobId>,
    /// Its caller has had a job run before: what it sends tells of the load.
    pub from_known_caller: bool,
    /// Its caller asks for more than its ceiling, where it has one: a hint, no verdict.
    pub over_caller_limit: bool,
    /// A limit of all servers together leaves nothing for it now: when there may be more.
    pub lease_retry_after: Option<Span>,
}

/// May a job of a job class run again?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    Keyed,
    AtMostOnce,
}

#[derive(Clone, Debug)]
pub struct JobClass {
    pub latency_objective: Span,
    /// The latency objective grows by this part of the job's work.
    pub objective_per_work: f64,
    pub deadline: Span,
    pub priority_weight: f64,
    /// Part of the priority weight for an answer after the latency objective.
    pub late_weight_ratio: f64,
    pub idempotency: Idempotency,
    /// How long after reaching the machine a keyed job may come again.
    pub retry_window: Span,
    /// Its jobs may call what lies below.
    pub calls_dependency: bool,
    /// Part of the priority weight when a call was left out; 0 where it must not be.
    pub weight_ratio_without_call: f64,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Jobs a second over the whole fleet that earn in full.
    pub quota_per_s: f64,
}

#[derive(Clone, Debug)]
pub struct Machine {
    pub cores: f64,
    pub memory_kb: f64,
    /// Memory of a running job over that of a held one.
    pub running_memory_ratio: f64,
    pub record_kb: f64,
    /// It started just now and is slow.
    pub cold: bool,
    pub cancellation: Cancellation,
    /// The shortest time between rounds.
    pub tick: Span,
}

/// What stopping a running job does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    Unsupported,
    Discards,
    Requeues,
}

/// The figures behind the rules.
#[derive(Clone, Debug)]
pub struct ServiceLimits {
    pub answer_slack: Span,
    pub cold_speed_ratio: f64,
    pub warm_up: Span,
    pub drain_grace: Span,
    /// Jobs a core that a warm machine lives through, in the mean of some seconds.
    pub max_jobs_per_core: f64,
}

/// What jobs call.
#[derive(Clone, Debug)]
pub struct Dependency {
    /// Calls that this server may have there, in the mean of `max_calls_window`, where it is told.
    pub max_calls: Option<f64>,
    pub max_calls_window: Span,
    /// How long a call that was given up may stay there.
    pub linger: Span,
}

/// This server's part of the calls that all servers together may have below.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLease {
    /// Until `until`; from then on `alone`.
    pub calls: f64,
    pub expires: Time,
    pub calls_after_expiry: f64,
    /// What is called under it must be over so long after, the linger included.
    pub max_call_time: Span,
    /// About when there may be more.
    pub retry_after: Span,
}

impl CallLease {
    /// Calls that may be in hand at this time.
    pub fn at(&self, now: Time) -> f64 {
        if now < self.expires { self.calls } else { self.calls_after_expiry }
    }
}

/// What this server has in hand below, and would have if it might.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallDemand {
    pub in_flight: f64,
    pub wanted: f64,
}

/// What callers do with the value that is said to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    Silent,
    /// They send nothing ranked below it.
    Level,
    /// Each keeps no more than that many jobs out here.
    Credit,
    /// The chance that one does not pass this server by.
    Weight,
}

#[derive(Clone, Debug)]
pub struct CallerSettings {
    pub count: f64,
    pub signal: LoadSignal,
    /// How long they keep a value in mind.
    pub signal_lifetime: Span,
    pub max_retry_after: Span,
    pub mark_retries: bool,
    /// Servers beside this one, itself included, when it started.
    pub fleet_size: f64,
    /// Part of the priority weight for a tenant's jobs beyond its quota.
    pub over_quota_weight_ratio: f64,
}

/// A job class at its place; one that is no longer in use keeps its place while jobs in hand may name it.
#[derive(Clone, Debug)]
pub struct ClassSlot {
    pub class: JobClass,
    pub in_use: bool,
}

/// Other figures to go by, by place: at least as many places as before.
#[derive(Clone, Debug)]
pub struct SettingsUpdate {
    pub job_classes: Vec<ClassSlot>,
    pub tenants: Vec<Tenant>,
    pub limits: ServiceLimits,
    /// Places that stand for something else than before: nothing that was learned of them counts.
    pub reset_classes: Vec<usize>,
    pub reset_tenants: Vec<usize>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Failed,
    /// Sent back unseen.
    Rejected,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Cancelled,
    /// Nothing started: the job was over.
    Superseded,
}

impl Outcome {
    /// It is certain that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::Superseded)
    }
}

/// Takes the decisions of a round, in order.
pub trait Decisions {
    fn start_run(&mut self, id: &JobId);
    fn reject(&mut self, id: &JobId, not_elsewhere: bool, retry_after: Span);
    fn fail(&mut self, id: &JobId);
    fn start_call(&mut self, id: &JobId, within: Span);
    fn skip_call(&mut self, id: &JobId);
    fn cancel_run(&mut self, id: &JobId);
    fn await_original(&mut self, id: &JobId);
    fn store_record(&mut self, id: &JobId, span: Span);
    fn remove_record(&mut self, id: &JobId);
    fn publish_load_signal(&mut self, value: f64);
    fn publish_health(&mut self, good: bool, from_store: bool);
    fn set_timer(&mut self, at: Time, token: u64);
    fn log(&mut self, text: &str);
    /// What is decided next about this job is for want of a part of what all servers may use together.
    fn limited_by_lease(&mut self, _id: &JobId) {}
}
