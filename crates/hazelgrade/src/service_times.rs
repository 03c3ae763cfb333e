//! Mean durations of completed runs by job class.

use crate::statistics::MeanDuration;
use crate::time::{Span, Time};

/// Assumed core time before any run has completed, in milliseconds.
const DEFAULT_CORE_TIME_MS: f64 = 1.0;

/// The mean core times and run times of completed runs.
pub(crate) struct ServiceTimes {
    /// Mean time on the cores by class.
    core_time: Vec<MeanDuration>,
    /// Mean time from start to end by class.
    run_time: Vec<MeanDuration>,
    /// Mean time on the cores over all classes.
    overall_core_time: MeanDuration,
}

impl ServiceTimes {
    /// Creates means without samples for this many classes.
    pub fn new(classes: usize, window: Span) -> ServiceTimes {
        ServiceTimes {
            core_time: vec![MeanDuration::new(window); classes],
            run_time: vec![MeanDuration::new(window); classes],
            overall_core_time: MeanDuration::new(window),
        }
    }

    /// Changes the number of classes and the window of the means. The samples of the classes in `reset` are discarded.
    pub fn update(&mut self, now: Time, classes: usize, reset: &[usize], window: Span) {
        for means in [&mut self.core_time, &mut self.run_time] {
            means.resize_with(classes, || MeanDuration::new(window));
            for index in reset {
                if let Some(mean) = means.get_mut(*index) {
                    *mean = MeanDuration::new(window);
                }
            }
            means.iter_mut().for_each(|mean| mean.set_time_constant(now, window));
        }
        self.overall_core_time.set_time_constant(now, window);
    }

    /// Records the core time and run time of a completed run.
    pub fn record(&mut self, now: Time, job_class: usize, core_time: Span, run_time: Span) {
        self.core_time[job_class].record(now, core_time);
        self.run_time[job_class].record(now, run_time);
        self.overall_core_time.record(now, core_time);
    }

    /// Returns the mean time on the cores of a class, or of all classes if no run of the class has completed yet.
    pub fn core_time(&mut self, now: Time, job_class: usize) -> Span {
        let mean = self.core_time[job_class].mean(now).or_else(|| self.overall_core_time.mean(now));
        mean.unwrap_or(Span::from_ms(DEFAULT_CORE_TIME_MS))
    }

    /// Returns the mean time from start to end of a class, or zero if no run of the class has completed yet.
    pub fn run_time(&mut self, now: Time, job_class: usize) -> Span {
        self.run_time[job_class].mean_or_zero(now)
    }

    /// Returns the mean time on the cores over all classes, or `None` if no run has completed yet.
    pub fn overall_core_time(&mut self, now: Time) -> Option<Span> {
        self.overall_core_time.mean(now)
    }
}
