//! The settings of a controller: job classes, tenants, the machine, the service's limits, the dependency and
//! its callers.

use crate::time::Span;
use std::fmt::{self, Display, Formatter};

/// Whether a job of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run again at any time.
    Idempotent,
    /// Retries carry an idempotency key: within the retry window it runs once, and retries share its result.
    Keyed,
    /// It must not run again once it has been started.
    AtMostOnce,
}

impl Display for Idempotency {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Idempotency::Idempotent => "idempotent",
            Idempotency::Keyed => "keyed",
            Idempotency::AtMostOnce => "at most once",
        })
    }
}

/// What jobs of one kind are worth, when they are due and what they may do.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// An answer within this time of the job's receipt has full weight.
    pub latency_objective: Span,
    /// The latency objective grows by this ratio of the job's expected work.
    pub objective_per_work: f64,
    /// A final answer is due within this time of the job's receipt, where the caller states no deadline.
    pub deadline: Span,
    /// What a success is worth, in any unit common to all classes.
    pub priority_weight: f64,
    /// Ratio of the priority weight that is left after the latency objective, 0 to 1.
    pub late_weight_ratio: f64,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// How long after a keyed job's receipt a retry of it may come.
    pub retry_window: Span,
    /// Whether its jobs may call the dependency.
    pub calls_dependency: bool,
    /// Ratio of the priority weight when its call was left out, 0 to 1; 0 where it must not be left out.
    pub weight_ratio_without_call: f64,
}

/// A customer that jobs are run for.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Jobs a second over the whole fleet that have full weight.
    pub quota_per_s: f64,
}

/// The machine that a server runs on.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Cores, 1 or more.
    pub cores: f64,
    /// Memory for jobs and idempotency records, in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running job as a ratio of that of a queued one.
    pub running_memory_ratio: f64,
    /// Memory of an idempotency record, in kilobytes.
    pub record_kb: f64,
    /// Whether it has just started, and is slow until it has warmed up.
    pub cold: bool,
    /// What cancelling a run does.
    pub cancellation: Cancellation,
    /// The shortest time between two rounds.
    pub tick: Span,
}

/// What cancelling a run does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Runs cannot be cancelled.
    Unsupported,
    /// The run ends and what it did is lost.
    Discards,
    /// The run ends and may be started again from where it was.
    Requeues,
}

/// The figures that the service's rules are based on.
#[derive(Clone, Debug)]
pub struct ServiceLimits {
    /// How long after its deadline an answer still counts.
    pub answer_slack: Span,
    /// Speed of a cold machine as a ratio of a warm one's.
    pub cold_speed_ratio: f64,
    /// How long a cold machine takes to warm up.
    pub warm_up: Span,
    /// Jobs that are received within this time of the drain's notice may still be admitted.
    pub drain_grace: Span,
    /// Jobs per core that a warm machine withstands, averaged over some seconds; 1 or more.
    pub max_jobs_per_core: f64,
}

/// What jobs call.
#[derive(Clone, Debug)]
pub struct Dependency {
    /// Calls that this server may have in flight there, averaged over `max_calls_window`; `None` where no limit is set.
    pub max_calls: Option<f64>,
    /// Time over which calls in flight are averaged.
    pub max_calls_window: Span,
    /// How long a call that was given up may stay there.
    pub linger: Span,
}

/// What callers do with the load signal that is published to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// Nothing is published.
    Silent,
    /// They send nothing whose priority rank is below it.
    Level,
    /// Each keeps at most that many jobs in flight here.
    Credit,
    /// The probability with which a caller that has chosen this server sends to it.
    Weight,
}

/// What is known about the callers.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// How many there are, 1 or more.
    pub count: f64,
    /// What they do with the load signal.
    pub signal: LoadSignal,
    /// How long a load signal is valid for them.
    pub signal_lifetime: Span,
    /// The longest retry-after that they heed.
    pub max_retry_after: Span,
    /// Whether their retries are marked as such.
    pub mark_retries: bool,
    /// Servers in the fleet when this one started, itself included.
    pub fleet_size: f64,
    /// Ratio of the priority weight for a tenant's jobs beyond its quota, 0 to 1.
    pub over_quota_weight_ratio: f64,
}

/// A job class at its index; one that is no longer in use keeps its index while jobs in flight may name it.
#[derive(Clone, Debug)]
pub struct ClassSlot {
    /// The class.
    pub class: JobClass,
    /// Whether new jobs may name it.
    pub in_use: bool,
}

/// Settings that replace those in effect, by index: at least as many classes and tenants as before.
#[derive(Clone, Debug)]
pub struct SettingsUpdate {
    /// All job classes.
    pub job_classes: Vec<ClassSlot>,
    /// All tenants.
    pub tenants: Vec<Tenant>,
    /// The service's limits.
    pub limits: ServiceLimits,
    /// Indexes that now refer to another class: what was learned about the earlier one is forgotten.
    pub reset_classes: Vec<usize>,
    /// Indexes that now refer to another tenant: use of the earlier one's quota is forgotten.
    pub reset_tenants: Vec<usize>,
}
