//! Client connections. Each connection has its own reader and writer, so that no connection delays another, and the
//! resources that a peer may use are bounded per connection. A connection becomes trusted once a job requested on it
//! has run. A trusted connection may have more open calls and is evicted last when the limit on connections is reached.

mod activity;
mod allowance;
mod call_limit;
mod connection;
mod eviction;
mod reader;
mod table;
mod throttle;

pub use activity::ConnectionSummary;
pub use allowance::MessageAllowance;
pub use call_limit::{CallPool, MAX_OPEN_CALLS, PooledCalls};
pub use connection::ClientConnection;
pub use table::{Accepting, ClientConnections, EndedConnection};
pub use throttle::SharedThrottle;
