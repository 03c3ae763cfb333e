//! Admission control and scheduling for one server of a fleet: decides which jobs the server admits, runs and rejects.
//!
//! [`controller::Controller`] combines the rules, each of which has its own module. [`api`] contains the input and
//! output types; [`time`], [`statistics`] and [`random`] contain arithmetic. The crate reads no clock and performs no
//! I/O. `docs/design.md` describes the mechanism and its exceptions.

#![warn(missing_docs)]

pub mod api;
pub mod controller;
pub mod random;
pub mod statistics;
pub mod time;

mod call_limiter;
mod deadline;
mod deduplication;
mod drain;
mod health;
mod host_load;
mod job_table;
mod load_signal;
mod memory;
mod rejection;
mod run_limiter;
mod run_queue;
mod service_times;
mod timescales;
