//! Numbering and publishing of versions: each number is stored before its version is published.

use super::Publisher;
use super::event::{Action, ConnectionId, Counter};
use super::state::{NumberedDocument, PublishedVersion};
use hazelgrade_config::{Document, Version};

/// The maximum number of earlier versions that differences can be computed against.
const MAX_DELTA_BASES: usize = 8;

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
        // After a restart the folder usually contains the document that was published last, which keeps its number.
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
                // No subscriber knows the number. The document is passed in again while it is not published.
                actions.push(Action::Log(format!(
                    "version {version} is not published, as its number could not be stored: {reason}"
                )));
            }
        }
        if let Some(document) = self.next_document.take() {
            self.on_document_changed(document, actions);
        }
    }

    fn publish(&mut self, version: Version, document: Document, actions: &mut Vec<Action>) {
        if let Some(previous) = self.current.take() {
            let PublishedVersion { version, document, .. } = previous;
            self.delta_bases.push_back(NumberedDocument { version, document });
            if self.delta_bases.len() > MAX_DELTA_BASES {
                self.delta_bases.pop_front();
            }
        }
        self.content_by_base.clear();
        actions.push(Action::Log(format!("version {version} is published")));
        let text = document.to_toml();
        self.current = Some(PublishedVersion { version, document, text });
        let connections: Vec<ConnectionId> = self.sessions.keys().copied().collect();
        connections.into_iter().for_each(|connection| self.offer(connection, actions));
    }

    /// Handles that a subscriber knows a greater version number, or the current number with another document. If the
    /// stored counter may have been lost, begins to publish the current document again under a greater number, unless
    /// another number is being stored already. Returns whether a number is being stored.
    pub(super) fn skip_past(&mut self, known: Version, actions: &mut Vec<Action>) -> bool {
        if self.any_acknowledged {
            let reason = "another control service publishes under this lineage";
            actions.push(Action::Log(format!(
                "a subscriber knows version {known}, which was not published here: {reason}"
            )));
            return false;
        }
        if self.unconfirmed.is_some() {
            return true;
        }
        let Some(current) = &self.current else { return false };
        let document = current.document.clone();
        actions.push(Action::Log(format!(
            "skipping version numbers: the stored counter is behind version {known}, which a subscriber knows"
        )));
        let last_number = self.counter.last.map_or(0, |last| last.number);
        self.store_number(known.number.max(last_number) + 1, document, actions);
        true
    }
}
