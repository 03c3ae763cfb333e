//! Messages between lease holders, lessors and operators. Each message may arrive late, twice or never.
//!
//! The names on the wire are older than the names used here; `#[serde(rename)]` maps them.

use crate::Units;
use crate::stored::RetiredSite;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most budgets in one request, and the most that bind one node.
pub const MAX_LINES: usize = 64;

/// The lessor whose grant a lease holder accepted last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct KnownLessor {
    /// The lessor's site.
    pub site: String,
    /// The lessor's generation at that grant.
    pub generation: u64,
}

impl From<(String, u64)> for KnownLessor {
    fn from((site, generation): (String, u64)) -> KnownLessor {
        KnownLessor { site, generation }
    }
}

impl From<KnownLessor> for (String, u64) {
    fn from(known: KnownLessor) -> (String, u64) {
        (known.site, known.generation)
    }
}

/// A lease holder's request to its lessor for all of its budgets.
///
/// The holder accepts only the answer to its latest request, so that a later request tells the lessor what is held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the lease holder.
    pub holder: String,
    /// Drawn at random when the process starts: two processes under one name are two lease holders.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// Grows with each request of this incarnation.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// Sequence number of the latest request whose answer was accepted; 0 if none was.
    #[serde(rename = "taken")]
    pub last_accepted: u64,
    /// The lessor whose grant was accepted last.
    #[serde(rename = "known")]
    pub known_lessor: Option<KnownLessor>,
    /// Whether the holder shuts down: then it wants nothing more and returns what it does not use.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// One line per budget, at most [`MAX_LINES`].
    #[serde(rename = "of")]
    pub lines: Vec<RequestLine>,
}

/// What a lease holder has of one budget, and what it wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLine {
    /// Name of the budget.
    pub budget: String,
    /// Units that it may use under its lease, or units in use beyond its unleased ones if those are more.
    #[serde(rename = "holds")]
    pub held: Units,
    /// Units in use now, unleased ones included.
    #[serde(rename = "used")]
    pub in_use: Units,
    /// Units in use plus units that it rejected work for, averaged since its last request.
    #[serde(rename = "wants")]
    pub wanted: Units,
    /// Units that it may use without a lease.
    #[serde(rename = "alone")]
    pub unleased: Units,
}

/// A lessor's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lessor's site.
    #[serde(rename = "keeper")]
    pub lessor: String,
    /// Grows with each start of the lessor.
    pub generation: u64,
    /// Sequence number of the request that this answers.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// The holder sends its next request within this time, in milliseconds.
    #[serde(rename = "again_ms")]
    pub renew_within_ms: f64,
    /// One line for each line of the request.
    #[serde(rename = "of")]
    pub lines: Vec<GrantLine>,
}

/// What a lessor grants of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantLine {
    /// Name of the budget.
    pub budget: String,
    /// Units that the holder may use under this lease.
    pub units: Units,
    /// Length of the lease in milliseconds, counted by the holder from its request.
    pub lease_ms: f64,
    /// Work that starts under this lease ends within this time, in milliseconds.
    #[serde(rename = "longest_use_ms")]
    pub max_use_ms: f64,
    /// If less than wanted was granted: the time after which there may be more, in milliseconds.
    #[serde(rename = "more_in_ms")]
    pub retry_after_ms: Option<f64>,
}

/// An operator's command to a lessor. Commands that change something carry an id and are carried out once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCommand {
    /// Report who holds what, and since when.
    Show,
    /// Report past events.
    History,
    /// Move free units to another site.
    Move {
        /// Id of the command.
        id: String,
        /// The site that gets the units.
        to: String,
        /// Name of the budget.
        budget: String,
        /// How many units.
        units: Units,
    },
    /// Declare a site lost for good and take over what it owned.
    Retire {
        /// Id of the command.
        id: String,
        /// The lost site.
        site: String,
    },
    /// Grant again: the reason for which the lessor stopped granting is resolved.
    Open,
}

/// What one site reports to another. Transfer totals only grow, so reports may arrive in any order and any number
/// of times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteReport {
    /// The reporting site.
    pub from: String,
    /// The site that it reports to.
    pub to: String,
    /// Generation of the reporting site's lessor.
    pub generation: u64,
    /// The latest generation of the other site's lessor that reached the reporting site.
    #[serde(rename = "known")]
    pub known_generation: u64,
    /// Digest of the budget document in effect.
    #[serde(rename = "version")]
    pub document_digest: String,
    /// Whether what the reporting site owns and has leased is within its share by that document.
    #[serde(rename = "settled")]
    pub within_share: bool,
    /// One line per budget.
    #[serde(rename = "of")]
    pub lines: Vec<SiteReportLine>,
    /// How often the reporting site surrendered all it owned because it had been declared lost.
    #[serde(rename = "gave_up")]
    pub surrendered: u64,
    /// Sites that were declared lost, by name.
    pub retired: BTreeMap<String, RetiredSite>,
}

/// One budget in a [`SiteReport`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteReportLine {
    /// Name of the budget.
    pub budget: String,
    /// Units ever sent to the other site.
    pub sent: u64,
    /// Units ever received from it.
    #[serde(rename = "seen")]
    pub received: u64,
    /// Units wanted at the reporting site beyond what it owns.
    #[serde(rename = "short")]
    pub shortfall: Units,
    /// Units that are to come back: lent out of its share and wanted now, or missing since its share was lowered.
    #[serde(rename = "recalls")]
    pub recalled: Units,
}
