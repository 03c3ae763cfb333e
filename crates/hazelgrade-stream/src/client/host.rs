//! The node around a subscriber.

use crate::protocol::{PublisherMessage, SubscriberMessage};
use crate::trial::Sample;
use futures_lite::future::BoxedLocal;
use hazelgrade::time::Time;
use hazelgrade_config::Document;

/// What a client needs of its node.
pub trait Host {
    /// The node's clock.
    fn now(&self) -> Time;

    /// Stores the bytes, off the serving thread. Resolves when they are on the disk, or to the reason why they are not.
    fn store(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>>;

    /// Serves by the document from the next round on; without one the node is not ready. `is_rollback` is whether
    /// the document is what the node served by before a version that failed.
    ///
    /// # Errors
    ///
    /// Why the node can't serve by it.
    fn apply(&self, document: Option<&Document>, is_rollback: bool) -> Result<(), String>;

    /// How jobs fared since the last call.
    fn sample(&self) -> Sample;

    /// The next message that the node itself has to send. Called until it returns `None`.
    fn next_message(&self) -> Option<SubscriberMessage> {
        None
    }

    /// When a message may be due.
    fn next_message_at(&self) -> Option<Time> {
        None
    }

    /// Waits until `next_message_at` may have changed.
    fn message_ready(&self) -> BoxedLocal<()> {
        Box::pin(std::future::pending())
    }

    /// A connection is open; nothing that was sent on the one before is answered any more.
    fn on_connected(&self) {}

    /// A message came; those that concern the configuration are handled without the node.
    fn on_message(&self, _message: &PublisherMessage) {}
}
