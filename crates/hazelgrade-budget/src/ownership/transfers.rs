//! Units that are sent to other sites: free ones to sites with a shortfall, recalled ones to the sites that own them.

use super::{Action, Ownership};
use crate::Units;
use crate::protocol::SiteReport;
use std::collections::BTreeMap;

/// Ratio of the free units that is sent to sites with a shortfall: the rest may be wanted here at any moment.
const SENT_RATIO: f64 = 0.5;

struct Transfer {
    site: String,
    budget: String,
    units: Units,
}

impl Ownership {
    /// Promises what another site recalls, at most what this site owns beyond its share.
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

    /// Sends what was promised, and some of the free units to sites with a shortfall.
    ///
    /// `free` is units that can be spared at once, by budget. `not_overcommitted` lists the budgets of which no more is
    /// leased or in use here than is owned; promises are sent only for these.
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

    /// Transfers to sites with a shortfall, `spared` units at most.
    fn transfers_for_shortfalls(&self, budget: &str, spared: Units) -> Vec<Transfer> {
        let mut left = spared;
        let mut transfers = Vec::new();
        for (site, peer) in &self.peers {
            let shortfall = peer.shortfalls.get(budget).copied().unwrap_or(0);
            let sent = self.ledger.transfers_with(site, budget).map_or(0, |totals| totals.sent);
            let in_transit = sent.saturating_sub(peer.received.get(budget).copied().unwrap_or(0));
            let in_transit = in_transit.min(u64::from(Units::MAX)) as Units;
            let units = shortfall.saturating_sub(in_transit).min(left);
            if units > 0 && peer.confirmed && !self.ledger.is_retired(site) {
                left -= units;
                transfers.push(Transfer { site: site.clone(), budget: budget.to_owned(), units });
            }
        }
        transfers
    }

    /// Books units as sent.
    pub(super) fn debit(&mut self, site: &str, budget: &str, units: Units, actions: &mut Vec<Action>) {
        let transfers = self.ledger.transfers.entry(site.to_owned()).or_default();
        transfers.entry(budget.to_owned()).or_default().sent += u64::from(units);
        actions.push(Action::Store(self.ledger.clone()));
        actions.push(Action::Log(format!("{budget}: {units} sent to {site}")));
    }
}
