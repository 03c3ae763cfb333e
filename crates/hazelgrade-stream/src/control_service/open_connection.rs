//! A connection as a control service holds it.

use async_executor::Task;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::write_queue::WriteQueue;
use std::rc::Rc;

/// A connection with its tasks; dropping them closes it.
pub(super) struct OpenConnection {
    pub write_queue: Rc<WriteQueue>,
    pub reader: Task<()>,
    pub writer: Task<ConnectionEnd>,
}
