//! The messages between a control service and its subscribers.

use super::rejection::Rejection;
use hazelgrade::time::Span;
use hazelgrade_budget::protocol::{LeaseGrant, LeaseRequest, OperatorCommand, SiteReport};
use hazelgrade_config::{Difference, Kind, Version};

/// The content of an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The full document in TOML.
    Full(String),
    /// The difference between the document that the subscriber reported as in effect and the offered document.
    Delta {
        /// The version whose document the difference is applied to.
        base: Version,
        /// The fields to set and to remove.
        difference: Difference,
    },
}

/// A version that is offered to a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Identifies the offer on its connection; the answer contains the same nonce.
    pub nonce: u64,
    /// The lineage that the version number belongs to.
    pub lineage: String,
    /// The version's number and the digest of its document.
    pub version: Version,
    /// The document, or its difference from an earlier one.
    pub content: Content,
}

/// A message from a control service to a subscriber or to the lessor of another site.
#[derive(Clone, Debug, PartialEq)]
pub enum PublisherMessage {
    /// Offers a version.
    Offer(Offer),
    /// Checks that the connection works; the subscriber answers with a pong.
    Ping,
    /// Requests that the subscriber connects again after this delay; the control service closes the connection.
    RetryAfter(Span),
    /// Answers a lease request.
    LeaseGrant(LeaseGrant),
    /// Requests that the lease holder sends a lease request now.
    RequestLeases,
    /// Reports the state of another site's lessor.
    SiteReport(SiteReport),
}

/// A message to a control service: from a subscriber, from the lessor of another site, or from an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum SubscriberMessage {
    /// Subscribes to a kind of document.
    Subscribe {
        /// The node's name.
        node: String,
        /// The version of the node's program.
        program: String,
        /// The kind of document that the node subscribes to on this connection.
        kind: Kind,
        /// The only lineage whose versions the node applies; `None` if none is configured and no version was applied
        /// yet.
        lineage: Option<String>,
        /// The version in effect, which a difference can be applied to; `None` if no version is in effect.
        in_effect: Option<Version>,
        /// Whether a version is on trial or being applied.
        on_trial: bool,
        /// The latest version that the node began to apply, whether it passed its trial or not.
        latest_known: Option<Version>,
    },
    /// The offered version is in effect.
    Acknowledged {
        /// The nonce of the offer.
        nonce: u64,
        /// The offered version.
        version: Version,
        /// Whether the version is on trial; not if its document is that of the last good version.
        on_trial: bool,
        /// Changed fields that take effect only at the node's next start.
        staged: Vec<String>,
    },
    /// The offered version is rejected.
    Rejected {
        /// The nonce of the offer.
        nonce: u64,
        /// The offered version.
        version: Version,
        /// The reason of the rejection.
        rejection: Rejection,
    },
    /// The trial of a version ended.
    TrialEnded {
        /// The version that was on trial.
        version: Version,
        /// The reason of the rollback; `None` if the version passed its trial.
        failure: Option<String>,
    },
    /// Answers a ping.
    Pong,
    /// An operator's request for the status of all nodes and their versions.
    Status {
        /// The id of the JSON-RPC request.
        request_id: u64,
    },
    /// A lease holder's request for leases, which also reports the leases that it holds.
    LeaseRequest(LeaseRequest),
    /// Reports the state of another site's lessor.
    SiteReport(SiteReport),
    /// An operator's command about budgets.
    BudgetCommand {
        /// The id of the JSON-RPC request.
        request_id: u64,
        /// The command.
        command: OperatorCommand,
    },
}
