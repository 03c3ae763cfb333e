//! A short soak, by fixed seeds: drains that end by a kill at the end of their time, signals in series, callers that hear
//! of a drain late, idle clients, a quiet time before the first fault.

use super::{alone, played};
use hazelgrade_fault_injection::plan::FaultPlan;

const NODES: usize = 4;
const FAULTS: usize = 10;
const SITES: usize = 2;
const TOTAL: u32 = 12;
/// Between them: a drain with a kill and late callers, idle clients, a quiet time.
const SEEDS: [u64; 2] = [3000, 3001];
/// The second is that of a harmful version while no lessor grants anything.
const SHARED_SEEDS: [u64; 2] = [4000, 2003];

/// Guards against jobs that are lost or run twice, and nodes that don't leave before their kill, at any of these.
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
