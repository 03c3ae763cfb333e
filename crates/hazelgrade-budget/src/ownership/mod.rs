//! The units of each budget that a site owns, as a state machine: its inputs are reports of other sites, documents
//! and operators' commands, its outputs are ledgers to store.
//!
//! For each budget and each direction between two sites there are two totals: all units ever sent, stored by the
//! sender, and all units ever received, stored by the receiver. Both totals only grow, so a report may arrive twice,
//! late or out of order. A site owns its share according to the document, less the units it sent, plus the units it
//! received. Units in transit are owned by no site.
//!
//! Free units are sent to sites with a shortfall. When a site wants units that it lent out of its own share, it
//! recalls them: a site that owns more than its share first takes the units back from its lease holders, and sends
//! them once none of them is in use.
//!
//! A share that a new document raises takes effect only when every other site has that document in effect and is
//! within its own share.

mod commands;
mod reports;
mod retirement;
mod transfers;

pub use commands::{CommandError, CommandOutcome, TakenOver};

use crate::Units;
use crate::stored::{RetiredSite, SiteLedger};
use crate::terms::BudgetTerms;
use hazelgrade::time::Time;
use std::collections::BTreeMap;

/// Interval between reports of a site to each other site, in milliseconds.
pub const REPORT_INTERVAL_MS: f64 = 250.0;

/// State of another site according to its latest report.
#[derive(Clone, Debug, Default)]
struct Peer {
    last_report: Option<Time>,
    /// Whether the other site has reported since this site's start, or an operator has confirmed all sites.
    confirmed: bool,
    document_digest: String,
    within_share: bool,
    /// Units that the other site wants beyond those it owns, by budget name.
    shortfalls: BTreeMap<String, Units>,
    /// All units that the other site ever received from this site, by budget name.
    received: BTreeMap<String, u64>,
    /// Sites that were declared lost, as reported by the other site.
    retired: BTreeMap<String, RetiredSite>,
}

/// Time of another site's latest report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerStatus<'a> {
    /// Name of the site.
    pub site: &'a str,
    /// Time of the site's latest report, by this site's clock; `None` if it has not reported since this site's start.
    pub last_report: Option<Time>,
}

/// Other sites that have not reported since this site's start. Until all have reported, this site's store may be an
/// old copy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not heard of since the start: {}", .sites.join(", "))]
pub struct UnconfirmedSites {
    /// Names of the sites.
    pub sites: Vec<String>,
}

/// An action that the caller has to perform after a report, a document or a command, in the order of the actions.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store the changed ledger before anything else is done.
    Store(SiteLedger),
    /// The named site knows a later state than this site's store has, so the store is an old copy.
    StaleStore(String),
    /// Log this line.
    Log(String),
}

/// A site's ledger, and the state of the other sites as reported to it.
#[derive(Clone, Debug)]
pub struct Ownership {
    site: String,
    generation: u64,
    ledger: SiteLedger,
    peers: BTreeMap<String, Peer>,
    terms: BTreeMap<String, BudgetTerms>,
    /// Units promised to sites that recalled them, by budget and site. They no longer count as owned, and are sent
    /// once they are not in use.
    promised: BTreeMap<String, BTreeMap<String, Units>>,
    /// Digest of the document in effect.
    document_digest: String,
}

impl Ownership {
    /// Creates the ownership of `site` from its stored `ledger`; `generation` is that of the site's lessor.
    pub fn new(site: &str, generation: u64, ledger: SiteLedger) -> Ownership {
        Ownership {
            site: site.to_owned(),
            generation,
            ledger,
            peers: BTreeMap::new(),
            terms: BTreeMap::new(),
            promised: BTreeMap::new(),
            document_digest: String::new(),
        }
    }

