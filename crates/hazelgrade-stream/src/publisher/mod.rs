//! The control service's side of streamed configuration, as a state machine: the input is events with the current
//! time, the output is actions.
//!
//! The number of a version is stored before the version is offered to any subscriber, so that no number is ever used
//! for two documents. Each subscriber is offered the latest version once, and its answer holds until there is another
//! version. A publisher that lost its counter skips the numbers that its subscribers know, but only before any
//! subscriber has acknowledged a version since the publisher started: after that, a greater number means that another
//! control service publishes under the same lineage. The publisher then logs the conflict and doesn't offer its version
//! to that subscriber again.

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
    /// The latest version whose number is stored, which is the one that is offered.
    current: Option<PublishedVersion>,
    /// The next version, which is published once its number is stored.
    unconfirmed: Option<NumberedDocument>,
    /// The latest document that was read while a number was being stored.
    next_document: Option<Document>,
    /// Earlier versions that a difference can be computed against, the latest last.
    delta_bases: VecDeque<NumberedDocument>,
    /// The content that is offered of the current version, by the version that the subscriber has in effect; computed
    /// once for each base.
    content_by_base: BTreeMap<Version, Content>,
    admission: Admission,
    sessions: BTreeMap<ConnectionId, Session>,
    nodes: BTreeMap<String, Node>,
    /// Whether any subscriber has acknowledged a version since the publisher started.
    any_acknowledged: bool,
    last_nonce: u64,
    last_ping: Option<Time>,
}

/// A published version with its document.
#[derive(Clone, Copy, Debug)]
pub struct VersionedDocument<'a> {
    /// The version's number and the digest of its document.
    pub version: Version,
    /// The version's document.
    pub document: &'a Document,
}

/// The progress of the current version on the nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Nodes that acknowledged or rejected the current version.
    pub answered: usize,
    /// Nodes among them that rolled the version back, or rejected it because it failed on them before.
    pub failed: usize,
}

impl Publisher {
    /// Creates a publisher that continues from a stored counter. Nothing is published before the first
    /// [`Event::DocumentChanged`].
    pub fn new(counter: Counter, admission: Admission) -> Publisher {
        Publisher {
            counter,
            current: None,
            unconfirmed: None,
            next_document: None,
            delta_bases: VecDeque::new(),
            content_by_base: BTreeMap::new(),
            admission,
            sessions: BTreeMap::new(),
            nodes: BTreeMap::new(),
            any_acknowledged: false,
            last_nonce: 0,
            last_ping: None,
        }
    }

    /// The lineage that the publisher publishes under.
    pub fn lineage(&self) -> &str {
        &self.counter.lineage
    }

    /// The version that is offered to subscribers, if any is published.
    pub fn current_version(&self) -> Option<Version> {
        self.current.as_ref().map(|current| current.version)
    }

    /// The version that is offered to subscribers, with its document.
    pub fn current(&self) -> Option<VersionedDocument<'_>> {
        let current = self.current.as_ref()?;
        Some(VersionedDocument { version: current.version, document: &current.document })
    }

    /// The version that was published before the current one since the publisher started.
    pub fn previous(&self) -> Option<VersionedDocument<'_>> {
        let previous = self.delta_bases.back()?;
        Some(VersionedDocument { version: previous.version, document: &previous.document })
    }

    /// The progress of the current version on the nodes.
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

    /// The nodes that the publisher remembers, in the order of their names.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.sessions.len()
    }

    /// Handles an event and appends the resulting actions to `actions`, in order.
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
