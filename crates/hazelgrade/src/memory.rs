//! Memory of jobs and idempotency records: how much is in use, the limit for starting runs, and the limit
//! above which jobs are given up.

use crate::api::Machine;
use crate::host_load::LIMIT_USE_RATIO;
use crate::job_table::{JobTable, TrackedJob};

/// Memory that a job takes in its current stage, in kilobytes.
pub(crate) fn job_kb(tracked: &TrackedJob, machine: &Machine) -> f64 {
    tracked.job.queued_kb * if tracked.is_started() { machine.running_memory_ratio } else { 1.0 }
}

/// Memory that a queued job takes in addition once it runs, in kilobytes.
pub(crate) fn additional_kb_to_run(tracked: &TrackedJob, machine: &Machine) -> f64 {
    tracked.job.queued_kb * (machine.running_memory_ratio - 1.0)
}

/// Memory of all jobs and of `records` idempotency records, in kilobytes.
pub(crate) fn used_kb(jobs: &JobTable, records: f64, machine: &Machine) -> f64 {
    jobs.iter().map(|tracked| job_kb(tracked, machine)).sum::<f64>() + records * machine.record_kb
}

/// Memory up to which jobs are started, in kilobytes: jobs that are read meanwhile need the rest.
pub(crate) fn run_limit_kb(machine: &Machine) -> f64 {
    machine.memory_kb * LIMIT_USE_RATIO
}

/// Memory above which jobs are given up, in kilobytes.
pub(crate) fn shed_limit_kb(machine: &Machine) -> f64 {
    machine.memory_kb * (1.0 + LIMIT_USE_RATIO) / 2.0
}
