//! The types of the messages.

use super::rejection::Rejection;
use hazelgrade::time::Span;
use hazelgrade_budget::protocol::{LeaseGrant, LeaseRequest, OperatorCommand, SiteReport};
use hazelgrade_config::{Difference, Kind, Version};

/// What an offer carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The document in TOML.
    Full(String),
    /// The difference from the document that the subscriber reported as in effect to the offered one.
    Delta {
        /// The version that the difference is against.
        base: Version,
        /// The fields to set and to remove.
        difference: Difference,
    },
}

/// A version offered to a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Identifies the offer on its connection; the answer carries it too.
    pub nonce: u64,
    /// The sequence of versions that the number belongs to.
    pub lineage: String,
    /// The version's number and the digest of its document.
    pub version: Version,
    /// The document, or how to make it from an earlier one.
    pub content: Content,
}

/// A message from the control service.
#[derive(Clone, Debug, PartialEq)]
pub enum PublisherMessage {
    /// Offers a version.
    Offer(Offer),
    /// Shows that the connection is alive; the subscriber answers with a pong.
    Ping,
    /// Asks the subscriber to connect again after this time; the control service closes the connection.
    RetryAfter(Span),
    /// Answers a request for leases of budgets.
    LeaseGrant(LeaseGrant),
    /// Asks the lease holder to request leases now.
    RequestLeases,
    /// Reports the state of another site's lessor.
    SiteReport(SiteReport),
}

/// A message from a subscriber, from the lessor of another site, or from an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum SubscriberMessage {
    /// Subscribes to a kind of document.
    Subscribe {
        /// The node's name.
        node: String,
        /// The version of the node's program.
        program: String,
        /// The kind of document that it follows on this connection.
        kind: Kind,
        /// The only lineage whose versions it takes, if it knows one.
        lineage: Option<String>,
        /// The version in effect, of which the node has the document.
        in_effect: Option<Version>,
        /// Whether that version is on trial.
        on_trial: bool,
        /// The latest version that the node ever began to apply.
        latest_known: Option<Version>,
    },
    /// The offered version is in effect.
    Acknowledged {
        /// The nonce of the offer.
        nonce: u64,
        /// The offered version.
        version: Version,
        /// Whether it is on trial; it is not if the node knew its document as good before.
        on_trial: bool,
        /// Fields that differ and take effect at the next start only.
        staged: Vec<String>,
    },
    /// The offered version is rejected.
    Rejected {
        /// The nonce of the offer.
        nonce: u64,
        /// The offered version.
        version: Version,
        /// The reason.
        rejection: Rejection,
    },
    /// The trial of a version is over.
    TrialEnded {
        /// The version that was on trial.
        version: Version,
        /// Why the node rolled back; `None` if the version is good.
        failure: Option<String>,
    },
    /// Answers a ping.
    Pong,
    /// An operator asks which node runs which version.
    Status {
        /// The id of the JSON-RPC request.
        request_id: u64,
    },
    /// A lease holder requests leases of budgets, and reports what it holds.
    LeaseRequest(LeaseRequest),
    /// Reports the state of another site's lessor.
    SiteReport(SiteReport),
    /// An operator's command on budgets.
    BudgetCommand {
        /// The id of the JSON-RPC request.
        request_id: u64,
        /// The command.
        command: OperatorCommand,
    },
}
