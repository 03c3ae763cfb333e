//! Retirement of sites that are declared lost: their transfers are settled, a successor takes over the units that
//! they owned, and they are readmitted once they have surrendered those units.

use super::{Action, Ownership, Peer};
use crate::Units;
use crate::protocol::SiteReport;
use crate::stored::{RetiredSite, TransferTotals};
use std::collections::BTreeMap;

impl Ownership {
    /// Records the sites that were declared lost according to a report. If this site is among them, it surrenders all
    /// its units.
    pub(super) fn record_retired(&mut self, report: &SiteReport, actions: &mut Vec<Action>) {
        let mut changed = false;
        for (site, reported) in &report.retired {
            if *site == self.site {
                if reported.times > self.ledger.surrendered {
                    self.surrender(reported.times);
                    changed = true;
                    actions.push(Action::Log(format!(
                        "site {} reports that this site was declared lost; this site surrendered all its units",
                        report.from
                    )));
                }
                continue;
            }
            let known = self.ledger.retired.get(site);
            if known.is_none_or(|known| known.times < reported.times) && !reported.readmitted {
                self.declare_lost(site, reported.times, &reported.successor);
                changed = true;
                actions.push(Action::Log(format!(
                    "site {site} was declared lost at site {}",
                    reported.successor
                )));
            }
        }
        if changed {
            actions.push(Action::Store(self.ledger.clone()));
        }
    }

    /// Surrenders all units that this site owned: they now belong to the successor, which settles all transfers.
    /// Units that lease holders still use are taken back from the holders.
    fn surrender(&mut self, times: u64) {
        self.ledger.surrendered = times;
        self.ledger.transfers.clear();
        self.ledger.retired.clear();
        self.ledger.carried_over.clear();
        for budget in self.terms.keys() {
            self.ledger.shares.insert(budget.clone(), 0);
        }
        self.ledger.shares.values_mut().for_each(|share| *share = 0);
    }

    /// Returns whether a report may be applied. A retired site is readmitted, and its reports are applied again, once
    /// it reports that it has surrendered its units.
    pub(super) fn readmit(&mut self, report: &SiteReport, actions: &mut Vec<Action>) -> bool {
        let Some(retired) = self.ledger.retired.get_mut(&report.from) else { return true };
        if retired.readmitted {
            return true;
        }
        if report.surrendered < retired.times {
            return false;
        }
        retired.readmitted = true;
        actions.push(Action::Log(format!(
            "site {} surrendered its units and is readmitted; it owns no units yet",
            report.from
        )));
        true
    }

    /// Records a site as lost, with the transfers between the lost site and this site until now.
    pub(super) fn declare_lost(&mut self, site: &str, times: u64, successor: &str) {
        let transfers = self.ledger.transfers.remove(site).unwrap_or_default();
        let taken_over_before = self.ledger.retired.remove(site).and_then(|retired| retired.taken_over);
        for (budget, units) in taken_over_before.into_iter().flatten() {
            *self.ledger.carried_over.entry(budget).or_default() += i64::from(units);
        }
        for (budget, totals) in &transfers {
            *self.ledger.carried_over.entry(budget.clone()).or_default() += totals.net();
        }
        let retired = RetiredSite {
            times,
            successor: successor.to_owned(),
            transfers,
            taken_over: None,
            readmitted: false,
        };
        self.ledger.retired.insert(site.to_owned(), retired);
    }

    /// Takes over the units of each lost site whose successor is this site, once all other sites have reported their
    /// transfers with the lost site.
    pub(super) fn take_over(&mut self, actions: &mut Vec<Action>) {
        let settled: Vec<String> = self
            .ledger
            .retired
            .iter()
            .filter(|(site, retired)| self.may_take_over(site, retired))
            .map(|(site, _)| site.clone())
            .collect();
        for site in settled {
            let taken_over = self.owned_by_retired(&site);
            let taken_over_text = super::commands::units_by_budget(&taken_over);
            if let Some(retired) = self.ledger.retired.get_mut(&site) {
                retired.taken_over = Some(taken_over);
            }
            actions.push(Action::Store(self.ledger.clone()));
            actions.push(Action::Log(format!("took over from lost site {site}: {taken_over_text}")));
        }
    }

    fn may_take_over(&self, site: &str, retired: &RetiredSite) -> bool {
        let reported =
            |peer: &Peer| peer.retired.get(site).is_some_and(|reported| reported.times >= retired.times);
        retired.successor == self.site
            && retired.taken_over.is_none()
            && self
                .peers
                .iter()
                .filter(|(other, _)| *other != site && !self.ledger.is_retired(other))
                .all(|(_, peer)| reported(peer))
    }

    /// Returns the units that a lost site owned, by budget name: its share, plus the net units that all other sites
    /// transferred to the lost site.
    fn owned_by_retired(&self, site: &str) -> BTreeMap<String, Units> {
        let owned = |budget: &str, share: Units| {
            let reported = self.peers.values().filter_map(|peer| peer.retired.get(site));
            let net_received: i64 = reported
                .chain(self.ledger.retired.get(site))
                .filter_map(|retired| retired.transfers.get(budget))
                .map(|totals: &TransferTotals| -totals.net())
                .sum();
            (i64::from(share) + net_received).clamp(0, i64::from(Units::MAX)) as Units
        };
        self.terms
            .iter()
            .map(|(budget, terms)| (budget.clone(), owned(budget, terms.site_share(site))))
            .collect()
    }
}
