//! Sockets: bytes, lines of bounded length, time limits, reconnects. What the bytes mean is not known here.

#![warn(missing_docs)]

pub mod clients;
pub mod database;
pub mod executor;
pub mod listener;
pub mod registry;
pub mod tls;
