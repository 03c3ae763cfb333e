//! Groups of node processes with a fault proxy on each of their links. The four rules must hold for the whole group,
//! versions must still be published, and the group must recover when the faults end.

#![allow(clippy::expect_used)]

mod control;
mod nodes;
mod soak;
mod store;

use hazelgrade_fault_injection::group::Group;
use hazelgrade_fault_injection::history::History;
use hazelgrade_fault_injection::plan::{Fault, FaultPlan, Step, Trigger};
use hazelgrade_fault_injection::plan_run::run_plan;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The limit on every wait for an expected event, long enough for a machine that runs all other tests at the same time.
const TIMEOUT: Duration = Duration::from_secs(30);
const NODES: usize = 5;
const JOBS_PER_S: f64 = 40.0;

/// Lets only one group run at a time, because five nodes and their callers keep a small machine busy.
fn lock_group() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hazelgrade"))
}

fn group() -> Group {
    Group::start(program(), &[], NODES, JOBS_PER_S).expect("the group starts")
}

fn inject(group: &mut Group, fault: Fault) {
    group.inject(fault).expect("the fault is injected");
}

/// Returns for each node whether the node has the latest version, with this standing.
fn has_standing(group: &Group, standing: &str) -> Vec<bool> {
    let digest = &group.published_digest;
    group
        .standings
        .iter()
        .map(|node| node.version.ends_with(digest.as_str()) && node.standing == standing)
        .collect()
}

fn count(flags: &[bool]) -> usize {
    flags.iter().filter(|flag| **flag).count()
}

fn assert_no_violations(history: &History) {
    let violations = history.violations();
    assert!(
        violations.is_empty(),
        "{}",
        violations.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    );
}

/// Runs a plan of these steps. A failure shows the plan, so that it can be run again.
fn run_steps(steps: &[(Trigger, Fault)]) -> History {
    let steps = steps.iter().map(|(trigger, fault)| Step { trigger: *trigger, fault: *fault }).collect();
    run_and_check(&FaultPlan { seed: 0, nodes: NODES, rate: JOBS_PER_S, shared: None, soak: None, steps })
}

fn run_and_check(plan: &FaultPlan) -> History {
    let run = run_plan(plan, program(), &[]).expect("the plan runs");
    let violations: Vec<String> = run.violations.iter().map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "{}\n\nthe plan, for `hazelgrade-demo trouble --plan`:\n{}",
        violations.join("\n"),
        plan.to_toml()
    );
    run.history
}

#[test]
fn randomly_drawn_plans_break_no_rule() {
    let _group_lock = lock_group();
    for seed in [3, 8] {
        run_and_check(&FaultPlan::draw(seed, NODES, 10));
    }
}
