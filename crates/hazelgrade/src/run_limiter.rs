//! Limit on concurrent runs, adjusted by hill climbing. The limit changes in single steps, and a step that lowers the
//! throughput is undone. While jobs wait and cores are idle, the limit goes up. Otherwise the limit goes down, as more
//! runs on busy cores only make all of them end later. The adjustment helps with jobs that wait for disks or need more
//! core time than usual. Risk: runs that hang without using the cores raise the limit.

use crate::statistics::{DecayingMean, MeanDuration};
use crate::time::{Span, Time};

/// Relative throughput loss above which a step up is undone. Smaller differences are noise.
const MAX_THROUGHPUT_LOSS_UP: f64 = 0.1;
/// Relative throughput loss above which a step down is undone. A step down rarely costs throughput while cores are
/// busy.
const MAX_THROUGHPUT_LOSS_DOWN: f64 = 0.3;
/// Number of completed jobs after which a step is evaluated, per concurrent run that the limit allows.
const JOBS_PER_EVALUATION: f64 = 4.0;
/// Ratio of the cores in use from which the cores count as busy.
const BUSY_CORES_RATIO: f64 = 0.95;
/// Initial limit on concurrent runs per core.
const INITIAL_JOBS_PER_CORE: f64 = 1.5;
/// Upper bound of the limit on concurrent runs per core.
const MAX_JOBS_PER_CORE: f64 = 4.0;
/// Lower bound of the limit on concurrent runs per core while jobs wait unread.
const MIN_JOBS_PER_CORE_UNREAD: f64 = 0.5;

/// Limits the number of concurrent runs.
pub(crate) struct RunLimiter {
    cores: f64,
    limit: f64,
    step: f64,
    /// Throughput before the last step, in jobs per millisecond; `None` if the last step undid an earlier one.
    previous_rate: Option<f64>,
    /// Jobs that completed since the last step while other jobs waited.
    completed: f64,
    /// Time since the last step during which jobs waited.
    busy_time: Span,
    adjusted_at: Option<Time>,
    has_waiting_jobs: bool,
    /// Mean ratio of the cores in use while jobs wait.
    cores_used: DecayingMean,
    /// Mean time that jobs wait unread.
    unread: MeanDuration,
}

impl RunLimiter {
    /// Creates a limiter for a machine with this many cores.
    pub fn new(cores: f64, learning_window: Span, unread_window: Span) -> RunLimiter {
        RunLimiter {
            cores,
            limit: (cores * INITIAL_JOBS_PER_CORE).floor().max(1.0),
            step: 0.0,
            previous_rate: None,
            completed: 0.0,
            busy_time: Span::ZERO,
            adjusted_at: None,
            has_waiting_jobs: false,
            cores_used: DecayingMean::new(learning_window),
            unread: MeanDuration::new(unread_window),
        }
    }

    /// Changes the windows over which core use and unread time are averaged.
    pub fn set_learning_window(&mut self, now: Time, learning_window: Span, unread_window: Span) {
        self.unread.set_time_constant(now, unread_window);
        self.cores_used.set_time_constant(now, learning_window);
    }

    /// Records that a run completed.
    pub fn record_completion(&mut self) {
        if self.has_waiting_jobs {
            self.completed += 1.0;
        }
    }

    /// Records the ratio of the cores in use, 0 to 1, as measured by the host.
    pub fn record_core_use(&mut self, now: Time, ratio: f64) {
        if self.has_waiting_jobs {
            self.cores_used.record(now, ratio);
        }
    }

    /// Records how long a job that has been read had waited unread.
    pub fn job_read(&mut self, now: Time, unread: Span) {
        self.unread.record(now, unread);
    }

    /// Returns how long jobs wait unread on average.
    pub fn mean_unread(&mut self, now: Time) -> Span {
        self.unread.mean_or_zero(now)
    }

    /// Returns the limit without the reduction for jobs that wait unread.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the limit with the reduction for jobs that wait unread. Reading uses the same cores as the runs, and
    /// unread jobs can be neither rejected nor ordered. Therefore the limit decreases the further the mean unread time
    /// exceeds `target_unread`, down to [`MIN_JOBS_PER_CORE_UNREAD`] runs per core.
    pub fn current_limit(&mut self, now: Time, target_unread: Span) -> f64 {
        let excess = self.unread.mean_or_zero(now) / target_unread;
        let reduced = self.limit / excess.max(1.0);
        reduced.max(self.cores * MIN_JOBS_PER_CORE_UNREAD).min(self.limit)
    }

    /// Evaluates the last step and takes the next one, once enough jobs have completed. `has_waiting_jobs` is whether
    /// jobs are left in the run queue.
    pub fn adjust(&mut self, now: Time, has_waiting_jobs: bool) {
        let cores_used = self.cores_used.mean(now);
        if self.has_waiting_jobs {
            self.busy_time += self.adjusted_at.map_or(Span::ZERO, |adjusted_at| now.since(adjusted_at));
        }
        self.adjusted_at = Some(now);
        self.has_waiting_jobs = has_waiting_jobs;
        if self.completed >= JOBS_PER_EVALUATION * self.limit {
            self.take_step(cores_used);
        }
        self.limit = self.limit.clamp(self.cores, self.cores * MAX_JOBS_PER_CORE);
    }

    fn take_step(&mut self, cores_used: Option<f64>) {
        let rate = self.completed / self.busy_time.as_ms().max(1.0);
        let max_loss = if self.step > 0.0 { MAX_THROUGHPUT_LOSS_UP } else { MAX_THROUGHPUT_LOSS_DOWN };
        let throughput_fell = self.previous_rate.is_some_and(|previous| rate < previous * (1.0 - max_loss));
        let idle_cores = cores_used.is_none_or(|used| used < BUSY_CORES_RATIO);
        let direction = if idle_cores { 1.0 } else { -1.0 };
        self.step = if throughput_fell { -self.step } else { direction };
        self.limit += self.step;
        self.previous_rate = (!throughput_fell).then_some(rate);
        self.completed = 0.0;
        self.busy_time = Span::ZERO;
    }
}
