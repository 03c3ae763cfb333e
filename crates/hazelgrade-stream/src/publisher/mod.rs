//! The control service's side of streamed configuration, as a state machine: events and the time come in, actions go
//! out.
//!
//! A version is numbered and its number is stored before any subscriber is offered it, so that no number is ever used
//! for two documents. Each subscriber is offered the latest version once; its answer holds until there is
//! another version. A publisher that lost its counter skips the numbers that its subscribers know, but only before
//! any of them has acknowledged a version in this run: after that a greater number means that another control service
//! publishes under the same lineage. The publisher then offers nothing to that subscriber and logs it.

mod event;
mod node;
mod offers;
mod sessions;
mod state;
mod versions;

pub use event::{Action, ConnectionId, Counter, Event};
pub use node::{Node, NodeStatus};
pub use state::PING_INTERVAL_MS;

use crate::admission::Admission;
use crate::protocol::Content;
use hazelgrade::time::Time;
use hazelgrade_config::{Document, Version};
use state::{NumberedDocument, PublishedVersion, Session};
use std::collections::{BTreeMap, VecDeque};

/// Publishes one kind of document.
#[derive(Clone, Debug)]
pub struct Publisher {
    counter: Counter,
    /// The latest version whose number is stored: it may be offered.
    current: Option<PublishedVersion>,
    /// The next version, published once its number is stored.
    unconfirmed: Option<NumberedDocument>,
    /// The latest document that came while a number was being stored.
    next_document: Option<Document>,
    /// Earlier versions that differences can be made against, the latest last.
    bases: VecDeque<NumberedDocument>,
    /// What subscribers with a base are sent of the current version: computed once for each base.
    contents: BTreeMap<Version, Content>,
    admission: Admission,
    sessions: BTreeMap<ConnectionId, Session>,
    nodes: BTreeMap<String, Node>,
    /// Whether any subscriber has acknowledged a version in this run.
    acknowledged: bool,
    last_nonce: u64,
    last_ping: Option<Time>,
}

/// A published version with its document.
#[derive(Clone, Copy, Debug)]
pub struct VersionedDocument<'a> {
    /// Number and digest.
    pub version: Version,
    /// The document that has this digest.
    pub document: &'a Document,
}

/// How the current version does on the nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Nodes that answered to its offer.
    pub answered: usize,
    /// Those of them that rolled back or rejected it as one that failed before.
    pub failed: usize,
}

impl Publisher {
    /// A publisher that continues from a stored counter. Nothing is published until a document comes.
    pub fn new(counter: Counter, admission: Admission) -> Publisher {
        Publisher {
            counter,
            current: None,
            unconfirmed: None,
            next_document: None,
            bases: VecDeque::new(),
            contents: BTreeMap::new(),
            admission,
            sessions: BTreeMap::new(),
            nodes: BTreeMap::new(),
            acknowledged: false,
            last_nonce: 0,
            last_ping: None,
        }
    }

    /// The lineage that it publishes under.
    pub fn lineage(&self) -> &str {
        &self.counter.lineage
    }

    /// The current version.
    pub fn current_version(&self) -> Option<Version> {
        self.current.as_ref().map(|current| current.version)
    }

    /// The current version with its document.
    pub fn current(&self) -> Option<VersionedDocument<'_>> {
        let current = self.current.as_ref()?;
        Some(VersionedDocument { version: current.version, document: &current.document })
    }

    /// The version that was published before the current one in this run.
    pub fn previous(&self) -> Option<VersionedDocument<'_>> {
        let previous = self.bases.back()?;
        Some(VersionedDocument { version: previous.version, document: &previous.document })
    }

    /// How the current version does on the nodes.
    pub fn rollout(&self) -> Rollout {
        let current = self.current_version();
        let offered = self.nodes.values().filter(|node| node.offered == current);
        let mut rollout = Rollout::default();
        for node in offered.filter(|node| node.status != NodeStatus::Pending) {
            rollout.answered += 1;
            rollout.failed += usize::from(node.status.is_failure());
        }
        rollout
    }

    /// The nodes that it remembers, by name.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// How many connections are open.
    pub fn connection_count(&self) -> usize {
        self.sessions.len()
    }

    /// Handles an event; the resulting actions are added to `actions`, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Connected { connection } => self.on_connected(now, connection),
            Event::Received { connection, message } => self.on_message(now, connection, message, actions),
            Event::Disconnected { connection } => self.on_disconnected(now, connection),
            Event::DocumentChanged(document) => self.on_document_changed(document, actions),
            Event::CounterStored(result) => self.on_counter_stored(result, actions),
            Event::TimerFired => self.ping(now, actions),
        }
    }
}
