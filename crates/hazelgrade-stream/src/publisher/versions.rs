//! The numbers of versions: each is stored before it is published.

use super::Publisher;
use super::event::{Action, ConnectionId, Counter};
use super::state::{NumberedDocument, PublishedVersion};
use hazelgrade_config::{Document, Version};

/// The most earlier versions that differences can be made against.
const MAX_BASES: usize = 8;

impl Publisher {
    pub(super) fn on_document_changed(&mut self, document: Document, actions: &mut Vec<Action>) {
        let unconfirmed = self.unconfirmed.as_ref().map(|unconfirmed| unconfirmed.version);
        let latest = unconfirmed.or_else(|| self.current_version());
        if latest.is_some_and(|latest| latest.digest == document.digest()) {
            self.next_document = None;
            return;
        }
        if self.unconfirmed.is_some() {
            self.next_document = Some(document);
            return;
        }
        // After a restart the folder usually has the document that was published last: it keeps its number.
        let published_before = self.counter.last.filter(|last| last.digest == document.digest());
        match published_before {
            Some(version) if self.current.is_none() => self.publish(version, document, actions),
            _ => {
                let number = self.counter.last.map_or(1, |last| last.number + 1);
                self.store_number(number, document, actions);
            }
        }
    }

    fn store_number(&mut self, number: u64, document: Document, actions: &mut Vec<Action>) {
        let version = Version { number, digest: document.digest() };
        let counter = Counter { lineage: self.counter.lineage.clone(), last: Some(version) };
        self.unconfirmed = Some(NumberedDocument { version, document });
        actions.push(Action::StoreCounter(counter));
    }

    pub(super) fn on_counter_stored(&mut self, result: Result<(), String>, actions: &mut Vec<Action>) {
        let Some(NumberedDocument { version, document }) = self.unconfirmed.take() else { return };
        match result {
            Ok(()) => {
                self.counter.last = Some(version);
                self.publish(version, document, actions);
            }
            Err(reason) => {
                // No subscriber knows the number; the document is published when the folder changes again.
                actions.push(Action::Log(format!("version {version} is not published: {reason}")));
            }
        }
        if let Some(document) = self.next_document.take() {
            self.on_document_changed(document, actions);
        }
    }

    fn publish(&mut self, version: Version, document: Document, actions: &mut Vec<Action>) {
        if let Some(previous) = self.current.take() {
            let PublishedVersion { version, document, .. } = previous;
            self.bases.push_back(NumberedDocument { version, document });
            if self.bases.len() > MAX_BASES {
                self.bases.pop_front();
            }
        }
        self.contents.clear();
        actions.push(Action::Log(format!("version {version} is published")));
        let text = document.to_toml();
        self.current = Some(PublishedVersion { version, document, text });
        let connections: Vec<ConnectionId> = self.sessions.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.offer(connection, actions));
    }

    /// Handles that a subscriber knows a greater number, or the current one with another document. If the counter was
    /// lost, the current document is published again under a greater number; returns whether it is or already was.
    pub(super) fn skip_past(&mut self, known: Version, actions: &mut Vec<Action>) -> bool {
        if self.acknowledged {
            let reason = "another control service publishes under this lineage";
            actions.push(Action::Log(format!("version {known} is not from here: {reason}")));
            return false;
        }
        if self.unconfirmed.is_some() {
            return true;
        }
        let Some(current) = &self.current else { return false };
        let document = current.document.clone();
        actions.push(Action::Log(format!("the stored counter is behind: subscribers know version {known}")));
        let last_number = self.counter.last.map_or(0, |last| last.number);
        self.store_number(known.number.max(last_number) + 1, document, actions);
        true
    }
}
