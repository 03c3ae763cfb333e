//! Integration tests of the service instance as a process: serving, invalid input, restarts, several instances, and
//! events that happen at the same moment.

#![allow(clippy::expect_used, clippy::panic, clippy::too_many_lines)]
mod clock;
mod common;
mod crossings;
mod database;
mod executor_link;
mod fleet;
mod honest_clients;
mod input;
mod leaving_clients;
mod log;
mod memory;
mod process;
mod retries;
mod serving;
mod system_calls;
