//! The state that a control service keeps of an open connection.

use async_executor::Task;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::write_queue::WriteQueue;
use std::rc::Rc;

/// An open connection. Dropping the reader and writer tasks closes the connection.
pub(super) struct OpenConnection {
    /// The queue of data to be written.
    pub write_queue: Rc<WriteQueue>,
    /// The task that reads messages.
    pub reader: Task<()>,
    /// The task that writes the queued data.
    pub writer: Task<ConnectionEnd>,
}
