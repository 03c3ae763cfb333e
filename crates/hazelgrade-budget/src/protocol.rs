//! Messages between lease holders, lessors and operators. Each message may arrive late, twice or never.
//!
//! The names on the wire differ from the Rust names; `#[serde(rename)]` maps them.

use crate::Units;
use crate::stored::RetiredSite;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Limit of the budgets in one request, and of the budgets that bind one node.
pub const MAX_LINES: usize = 64;

/// The lessor whose grant a lease holder accepted most recently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct KnownLessor {
    /// Name of the lessor's site.
    pub site: String,
    /// Generation of the lessor that sent the grant.
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

/// A lease holder's request to its lessor, for all budgets of the holder.
///
/// The holder accepts only the answer to its latest request, so each request states reliably what the holder holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the lease holder.
    pub holder: String,
    /// Random number drawn when the process starts, so that two processes with the same name are two lease holders.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// Sequence number of the request; it grows with each request of this incarnation.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// Sequence number of the latest request whose answer the holder accepted; 0 if there is none.
    #[serde(rename = "taken")]
    pub last_accepted: u64,
    /// The lessor whose grant the holder accepted most recently.
    #[serde(rename = "known")]
    pub known_lessor: Option<KnownLessor>,
    /// Whether the holder drains: it then wants no further units and returns those that it does not use.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// One line per budget, at most [`MAX_LINES`].
    #[serde(rename = "of")]
    pub lines: Vec<RequestLine>,
}

/// A lease holder's held, used and wanted units of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLine {
    /// Name of the budget.
    pub budget: String,
    /// Units that the holder may use under its lease or, if more, its units in use beyond the unleased ones.
    #[serde(rename = "holds")]
    pub held: Units,
    /// Units in use now, including unleased ones.
    #[serde(rename = "used")]
    pub in_use: Units,
    /// Units in use plus the units that rejected work would have used, averaged since the holder's previous request.
    #[serde(rename = "wants")]
    pub wanted: Units,
    /// Units that the holder may use without a lease.
    #[serde(rename = "alone")]
    pub unleased: Units,
}

/// A lessor's answer to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Name of the lessor's site.
    #[serde(rename = "keeper")]
    pub lessor: String,
    /// Generation of the lessor; it grows with each start of the lessor.
    pub generation: u64,
    /// Sequence number of the request that this grant answers.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// Time within which the holder has to send its next request, in milliseconds.
    #[serde(rename = "again_ms")]
    pub renew_within_ms: f64,
    /// One line for each line of the request.
    #[serde(rename = "of")]
    pub lines: Vec<GrantLine>,
}

/// A lessor's grant of units of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantLine {
    /// Name of the budget.
    pub budget: String,
    /// Units that the holder may use under this lease.
    pub units: Units,
    /// Length of the lease, which the holder counts from the time of its request, in milliseconds.
    pub lease_ms: f64,
    /// Longest time that work which starts under this lease may take, in milliseconds.
    #[serde(rename = "longest_use_ms")]
    pub max_use_ms: f64,
    /// Time after which more units may be available, in milliseconds; `None` if all wanted units were granted.
    #[serde(rename = "more_in_ms")]
    pub retry_after_ms: Option<f64>,
}

/// An operator's command to a lessor. Commands that change something carry an id and are carried out once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCommand {
    /// Report the state of all budgets and their leases.
    Show,
    /// Report past events of the lessor.
    History,
    /// Move free units to another site.
    Move {
        /// Id of the command.
        id: String,
        /// Name of the receiving site.
        to: String,
        /// Name of the budget.
        budget: String,
        /// Number of units.
        units: Units,
    },
    /// Declare a site lost for good and take over the units that it owned.
    Retire {
        /// Id of the command.
        id: String,
        /// Name of the lost site.
        site: String,
    },
    /// Allow new grants again, after the operator has resolved the cause for which grants were blocked.
    Open,
}

/// One site's report to another site. Transfer totals only grow, so reports may arrive in any order and any number of
/// times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteReport {
    /// Name of the reporting site.
    pub from: String,
    /// Name of the site that receives the report.
    pub to: String,
    /// Generation of the reporting site's lessor.
    pub generation: u64,
    /// Latest generation of the receiving site's lessor that the reporting site has learned of.
    #[serde(rename = "known")]
    pub known_generation: u64,
    /// Digest of the budget document in effect.
    #[serde(rename = "version")]
    pub document_digest: String,
    /// Whether the units that the reporting site owns and has leased are within its share according to that document.
    #[serde(rename = "settled")]
    pub within_share: bool,
    /// One line per budget.
    #[serde(rename = "of")]
    pub lines: Vec<SiteReportLine>,
    /// Number of times that the reporting site was declared lost and surrendered all its units.
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
    /// All units ever sent to the receiving site.
    pub sent: u64,
    /// All units ever received from the receiving site.
    #[serde(rename = "seen")]
    pub received: u64,
    /// Units wanted at the reporting site beyond those it owns.
    #[serde(rename = "short")]
    pub shortfall: Units,
    /// Units that the receiving site should send back: units that the reporting site lent out of its share and wants
    /// now, and units that it lacks since its share was lowered.
    #[serde(rename = "recalls")]
    pub recalled: Units,
}
