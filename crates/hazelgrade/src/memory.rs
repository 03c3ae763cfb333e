//! Memory of jobs and idempotency records: the memory in use, the limit for starting runs, and the limit above which
//! jobs are given up.

use crate::api::Machine;
use crate::host_load::LIMIT_USE_RATIO;
use crate::job_table::{JobTable, TrackedJob};

/// Returns the memory that a job occupies in its current stage, in kilobytes.
pub(crate) fn job_kb(tracked: &TrackedJob, machine: &Machine) -> f64 {
    tracked.job.queued_kb * if tracked.is_started() { machine.running_memory_ratio } else { 1.0 }
}

/// Returns the additional memory that a queued job occupies once it runs, in kilobytes.
pub(crate) fn additional_kb_to_run(tracked: &TrackedJob, machine: &Machine) -> f64 {
    tracked.job.queued_kb * (machine.running_memory_ratio - 1.0)
}

/// Returns the memory of all jobs and of `records` idempotency records, in kilobytes.
pub(crate) fn used_kb(jobs: &JobTable, records: f64, machine: &Machine) -> f64 {
    jobs.iter().map(|tracked| job_kb(tracked, machine)).sum::<f64>() + records * machine.record_kb
}

/// Returns the memory up to which jobs are started, in kilobytes. The rest is reserved for jobs that are read
/// meanwhile.
pub(crate) fn run_limit_kb(machine: &Machine) -> f64 {
    machine.memory_kb * LIMIT_USE_RATIO
}

/// Returns the memory above which jobs are given up, in kilobytes.
pub(crate) fn shed_limit_kb(machine: &Machine) -> f64 {
    machine.memory_kb * (1.0 + LIMIT_USE_RATIO) / 2.0
}
