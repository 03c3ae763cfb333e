//! Decides, inside one server of a fleet, which jobs it admits, runs and rejects.
//!
//! [`controller::Controller`] combines the rules; each rule has its own module. [`api`] holds the types that go in
//! and out; [`time`], [`statistics`] and [`random`] are arithmetic. Nothing here reads a clock or does input or output.
//! `docs/design.md` describes the mechanism and its exceptions.

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
