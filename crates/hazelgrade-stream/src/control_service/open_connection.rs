//! A connection as a control service holds it.

use async_executor::Task;
use hazelgrade_net::ending::ConnectionEnd;
use hazelgrade_net::outbox::Outbox;
use std::rc::Rc;

/// A connection with its tasks; dropping them closes it.
pub(super) struct OpenConnection {
    pub write_queue: Rc<Outbox>,
    pub reader: Task<()>,
    pub writer: Task<ConnectionEnd>,
}
