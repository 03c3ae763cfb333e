//! The connections of subscribers and the messages received on them.

use super::Publisher;
use super::event::{Action, ConnectionId};
use super::node::{Node, NodeStatus};
use super::state::{PING_INTERVAL_MS, Session};
use crate::protocol::{PublisherMessage, Rejection, SubscriberMessage};
use hazelgrade::time::{Span, Time};
use hazelgrade_config::Version;

/// The time without a message after which a connection is closed, in milliseconds: four pings without an answer.
const SILENCE_TIMEOUT_MS: f64 = 20_000.0;
/// The maximum number of nodes that are remembered. Past this number the node that has been disconnected longest is
/// forgotten.
const MAX_NODES: usize = 8192;

/// The report of a node that subscribes.
struct Subscription {
    name: String,
    program: String,
    in_effect: Option<Version>,
    on_trial: bool,
}

impl Publisher {
    pub(super) fn on_connected(&mut self, now: Time, connection: ConnectionId) {
        let session = Session { node: None, last_received: now, pending_offer: None, full_only: false };
        self.sessions.insert(connection, session);
    }

    pub(super) fn on_disconnected(&mut self, now: Time, connection: ConnectionId) {
        let Some(name) = self.sessions.remove(&connection).and_then(|session| session.node) else { return };
        if let Some(node) = self.nodes.get_mut(&name).filter(|node| node.connection == Some(connection)) {
            node.connection = None;
            node.since = now;
        }
    }

    pub(super) fn on_message(
        &mut self,
        now: Time,
        connection: ConnectionId,
        message: SubscriberMessage,
        actions: &mut Vec<Action>,
    ) {
        let Some(session) = self.sessions.get_mut(&connection) else { return };
        session.last_received = now;
        match message {
            // The lessor handles messages about leases and budgets; a pong only shows that the connection works.
            SubscriberMessage::Pong
            | SubscriberMessage::LeaseRequest(_)
            | SubscriberMessage::SiteReport(_)
            | SubscriberMessage::BudgetCommand { .. } => {}
            SubscriberMessage::Status { request_id } => {
                actions.push(Action::ReportStatus { connection, request_id });
            }
            SubscriberMessage::Subscribe { node, program, lineage, in_effect, on_trial, .. } => {
                let subscription = Subscription { name: node, program, in_effect, on_trial };
                self.on_subscribe(now, connection, subscription, lineage, actions);
            }
            SubscriberMessage::Acknowledged { nonce, version, on_trial, staged } => {
                let Some(name) = self.close_pending_offer(now, connection, nonce) else { return };
                self.on_acknowledged(&name, version, on_trial, staged);
                self.offer(connection, actions);
            }
            SubscriberMessage::Rejected { nonce, version, rejection } => {
                let was_delta = session.pending_offer.is_some_and(|offer| offer.is_delta);
                let Some(name) = self.close_pending_offer(now, connection, nonce) else { return };
                actions.push(Action::Log(format!("node {name} rejected version {version}: {rejection}")));
                self.on_rejected(connection, &name, version, rejection, was_delta, actions);
            }
            SubscriberMessage::TrialEnded { version, failure } => {
                let Some(name) = session.node.clone() else { return };
                self.on_trial_ended(now, &name, version, failure, actions);
            }
        }
    }

    fn on_subscribe(
        &mut self,
        now: Time,
        connection: ConnectionId,
        subscription: Subscription,
        lineage: Option<String>,
        actions: &mut Vec<Action>,
    ) {
        // Only subscriptions are rate-limited, because each may cause a document to be sent. Open connections cost
        // little, and an operator's request for the status is always answered.
        if let Err(delay) = self.admission.admit(now) {
            actions.push(Action::Send { connection, message: PublisherMessage::RetryAfter(delay) });
            actions.push(Action::Close { connection });
            return;
        }
        self.close_earlier_session(connection, &subscription.name, actions);
        if let Some(session) = self.sessions.get_mut(&connection) {
            session.node = Some(subscription.name.clone());
        }
        self.remember_node(now, connection, subscription);
        if let Some(other) = lineage.filter(|lineage| *lineage != self.counter.lineage) {
            actions.push(Action::Log(format!(
                "the node on connection {connection} follows another lineage, {other}"
            )));
        }
        self.offer(connection, actions);
    }

    /// Closes the connection on which a node of this name subscribed before. Either that connection is dead, or two
    /// nodes have the same name and the one that subscribed last is served.
    fn close_earlier_session(&mut self, connection: ConnectionId, name: &str, actions: &mut Vec<Action>) {
        let Some(node) = self.nodes.get(name) else { return };
        let Some(earlier) = node.connection.filter(|earlier| *earlier != connection) else { return };
        actions.push(Action::Log(format!(
            "node {name} subscribed on a new connection; closing its earlier connection"
        )));
        actions.push(Action::Close { connection: earlier });
        self.sessions.remove(&earlier);
    }

