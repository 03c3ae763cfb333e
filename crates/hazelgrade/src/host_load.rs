//! Load of the machine: how many jobs its cores withstand, also while it warms up, and how much slower jobs are when
//! they share them.

use crate::api::{Machine, ServiceLimits};
use crate::job_table::{JobTable, Stage};
use crate::time::{Span, Time};

/// Ratio of a limit that is used at most: jobs that are read or return from calls meanwhile need the rest.
pub(crate) const LIMIT_USE_RATIO: f64 = 0.8;
/// Assumed runs of mean length per core that are averaged in with the actual ones, as a few may be long by chance.
const ASSUMED_RUNS_PER_CORE: f64 = 2.0;
/// Shortest mean core time that a slowdown is worked out from, in milliseconds.
const MIN_CORE_TIME_MS: f64 = 0.001;

/// Jobs that the cores withstand after `uptime` even at the slowest warm-up that the limits allow for.
pub(crate) fn max_jobs_on_cores(machine: &Machine, limits: &ServiceLimits, uptime: Span) -> f64 {
    let initial_speed = if machine.cold { limits.cold_speed_ratio } else { 1.0 };
    let warmed_up = uptime / limits.warm_up;
    let speed = (initial_speed + (1.0 - initial_speed) * warmed_up).min(1.0);
    machine.cores * (1.0 + (limits.max_jobs_per_core - 1.0) * speed) * LIMIT_USE_RATIO
}

/// How many times slower the runs on the cores are than completed ones, 1 or more. It follows from their age, so it
/// shows before any of them ends.
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
