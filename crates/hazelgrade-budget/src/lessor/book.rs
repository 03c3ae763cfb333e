//! The book of one budget: the leases of its holders, and how many units are booked for them.

use super::{HolderId, max_grant_time, saturated};
use crate::Units;
use crate::protocol::RequestLine;
use crate::terms::BudgetTerms;
use hazelgrade::time::Time;
use std::collections::{BTreeMap, VecDeque};

/// What one holder has of a budget, as the lessor books it.
#[derive(Clone, Debug)]
pub(super) struct Lease {
    /// The most units that it may hold.
    pub(super) booked: Units,
    pub(super) granted: Units,
    pub(super) in_use: Units,
    pub(super) wanted: Units,
    /// Units that it may use without a lease.
    pub(super) unleased: Units,
    /// Smoothed `wanted`, as of `demand_at`.
    pub(super) demand: f64,
    pub(super) demand_at: Time,
    /// When the lease and all that was begun under it are certainly over.
    pub(super) expires_at: Time,
    /// Its units by the latest division.
    pub(super) target: Units,
    /// Since when it wants units and has none.
    pub(super) starved_since: Option<Time>,
    /// Since when it has units.
    pub(super) served_since: Option<Time>,
    pub(super) draining: bool,
    /// It sends requests and accepts no answer, so units granted to it would not be used.
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

/// Units that came back because a lease is over.
#[derive(Clone, Debug)]
pub(super) struct ExpiredLease {
    /// Name of the holder.
    pub(super) holder: String,
    pub(super) units: Units,
}

/// The book of one budget.
#[derive(Clone, Debug)]
pub(super) struct BudgetBook {
    pub(super) terms: BudgetTerms,
    owned: Units,
    pub(super) leases: BTreeMap<HolderId, Lease>,
    pub(super) divided_at: Option<Time>,
    pub(super) division_requested: bool,
    /// Sums over `leases`. They are updated at each change, as thousands of holders send several requests per lease.
    booked: u64,
    unleased: u64,
    /// No lease expires before this.
    next_expiry: Option<Time>,
    /// Since the latest division: holders that have more than their target, and less.
    pub(super) above_target: Vec<HolderId>,
    pub(super) below_target: VecDeque<HolderId>,
}

impl BudgetBook {
    pub(super) fn new(terms: BudgetTerms, owned: Units) -> BudgetBook {
        BudgetBook {
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

    /// Whether nobody has a lease of it.
    pub(super) fn is_unused(&self) -> bool {
        self.leases.is_empty()
    }

    /// Units that all holders together may hold.
    pub(super) fn booked(&self) -> u64 {
        self.booked
    }

    /// Units that may be leased here: owned ones, less those set aside, less those beyond that which live nodes may use
    /// without a lease.
    pub(super) fn leasable(&self) -> Units {
        let set_aside = u64::from(self.terms.set_aside);
        let past_set_aside = self.unleased.saturating_sub(set_aside);
        saturated(u64::from(self.owned).saturating_sub(set_aside + past_set_aside))
    }

    /// Leasable units that are not booked.
    pub(super) fn unbooked(&self) -> u64 {
        u64::from(self.leasable()).saturating_sub(self.booked)
    }

    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.next_expiry
    }

    /// Removes a holder.
    pub(super) fn remove(&mut self, id: &HolderId) -> Option<Lease> {
        let lease = self.leases.remove(id)?;
        self.booked -= u64::from(lease.booked);
        self.unleased -= u64::from(lease.unleased);
        self.division_requested = true;
        Some(lease)
    }

    /// Removes holders whose leases are over.
    pub(super) fn expire(&mut self, now: Time) -> Vec<ExpiredLease> {
        if self.next_expiry.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let is_over = |lease: &Lease| lease.expires_at <= now;
        let over: Vec<HolderId> =
            self.leases.iter().filter(|(_, lease)| is_over(lease)).map(|(id, _)| id.clone()).collect();
        let mut expired = Vec::new();
        for id in over {
            if let Some(lease) = self.remove(&id) {
                expired.push(ExpiredLease { holder: id.name, units: lease.booked });
            }
        }
        self.next_expiry = self.leases.values().map(|lease| lease.expires_at).min();
        expired
    }

    /// Books what a holder's request says; returns whether the holder is new, or changed by enough to divide again.
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

    /// Books a grant that answers a line of a holder's request.
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

/// What booking a request showed.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordedRequest {
    /// Whether the holder had no lease of this budget before.
    pub(super) is_new: bool,
    /// Whether its demand, what it holds or its state changed by enough to divide again.
    pub(super) changed: bool,
}
