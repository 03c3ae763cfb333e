//! A short soak with fixed seeds. Without a budget, the plans have drains that end by a kill, and callers that learn of
//! a drain late. With a budget, they have idle clients and faults of lessors. Quiet times and drains under a budget are
//! left to a soak started by hand.

use super::{lock_group, run_and_check};
use hazelgrade_fault_injection::plan::FaultPlan;

const NODES: usize = 4;
const FAULTS: usize = 10;
const SITES: usize = 2;
const BUDGET_UNITS: u32 = 12;
/// Seeds of plans without a budget. Each plan has a drain that ends by a kill, and callers that go on for 10 s.
const SEEDS: [u64; 2] = [3000, 3001];
/// Seeds of plans with a budget. Both plans have idle clients, and the second one publishes a harmful version while
/// lessors are down.
const BUDGET_SEEDS: [u64; 2] = [4000, 2003];

/// Guards against jobs that are lost or run twice, and against nodes that don't exit before they are killed.
#[test]
fn soaked_groups_keep_the_rules() {
    let _group_lock = lock_group();
    for seed in SEEDS {
        run_and_check(&FaultPlan::draw_soak(seed, NODES, FAULTS, None));
    }
}

/// Guards against the same failures for nodes that share a budget over two sites, and against more calls than the total
/// of the budget.
#[test]
fn soaked_groups_with_a_shared_budget_keep_the_rules() {
    let _group_lock = lock_group();
    for seed in BUDGET_SEEDS {
        run_and_check(&FaultPlan::draw_soak(seed, NODES, FAULTS, Some((SITES, BUDGET_UNITS))));
    }
}
