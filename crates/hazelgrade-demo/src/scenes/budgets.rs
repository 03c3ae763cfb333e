//! Scene of a shared budget: three nodes share a budget of calls to a dependency. A node is killed and its grant moves
//! to the others, the node restarts, the total is halved while in use, and the control service is killed and restarted.
//! The dependency counts the calls in flight.

use crate::SELF;
use crate::processes::{program, to_message};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use hazelgrade_fault_injection::group::Group;
use hazelgrade_fault_injection::plan::{Disk, Fault};
use hazelgrade_fault_injection::shared_budget::SharedBudgetConfig;
use std::time::{Duration, Instant};

const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const BUDGET_TOTAL_UNITS: u32 = 12;

/// Returns the units that the control service has granted to each node.
fn granted_units(group: &Group) -> Vec<u64> {
    let calls = group.control_service.budget_status()["budgets"]["calls"].clone();
    let granted = |node: usize| {
        let holders = calls["holders"].as_array().into_iter().flatten();
        let node_grants = holders.filter(|holder| holder["holder"] == format!("n{node}").as_str());
        node_grants.filter_map(|holder| holder["granted"].as_u64()).sum()
    };
    (0..group.nodes.len()).map(granted).collect()
}

/// Runs the scene. Returns `true` if no rule was broken and every step reached its expected state in time.
pub fn run_scene() -> Result<bool, String> {
    let budget_config = SharedBudgetConfig {
        total: BUDGET_TOTAL_UNITS,
        call_duration: Duration::from_millis(150),
        ..SharedBudgetConfig::default()
    };
    let mut group =
        Group::start_with(&program()?, &[SELF], 3, 60.0, Some(budget_config)).map_err(to_message)?;
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(["step", "reached after", "grants of n0, n1, n2", "total", "calls in flight"]);
    let mut all_reached = true;
    let mut run_step = |group: &mut Group, name: &str, total: u32, is_expected: &dyn Fn(&[u64]) -> bool| {
        let started_at = Instant::now();
        let reached = group.wait_until(STEP_TIMEOUT, |group| is_expected(&granted_units(group)));
        all_reached &= reached;
        let (elapsed_s, grants) = (started_at.elapsed().as_secs_f64(), granted_units(group));
        let in_flight = group.shared_budget.as_ref().map_or(0, |shared| shared.dependency.in_flight());
        println!("{name}: {grants:?}");
        table.add_row([
            name.to_owned(),
            if reached { format!("{elapsed_s:.1} s") } else { "timed out".into() },
            format!("{grants:?}"),
            total.to_string(),
            in_flight.to_string(),
        ]);
    };
    let sum = |grants: &[u64]| grants.iter().sum::<u64>();
    run_step(&mut group, "three nodes hold the whole budget", BUDGET_TOTAL_UNITS, &|grants| {
        sum(grants) == 12 && grants.iter().all(|grant| *grant >= 3)
    });
    group.inject(Fault::Kill { node: 0 }).map_err(to_message)?;
    run_step(&mut group, "n0 is killed: its grant moves to n1 and n2", BUDGET_TOTAL_UNITS, &|grants| {
        grants[1] + grants[2] == 12
    });
    group.inject(Fault::Start { node: 0, disk: Disk::Own }).map_err(to_message)?;
    run_step(&mut group, "n0 restarts: it receives a grant", BUDGET_TOTAL_UNITS, &|grants| grants[0] >= 3);
    group.inject(Fault::SetBudgetTotal { units: BUDGET_TOTAL_UNITS / 2 }).map_err(to_message)?;
    run_step(&mut group, "the total is halved while in use", BUDGET_TOTAL_UNITS / 2, &|grants| {
        sum(grants) == 6
    });
    group.inject(Fault::KillControl).map_err(to_message)?;
    group.inject(Fault::StartControl { disk: Disk::Own }).map_err(to_message)?;
    run_step(&mut group, "the control service is killed and restarted", BUDGET_TOTAL_UNITS / 2, &|grants| {
        sum(grants) == 6
    });
    let peak_in_flight = group.shared_budget.as_ref().map_or(0, |shared| shared.dependency.peak());
    let history = group.finish();
    println!("\n{table}\n");
    println!(
        "peak calls in flight at the dependency: {peak_in_flight}; overloads (count, largest): {:?}",
        history.budget_overloads
    );
    let violations = history.violations();
    violations.iter().for_each(|violation| println!("BROKEN {violation}"));
    println!("rules: {}", if violations.is_empty() { "all kept" } else { "BROKEN" });
    Ok(all_reached && violations.is_empty())
}