    /// Records a node that subscribed. If too many nodes are remembered, forgets the one disconnected longest.
    fn remember_node(&mut self, now: Time, connection: ConnectionId, subscription: Subscription) {
        let Subscription { name, program, in_effect, on_trial } = subscription;
        // Only the version in effect decides whether a node is offered the current version. A node that has answered an
        // offer of that version before answers a repeated offer again.
        let has_current = in_effect.is_some() && in_effect == self.current_version();
        let staged = Vec::new();
        let status = match (has_current, on_trial) {
            (true, true) => NodeStatus::OnTrial { staged },
            (true, false) => NodeStatus::Good { staged },
            (false, _) => NodeStatus::Pending,
        };
        let node = Node {
            name: name.clone(),
            program,
            connection: Some(connection),
            in_effect,
            offered: if has_current { in_effect } else { None },
            status,
            since: now,
        };
        self.nodes.insert(name, node);
        if self.nodes.len() > MAX_NODES {
            let disconnected = self.nodes.values().filter(|node| node.connection.is_none());
            let longest = disconnected.min_by_key(|node| node.since).map(|node| node.name.clone());
            if let Some(name) = longest {
                self.nodes.remove(&name);
            }
        }
    }

    /// Records that the pending offer of a connection was answered. Returns the node's name, or `None` if the answer's
    /// nonce is not that of the pending offer.
    fn close_pending_offer(&mut self, now: Time, connection: ConnectionId, nonce: u64) -> Option<String> {
        let session = self.sessions.get_mut(&connection)?;
        session.pending_offer.take_if(|offer| offer.nonce == nonce)?;
        let name = session.node.clone()?;
        if let Some(node) = self.nodes.get_mut(&name) {
            node.since = now;
        }
        Some(name)
    }

    fn on_acknowledged(&mut self, name: &str, version: Version, on_trial: bool, staged: Vec<String>) {
        self.any_acknowledged = true;
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.in_effect = Some(version);
        if node.offered == Some(version) {
            node.status = if on_trial { NodeStatus::OnTrial { staged } } else { NodeStatus::Good { staged } };
        }
    }

    fn on_rejected(
        &mut self,
        connection: ConnectionId,
        name: &str,
        version: Version,
        rejection: Rejection,
        was_delta: bool,
        actions: &mut Vec<Action>,
    ) {
        let delta_failed =
            was_delta && matches!(rejection, Rejection::UnknownBase | Rejection::DigestMismatch);
        if delta_failed && let Some(session) = self.sessions.get_mut(&connection) {
            session.full_only = true;
            self.offer(connection, actions);
            return;
        }
        if let Rejection::Outdated { known } | Rejection::Conflict { known } = rejection
            && self.skip_past(known, actions)
        {
            return;
        }
        if let Some(node) = self.nodes.get_mut(name).filter(|node| node.offered == Some(version)) {
            node.status = NodeStatus::Rejected(rejection);
        }
        self.offer(connection, actions);
    }

    fn on_trial_ended(
        &mut self,
        now: Time,
        name: &str,
        version: Version,
        failure: Option<String>,
        actions: &mut Vec<Action>,
    ) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.since = now;
        if let Some(reason) = &failure {
            actions.push(Action::Log(format!("node {name} rolled back from version {version}: {reason}")));
        }
        // If the version was offered again meanwhile, the answer to that offer is received after this message and
        // replaces the status.
        if node.offered == Some(version) {
            let staged = match &mut node.status {
                NodeStatus::OnTrial { staged } => std::mem::take(staged),
                _ => Vec::new(),
            };
            node.status = failure.map_or(NodeStatus::Good { staged }, NodeStatus::RolledBack);
        }
    }

    /// Sends a ping on each connection when pings are due, and closes connections on which no message was received for
    /// the silence timeout.
    pub(super) fn ping(&mut self, now: Time, actions: &mut Vec<Action>) {
        let interval = Span::from_ms(PING_INTERVAL_MS);
        if self.last_ping.is_some_and(|last_ping| now.since(last_ping) < interval) {
            return;
        }
        self.last_ping = Some(now);
        let silence_timeout = Span::from_ms(SILENCE_TIMEOUT_MS);
        for (connection, session) in &self.sessions {
            let connection = *connection;
            actions.push(if now.since(session.last_received) > silence_timeout {
                Action::Close { connection }
            } else {
                Action::Send { connection, message: PublisherMessage::Ping }
            });
        }
    }
}
