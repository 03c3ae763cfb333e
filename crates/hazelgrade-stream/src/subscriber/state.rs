//! The parts of a subscriber's state: the connection, and the version that is being applied.

use crate::stored::StoredVersion;
use crate::trial::Trial;
use hazelgrade::time::Time;
use hazelgrade_config::{Document, Version};
use std::sync::Arc;

/// A connection without any message for this long is dead, in milliseconds. A ping is due every third of it.
pub const SILENCE_TIMEOUT_MS: f64 = 15_000.0;

/// The state of the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Connection {
    Closed,
    Connecting,
    Open { last_received: Time },
}

/// A version and its document.
#[derive(Clone, Debug)]
pub(super) struct VersionedDocument {
    pub version: Version,
    pub document: Arc<Document>,
}

impl From<&StoredVersion> for VersionedDocument {
    fn from(stored: &StoredVersion) -> VersionedDocument {
        VersionedDocument { version: stored.version, document: Arc::new(stored.document.clone()) }
    }
}

/// The offer to answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyTo {
    pub nonce: u64,
    /// The count of the connection that the offer came on.
    pub connection: u64,
}

/// The stage of a candidate.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// Waiting for the write with this ticket, which stores it as on trial.
    Storing(u64),
    /// Waiting until it is in effect.
    Applying,
    /// In effect, on trial.
    OnTrial(Box<Trial>),
    /// In effect, the trial is passed; waiting for the write with this ticket, which stores it as good.
    StoringAsGood(u64),
}

/// The version that is being applied.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub version: Version,
    pub document: Arc<Document>,
    /// `None` once the offer is answered.
    pub reply_to: Option<ReplyTo>,
    pub stage: Stage,
}

impl Candidate {
    /// Whether the node serves by it.
    pub fn is_in_effect(&self) -> bool {
        matches!(self.stage, Stage::OnTrial(_) | Stage::StoringAsGood(_))
    }

    pub fn versioned_document(&self) -> VersionedDocument {
        VersionedDocument { version: self.version, document: self.document.clone() }
    }
}
