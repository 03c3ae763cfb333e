//! What comes into a lessor, what goes out of it, and why it may grant nothing new.

use crate::Units;
use crate::ownership::UnconfirmedSites;
use crate::protocol::{LeaseGrant, LeaseRequest};
use crate::stored::LessorRecord;
use crate::terms::BudgetTerms;
use hazelgrade::time::{Span, Time};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// A connection of a lease holder, by the number that the caller gave it.
pub type Connection = u64;

/// What comes into a lessor.
#[derive(Clone, Debug)]
pub enum Event {
    /// A lease holder's request arrived on a connection.
    Requested(Connection, LeaseRequest),
    /// A connection ended.
    Disconnected(Connection),
    /// The document, or what this site owns by it, changed.
    TermsChanged {
        /// Terms in effect, by budget.
        terms: BTreeMap<String, BudgetTerms>,
        /// Units that this site owns, by budget.
        owned: BTreeMap<String, Units>,
    },
    /// Whether all other sites reported since the start.
    OtherSites(Result<(), UnconfirmedSites>),
    /// The record of the latest [`Action::Store`] is stored, or could not be.
    Stored(Result<(), StoreFailed>),
    /// A lease holder or another site, named here, knows a later generation of this lessor.
    StaleStore(String),
    /// The time of [`Lessor::wakes_at`](super::Lessor::wakes_at) came.
    Timer,
}

/// What a lessor has its caller do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a grant.
    Grant(Connection, LeaseGrant),
    /// Have the lease holder send a request at once.
    Nudge(Connection),
    /// Store the record, and report the result by [`Event::Stored`].
    Store(LessorRecord),
    /// Log this line.
    Log(String),
}

/// A past event of a lessor.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEntry {
    /// When, by the lessor's clock.
    pub at: Time,
    /// What happened.
    pub text: String,
}

/// The record could not be written; the text is the store's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct StoreFailed(pub String);

impl From<String> for StoreFailed {
    fn from(text: String) -> StoreFailed {
        StoreFailed(text)
    }
}

/// Somebody knows a later generation than the store says.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{witness} knows a later start of this keeper: its store is an old copy")]
pub struct StaleStore {
    /// The lease holder or site that knows it.
    pub witness: String,
}

/// Why a lessor grants nothing new. Lease holders keep what they hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum GrantsBlocked {
    /// The store is an old copy: an operator has to reopen the lessor.
    #[error(transparent)]
    StaleStore(StaleStore),
    /// Leases of an earlier start may be in use.
    #[error("leases of the start before may be in use for {} ms more", .left.as_ms().ceil())]
    Recovering {
        /// Until they are certainly over.
        left: Span,
    },
    /// Other sites have not reported since the start.
    #[error(transparent)]
    Unconfirmed(UnconfirmedSites),
}

/// As its text.
impl Serialize for GrantsBlocked {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
