//! Request handling: the way of a job from the client's connection through the controller to the executor and the
//! database, and back.
//!
//! `front_end` admits the jobs that clients send. Each admitted job has its own task (`job`), which handles the events
//! that `controller_driver`, `executor_events` and `dependency_calls` send to the job through the `in_flight` table.

pub mod budget_share;
pub mod callers;
pub mod clock;
pub mod context;
pub mod controller_driver;
pub mod counters;
pub mod dependency_calls;
pub mod event_log;
pub mod executor_events;
pub mod front_end;
pub mod in_flight;
pub mod job;
pub mod liveness;
pub mod outcome;
pub mod result_cache;
pub mod run_command;
pub mod started_jobs;
pub mod timers;
