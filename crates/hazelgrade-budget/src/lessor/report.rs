//! What a lessor reports of its budgets: to operators, to metrics, and to the site's ownership.
//!
//! The names in JSON are older than the names used here; `#[serde(rename)]` maps them.

use super::book::{BudgetBook, Lease};
use super::{HolderId, Lessor, saturated};
use crate::Units;
use hazelgrade::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One budget at one site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetReport {
    /// Units of all sites together, by the document.
    #[serde(rename = "whole")]
    pub total: Units,
    /// Units that this site owns.
    pub owned: Units,
    /// Units that are never leased here.
    pub set_aside: Units,
    /// Units granted to lease holders.
    pub granted: Units,
    /// Units in use, by the holders' latest requests.
    #[serde(rename = "used")]
    pub in_use: Units,
    /// Units wanted, by the holders' latest requests.
    pub wanted: Units,
    /// Units booked beyond what is granted: waiting to be returned or to expire.
    #[serde(rename = "in_doubt")]
    pub unreturned: Units,
    /// Units that can be moved to another site at once: leasable, and booked for nobody.
    pub free: Units,
    /// The leases, by holder.
    #[serde(rename = "holders")]
    pub leases: Vec<LeaseReport>,
}

/// One holder's lease of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// Name of the lease holder.
    pub holder: String,
    /// Its incarnation, as 16 hexadecimal digits.
    #[serde(rename = "run")]
    pub incarnation: String,
    /// Units granted.
    pub granted: Units,
    /// The most units that it may hold.
    #[serde(rename = "most")]
    pub booked: Units,
    /// Units in use, by its latest request.
    #[serde(rename = "used")]
    pub in_use: Units,
    /// Units wanted, by its latest request.
    #[serde(rename = "wants")]
    pub wanted: Units,
    /// Its units by the latest division.
    pub target: Units,
    /// Units that it may use without a lease.
    #[serde(rename = "alone")]
    pub unleased: Units,
    /// Whether it has a connection.
    pub connected: bool,
    /// Milliseconds since its last request.
    #[serde(rename = "heard_ms_ago")]
    pub last_request_ms_ago: f64,
    /// Milliseconds until its units are certainly back, if it sends no further request.
    #[serde(rename = "back_in_ms")]
    pub expires_in_ms: f64,
    /// Milliseconds since its first request.
    #[serde(rename = "since_ms")]
    pub known_for_ms: f64,
}

/// What is free and what is missing of one budget at a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetBalance {
    /// Units that are neither booked nor wanted.
    pub surplus: Units,
    /// Units wanted beyond what may be leased.
    pub shortfall: Units,
}

impl BudgetBook {
    fn sum(&self, units: impl Fn(&Lease) -> Units) -> u64 {
        self.leases.values().map(|lease| u64::from(units(lease))).sum()
    }
}

impl Lessor {
    /// What is free of a budget and not wanted, and what is wanted beyond what may be leased.
    pub fn balance(&self, budget: &str) -> BudgetBalance {
        let Some(book) = self.budgets.get(budget) else { return BudgetBalance::default() };
        let wanted = book.sum(|lease| lease.wanted.saturating_sub(lease.unleased));
        let leasable = u64::from(book.leasable());
        BudgetBalance {
            surplus: saturated(leasable.saturating_sub(book.booked().max(wanted))),
            shortfall: saturated(wanted.saturating_sub(leasable)),
        }
    }

    /// Units of a budget that can be moved to another site at once; 0 while grants are blocked.
    pub fn free(&self, now: Time, budget: &str) -> Units {
        let Some(book) = self.budgets.get(budget) else { return 0 };
        if self.grants_blocked(now).is_some() {
            return 0;
        }
        book.unbooked() as Units
    }

    /// Units booked beyond what may be leased. That happens when the site comes to own fewer units while they are in
    /// use.
    pub fn overcommitted(&self, budget: &str) -> Units {
        let Some(book) = self.budgets.get(budget) else { return 0 };
        saturated(book.booked().saturating_sub(u64::from(book.leasable())))
    }

    /// The state of all budgets, by name.
    pub fn report(&self, now: Time) -> BTreeMap<String, BudgetReport> {
        self.budgets.iter().map(|(name, book)| (name.clone(), self.budget_report(now, name, book))).collect()
    }

    fn budget_report(&self, now: Time, name: &str, book: &BudgetBook) -> BudgetReport {
        let granted = saturated(book.sum(|lease| lease.granted));
        let booked = saturated(book.sum(|lease| lease.booked));
        BudgetReport {
            total: book.terms().total,
            owned: book.owned(),
            set_aside: book.terms().set_aside,
            granted,
            in_use: saturated(book.sum(|lease| lease.in_use)),
            wanted: saturated(book.sum(|lease| lease.wanted)),
            unreturned: booked.saturating_sub(granted),
            free: self.free(now, name),
            leases: book.leases.iter().map(|(id, lease)| self.lease_report(now, id, lease)).collect(),
        }
    }

    fn lease_report(&self, now: Time, id: &HolderId, lease: &Lease) -> LeaseReport {
        let holder = self.holders.get(id);
        LeaseReport {
            holder: id.name.clone(),
            incarnation: format!("{:016x}", id.incarnation),
            granted: lease.granted,
            booked: lease.booked,
            in_use: lease.in_use,
            wanted: lease.wanted,
            target: lease.target,
            unleased: lease.unleased,
            connected: holder.is_some_and(|holder| holder.connection.is_some()),
            last_request_ms_ago: holder.map_or(0.0, |holder| now.since(holder.last_request_at).as_ms()),
            expires_in_ms: lease.expires_at.since(now).as_ms(),
            known_for_ms: holder.map_or(0.0, |holder| now.since(holder.known_since).as_ms()),
        }
    }
}
