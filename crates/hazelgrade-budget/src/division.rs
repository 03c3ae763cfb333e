//! How a budget is divided among claims: weighted max-min fairness by demand, in whole units. Units that nobody wants
//! stay where they are, so that shares do not oscillate.

use crate::Units;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What one lease holder claims of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Units that it gets before any claim gets more, as far as the total allows.
    pub min_share: Units,
    /// If two claims both want more, twice the weight gets twice the units. 0 counts as 1.
    pub weight: Units,
    /// Units that it would use.
    pub demand: Units,
    /// Units that it has now.
    pub current: Units,
    /// Decides between claims that have the same number of units per weight.
    pub precedence: Precedence,
}

/// Decides who gets a unit where there is less than one for each claim: the earlier variant comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// It got its first unit a short while ago: units that move on at once are useless to everyone.
    RecentlyServed,
    /// It has wanted units for long and has none.
    Starved,
    /// Any other.
    Normal,
}

/// Scale of units per weight. As the least common multiple of 1 to 12 it keeps the quotient exact for small weights.
const LEVEL_SCALE: u64 = 27_720;

/// Divides `total` units among the claims, in their order: never more than the total, and all of it if there is a
/// claim.
///
/// Each unit goes to the claim that has the fewest for its weight: first up to the minimum shares, then up to the
/// demands. Units that are left go to claims that have them already, then to the claim that has the fewest. A claim
/// beyond its fair share gets no more by demanding more.
pub fn divide(total: Units, claims: &[Claim]) -> Vec<Units> {
    let mut division = Division { claims, shares: vec![0; claims.len()], left: total };
    division.fill_up_to(|claim| claim.min_share);
    division.fill_up_to(|claim| claim.demand);
    division.fill_up_to(|claim| claim.current);
    division.fill_up_to(|_| Units::MAX);
    division.shares
}

struct Division<'a> {
    claims: &'a [Claim],
    shares: Vec<Units>,
    left: Units,
}

/// Position of a claim in line, the least first: units per weight, precedence, whether it lacks units that it has
/// now, and its index.
type Rank = Reverse<(u64, Precedence, bool, usize)>;

impl Division<'_> {
    /// Hands out units one by one until each claim has its limit or none is left.
    fn fill_up_to(&mut self, limit: impl Fn(&Claim) -> Units) {
        let is_below = |shares: &[Units], index: usize| shares[index] < limit(&self.claims[index]);
        let below = (0..self.claims.len()).filter(|index| is_below(&self.shares, *index));
        let mut line: BinaryHeap<Rank> = below.map(|index| self.rank(index)).collect();
        while self.left > 0
            && let Some(Reverse((.., index))) = line.pop()
        {
            self.shares[index] += 1;
            self.left -= 1;
            if self.shares[index] < limit(&self.claims[index]) {
                line.push(self.rank(index));
            }
        }
    }

    fn rank(&self, index: usize) -> Rank {
        let claim = &self.claims[index];
        let units = self.shares[index];
        let level = u64::from(units) * LEVEL_SCALE / u64::from(claim.weight.max(1));
        let would_be_new = claim.current <= units;
        Reverse((level, claim.precedence, would_be_new, index))
    }
}
