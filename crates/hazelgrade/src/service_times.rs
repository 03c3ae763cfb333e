//! How long runs take, by job class, as learned from those that completed.

use crate::statistics::MeanDuration;
use crate::time::{Span, Time};

/// Core time that is assumed before any run has completed, in milliseconds.
const DEFAULT_CORE_TIME_MS: f64 = 1.0;

/// Mean times of completed runs.
pub(crate) struct ServiceTimes {
    /// Time on the cores, by class.
    core_time: Vec<MeanDuration>,
    /// Time from start to end, by class.
    run_time: Vec<MeanDuration>,
    /// Time on the cores, over all classes.
    overall_core_time: MeanDuration,
}

impl ServiceTimes {
    /// No times learned yet, for this many classes.
    pub fn new(classes: usize, window: Span) -> ServiceTimes {
        ServiceTimes {
            core_time: vec![MeanDuration::new(window); classes],
            run_time: vec![MeanDuration::new(window); classes],
            overall_core_time: MeanDuration::new(window),
        }
    }

    /// Learns over another window from now on; what was learned of the classes in `reset` is forgotten.
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

    /// A run completed.
    pub fn record(&mut self, now: Time, job_class: usize, core_time: Span, run_time: Span) {
        self.core_time[job_class].record(now, core_time);
        self.run_time[job_class].record(now, run_time);
        self.overall_core_time.record(now, core_time);
    }

    /// Mean time on the cores of a class, or of all classes as long as nothing is known of this one.
    pub fn core_time(&mut self, now: Time, job_class: usize) -> Span {
        let mean = self.core_time[job_class].mean(now).or_else(|| self.overall_core_time.mean(now));
        mean.unwrap_or(Span::from_ms(DEFAULT_CORE_TIME_MS))
    }

    /// Mean time from start to end of a class, or zero as long as nothing is known.
    pub fn run_time(&mut self, now: Time, job_class: usize) -> Span {
        self.run_time[job_class].mean_or_zero(now)
    }

    /// Mean time on the cores over all classes.
    pub fn overall_core_time(&mut self, now: Time) -> Option<Span> {
        self.overall_core_time.mean(now)
    }
}
