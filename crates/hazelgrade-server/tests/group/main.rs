//! Groups of nodes as processes, with edges between all of them and faults on these: the four rules hold for the whole
//! group, versions go on, and all is well again when the faults are over.

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

/// What ought to come has come by then, on a machine that is busy with all other tests too.
const SOON: Duration = Duration::from_secs(30);
const NODES: usize = 5;
const RATE: f64 = 40.0;

/// One group at a time: five nodes and their callers keep a small machine busy.
fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hazelgrade"))
}

fn group() -> Group {
    Group::start(program(), &[], NODES, RATE).expect("it starts")
}

fn cause(group: &mut Group, fault: Fault) {
    group.inject(fault).expect("it comes about");
}

/// Node by node, whether it has the latest version and stands so with it.
fn stand(group: &Group, word: &str) -> Vec<bool> {
    let digest = &group.published_digest;
    group
        .standings
        .iter()
        .map(|node| node.version.ends_with(digest.as_str()) && node.standing == word)
        .collect()
}

fn count(of: &[bool]) -> usize {
    of.iter().filter(|one| **one).count()
}

fn kept(history: &History) {
    let violations = history.violations();
    assert!(
        violations.is_empty(),
        "{}",
        violations.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    );
}

/// Plays steps, and on failure shows the plan to play again.
fn plays(steps: &[(Trigger, Fault)]) -> History {
    let step = steps.iter().map(|(trigger, fault)| Step { trigger: *trigger, fault: *fault }).collect();
    played(&FaultPlan { seed: 0, nodes: NODES, rate: RATE, shared: None, soak: None, steps: step })
}

fn played(plan: &FaultPlan) -> History {
    let played = run_plan(plan, program(), &[]).expect("it can be played");
    let violations: Vec<String> = played.violations.iter().map(ToString::to_string).collect();
    assert!(
        violations.is_empty(),
        "{}\n\nthe plan, for `hazelgrade-demo trouble --plan`:\n{}",
        violations.join("\n"),
        plan.to_toml()
    );
    played.history
}

#[test]
fn drawn_plans_break_no_rule() {
    let _alone = alone();
    for seed in [3, 8] {
        played(&FaultPlan::draw(seed, NODES, 10));
    }
}
