//! Division of a total among claims: completeness, fairness, and no gain from an overstated demand.

use hazelgrade_budget::division::{Claim, Precedence, divide};
use quickcheck::quickcheck;

fn claims(fields: &[(u8, u8, u8, u8)]) -> Vec<Claim> {
    let claim = |(min_share, weight, demand, current): &(u8, u8, u8, u8)| Claim {
        min_share: u32::from(*min_share % 3),
        weight: u32::from(*weight % 4) + 1,
        demand: u32::from(*demand % 40),
        current: u32::from(*current % 40),
        precedence: Precedence::Normal,
    };
    fields.iter().map(claim).collect()
}

quickcheck! {
    /// The shares add up to the total, and no claim with unmet demand has fewer units for its weight than another
    /// claim that could spare one.
    fn a_division_is_complete_and_fair(fields: Vec<(u8, u8, u8, u8)>, total: u8) -> bool {
        let (claims, total) = (claims(&fields), u32::from(total));
        let shares = divide(total, &claims);
        let sum: u32 = shares.iter().sum();
        let complete = if claims.is_empty() { sum == 0 } else { sum == total };
        let has_unmet_demand = |index: usize| shares[index] < claims[index].demand;
        let fair = (0..claims.len()).filter(|index| has_unmet_demand(*index)).all(|unmet| {
            (0..claims.len()).all(|other| {
                let (units, weight) = (u64::from(shares[other]), u64::from(claims[other].weight));
                let guaranteed = claims[other].min_share.max(claims[unmet].min_share.min(shares[unmet]));
                // With one unit less, the other claim would have no more units for its weight than the unmet one.
                shares[other] <= guaranteed
                    || (shares[other] <= claims[other].demand
                        && (units - 1) * u64::from(claims[unmet].weight) <= u64::from(shares[unmet]) * weight)
            })
        });
        complete && fair
    }

    /// Overstating the demand does not raise a claim above its fair share by more than one unit.
    fn an_overstated_demand_gets_no_more_than_its_share(others: u8, overstated: u16) -> bool {
        let others = usize::from(others % 9) + 1;
        let claim = |demand| {
            Claim { min_share: 1, weight: 1, demand, current: 0, precedence: Precedence::Normal }
        };
        let mut claims = vec![claim(100); others];
        claims.push(claim(u32::from(overstated) + 100));
        let shares = divide(60, &claims);
        shares[others] <= 60 / (others as u32 + 1) + 1
    }
}
