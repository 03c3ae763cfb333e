//! Building blocks of all connections of the project: reading lines and bodies of bounded length, writing through a
//! bounded queue, connecting within a time limit, and one type for how a connection ends.

#![warn(missing_docs)]

pub mod connect;
pub mod connection_end;
pub mod lines;
pub mod notify;
pub mod peer_state;
pub mod stream;
pub mod transient;
pub mod write_queue;
