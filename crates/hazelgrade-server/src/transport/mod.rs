//! Sockets: bytes, lines of bounded length, time limits, reconnects. This module does not interpret the bytes.

pub mod clients;
pub mod database;
pub mod executor;
pub mod listener;
pub mod registry;
pub mod tls;
