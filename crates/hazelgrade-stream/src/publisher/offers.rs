//! Offers of the current version to subscribers.

use super::Publisher;
use super::event::{Action, ConnectionId};
use super::node::NodeStatus;
use super::state::{NumberedDocument, PendingOffer, PublishedVersion};
use crate::protocol::{Content, Offer, PublisherMessage};

/// The ratio of the full document's length below which a difference is offered in place of the document.
const MAX_DELTA_RATIO: f64 = 0.5;

/// The difference from an earlier version to the current one, or the full document if the difference saves too little.
fn delta_or_full(base: &NumberedDocument, current: &PublishedVersion) -> Content {
    let difference = base.document.fields().difference(current.document.fields());
    let delta_bytes = difference.to_json().to_string().len() as f64;
    if delta_bytes < current.text.len() as f64 * MAX_DELTA_RATIO {
        Content::Delta { base: base.version, difference }
    } else {
        Content::Full(current.text.clone())
    }
}

impl Publisher {
    /// Offers the current version, unless an answer is pending on the connection or the node has already answered an
    /// offer of this version.
    pub(super) fn offer(&mut self, connection: ConnectionId, actions: &mut Vec<Action>) {
        let Some(current) = &self.current else { return };
        let Some(session) = self.sessions.get_mut(&connection) else { return };
        if session.pending_offer.is_some() {
            return;
        }
        let Some(node) = session.node.as_ref().and_then(|name| self.nodes.get_mut(name)) else { return };
        if node.offered == Some(current.version) && node.status != NodeStatus::Pending {
            return;
        }
        let base = node.in_effect.filter(|_| !session.full_only);
        let base = base.and_then(|version| self.delta_bases.iter().find(|base| base.version == version));
        let content = match base {
            None => Content::Full(current.text.clone()),
            Some(base) => {
                let cached = self.content_by_base.entry(base.version);
                cached.or_insert_with(|| delta_or_full(base, current)).clone()
            }
        };
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        let version = current.version;
        let is_delta = matches!(content, Content::Delta { .. });
        session.pending_offer = Some(PendingOffer { nonce, is_delta });
        node.offered = Some(version);
        node.status = NodeStatus::Pending;
        let lineage = self.counter.lineage.clone();
        let message = PublisherMessage::Offer(Offer { nonce, lineage, version, content });
        actions.push(Action::Send { connection, message });
    }
}
