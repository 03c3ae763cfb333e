//! The settings of a host: names, limits and intervals that the controller does not need, or needs in another form.

use hazelgrade::api::{Cancellation, Idempotency, ServiceLimits};
use hazelgrade::time::Span;

/// The settings of a host. Job classes and tenants are in the order of the controller's slots.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Job classes by slot.
    pub job_classes: Vec<JobClassEntry>,
    /// Names of tenants by slot; `None` where the tenant was removed.
    pub tenants: Vec<Option<String>>,
    /// Limits of the service, used where a document doesn't state them.
    pub limits: ServiceLimits,
    /// Whether callers are authenticated, so that a job need not name its tenant. Off until identities are configured.
    pub authenticates_callers: bool,
    /// Whether there is a dependency to call.
    pub calls_dependency: bool,
    /// Names of the gauges of this server's load, in the order of their values.
    pub gauge_names: Vec<String>,
    /// The shortest time between two rounds of the controller.
    pub tick: Span,
    /// Whether an unhealthy server reports itself as not ready.
    pub readiness_follows_health: bool,
    /// How long the result of a read may be shared with other jobs; 0 if it may not.
    pub result_sharing: Span,
    /// How long a call that was given up may stay at the dependency.
    pub linger: Span,
    /// The effect of cancelling a run.
    pub cancellation: Cancellation,
}

/// A job class as a host knows it.
#[derive(Clone, Debug)]
pub struct JobClassEntry {
    /// Its name, by which jobs request it.
    pub name: String,
    /// What a retry of its jobs may do.
    pub idempotency: Idempotency,
    /// Its jobs must be answered within this time of their receipt.
    pub deadline: Span,
    /// Whether its jobs may be answered without a call that they requested.
    pub may_skip_calls: bool,
    /// Whether jobs may request it; a removed class keeps its slot for the jobs in flight.
    pub in_use: bool,
}

/// The slot of a job class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobClassSlot {
    /// Its index.
    pub slot: usize,
    /// Whether jobs may request the class.
    pub in_use: bool,
}

impl HostSettings {
    /// The slot of a job class; `None` if there is no such class.
    pub fn job_class(&self, name: &str) -> Option<JobClassSlot> {
        let slot = self.job_classes.iter().position(|class| class.name == name)?;
        Some(JobClassSlot { slot, in_use: self.job_classes[slot].in_use })
    }

    /// Whether any job class is in use.
    pub fn serves(&self) -> bool {
        self.job_classes.iter().any(|class| class.in_use)
    }
}
