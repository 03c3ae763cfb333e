//! Request handling: from the client's connection through the controller to the executor and the database, and back.
//!
//! `front_end` admits what clients send; each admitted job has its own task (`job`), driven by events that
//! `controller_driver`, `executor_events` and `dependency_calls` send it through the `in_flight` table.

pub mod budget_share;
pub mod callers;
pub mod clock;
pub mod context;
pub mod controller_driver;
pub mod counters;
pub mod dependency_calls;
pub mod executor_events;
pub mod front_end;
pub mod in_flight;
pub mod job;
pub mod liveness;
pub mod outcome;
pub mod result_cache;
pub mod timers;
