//! The service instance as a process: what it serves, what input costs it, restarts, fleets, rare crossings.

#![allow(clippy::expect_used, clippy::panic, clippy::too_many_lines)]
mod common;
mod crossings;
mod fleet;
mod input;
mod process;
mod serving;
