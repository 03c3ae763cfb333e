//! Durations derived from the latency objectives of the job classes: thresholds for waiting times, and the window over
//! which statistics are averaged.

use crate::api::JobClass;
use crate::time::Span;

/// Time constant of decaying statistics in units of the shortest latency objective, which typically covers some dozens
/// of jobs in a few seconds.
const LEARNING_WINDOW_OBJECTIVES: f64 = 2.0;
/// Mean waiting time of jobs above which callers are asked to send less, as a ratio of the shortest latency objective.
const TARGET_WAIT_RATIO: f64 = 0.15;
/// Unread time of jobs above which the server counts as lagging, as a ratio of the shortest latency objective.
const LAG_RATIO: f64 = 0.3;
/// Mean unread time of jobs above which fewer jobs run, as a ratio of the mean latency objective.
const UNREAD_WAIT_RATIO: f64 = 0.07;
/// Longest expected wait of a job in the run queue, as a ratio of its latency objective. With a longer wait, another
/// server is likely to be faster.
const MAX_QUEUE_WAIT_RATIO: f64 = 0.3;
/// Latency objective assumed if there are no job classes, in milliseconds.
const DEFAULT_OBJECTIVE_MS: f64 = 1000.0;

/// Durations derived from the latency objectives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timescales {
    /// Shortest latency objective of a class in use.
    pub shortest_objective: Span,
    /// Time constant of decaying statistics.
    pub learning_window: Span,
    /// Mean waiting time of jobs, unread and queued, above which callers are asked to send less.
    pub target_wait: Span,
    /// Unread time of jobs above which the server counts as lagging.
    pub lag: Span,
    /// Mean unread time of jobs above which fewer jobs run.
    pub unread_wait: Span,
}

impl Timescales {
    /// Derives the timescales from the classes in use.
    pub fn new<'a>(job_classes: impl Iterator<Item = &'a JobClass>) -> Timescales {
        let objectives: Vec<Span> = job_classes.map(|class| class.latency_objective).collect();
        let shortest = objectives.iter().min().copied().unwrap_or(Span::from_ms(DEFAULT_OBJECTIVE_MS));
        let total = objectives.iter().fold(Span::ZERO, |total, objective| total + *objective);
        let mean = total * (1.0 / objectives.len().max(1) as f64);
        Timescales {
            shortest_objective: shortest,
            learning_window: shortest * LEARNING_WINDOW_OBJECTIVES,
            target_wait: shortest * TARGET_WAIT_RATIO,
            lag: shortest * LAG_RATIO,
            unread_wait: mean * UNREAD_WAIT_RATIO,
        }
    }
}

/// Returns the longest time that a job of this class may be expected to wait in the run queue.
pub(crate) fn max_queue_wait(class: &JobClass) -> Span {
    class.latency_objective * MAX_QUEUE_WAIT_RATIO
}
