//! Lengths of time that follow from the latency objectives of the job classes: what counts as waiting long, and over
//! what time things are learned.

use crate::api::JobClass;
use crate::time::Span;

/// Learned figures decay over this many of the shortest latency objectives: some dozens of jobs, some seconds.
const LEARNING_WINDOW_OBJECTIVES: f64 = 2.0;
/// Ratio of the shortest latency objective that jobs may wait on average before callers are asked to send less.
const TARGET_WAIT_RATIO: f64 = 0.15;
/// Ratio of the shortest latency objective that jobs may wait unread before the server counts as lagging.
const LAG_RATIO: f64 = 0.3;
/// Ratio of the mean latency objective that jobs may wait unread on average before fewer run.
const UNREAD_WAIT_RATIO: f64 = 0.07;
/// Ratio of its latency objective that a job may wait in the run queue: beyond that another server is likely faster.
const QUEUE_PATIENCE_RATIO: f64 = 0.3;
/// The shortest latency objective where there are no job classes, in milliseconds.
const DEFAULT_OBJECTIVE_MS: f64 = 1000.0;

/// Lengths of time that follow from the latency objectives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timescales {
    /// The shortest latency objective of a class in use.
    pub shortest_objective: Span,
    /// Time constant of what is learned.
    pub learning_window: Span,
    /// How long jobs may wait on average, unread and queued, before callers are asked to send less.
    pub target_wait: Span,
    /// How long jobs may wait unread before the server counts as lagging.
    pub lag: Span,
    /// How long jobs may wait unread on average before fewer run.
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

/// How long a job of this class may wait in the run queue before it starts.
pub(crate) fn queue_patience(class: &JobClass) -> Span {
    class.latency_objective * QUEUE_PATIENCE_RATIO
}
