//! Transfers of units to other sites: free units to sites with a shortfall, recalled units to the sites that recalled
//! them.

use super::{Action, Ownership};
use crate::Units;
use crate::protocol::SiteReport;
use std::collections::BTreeMap;

/// Ratio of the free units that is sent to sites with a shortfall. The remaining units are kept, because this site's
/// nodes may want them at any time.
const SENT_RATIO: f64 = 0.5;

struct Transfer {
    site: String,
    budget: String,
    units: Units,
}

impl Ownership {
    /// Promises the units that another site recalls, at most those that this site owns beyond its share.
    pub(super) fn promise_recalled(&mut self, report: &SiteReport) {
        for line in &report.lines {
            let totals = self.ledger.transfers_with(&report.from, &line.budget);
            let in_transit = totals.map_or(0, |totals| totals.sent.saturating_sub(line.received)) as i64;
            let share = i64::from(self.ledger.share(&line.budget));
            let net_owned = self.net_owned(&line.budget);
            let promises = self.promised.entry(line.budget.clone()).or_default();
            promises.remove(&report.from);
            let promised_to_others: i64 = promises.values().map(|units| i64::from(*units)).sum();
            let borrowed = (net_owned - share - promised_to_others).max(0);
            let units = (i64::from(line.recalled) - in_transit).clamp(0, borrowed) as Units;
            if units > 0 {
                promises.insert(report.from.clone(), units);
            }
        }
    }

    /// Sends the promised units, and some of the free units to sites with a shortfall.
    ///
    /// `free` are the units that can be moved at once, by budget name. `not_overcommitted` lists the budgets of which
    /// no more units are leased or in use at this site than it owns; promised units are sent only for these budgets.
    pub fn send_units(
        &mut self,
        free: &BTreeMap<String, Units>,
        not_overcommitted: &[String],
        actions: &mut Vec<Action>,
    ) {
        let mut transfers = Vec::new();
        for budget in not_overcommitted {
            let promises = self.promised.remove(budget).unwrap_or_default();
            transfers.extend(
                promises
                    .into_iter()
                    .filter(|(site, _)| !self.ledger.is_retired(site))
                    .map(|(site, units)| Transfer { site, budget: budget.clone(), units }),
            );
        }
        for (budget, free) in free {
            let spared = (f64::from(*free) * SENT_RATIO) as Units;
            transfers.extend(self.transfers_for_shortfalls(budget, spared));
        }
        for Transfer { site, budget, units } in transfers {
            self.debit(&site, &budget, units, actions);
        }
    }

    /// Returns transfers of at most `spared` units in total to sites with a shortfall.
    fn transfers_for_shortfalls(&self, budget: &str, spared: Units) -> Vec<Transfer> {
        let mut remaining = spared;
        let mut transfers = Vec::new();
        for (site, peer) in &self.peers {
            let shortfall = peer.shortfalls.get(budget).copied().unwrap_or(0);
            let sent = self.ledger.transfers_with(site, budget).map_or(0, |totals| totals.sent);
            let in_transit = sent.saturating_sub(peer.received.get(budget).copied().unwrap_or(0));
            let in_transit = in_transit.min(u64::from(Units::MAX)) as Units;
            let units = shortfall.saturating_sub(in_transit).min(remaining);
            if units > 0 && peer.confirmed && !self.ledger.is_retired(site) {
                remaining -= units;
                transfers.push(Transfer { site: site.clone(), budget: budget.to_owned(), units });
            }
        }
        transfers
    }

    /// Records units as sent to a site. The changed ledger is stored before the other site learns of the transfer.
    pub(super) fn debit(&mut self, site: &str, budget: &str, units: Units, actions: &mut Vec<Action>) {
        let transfers = self.ledger.transfers.entry(site.to_owned()).or_default();
        transfers.entry(budget.to_owned()).or_default().sent += u64::from(units);
        actions.push(Action::Store(self.ledger.clone()));
        actions.push(Action::Log(format!("budget {budget}: sent {units} units to site {site}")));
    }
}
