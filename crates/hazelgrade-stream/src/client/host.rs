//! The interface of the node that a subscriber configures.

use crate::protocol::{PublisherMessage, SubscriberMessage};
use crate::trial::Sample;
use futures_lite::future::BoxedLocal;
use hazelgrade::time::Time;
use hazelgrade_config::Document;

/// The functions of a node that its subscriber client calls.
pub trait Host {
    /// Returns the current time of the node's clock.
    fn now(&self) -> Time;

    /// Stores the encoded state outside the serving thread, which must not block on the disk. Resolves once the state
    /// is on the disk, or to the reason why the state could not be stored.
    fn store(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>>;

    /// Puts a document into effect from the node's next round on. Without a document the node is not ready to serve.
    /// `is_rollback` states whether the document was in effect before a version that failed.
    ///
    /// # Errors
    ///
    /// Returns why the node can't apply the document.
    fn apply(&self, document: Option<&Document>, is_rollback: bool) -> Result<(), String>;

    /// Returns how many jobs were answered and succeeded since the previous call of this function.
    fn sample(&self) -> Sample;

    /// Returns the next message that the node itself sends to the control service. The client calls this function until
    /// it returns `None`.
    fn next_message(&self) -> Option<SubscriberMessage> {
        None
    }

    /// Returns the time at which the next message of the node may be due, if any.
    fn next_message_at(&self) -> Option<Time> {
        None
    }

    /// Waits until the results of `next_message` and `next_message_at` may have changed.
    fn message_ready(&self) -> BoxedLocal<()> {
        Box::pin(std::future::pending())
    }

    /// Handles the opening of a connection. Messages that were sent on the previous connection get no answer any more.
    fn on_connected(&self) {}

    /// Handles a message from the control service. The subscriber handles all messages on the configuration; the node
    /// may ignore those.
    fn on_message(&self, _message: &PublisherMessage) {}
}
