//! A short soak, by fixed seeds: without a budget drains that end by a kill, with callers that hear of them late; with one
//! idle clients and faults of lessors. Quiet times and drains under a budget are left to a soak by hand.

use super::{alone, played};
use hazelgrade_fault_injection::plan::FaultPlan;

const NODES: usize = 4;
const FAULTS: usize = 10;
const SITES: usize = 2;
const TOTAL: u32 = 12;
/// Each with a drain that ends by a kill, and callers that go on for 10 s.
const SEEDS: [u64; 2] = [3000, 3001];
/// Both with idle clients; the second publishes a harmful version while lessors are out.
const SHARED_SEEDS: [u64; 2] = [4000, 2003];

/// Guards against jobs that are lost or run twice, and nodes that don't leave before their kill.
#[test]
fn soaked_groups_keep_the_rules() {
    let _alone = alone();
    for seed in SEEDS {
        played(&FaultPlan::draw_soak(seed, NODES, FAULTS, None));
    }
}

/// The same for nodes that share a budget over two sites; never more calls than its total.
#[test]
fn soaked_groups_that_share_a_budget_keep_the_rules() {
    let _alone = alone();
    for seed in SHARED_SEEDS {
        played(&FaultPlan::draw_soak(seed, NODES, FAULTS, Some((SITES, TOTAL))));
    }
}
