//! Budgets: three nodes share calls below; one is killed and its part moves, it comes back, the whole is halved in use, and
//! the keeper dies. What is in hand is counted at the dependency.

use crate::SELF;
use crate::processes::{program, to_message};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use hazelgrade_fault_injection::group::Group;
use hazelgrade_fault_injection::plan::{Disk, Fault};
use hazelgrade_fault_injection::shared_budget::SharedBudgetConfig;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
const WHOLE: u32 = 12;

fn parts(group: &Group) -> Vec<u64> {
    let calls = group.control_service.budget_status()["budgets"]["calls"].clone();
    let of = |node: usize| {
        let holders = calls["holders"].as_array().into_iter().flatten();
        let named = holders.filter(|one| one["holder"] == format!("n{node}").as_str());
        named.filter_map(|one| one["granted"].as_u64()).sum()
    };
    (0..group.nodes.len()).map(of).collect()
}

pub fn play() -> Result<bool, String> {
    let setting = SharedBudgetConfig {
        total: WHOLE,
        call_duration: Duration::from_millis(150),
        ..SharedBudgetConfig::default()
    };
    let mut group = Group::start_with(&program()?, &[SELF], 3, 60.0, Some(setting)).map_err(to_message)?;
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(["act", "came after", "parts of n0, n1, n2", "whole", "in hand at the dependency"]);
    let mut good = true;
    let mut act = |group: &mut Group, name: &str, whole: u32, so: &dyn Fn(&[u64]) -> bool| {
        let began = Instant::now();
        let came = group.wait_until(TIMEOUT, |group| so(&parts(group)));
        good &= came;
        let (after, shown) = (began.elapsed().as_secs_f64(), parts(group));
        let in_hand = group.shared_budget.as_ref().map_or(0, |shared| shared.dependency.in_flight());
        println!("{name}: {shown:?}");
        table.add_row([
            name.to_owned(),
            if came { format!("{after:.1} s") } else { "not".into() },
            format!("{shown:?}"),
            whole.to_string(),
            in_hand.to_string(),
        ]);
    };
    let sum = |parts: &[u64]| parts.iter().sum::<u64>();
    act(&mut group, "three nodes have the whole", WHOLE, &|parts| {
        sum(parts) == 12 && parts.iter().all(|part| *part >= 3)
    });
    group.inject(Fault::Kill { node: 0 }).map_err(to_message)?;
    act(&mut group, "n0 is killed: its part moves", WHOLE, &|parts| parts[1] + parts[2] == 12);
    group.inject(Fault::Start { node: 0, disk: Disk::Own }).map_err(to_message)?;
    act(&mut group, "n0 is back: it gets a share", WHOLE, &|parts| parts[0] >= 3);
    group.inject(Fault::SetBudgetTotal { units: WHOLE / 2 }).map_err(to_message)?;
    act(&mut group, "the whole is halved in use", WHOLE / 2, &|parts| sum(parts) == 6);
    group.inject(Fault::KillControl).map_err(to_message)?;
    group.inject(Fault::StartControl { disk: Disk::Own }).map_err(to_message)?;
    act(&mut group, "the keeper died and is back", WHOLE / 2, &|parts| sum(parts) == 6);
    let peak = group.shared_budget.as_ref().map_or(0, |shared| shared.dependency.peak());
    let account = group.finish();
    println!("\n{table}\n");
    println!(
        "calls at the dependency at once: {peak} at most; past the whole: {:?}",
        account.budget_overloads
    );
    let breaks = account.violations();
    breaks.iter().for_each(|broken| println!("BROKEN {broken}"));
    println!("rules: {}", if breaks.is_empty() { "all kept" } else { "BROKEN" });
    Ok(good && breaks.is_empty())
}
