//! The connections of clients: each has its own reader and writer, so that none delays another. The resources that a
//! peer may use are bounded for each connection. A connection becomes trusted once a job of it has run: it may have
//! more calls open, and is the last to be closed when connections run out.

mod connection;
mod eviction;
mod reader;
mod table;

pub use connection::{ClientConnection, MAX_OPEN_CALLS};
pub use table::{Accepting, ClientConnections, EndedConnection};
