//! Wakes one waiting task.

use async_channel::{Receiver, Sender, bounded};

/// Stores at most one notification: several calls of [`Notify::notify`] before the next [`Notify::notified`] count as
/// one, and one that comes while nobody waits is stored for the next waiter.
pub struct Notify {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Notify {
    fn default() -> Notify {
        let (sender, receiver) = bounded(1);
        Notify { sender, receiver }
    }
}

impl Notify {
    /// Wakes the waiting task, or the next one that waits. Never blocks.
    pub fn notify(&self) {
        // Full means that a notification is pending already; the channel can't be closed while both ends are held here.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification and takes it.
    pub async fn notified(&self) {
        let _ = self.receiver.recv().await;
    }
}
