//! Records that survive a restart: what a lessor and a site's ledger write to their store, and read at their start.
//!
//! The stored names are older than the names used here; `#[serde(rename)]` maps them.

use crate::Units;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A lessor's record. Nothing is granted before it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LessorRecord {
    /// The lessor's site.
    pub site: String,
    /// Number of starts so far.
    pub generation: u64,
    /// Whether something was granted that may still be in use.
    pub granted: bool,
    /// The longest time for which a grant of any start may be used, in milliseconds.
    #[serde(rename = "longest_ms")]
    pub max_grant_ms: f64,
}

/// Units that moved between this site and another one. Both totals only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferTotals {
    /// Units ever sent to the other site.
    pub sent: u64,
    /// Units ever received from it.
    #[serde(rename = "seen")]
    pub received: u64,
}

impl TransferTotals {
    /// Units gained by the transfers, negative if more were sent than received.
    pub fn net(&self) -> i64 {
        self.received as i64 - self.sent as i64
    }
}

/// A site's ledger. It is stored before another site hears of a change, and before received units are granted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteLedger {
    /// Transfers, by other site and budget.
    #[serde(rename = "totals")]
    pub transfers: BTreeMap<String, BTreeMap<String, TransferTotals>>,
    /// This site's share in effect, by budget.
    #[serde(rename = "parts")]
    pub shares: BTreeMap<String, Units>,
    /// Units owned beyond share and transfers, by budget: net transfers with sites that were retired, and what was
    /// taken over from them at earlier retirements.
    #[serde(rename = "beside")]
    pub carried_over: BTreeMap<String, i64>,
    /// The latest generation that was reported, by other site.
    #[serde(rename = "starts")]
    pub peer_generations: BTreeMap<String, u64>,
    /// Sites that were declared lost, by name.
    pub retired: BTreeMap<String, RetiredSite>,
    /// How often this site surrendered all it owned because it had been declared lost.
    #[serde(rename = "gave_up")]
    pub surrendered: u64,
    /// Ids of operators' commands that were carried out, latest last.
    #[serde(rename = "words")]
    pub completed_commands: Vec<String>,
}

impl SiteLedger {
    /// Whether a site is declared lost and has not been readmitted.
    pub fn is_retired(&self, site: &str) -> bool {
        self.retired.get(site).is_some_and(|retired| !retired.readmitted)
    }

    /// Transfers with one site in one budget.
    pub fn transfers_with(&self, site: &str, budget: &str) -> Option<&TransferTotals> {
        self.transfers.get(site)?.get(budget)
    }

    /// This site's share of a budget in effect.
    pub fn share(&self, budget: &str) -> Units {
        self.shares.get(budget).copied().unwrap_or(0)
    }
}

/// A site that was declared lost. Its reports are ignored until it reports that it surrendered all it owned; from
/// then on it is a site that owns nothing and borrows what it lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RetiredSite {
    /// How often it was declared lost so far.
    pub times: u64,
    /// The site where the operator declared it lost: that site takes over what the lost one owned.
    #[serde(rename = "by")]
    pub successor: String,
    /// Transfers between the lost site and this one until the declaration, by budget.
    #[serde(rename = "totals")]
    pub transfers: BTreeMap<String, TransferTotals>,
    /// Units taken over here, by budget, once all other sites reported their transfers with the lost site.
    #[serde(rename = "taken")]
    pub taken_over: Option<BTreeMap<String, Units>>,
    /// Whether it surrendered all it owned and takes part again.
    #[serde(rename = "back")]
    pub readmitted: bool,
}
