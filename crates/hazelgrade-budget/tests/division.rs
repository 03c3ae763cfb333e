//! How a total is divided among claims.

use hazelgrade_budget::division::{Claim, Precedence, divide};
use quickcheck::quickcheck;

fn claims(of: &[(u8, u8, u8, u8)]) -> Vec<Claim> {
    let claim = |(min_share, weight, demand, current): &(u8, u8, u8, u8)| Claim {
        min_share: u32::from(*min_share % 3),
        weight: u32::from(*weight % 4) + 1,
        demand: u32::from(*demand % 40),
        current: u32::from(*current % 40),
        precedence: Precedence::Normal,
    };
    of.iter().map(claim).collect()
}

quickcheck! {
    /// All of the total and no more; and whoever wants more than it has stands behind nobody who could spare a unit.
    fn a_division_is_complete_and_fair(of: Vec<(u8, u8, u8, u8)>, total: u8) -> bool {
        let (claims, total) = (claims(&of), u32::from(total));
        let shares = divide(total, &claims);
        let sum: u32 = shares.iter().sum();
        let all = if claims.is_empty() { sum == 0 } else { sum == total };
        let wants = |at: usize| shares[at] < claims[at].demand;
        let fair = (0..claims.len()).filter(|at| wants(*at)).all(|poor| {
            (0..claims.len()).all(|rich| {
                let (units, weight) = (u64::from(shares[rich]), u64::from(claims[rich].weight));
                let least = claims[rich].min_share.max(claims[poor].min_share.min(shares[poor]));
                // One unit less would still be no less for its weight than what the other has.
                shares[rich] <= least
                    || (shares[rich] <= claims[rich].demand
                        && (units - 1) * u64::from(claims[poor].weight) <= u64::from(shares[poor]) * weight)
            })
        });
        all && fair
    }

    /// Nobody gets more by wanting more than its share.
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
