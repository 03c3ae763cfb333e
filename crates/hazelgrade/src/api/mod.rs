//! The interface of the controller: jobs and their outcomes, settings, call leases, and the sink for decisions. This
//! module contains data types only; the rules are in the other modules.

mod decisions;
mod job;
mod lease;
mod settings;

pub use decisions::Decisions;
pub use job::{Job, JobId, Outcome};
pub use lease::{CallDemand, CallLease};
pub use settings::{
    CallerSettings, Cancellation, ClassSlot, Dependency, Idempotency, JobClass, LoadSignal, Machine,
    ServiceLimits, SettingsUpdate, Tenant,
};
