//! The reasons for which a node rejects a version.

use hazelgrade_config::Version;

/// The reason for which a node rejects a version. Its text is sent as the message on the wire.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The node is draining and applies no further version.
    #[error("the node is leaving")]
    Draining,
    /// The node follows another lineage.
    #[error("the node follows the lineage {own}")]
    OtherLineage {
        /// The lineage that the node follows.
        own: String,
    },
    /// The node knows a later version.
    #[error("the node knows version {known}, which is later")]
    Outdated {
        /// The latest version that the node knows.
        known: Version,
    },
    /// The node knows another document under the same number.
    #[error("the node knows this number as {known}")]
    Conflict {
        /// The version that the node knows under this number.
        known: Version,
    },
    /// The node doesn't have the document that the difference is to be applied to.
    #[error("the node doesn't have the base of the difference")]
    UnknownBase,
    /// The document doesn't have the digest that the offer states.
    #[error("the contents don't have the digest that was announced")]
    DigestMismatch,
    /// The document is invalid; the text names its errors, one per line.
    #[error("{0}")]
    Invalid(String),
    /// The node crashed too often with this document on trial.
    #[error("the node died twice with it on trial")]
    CrashedOnTrial,
    /// The version failed on this node before, for this reason.
    #[error("{0}")]
    FailedTrial(String),
    /// The node could not store the version as on trial, for this reason.
    #[error("{0}")]
    NotStored(String),
    /// The version can't be applied on this node, for this reason.
    #[error("{0}")]
    NotApplicable(String),
    /// A later version was offered while this version waited to be applied.
    #[error("version {by} came before its turn")]
    Superseded {
        /// The later version.
        by: Version,
    },
}
