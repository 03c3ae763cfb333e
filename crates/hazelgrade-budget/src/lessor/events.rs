//! A lessor's events, its actions, and the reasons for which it grants nothing new.

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

/// An event that a lessor handles.
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
    /// All other sites reported since the start, or these did not.
    OtherSites(Result<(), UnconfirmedSites>),
    /// The record of the latest [`Action::Store`] is stored, or could not be.
    Stored(Result<(), StoreFailed>),
    /// A lease holder or another site, named here, knows a later generation of this lessor.
    StaleStore(String),
    /// The time of [`Lessor::wakes_at`](super::Lessor::wakes_at) came.
    Timer,
}

/// What the lessor's caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a grant.
    Grant(Connection, LeaseGrant),
    /// Ask the lease holder on this connection to send a request at once.
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

/// A lease holder or another site knows a later generation than the store: the store is an old copy.
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

/// Serialized as its text.
impl Serialize for GrantsBlocked {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
