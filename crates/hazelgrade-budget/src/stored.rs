//! Records that survive a restart. A lessor and a site's ownership write them to the store, and read them at their
//! start.
//!
//! The stored names differ from the Rust names; `#[serde(rename)]` maps them.

use crate::Units;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A lessor's record. The lessor grants nothing before the record is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LessorRecord {
    /// Name of the lessor's site.
    pub site: String,
    /// Number of starts of the lessor so far.
    pub generation: u64,
    /// Whether units were granted that may still be in use.
    pub granted: bool,
    /// Longest time for which a grant of this or an earlier start may be used, in milliseconds.
    #[serde(rename = "longest_ms")]
    pub max_grant_ms: f64,
}

/// Total units that were moved between this site and another site. Both totals only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferTotals {
    /// All units ever sent to the other site.
    pub sent: u64,
    /// All units ever received from the other site.
    #[serde(rename = "seen")]
    pub received: u64,
}

impl TransferTotals {
    /// Returns the units gained by the transfers; negative if more units were sent than received.
    pub fn net(&self) -> i64 {
        self.received as i64 - self.sent as i64
    }
}

/// A site's ledger. A changed ledger is stored before another site learns of the change, and before received units
/// are granted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteLedger {
    /// Transfers with each other site, by site and budget name.
    #[serde(rename = "totals")]
    pub transfers: BTreeMap<String, BTreeMap<String, TransferTotals>>,
    /// This site's shares in effect, by budget name.
    #[serde(rename = "parts")]
    pub shares: BTreeMap<String, Units>,
    /// Units owned in addition to shares and current transfers, by budget name: net transfers with sites until they
    /// were retired, and units that were taken over at earlier retirements of a site that was retired again.
    #[serde(rename = "beside")]
    pub carried_over: BTreeMap<String, i64>,
    /// Latest generation that each other site reported, by site name.
    #[serde(rename = "starts")]
    pub peer_generations: BTreeMap<String, u64>,
    /// Sites that were declared lost, by site name.
    pub retired: BTreeMap<String, RetiredSite>,
    /// Number of times that this site was declared lost and surrendered all its units.
    #[serde(rename = "gave_up")]
    pub surrendered: u64,
    /// Ids of operators' commands that were carried out, oldest first.
    #[serde(rename = "words")]
    pub completed_commands: Vec<String>,
}

impl SiteLedger {
    /// Returns whether a site was declared lost and has not been readmitted.
    pub fn is_retired(&self, site: &str) -> bool {
        self.retired.get(site).is_some_and(|retired| !retired.readmitted)
    }

    /// Returns the transfers with one site of one budget.
    pub fn transfers_with(&self, site: &str, budget: &str) -> Option<&TransferTotals> {
        self.transfers.get(site)?.get(budget)
    }

    /// Returns this site's share in effect of a budget; 0 if there is none.
    pub fn share(&self, budget: &str) -> Units {
        self.shares.get(budget).copied().unwrap_or(0)
    }
}

/// A site that was declared lost. Its reports are ignored until it reports that it has surrendered all its units.
/// From then on, the site takes part as one that owns no units and borrows those that it wants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RetiredSite {
    /// Number of times that the site was declared lost so far.
    pub times: u64,
    /// Name of the site where the operator declared the site lost. That site takes over the units that the lost site
    /// owned.
    #[serde(rename = "by")]
    pub successor: String,
    /// Transfers between the lost site and this site until the declaration, by budget name.
    #[serde(rename = "totals")]
    pub transfers: BTreeMap<String, TransferTotals>,
    /// Units that this site took over, by budget name; `None` if it is not the successor, or until all other sites
    /// have reported their transfers with the lost site.
    #[serde(rename = "taken")]
    pub taken_over: Option<BTreeMap<String, Units>>,
    /// Whether the site surrendered all its units and takes part again.
    #[serde(rename = "back")]
    pub readmitted: bool,
}
