//! The settings of a controller: job classes, tenants, the machine, the limits of the service, the dependency and the
//! callers.

use crate::time::Span;
use std::fmt::{self, Display, Formatter};

/// Whether a job of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A job may run again at any time.
    Idempotent,
    /// Retries carry an idempotency key: a job runs once within the retry window, and its retries share the result.
    Keyed,
    /// A job must not run again after it has been started.
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

/// The priority weight, deadlines and permissions that jobs of one kind have in common.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// An answer within this time of the job's receipt counts with the full priority weight.
    pub latency_objective: Span,
    /// Ratio of the job's expected work that is added to the latency objective.
    pub objective_per_work: f64,
    /// Time from the job's receipt within which the final answer is due, unless the caller states a deadline.
    pub deadline: Span,
    /// Relative value of a success, in any unit that all classes share.
    pub priority_weight: f64,
    /// Ratio of the priority weight that remains after the latency objective has passed, 0 to 1.
    pub late_weight_ratio: f64,
    /// Whether a job may run more than once.
    pub idempotency: Idempotency,
    /// Time after a keyed job's receipt within which a retry of the job may arrive.
    pub retry_window: Span,
    /// Whether jobs of this class may call the dependency.
    pub calls_dependency: bool,
    /// Ratio of the priority weight of an answer without the call, 0 to 1; 0 if the call must not be skipped.
    pub weight_ratio_without_call: f64,
}

impl JobClass {
    /// Returns whether a job may be answered without a call that it requested.
    pub fn allows_answers_without_call(&self) -> bool {
        self.weight_ratio_without_call > 0.0
    }
}

/// A customer on whose behalf jobs run.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Jobs per second over the whole fleet that have the full priority weight.
    pub quota_per_s: f64,
}

/// The machine on which a server runs.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Number of cores, at least 1.
    pub cores: f64,
    /// Memory for jobs and idempotency records, in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running job as a ratio of the memory of the same job while queued.
    pub running_memory_ratio: f64,
    /// Memory of an idempotency record, in kilobytes.
    pub record_kb: f64,
    /// Whether the machine has just started and is slow until its warm-up is complete.
    pub cold: bool,
    /// The effect of cancelling a run.
    pub cancellation: Cancellation,
    /// Shortest time between two rounds.
    pub tick: Span,
}

/// The effect of cancelling a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Runs cannot be cancelled.
    Unsupported,
    /// The run ends and its progress is lost.
    Discards,
    /// The run ends, and the job may be started again from the point that the run had reached.
    Requeues,
}

/// The limits of the service within which the controller must keep.
#[derive(Clone, Debug)]
pub struct ServiceLimits {
    /// Time after the deadline during which an answer still counts.
    pub answer_slack: Span,
    /// Speed of a cold machine as a ratio of the speed of a warm machine.
    pub cold_speed_ratio: f64,
    /// Time that a cold machine takes to warm up.
    pub warm_up: Span,
    /// Time after the notice of a drain during which a received job may still be admitted.
    pub drain_grace: Span,
    /// Jobs per core that a warm machine can sustain, averaged over several seconds; at least 1.
    pub max_jobs_per_core: f64,
}

/// The service that jobs call.
#[derive(Clone, Debug)]
pub struct Dependency {
    /// Calls that this server may have in flight at the dependency, averaged over `max_calls_window`; `None` if
    /// there is no limit.
    pub max_calls: Option<f64>,
    /// Period over which the calls in flight are averaged.
    pub max_calls_window: Span,
    /// Longest time that an abandoned call may keep occupying the dependency.
    pub linger: Span,
}

/// How callers interpret the load signal that the server publishes to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// No load signal is published.
    Silent,
    /// Callers send no job whose priority rank is below the load signal.
    Level,
    /// Each caller keeps at most as many jobs in flight at this server as the load signal says.
    Credit,
    /// A caller that has chosen this server sends the job with the probability that the load signal gives.
    Weight,
}

/// The properties of the callers that the controller takes into account.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Number of callers, at least 1.
    pub count: f64,
    /// How callers interpret the load signal.
    pub signal: LoadSignal,
    /// Time during which a published load signal is valid for a caller.
    pub signal_lifetime: Span,
    /// Longest retry-after that callers honour.
    pub max_retry_after: Span,
    /// Whether callers mark their retries as such.
    pub mark_retries: bool,
    /// Number of servers in the fleet when this server started, including this server.
    pub fleet_size: f64,
    /// Ratio of the priority weight that a tenant's jobs beyond its quota have, 0 to 1.
    pub over_quota_weight_ratio: f64,
}

/// A job class at a fixed index. A class that is no longer in use keeps its index while jobs in flight may refer to it.
#[derive(Clone, Debug)]
pub struct ClassSlot {
    /// The class.
    pub class: JobClass,
    /// Whether new jobs may refer to the class.
    pub in_use: bool,
}

/// Settings that replace the current ones by index. There must be at least as many classes and tenants as before.
#[derive(Clone, Debug)]
pub struct SettingsUpdate {
    /// All job classes.
    pub job_classes: Vec<ClassSlot>,
    /// All tenants.
    pub tenants: Vec<Tenant>,
    /// The limits of the service.
    pub limits: ServiceLimits,
    /// Indexes that now refer to another class; statistics of the earlier class are discarded.
    pub reset_classes: Vec<usize>,
    /// Indexes that now refer to another tenant; the quota usage of the earlier tenant is discarded.
    pub reset_tenants: Vec<usize>,
}
