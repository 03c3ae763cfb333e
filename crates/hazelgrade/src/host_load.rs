//! Load of the machine: how many jobs the cores can sustain, including during the warm-up, and how much sharing the
//! cores slows the jobs down.

use crate::api::{Machine, ServiceLimits};
use crate::job_table::{JobTable, Stage};
use crate::time::{Span, Time};

/// Maximum ratio of a limit that is used. The rest is reserved for jobs that are read or return from calls meanwhile.
pub(crate) const LIMIT_USE_RATIO: f64 = 0.8;
/// Number of assumed runs of mean length per core that are averaged with the actual runs, as a few actual runs may be
/// long by chance.
const ASSUMED_RUNS_PER_CORE: f64 = 2.0;
/// Lower bound of the mean core time when dividing by it, in milliseconds.
const MIN_CORE_TIME_MS: f64 = 0.001;

/// Returns the number of jobs that the cores can sustain after `uptime`, assuming the slowest warm-up that the limits
/// allow.
pub(crate) fn max_jobs_on_cores(machine: &Machine, limits: &ServiceLimits, uptime: Span) -> f64 {
    let initial_speed = if machine.cold { limits.cold_speed_ratio } else { 1.0 };
    let warmed_up = uptime / limits.warm_up;
    let speed = (initial_speed + (1.0 - initial_speed) * warmed_up).min(1.0);
    machine.cores * (1.0 + (limits.max_jobs_per_core - 1.0) * speed) * LIMIT_USE_RATIO
}

/// Returns how many times slower the current runs on the cores are than completed runs, at least 1. The slowdown is
/// derived from the age of the current runs, so it is visible before any of them ends.
pub(crate) fn slowdown(jobs: &JobTable, mean_core_time: Option<Span>, cores: f64, now: Time) -> f64 {
    let Some(mean) = mean_core_time else { return 1.0 };
    let running = jobs.iter().filter(|tracked| tracked.stage == Stage::Running);
    let mut count = 0.0;
    let mut total_ms = 0.0;
    for tracked in running {
        count += 1.0;
        total_ms += (tracked.core_time + now.since(tracked.stage_since)).as_ms();
    }
    let assumed = ASSUMED_RUNS_PER_CORE * cores;
    ((total_ms / mean.as_ms().max(MIN_CORE_TIME_MS) + assumed) / (count + assumed)).max(1.0)
}
