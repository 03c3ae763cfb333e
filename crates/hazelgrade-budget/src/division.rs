//! Division of a budget among claims: weighted max-min fairness by demand, in whole units. Units beyond all demands
//! stay with the claims that have them, so that shares do not oscillate.

use crate::Units;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One lease holder's claim to units of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Units that the claim gets before any claim gets more than its minimum share, as far as the total allows.
    pub min_share: Units,
    /// Weight of the claim: of two claims with unmet demand, the one with twice the weight gets twice the units. 0
    /// counts as 1.
    pub weight: Units,
    /// Units that the lease holder would use.
    pub demand: Units,
    /// Units that the lease holder has now.
    pub current: Units,
    /// Order among claims that have the same number of units per weight.
    pub precedence: Precedence,
}

/// Order of claims when there is less than one unit for each: claims with an earlier variant are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// The lease holder got its first unit recently. It keeps the unit, because a unit that moves on at once is of no
    /// use to either holder.
    RecentlyServed,
    /// The lease holder has wanted units for longer than one lease and has none.
    Starved,
    /// Any other lease holder.
    Normal,
}

/// Fixed-point scale of units per weight. The least common multiple of 1 to 12 keeps the quotient exact for weights
/// up to 12.
const LEVEL_SCALE: u64 = 27_720;

/// Divides `total` units among the claims and returns the share of each claim, in the order of `claims`. The shares
/// add up to the total, unless there is no claim.
///
/// Each unit goes to the claim that has the fewest units for its weight: first up to the minimum shares, then up to
/// the demands. Remaining units go to claims that have them already, then to the claims with the fewest units. A
/// claim whose demand exceeds its fair share does not get more by demanding more.
pub fn divide(total: Units, claims: &[Claim]) -> Vec<Units> {
    let mut division = Division { claims, shares: vec![0; claims.len()], remaining: total };
    division.fill_up_to(|claim| claim.min_share);
    division.fill_up_to(|claim| claim.demand);
    division.fill_up_to(|claim| claim.current);
    division.fill_up_to(|_| Units::MAX);
    division.shares
}

struct Division<'a> {
    claims: &'a [Claim],
    shares: Vec<Units>,
    remaining: Units,
}

/// Sort key of a claim, least first: units per weight, precedence, whether a further unit would exceed what the claim
/// has now, and the index of the claim.
type Rank = Reverse<(u64, Precedence, bool, usize)>;

impl Division<'_> {
    /// Hands out units one by one until each claim has reached its limit or no unit remains.
    fn fill_up_to(&mut self, limit: impl Fn(&Claim) -> Units) {
        let is_below_limit = |shares: &[Units], index: usize| shares[index] < limit(&self.claims[index]);
        let below_limit = (0..self.claims.len()).filter(|index| is_below_limit(&self.shares, *index));
        let mut queue: BinaryHeap<Rank> = below_limit.map(|index| self.rank(index)).collect();
        while self.remaining > 0
            && let Some(Reverse((.., index))) = queue.pop()
        {
            self.shares[index] += 1;
            self.remaining -= 1;
            if self.shares[index] < limit(&self.claims[index]) {
                queue.push(self.rank(index));
            }
        }
    }

    fn rank(&self, index: usize) -> Rank {
        let claim = &self.claims[index];
        let units = self.shares[index];
        let level = u64::from(units) * LEVEL_SCALE / u64::from(claim.weight.max(1));
        let exceeds_current = claim.current <= units;
        Reverse((level, claim.precedence, exceeds_current, index))
    }
}
