//! Wakes one waiting task; rung twice before it is heard, it is heard once.

use async_channel::{Receiver, Sender, bounded};

pub struct Bell {
    ring: Sender<()>,
    heard: Receiver<()>,
}

impl Default for Bell {
    fn default() -> Bell {
        let (ring, heard) = bounded(1);
        Bell { ring, heard }
    }
}

impl Bell {
    pub fn ring(&self) {
        // Full means that it was rung already; it can't be closed while it is held here.
        let _ = self.ring.try_send(());
    }

    pub async fn heard(&self) {
        let _ = self.heard.recv().await;
    }
}
