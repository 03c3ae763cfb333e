//! The controller's interface: jobs and how they end, its settings, leases of calls, and the sink that
//! takes its decisions. Nothing here decides.

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
