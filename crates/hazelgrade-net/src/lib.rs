//! What every connection of the project is built on: lines and bodies of bounded length, writes through a bounded
//! queue, connecting within a time limit, and one type for how a connection ends.

#![warn(missing_docs)]

pub mod connect;
pub mod connection_end;
pub mod lines;
pub mod notify;
pub mod stream;
pub mod write_queue;
