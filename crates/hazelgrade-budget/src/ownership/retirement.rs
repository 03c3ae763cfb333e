//! Sites that are declared lost: their transfers are settled, a successor takes over what they owned, and they are
//! readmitted once they surrendered it.

use super::{Action, Ownership, Peer};
use crate::Units;
use crate::protocol::SiteReport;
use crate::stored::{RetiredSite, TransferTotals};
use std::collections::BTreeMap;

impl Ownership {
    /// Learns from a report which sites were declared lost; this site may be among them.
    pub(super) fn learn_of_retired(&mut self, report: &SiteReport, actions: &mut Vec<Action>) {
        let mut changed = false;
        for (site, reported) in &report.retired {
            if *site == self.site {
                if reported.times > self.ledger.surrendered {
                    self.surrender(reported.times);
                    changed = true;
                    actions.push(Action::Log(format!(
                        "{} says that this site was declared lost: it owns nothing now",
                        report.from
                    )));
                }
                continue;
            }
            let known = self.ledger.retired.get(site);
            if known.is_none_or(|known| known.times < reported.times) && !reported.readmitted {
                self.declare_lost(site, reported.times, &reported.successor);
                changed = true;
                actions.push(Action::Log(format!("{site} was declared lost at {}", reported.successor)));
            }
        }
        if changed {
            actions.push(Action::Store(self.ledger.clone()));
        }
    }

    /// Gives up all that this site owned: it now belongs to the successor, which settles all transfers. What lease
    /// holders still use is taken back from them.
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

    /// Whether a report counts. That of a retired site counts once the site has surrendered; then it is readmitted.
    pub(super) fn readmit(&mut self, report: &SiteReport, actions: &mut Vec<Action>) -> bool {
        let Some(retired) = self.ledger.retired.get_mut(&report.from) else { return true };
        if retired.readmitted {
            return true;
        }
        if report.surrendered < retired.times {
            return false;
        }
        retired.readmitted = true;
        actions.push(Action::Log(format!("{} is back and owns nothing yet", report.from)));
        true
    }

    /// Notes a site as lost, with the transfers between it and this site until now.
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

    /// Takes over what lost sites owned if this site is their successor and all other sites reported their transfers
    /// with them.
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
            let shown = super::commands::units_by_budget(&taken_over);
            if let Some(retired) = self.ledger.retired.get_mut(&site) {
                retired.taken_over = Some(taken_over);
            }
            actions.push(Action::Store(self.ledger.clone()));
            actions.push(Action::Log(format!("{shown} that {site} owned are owned here now")));
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

    /// What a lost site owned by budget: its share and the transfers that all other sites had with it.
    fn owned_by_retired(&self, site: &str) -> BTreeMap<String, Units> {
        let owned = |budget: &str, share: Units| {
            let reported = self.peers.values().filter_map(|peer| peer.retired.get(site));
            let received_by_it: i64 = reported
                .chain(self.ledger.retired.get(site))
                .filter_map(|retired| retired.transfers.get(budget))
                .map(|totals: &TransferTotals| -totals.net())
                .sum();
            (i64::from(share) + received_by_it).clamp(0, i64::from(Units::MAX)) as Units
        };
        self.terms
            .iter()
            .map(|(budget, terms)| (budget.clone(), owned(budget, terms.site_share(site))))
            .collect()
    }
}
