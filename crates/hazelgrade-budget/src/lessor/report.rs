//! A lessor's reports on its budgets for operators, for metrics and for the site's ownership.
//!
//! The JSON names differ from the Rust names; `#[serde(rename)]` maps them.

use super::leased_budget::{Lease, LeasedBudget};
use super::{HolderId, Lessor, saturated};
use crate::Units;
use hazelgrade::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of one budget at one site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetReport {
    /// Units of all sites together, according to the budget document.
    #[serde(rename = "whole")]
    pub total: Units,
    /// Units that this site owns.
    pub owned: Units,
    /// Units that are never leased at this site.
    pub set_aside: Units,
    /// Units granted to lease holders.
    pub granted: Units,
    /// Units in use, according to the holders' latest requests.
    #[serde(rename = "used")]
    pub in_use: Units,
    /// Units wanted, according to the holders' latest requests.
    pub wanted: Units,
    /// Units booked beyond those granted, which are still to be returned or to expire.
    #[serde(rename = "in_doubt")]
    pub unreturned: Units,
    /// Units that can be moved to another site at once: leasable and not booked.
    pub free: Units,
    /// The holders' leases.
    #[serde(rename = "holders")]
    pub leases: Vec<LeaseReport>,
}

/// State of one holder's lease of one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// Name of the lease holder.
    pub holder: String,
    /// Incarnation of the lease holder, as 16 hexadecimal digits.
    #[serde(rename = "run")]
    pub incarnation: String,
    /// Units granted by the latest grant.
    pub granted: Units,
    /// The most units that the holder may hold.
    #[serde(rename = "most")]
    pub booked: Units,
    /// Units in use, according to the holder's latest request.
    #[serde(rename = "used")]
    pub in_use: Units,
    /// Units wanted, according to the holder's latest request.
    #[serde(rename = "wants")]
    pub wanted: Units,
    /// The holder's units according to the latest division.
    pub target: Units,
    /// Units that the holder may use without a lease.
    #[serde(rename = "alone")]
    pub unleased: Units,
    /// Whether the holder has a connection to the lessor.
    pub connected: bool,
    /// Time since the holder's latest request, in milliseconds.
    #[serde(rename = "heard_ms_ago")]
    pub last_request_ms_ago: f64,
    /// Time until the holder's units are certainly free if the holder sends no further request, in milliseconds.
    #[serde(rename = "back_in_ms")]
    pub expires_in_ms: f64,
    /// Time since the holder's first request, in milliseconds.
    #[serde(rename = "since_ms")]
    pub known_for_ms: f64,
}

/// Surplus and shortfall of one budget at a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetBalance {
    /// Units that are neither booked nor wanted.
    pub surplus: Units,
    /// Units wanted beyond the leasable ones.
    pub shortfall: Units,
}

impl LeasedBudget {
    fn sum(&self, units: impl Fn(&Lease) -> Units) -> u64 {
        self.leases.values().map(|lease| u64::from(units(lease))).sum()
    }
}

impl Lessor {
    /// Returns the surplus and the shortfall of a budget; both are 0 for an unknown budget.
    pub fn balance(&self, budget: &str) -> BudgetBalance {
        let Some(budget) = self.budgets.get(budget) else { return BudgetBalance::default() };
        let wanted = budget.sum(|lease| lease.wanted.saturating_sub(lease.unleased));
        let leasable = u64::from(budget.leasable());
        BudgetBalance {
            surplus: saturated(leasable.saturating_sub(budget.booked().max(wanted))),
            shortfall: saturated(wanted.saturating_sub(leasable)),
        }
    }

    /// Returns the units of a budget that can be moved to another site at once; 0 while grants are blocked.
    pub fn free(&self, now: Time, budget: &str) -> Units {
        let Some(budget) = self.budgets.get(budget) else { return 0 };
        if self.grants_blocked(now).is_some() {
            return 0;
        }
        budget.unbooked() as Units
    }

    /// Returns the units booked beyond the leasable ones. There are such units after the units that the site owns
    /// were reduced while they were in use.
    pub fn overcommitted(&self, budget: &str) -> Units {
        let Some(budget) = self.budgets.get(budget) else { return 0 };
        saturated(budget.booked().saturating_sub(u64::from(budget.leasable())))
    }

    /// Returns the state of all budgets, by name.
    pub fn report(&self, now: Time) -> BTreeMap<String, BudgetReport> {
        self.budgets
            .iter()
            .map(|(name, budget)| (name.clone(), self.budget_report(now, name, budget)))
            .collect()
    }

    fn budget_report(&self, now: Time, name: &str, budget: &LeasedBudget) -> BudgetReport {
        let granted = saturated(budget.sum(|lease| lease.granted));
        let booked = saturated(budget.sum(|lease| lease.booked));
        BudgetReport {
            total: budget.terms().total,
            owned: budget.owned(),
            set_aside: budget.terms().set_aside,
            granted,
            in_use: saturated(budget.sum(|lease| lease.in_use)),
            wanted: saturated(budget.sum(|lease| lease.wanted)),
            unreturned: booked.saturating_sub(granted),
            free: self.free(now, name),
            leases: budget.leases.iter().map(|(id, lease)| self.lease_report(now, id, lease)).collect(),
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
