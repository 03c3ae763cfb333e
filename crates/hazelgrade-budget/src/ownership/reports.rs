//! Reports between sites: composing this site's reports and handling those of other sites.

use super::{Action, Ownership};
use crate::Units;
use crate::protocol::{SiteReport, SiteReportLine};
use hazelgrade::time::Time;
use std::collections::BTreeMap;

impl Ownership {
    /// Returns this site's report to another site.
    ///
    /// `overcommitted` states whether more units of any budget are leased or in use at this site than it owns.
    /// `shortfalls` are the units wanted at this site beyond the owned ones, by budget name.
    pub fn report_to(
        &self,
        to: &str,
        overcommitted: bool,
        shortfalls: &BTreeMap<String, Units>,
    ) -> SiteReport {
        let line =
            |budget: &String| self.report_line(to, budget, shortfalls.get(budget).copied().unwrap_or(0));
        SiteReport {
            from: self.site.clone(),
            to: to.to_owned(),
            generation: self.generation,
            known_generation: self.ledger.peer_generations.get(to).copied().unwrap_or(0),
            document_digest: self.document_digest.clone(),
            within_share: self.owns_no_more_than_documented() && !overcommitted,
            lines: self.terms.keys().map(line).collect(),
            surrendered: self.ledger.surrendered,
            retired: self.ledger.retired.clone(),
        }
    }

    fn report_line(&self, to: &str, budget: &str, shortfall: Units) -> SiteReportLine {
        let totals = self.ledger.transfers_with(to, budget).copied().unwrap_or_default();
        let net_owned = self.net_owned(budget);
        // A site that surrendered its units recalls its documented share, as if it had lent these units to its
        // successor.
        let share = if self.ledger.surrendered > 0 {
            self.terms.get(budget).map_or(0, |terms| terms.site_share(&self.site))
        } else {
            self.ledger.share(budget)
        };
        let lent = (i64::from(share) - net_owned.max(0)).clamp(0, i64::from(shortfall));
        let missing = (-net_owned).max(0);
        SiteReportLine {
            budget: budget.to_owned(),
            sent: totals.sent,
            received: totals.received,
            shortfall,
            recalled: (missing + lent).min(i64::from(Units::MAX)) as Units,
        }
    }

    fn owns_no_more_than_documented(&self) -> bool {
        self.terms.iter().all(|(budget, terms)| {
            let share = self.ledger.shares.get(budget);
            share.is_some_and(|share| *share <= terms.site_share(&self.site)) && self.net_owned(budget) >= 0
        })
    }

    /// Handles another site's report. A report does not change the ownership if it is addressed to another site, or
    /// if it comes from an unknown site, from an earlier generation, or from a site that was declared lost and has
    /// not surrendered its units.
    pub fn on_report(&mut self, now: Time, report: &SiteReport, actions: &mut Vec<Action>) {
        if report.to != self.site || !self.peers.contains_key(&report.from) {
            return;
        }
        let known_generation = self.ledger.peer_generations.get(&report.from);
        if known_generation.is_some_and(|known| report.generation < *known) {
            return;
        }
        if report.known_generation > self.generation {
            actions.push(Action::StaleStore(report.from.clone()));
        }
        self.record_retired(report, actions);
        if !self.readmit(report, actions) {
            return;
        }
        self.update_transfers(report, actions);
        self.update_peer(now, report);
        self.promise_recalled(report);
        self.update_shares(actions);
        self.take_over(actions);
    }

    /// Raises the transfer totals to those of the report, and records the generation of the reporting site.
    fn update_transfers(&mut self, report: &SiteReport, actions: &mut Vec<Action>) {
        let previous = self.ledger.peer_generations.insert(report.from.clone(), report.generation);
        let mut changed = previous != Some(report.generation);
        let mut log = Vec::new();
        let transfers = self.ledger.transfers.entry(report.from.clone()).or_default();
        for line in &report.lines {
            let totals = transfers.entry(line.budget.clone()).or_default();
            if line.sent > totals.received {
                let newly_received = line.sent - totals.received;
                log.push(format!(
                    "budget {}: received {newly_received} units from site {}",
                    line.budget, report.from
                ));
                totals.received = line.sent;
                changed = true;
            }
            // The other site has received more units than this site's store records as sent: the store is an old
            // copy, and this site no longer owns those units.
            if line.received > totals.sent {
                totals.sent = line.received;
                changed = true;
                actions.push(Action::StaleStore(report.from.clone()));
            }
        }
        if changed {
            actions.push(Action::Store(self.ledger.clone()));
        }
        actions.extend(log.into_iter().map(Action::Log));
    }

    fn update_peer(&mut self, now: Time, report: &SiteReport) {
        let Some(peer) = self.peers.get_mut(&report.from) else { return };
        peer.last_report = Some(now);
        peer.confirmed = true;
        peer.document_digest = report.document_digest.clone();
        peer.within_share = report.within_share;
        peer.shortfalls = report.lines.iter().map(|line| (line.budget.clone(), line.shortfall)).collect();
        peer.received = report.lines.iter().map(|line| (line.budget.clone(), line.received)).collect();
        peer.retired = report.retired.clone();
    }
}
