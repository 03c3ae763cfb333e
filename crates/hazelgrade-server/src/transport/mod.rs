//! Sockets: bytes, bounded lines, reconnects. What the bytes mean is not known here.

pub mod clients;
pub mod connect;
pub mod database;
pub mod ending;
pub mod executor;
pub mod lines;
pub mod listener;
pub mod outbox;
pub mod registry;
