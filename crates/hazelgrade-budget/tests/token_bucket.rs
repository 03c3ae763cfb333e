//! Token buckets that admit jobs and retries according to a node's share of a budget.

use hazelgrade::time::Time;
use hazelgrade_budget::terms::Measure;
use hazelgrade_budget::token_bucket::TokenBucket;
use quickcheck::quickcheck;

quickcheck! {
    /// Buckets between which shares move never admit more jobs together than a single bucket for the total would.
    fn buckets_together_admit_no_more_than_one(moves: Vec<(u8, u8, u8)>) -> bool {
        let (total, burst) = (40, 12);
        let measure = Measure::Rate { burst };
        let at = Time::from_ms;
        let mut buckets: Vec<TokenBucket> =
            (0..3).map(|_| TokenBucket::new(at(0.0), measure, total)).collect();
        let mut shares = [total, 0, 0];
        let (mut now, mut taken) = (0.0, Vec::new());
        for (to, units, ms) in moves {
            now += f64::from(ms);
            let (from, to) = (shares.iter().position(|share| *share > 0).unwrap_or(0), usize::from(to % 3));
            let units = u32::from(units).min(shares[from]);
            shares[from] -= units;
            // The share is returned by one bucket before the other one gets it.
            buckets[from].resize(at(now), measure, total, shares[from]);
            shares[to] += units;
            buckets[to].resize(at(now), measure, total, shares[to]);
            for bucket in &mut buckets {
                while bucket.try_take(at(now)).is_ok() {
                    taken.push(now);
                }
            }
        }
        taken.iter().enumerate().all(|(first, from)| {
            taken.iter().enumerate().skip(first).all(|(last, to)| {
                (last - first + 1) as f64 <= f64::from(burst) + f64::from(total) * (to - from) / 1000.0 + 1e-6
            })
        })
    }
}

#[test]
fn retries_are_a_ratio_of_first_attempts() {
    let mut bucket = TokenBucket::new(Time::from_ms(0.0), Measure::Retries { per_mille: 200 }, 10);
    bucket.resize(Time::from_ms(0.0), Measure::Retries { per_mille: 200 }, 10, 4);
    assert!(bucket.try_take(Time::from_ms(1.0)).is_err(), "no retry has been earned yet");
    (0..100).for_each(|_| bucket.deposit());
    let taken = (0..100).filter(|_| bucket.try_take(Time::from_ms(2.0)).is_ok()).count();
    assert_eq!(taken, 4, "the share limits the retries, however many were earned");
    (0..5).for_each(|_| bucket.deposit());
    assert!(bucket.try_take(Time::from_ms(3.0)).is_ok() && bucket.try_take(Time::from_ms(3.0)).is_err());
}
