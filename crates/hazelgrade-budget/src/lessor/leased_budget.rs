//! One budget as its lessor leases it: the holders' leases, and the number of units booked for them.

use super::{HolderId, max_grant_time, saturated};
use crate::Units;
use crate::protocol::RequestLine;
use crate::terms::BudgetTerms;
use hazelgrade::time::Time;
use std::collections::{BTreeMap, VecDeque};

/// One holder's lease of a budget, as the lessor has recorded it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    /// The most units that the holder may hold.
    pub(super) booked: Units,
    pub(super) granted: Units,
    pub(super) in_use: Units,
    pub(super) wanted: Units,
    /// Units that the holder may use without a lease.
    pub(super) unleased: Units,
    /// Exponentially smoothed `wanted`, as of `demand_at`.
    pub(super) demand: f64,
    pub(super) demand_at: Time,
    /// Time at which the lease and all work that was started under it are certainly over.
    pub(super) expires_at: Time,
    /// The holder's units according to the latest division.
    pub(super) target: Units,
    /// Time since which the holder has wanted units and has had none.
    pub(super) starved_since: Option<Time>,
    /// Time since which the holder has had units.
    pub(super) served_since: Option<Time>,
    pub(super) draining: bool,
    /// Whether the holder sends requests but accepts no answers, so that units granted to it would not be used.
    pub(super) unresponsive: bool,
}

impl Lease {
    pub(super) fn new(now: Time, draining: bool) -> Lease {
        Lease {
            booked: 0,
            granted: 0,
            in_use: 0,
            wanted: 0,
            unleased: 0,
            demand: 0.0,
            demand_at: now,
            expires_at: now,
            target: 0,
            starved_since: None,
            served_since: None,
            draining,
            unresponsive: false,
        }
    }
}

/// Units that became free because a lease has expired.
#[derive(Clone, Debug)]
pub(super) struct ExpiredLease {
    /// Name of the holder.
    pub(super) holder: String,
    pub(super) units: Units,
}

/// One budget as its lessor leases it.
#[derive(Clone, Debug)]
pub(super) struct LeasedBudget {
    pub(super) terms: BudgetTerms,
    owned: Units,
    pub(super) leases: BTreeMap<HolderId, Lease>,
    pub(super) divided_at: Option<Time>,
    pub(super) division_requested: bool,
    /// Sum of `booked` over `leases`. Both sums are updated at each change instead of being recomputed, because
    /// thousands of holders send several requests per lease.
    booked: u64,
    /// Sum of `unleased` over `leases`.
    unleased: u64,
    /// Lower limit of the expiry times of all leases.
    next_expiry: Option<Time>,
    /// Holders above their target that are still to be nudged because of the latest division.
    pub(super) above_target: Vec<HolderId>,
    /// Holders below their target that are still to be nudged because of the latest division.
    pub(super) below_target: VecDeque<HolderId>,
}

impl LeasedBudget {
    pub(super) fn new(terms: BudgetTerms, owned: Units) -> LeasedBudget {
        LeasedBudget {
            terms,
            owned,
            leases: BTreeMap::new(),
            divided_at: None,
            division_requested: true,
            booked: 0,
            unleased: 0,
            next_expiry: None,
            above_target: Vec::new(),
            below_target: VecDeque::new(),
        }
    }

    pub(super) fn terms(&self) -> &BudgetTerms {
        &self.terms
    }

    pub(super) fn set_terms(&mut self, terms: BudgetTerms) {
        self.terms = terms;
        self.division_requested = true;
        self.divided_at = None;
    }

    pub(super) fn owned(&self) -> Units {
        self.owned
    }

    pub(super) fn set_owned(&mut self, owned: Units) {
        self.owned = owned;
        self.division_requested = true;
        self.divided_at = None;
    }

    pub(super) fn contains(&self, id: &HolderId) -> bool {
        self.leases.contains_key(id)
    }

