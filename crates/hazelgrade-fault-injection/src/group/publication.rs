//! Publishes documents to a group.

use super::{Group, documents};
use std::io;

impl Group {
    /// Publishes the next document, and keeps copies of all stores and counters for [`Disk::Old`](crate::plan::Disk).
    ///
    /// # Errors
    ///
    /// If the document cannot be made or written.
    pub fn publish(&mut self, harmful: bool) -> io::Result<()> {
        self.copy_stores();
        self.published_documents += 1;
        let document =
            documents::numbered_document(self.published_documents, harmful).map_err(io::Error::other)?;
        self.published_digest = documents::shown_digest(&document);
        if harmful {
            self.history.harmful.push(self.published_digest.clone());
        }
        let second = self.shared_budget.as_ref().and_then(|shared| shared.second_control.as_ref());
        if let Some(second) = second {
            second.publish(&document.to_toml())?;
        }
        self.control_service.publish(&document.to_toml())
    }

    /// Copies each store as a crash would leave it: its process is suspended meanwhile.
    fn copy_stores(&mut self) {
        for member in &mut self.nodes {
            let suspend = member.running && !member.suspended;
            if suspend {
                member.set_suspended(true);
            }
            let store = std::fs::read(member.node.config.store_file()).ok();
            member.old_store = store.or(member.old_store.take());
            if suspend {
                member.set_suspended(false);
            }
        }
        if let Some(shared) = &mut self.shared_budget
            && !self.control_service_suspended
            && !shared.second_control_suspended
        {
            shared.snapshot_stores(&self.control_service);
        }
        let counter = std::fs::read(self.control_service.counter_file()).ok();
        self.old_counter_file = counter.or(self.old_counter_file.take());
    }
}
