//! How many jobs run at once. The limit moves a step up or down at a time; a step that lowers throughput is undone.
//! While jobs wait and cores are idle the step is up, otherwise down: jobs that merely share the cores all end later.
//! This helps jobs that wait for disks or are heavier than usual. Risk: runs that hang without using the cores raise
//! the limit.

use crate::statistics::{DecayingMean, MeanDuration};
use crate::time::{Span, Time};

/// A step up is undone if throughput falls by this ratio: smaller differences are chance.
const MAX_LOSS_STEP_UP: f64 = 0.1;
/// A step down is undone if throughput falls by this ratio: while cores are busy it rarely costs anything.
const MAX_LOSS_STEP_DOWN: f64 = 0.3;
/// A step is judged after this many jobs for each that may run.
const JOBS_PER_JUDGEMENT: f64 = 4.0;
/// Cores of which this ratio is in use count as busy.
const BUSY_CORES_RATIO: f64 = 0.95;
/// Jobs that run at once for each core at the start.
const INITIAL_JOBS_PER_CORE: f64 = 1.5;
/// Most jobs that run at once for each core.
const MAX_JOBS_PER_CORE: f64 = 4.0;
/// Fewest jobs that run at once for each core while jobs wait unread.
const MIN_JOBS_PER_CORE_UNREAD: f64 = 0.5;

/// Limits the jobs that run at once.
pub(crate) struct RunLimiter {
    cores: f64,
    limit: f64,
    step: f64,
    /// Throughput before the last step, in jobs per millisecond; `None` if that step was undone.
    rate_before: Option<f64>,
    /// Jobs completed since the last step, while jobs waited.
    completed: f64,
    /// Time since the last step in which jobs waited.
    busy_time: Span,
    checked_at: Option<Time>,
    jobs_wait: bool,
    /// Ratio of the cores in use while jobs wait.
    cores_used: DecayingMean,
    /// How long jobs wait unread.
    unread: MeanDuration,
}

impl RunLimiter {
    /// A limiter for a machine with this many cores.
    pub fn new(cores: f64, learning_window: Span, unread_window: Span) -> RunLimiter {
        RunLimiter {
            cores,
            limit: (cores * INITIAL_JOBS_PER_CORE).floor().max(1.0),
            step: 0.0,
            rate_before: None,
            completed: 0.0,
            busy_time: Span::ZERO,
            checked_at: None,
            jobs_wait: false,
            cores_used: DecayingMean::new(learning_window),
            unread: MeanDuration::new(unread_window),
        }
    }

    /// Learns over other windows from now on.
    pub fn set_learning_window(&mut self, now: Time, learning_window: Span, unread_window: Span) {
        self.unread.set_time_constant(now, unread_window);
        self.cores_used.set_time_constant(now, learning_window);
    }

    /// A run completed.
    pub fn run_completed(&mut self) {
        if self.jobs_wait {
            self.completed += 1.0;
        }
    }

    /// The host measured the ratio of the cores in use, 0 to 1.
    pub fn cores_measured(&mut self, now: Time, ratio: f64) {
        if self.jobs_wait {
            self.cores_used.record(now, ratio);
        }
    }

    /// A job was read that had waited unread for this long.
    pub fn job_read(&mut self, now: Time, unread: Span) {
        self.unread.record(now, unread);
    }

    /// How long jobs wait unread on average.
    pub fn mean_unread(&mut self, now: Time) -> Span {
        self.unread.mean_or_zero(now)
    }

    /// The limit, not reduced for jobs that wait unread.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The limit now. Reading shares the cores with the runs, and jobs that wait unread can be neither rejected nor
    /// ordered. So the further their mean wait exceeds `target_unread`, the fewer jobs run, down to half a job per
    /// core.
    pub fn current_limit(&mut self, now: Time, target_unread: Span) -> f64 {
        let excess = self.unread.mean_or_zero(now) / target_unread;
        let reduced = self.limit / excess.max(1.0);
        reduced.max(self.cores * MIN_JOBS_PER_CORE_UNREAD).min(self.limit)
    }

    /// Judges the last step once enough jobs have completed, and makes the next one. `jobs_wait` is whether jobs are
    /// left in the run queue.
    pub fn adjust(&mut self, now: Time, jobs_wait: bool) {
        let cores_used = self.cores_used.mean(now);
        if self.jobs_wait {
            self.busy_time += self.checked_at.map_or(Span::ZERO, |checked_at| now.since(checked_at));
        }
        self.checked_at = Some(now);
        self.jobs_wait = jobs_wait;
        if self.completed >= JOBS_PER_JUDGEMENT * self.limit {
            self.make_step(cores_used);
        }
        self.limit = self.limit.clamp(self.cores, self.cores * MAX_JOBS_PER_CORE);
    }

    fn make_step(&mut self, cores_used: Option<f64>) {
        let rate = self.completed / self.busy_time.as_ms().max(1.0);
        let max_loss = if self.step > 0.0 { MAX_LOSS_STEP_UP } else { MAX_LOSS_STEP_DOWN };
        let worse = self.rate_before.is_some_and(|before| rate < before * (1.0 - max_loss));
        let idle_cores = cores_used.is_none_or(|used| used < BUSY_CORES_RATIO);
        let direction = if idle_cores { 1.0 } else { -1.0 };
        self.step = if worse { -self.step } else { direction };
        self.limit += self.step;
        self.rate_before = (!worse).then_some(rate);
        self.completed = 0.0;
        self.busy_time = Span::ZERO;
    }
}