    /// Whether no holder has a lease of the budget.
    pub(super) fn is_unused(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns the units that all holders together may hold.
    pub(super) fn booked(&self) -> u64 {
        self.booked
    }

    /// Returns the units that may be leased at this site: the owned units less those set aside, and less those that
    /// nodes may use without a lease beyond the units set aside.
    pub(super) fn leasable(&self) -> Units {
        let set_aside = u64::from(self.terms.set_aside);
        let unleased_beyond_set_aside = self.unleased.saturating_sub(set_aside);
        saturated(u64::from(self.owned).saturating_sub(set_aside + unleased_beyond_set_aside))
    }

    /// Returns the leasable units that are not booked.
    pub(super) fn unbooked(&self) -> u64 {
        u64::from(self.leasable()).saturating_sub(self.booked)
    }

    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.next_expiry
    }

    /// Removes a holder's lease and returns it.
    pub(super) fn remove(&mut self, id: &HolderId) -> Option<Lease> {
        let lease = self.leases.remove(id)?;
        self.booked -= u64::from(lease.booked);
        self.unleased -= u64::from(lease.unleased);
        self.division_requested = true;
        Some(lease)
    }

    /// Removes the leases that have expired and returns their units.
    pub(super) fn expire(&mut self, now: Time) -> Vec<ExpiredLease> {
        if self.next_expiry.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let has_expired = |lease: &Lease| lease.expires_at <= now;
        let expired_ids: Vec<HolderId> =
            self.leases.iter().filter(|(_, lease)| has_expired(lease)).map(|(id, _)| id.clone()).collect();
        let mut expired = Vec::new();
        for id in expired_ids {
            if let Some(lease) = self.remove(&id) {
                expired.push(ExpiredLease { holder: id.name, units: lease.booked });
            }
        }
        self.next_expiry = self.leases.values().map(|lease| lease.expires_at).min();
        expired
    }

    /// Records a holder's request: its usage, and the units it holds as booked. Returns whether the holder is new or
    /// has changed by enough to divide the budget again.
    pub(super) fn record_request(
        &mut self,
        now: Time,
        id: &HolderId,
        line: &RequestLine,
        draining: bool,
        unresponsive: bool,
    ) -> RecordedRequest {
        let is_new = !self.leases.contains_key(id);
        let lease = self.leases.entry(id.clone()).or_insert_with(|| Lease::new(now, draining));
        let demand = lease.demand_now(now, self.terms.lease);
        let changed = (demand - lease.demand).abs() >= 1.0
            || lease.draining != draining
            || lease.unresponsive != unresponsive
            || line.held != lease.booked;
        lease.demand = if is_new { f64::from(line.wanted) } else { demand };
        lease.demand_at = now;
        self.booked = self.booked - u64::from(lease.booked) + u64::from(line.held);
        self.unleased = self.unleased - u64::from(lease.unleased) + u64::from(line.unleased);
        lease.booked = line.held;
        lease.in_use = line.in_use;
        lease.wanted = line.wanted;
        lease.unleased = line.unleased;
        lease.draining = draining;
        lease.unresponsive = unresponsive;
        lease.expires_at = now + max_grant_time(&self.terms);
        let next_expiry = self.next_expiry.map_or(lease.expires_at, |at| at.min(lease.expires_at));
        self.next_expiry = Some(next_expiry);
        self.division_requested = true;
        RecordedRequest { is_new, changed }
    }

    /// Records the grant that answers a line of a holder's request. The holder is booked for the larger of the units
    /// that it holds and the units granted, until it confirms the grant.
    pub(super) fn record_grant(&mut self, now: Time, id: &HolderId, line: &RequestLine, units: Units) {
        let Some(lease) = self.leases.get_mut(id) else { return };
        let booked = line.held.max(units);
        self.booked = self.booked - u64::from(lease.booked) + u64::from(booked);
        lease.booked = booked;
        lease.granted = units;
        let starved = units == 0 && line.wanted > line.unleased;
        lease.starved_since = starved.then(|| lease.starved_since.unwrap_or(now));
        lease.served_since = (units > 0).then(|| lease.served_since.unwrap_or(now));
    }
}

/// Result of recording a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordedRequest {
    /// Whether the holder had no lease of the budget before.
    pub(super) is_new: bool,
    /// Whether the holder's demand, held units or state changed by enough to divide the budget again.
    pub(super) changed: bool,
}
