//! A lessor's events and actions, and the reasons why a lessor grants nothing new.

use crate::Units;
use crate::ownership::UnconfirmedSites;
use crate::protocol::{LeaseGrant, LeaseRequest};
use crate::stored::LessorRecord;
use crate::terms::BudgetTerms;
use hazelgrade::time::{Span, Time};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// Number of a lease holder's connection, assigned by the lessor's caller.
pub type Connection = u64;

/// An event that a lessor handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A lease holder's request arrived on a connection.
    Requested(Connection, LeaseRequest),
    /// A connection ended.
    Disconnected(Connection),
    /// The budget document, or the units that this site owns, changed.
    TermsChanged {
        /// Terms in effect, by budget name.
        terms: BTreeMap<String, BudgetTerms>,
        /// Units that this site owns, by budget name.
        owned: BTreeMap<String, Units>,
    },
    /// Result of waiting for the other sites: all have reported since the start, or some have not.
    OtherSites(Result<(), UnconfirmedSites>),
    /// The record of the latest [`Action::Store`] has been stored, or could not be stored.
    Stored(Result<(), StoreFailed>),
    /// The named lease holder or site knows a later generation of this lessor than the stored one.
    StaleStore(String),
    /// The time that [`Lessor::wakes_at`](super::Lessor::wakes_at) returned has come.
    Timer,
}

/// An action that the lessor's caller has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a grant on a connection.
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
    /// Time of the event by the lessor's clock.
    pub at: Time,
    /// Description of the event.
    pub text: String,
}

/// The lessor's record could not be written; contains the error text of the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct StoreFailed(pub String);

impl From<String> for StoreFailed {
    fn from(text: String) -> StoreFailed {
        StoreFailed(text)
    }
}

/// A lease holder or another site knows a later generation of the lessor than the store has, so the store is an old
/// copy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{witness} knows a later start of this keeper: its store is an old copy")]
pub struct StaleStore {
    /// Name of the lease holder or site that knows the later generation.
    pub witness: String,
}

/// Why a lessor grants nothing new. Lease holders may renew what they hold.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum GrantsBlocked {
    /// The store is an old copy. An operator has to reopen the lessor.
    #[error(transparent)]
    StaleStore(StaleStore),
    /// Leases that were granted before the latest start may still be in use.
    #[error("leases of the start before may be in use for {} ms more", .left.as_ms().ceil())]
    Recovering {
        /// Time until those leases are certainly over.
        left: Span,
    },
    /// Some other sites have not reported since this site's start.
    #[error(transparent)]
    Unconfirmed(UnconfirmedSites),
}

/// Serialized as the display text.
impl Serialize for GrantsBlocked {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
