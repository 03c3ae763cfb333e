//! Division of a budget among its lease holders: its timing, the holders' claims, and the resulting targets.

use super::HolderId;
use super::leased_budget::{Lease, LeasedBudget};
use crate::Units;
use crate::division::{Claim, Precedence, divide};
use hazelgrade::time::{Span, Time};
use std::collections::BTreeMap;

/// Limit of the divisions of a budget during one lease.
const MAX_DIVISIONS_PER_LEASE: f64 = 20.0;
/// Half-life of the smoothing of growing demand, as a ratio of the lease. Demand comes in bursts, and the holders do
/// not reach their peaks at the same time.
const RISE_HALF_LIFE_RATIO: f64 = 0.1;
/// Half-life of the smoothing of falling demand, as a ratio of the lease.
const FALL_HALF_LIFE_RATIO: f64 = 0.4;
/// Headroom above the mean demand, as a ratio of the square root of the mean: with it, calls that arrive at random
/// mostly find a free unit.
const HEADROOM_RATIO: f64 = 0.5;

impl Lease {
    /// Returns the smoothed demand in units as of `now`, which moves towards the units that the holder wanted last.
    pub(super) fn demand_now(&self, now: Time, lease: Span) -> f64 {
        let wanted = f64::from(self.wanted);
        let half_life_ratio = if wanted > self.demand { RISE_HALF_LIFE_RATIO } else { FALL_HALF_LIFE_RATIO };
        let half_lives = now.since(self.demand_at) / (lease * half_life_ratio);
        wanted + (self.demand - wanted) * 0.5f64.powf(half_lives)
    }

    fn claim(&self, now: Time, lease: Span, min_share: Units) -> Claim {
        let mean = self.demand_now(now, lease);
        let demand = mean + HEADROOM_RATIO * mean.sqrt();
        Claim {
            min_share: if self.draining { 0 } else { min_share },
            weight: 1,
            // Units that the holder may use without a lease need not be granted.
            demand: (demand.ceil() as Units).saturating_sub(self.unleased),
            current: if self.draining { 0 } else { self.granted },
            precedence: self.precedence(now, lease),
        }
    }

    fn precedence(&self, now: Time, lease: Span) -> Precedence {
        if self.served_since.is_some_and(|since| now.since(since) <= lease) {
            Precedence::RecentlyServed
        } else if self.starved_since.is_some_and(|since| now.since(since) > lease) {
            Precedence::Starved
        } else {
            Precedence::Normal
        }
    }
}

impl LeasedBudget {
    fn min_division_interval(&self) -> Span {
        self.terms.lease * (1.0 / MAX_DIVISIONS_PER_LEASE)
    }

    /// Requests a new division as soon as the minimum interval between divisions allows.
    pub(super) fn request_division(&mut self) {
        self.division_requested = true;
    }

    pub(super) fn is_division_requested(&self) -> bool {
        self.division_requested
    }

    /// Returns the earliest time of a requested division; `None` if none is requested.
    pub(super) fn next_division(&self, now: Time) -> Option<Time> {
        let due_at = || self.divided_at.map_or(now, |at| at + self.min_division_interval());
        self.division_requested.then(due_at)
    }

    /// Divides the leasable units and sets the target of each holder. If the latest division is more recent than the
    /// minimum interval, only records that a division is requested.
    pub(super) fn divide(&mut self, now: Time) {
        if self.divided_at.is_some_and(|at| now.since(at) < self.min_division_interval()) {
            self.division_requested = true;
            return;
        }
        self.divided_at = Some(now);
        self.division_requested = false;
        let targets = self.targets(now);
        self.above_target.clear();
        self.below_target.clear();
        for (id, lease) in &mut self.leases {
            lease.target = targets.get(id).copied().unwrap_or(0);
            if lease.target < lease.granted {
                self.above_target.push(id.clone());
            } else if lease.target > lease.granted {
                self.below_target.push_back(id.clone());
            }
        }
    }

    /// Returns the units of each holder that neither drains nor is unresponsive.
    fn targets(&self, now: Time) -> BTreeMap<HolderId, Units> {
        let mut holders = Vec::new();
        let mut claims = Vec::new();
        for (id, lease) in &self.leases {
            if !lease.draining && !lease.unresponsive {
                holders.push(id.clone());
                claims.push(lease.claim(now, self.terms.lease, self.terms.min_share));
            }
        }
        let shares = divide(self.leasable(), &claims);
        holders.into_iter().zip(shares).collect()
    }

    /// Returns the holders that should send a request now: all holders above their target, and as many holders below
    /// their target as there are unbooked units. A holder is returned once per division.
    pub(super) fn take_holders_to_nudge(&mut self) -> Vec<HolderId> {
        let unbooked = self.unbooked();
        let below_count = self.below_target.len().min(unbooked as usize);
        let mut holders = std::mem::take(&mut self.above_target);
        holders.extend(self.below_target.drain(..below_count));
        holders
    }
}
