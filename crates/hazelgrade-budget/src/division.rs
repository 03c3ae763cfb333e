//! How a budget is divided among claims: weighted max-min by demand, in whole units. Units that nobody wants stay
//! where they are, so that shares do not oscillate.

use crate::Units;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What one lease holder claims of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Units that it gets before anybody gets more, as far as the total goes.
    pub min_share: Units,
    /// Where two claims both want more, twice the weight gets twice the units. 0 counts as 1.
    pub weight: Units,
    /// Units that it would use.
    pub demand: Units,
    /// Units that it has now.
    pub current: Units,
    /// Who comes first among claims with equally many units for their weight.
    pub precedence: Precedence,
}

/// Who comes first where there is less than one unit for each claim; the earlier variant does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Precedence {
    /// It got its first unit a short while ago: units that move on at once are of use to nobody.
    RecentlyServed,
    /// It has had nothing for long while others had some.
    Starved,
    /// Any other.
    Normal,
}

/// Weights are small numbers; a common multiple of the first twelve keeps units over weight exact.
const LEVEL_SCALE: u64 = 27_720;

/// Divides `total` units among the claims, in their order: never more than the total, and all of it if there is a
/// claim.
///
/// Each unit goes to the claim that has least for its weight: first up to the least shares, then up to the demands;
/// units that are left go to claims that have them already, then to whoever has least. A claim beyond its fair
/// share gets no more by demanding more.
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

/// Position of a claim in line: the least comes first.
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
        let has_it_already = claim.current > units;
        Reverse((level, claim.precedence, !has_it_already, index))
    }
}
