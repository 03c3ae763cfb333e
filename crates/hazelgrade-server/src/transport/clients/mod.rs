//! The connections of clients: each has a reader and a writer of its own, so that none delays another. What a peer
//! may cost is bounded for each connection; one whose jobs have run is trusted: it may have more calls open, and is
//! the last to be closed when connections run out.

mod connection;
mod eviction;
mod reader;
mod table;

pub use connection::{ClientConnection, MAX_OPEN_CALLS};
pub use table::{Accepting, ClientConnections};