    /// Puts the terms of the document with this digest into effect.
    pub fn set_terms(
        &mut self,
        document_digest: String,
        terms: BTreeMap<String, BudgetTerms>,
        actions: &mut Vec<Action>,
    ) {
        self.document_digest = document_digest;
        self.terms = terms;
        for site in self.terms.values().flat_map(|terms| terms.site_shares.keys()) {
            if *site != self.site {
                self.peers.entry(site.clone()).or_default();
            }
        }
        self.update_shares(actions);
    }

    /// Applies the document's shares: lowered shares at once, raised shares when all other sites have the document in
    /// effect and are within their own shares.
    fn update_shares(&mut self, actions: &mut Vec<Action>) {
        let agreed = self.ledger.surrendered == 0
            && self
                .peers
                .iter()
                .filter(|(site, _)| !self.ledger.is_retired(site))
                .all(|(_, peer)| peer.document_digest == self.document_digest && peer.within_share);
        let mut changed = false;
        for (budget, terms) in &self.terms {
            let documented = terms.site_share(&self.site);
            // A new site, which has no share of the budget yet, gets the documented share at once.
            let takes_effect = match self.ledger.shares.get(budget).copied() {
                None => true,
                Some(share) => documented < share || (documented > share && agreed),
            };
            if takes_effect {
                self.ledger.shares.insert(budget.clone(), documented);
                changed = true;
            }
        }
        if changed {
            actions.push(Action::Store(self.ledger.clone()));
        }
    }

    /// Returns the units owned, including promised ones. The result is negative after a share was lowered below the
    /// units that were lent out of it.
    fn net_owned(&self, budget: &str) -> i64 {
        let share = i64::from(self.ledger.share(budget));
        let taken_over: i64 = self
            .ledger
            .retired
            .values()
            .filter_map(|retired| retired.taken_over.as_ref()?.get(budget))
            .map(|units| i64::from(*units))
            .sum();
        let transferred: i64 = self
            .ledger
            .transfers
            .values()
            .filter_map(|transfers| transfers.get(budget))
            .map(|totals| totals.net())
            .sum();
        let carried_over = self.ledger.carried_over.get(budget).copied().unwrap_or(0);
        share + taken_over + transferred + carried_over
    }

    /// Returns the units that this site owns of a budget.
    pub fn owned(&self, budget: &str) -> Units {
        let promised = self.promised.get(budget).into_iter().flat_map(|promises| promises.values());
        let promised: i64 = promised.map(|units| i64::from(*units)).sum();
        (self.net_owned(budget) - promised).clamp(0, i64::from(Units::MAX)) as Units
    }

    /// Returns the units that this site owns of each budget of the document in effect.
    pub fn owned_by_budget(&self) -> BTreeMap<String, Units> {
        self.terms.keys().map(|budget| (budget.clone(), self.owned(budget))).collect()
    }

    /// Returns the terms in effect, by budget name.
    pub fn terms(&self) -> &BTreeMap<String, BudgetTerms> {
        &self.terms
    }

    /// Checks that every other site that is not retired is confirmed: it has reported since this site's start, or an
    /// operator confirmed all sites.
    ///
    /// # Errors
    /// Some sites are not confirmed; the error names them.
    pub fn confirmed(&self) -> Result<(), UnconfirmedSites> {
        let sites: Vec<String> = self
            .peers
            .iter()
            .filter(|(site, peer)| !peer.confirmed && !self.ledger.is_retired(site))
            .map(|(site, _)| site.clone())
            .collect();
        if sites.is_empty() { Ok(()) } else { Err(UnconfirmedSites { sites }) }
    }

    /// Marks all other sites as confirmed, on an operator's command.
    pub fn confirm_all(&mut self) {
        self.peers.values_mut().for_each(|peer| peer.confirmed = true);
    }

    /// Returns the status of each other site that has a share of a budget, by name.
    pub fn peers(&self) -> impl Iterator<Item = PeerStatus<'_>> {
        self.peers.iter().map(|(site, peer)| PeerStatus { site, last_report: peer.last_report })
    }

    /// Returns the ledger as it has to be stored.
    pub fn ledger(&self) -> &SiteLedger {
        &self.ledger
    }
}
