//! What every connection of the project stands on: bounded lines, bounded writing, giving up in time, and the one type
//! of how a connection ends.

pub mod bell;
pub mod connect;
pub mod ending;
pub mod lines;
pub mod outbox;
pub mod wire;
