//! Sockets: reading and writing bytes and lines of bounded length, time limits, and reconnects. This module does not
//! interpret the contents of messages.

pub mod clients;
pub mod database;
pub mod executor;
pub mod listener;
pub mod log_limit;
pub mod registry;
pub mod tls;
