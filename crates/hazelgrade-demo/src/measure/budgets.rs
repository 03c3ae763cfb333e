//! What a budget that is divided anew gives against fixed parts and against an oracle, how long a new division takes, and
//! what it costs: the real machines in simulated time, and groups of processes; tables in Markdown.

use crate::SELF;
use crate::measure::report::spread;
use crate::processes::{program, to_message};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use hazelgrade_fakes::callers::JobOutcome;
use hazelgrade_fakes::fleet::{DivisionPolicy, Fault, Fleet, FleetConfig, RestartStore};
use hazelgrade_fault_injection::group::Group;
use hazelgrade_fault_injection::plan::{Disk, Fault as ProcessFault};
use hazelgrade_fault_injection::shared_budget::SharedBudgetConfig;
use std::time::{Duration, Instant};

const SEEDS: u64 = 9;
const TIMEOUT: Duration = Duration::from_secs(30);

fn table(head: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(head.to_vec());
    rows.into_iter().for_each(|row| {
        table.add_row(row);
    });
    println!("\n{table}\n");
}

/// Demand of each node, in calls in hand, adding up to the whole.
fn demands(nodes: usize, whole: u32, skew: f64) -> Vec<f64> {
    let weights: Vec<f64> = (1..=nodes).map(|rank| (rank as f64).powf(-skew)).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| f64::from(whole) * weight / sum).collect()
}

fn used(policy: DivisionPolicy, seed: u64, skew: f64, hot: bool) -> f64 {
    let config = FleetConfig { seed, nodes: 20, total: 100, policy, ..FleetConfig::default() };
    let mut fleet = Fleet::new(config);
    let even = demands(20, 100, skew);
    even.iter().enumerate().for_each(|(node, demand)| fleet.inject(Fault::SetDemand(node, *demand)));
    fleet.run(5000.0);
    let (before, could) = (fleet.observations.used_unit_ms, fleet.observations.usable_unit_ms);
    for turn in 0..12 {
        if hot {
            // One node has half of the demand, another one each five seconds.
            for node in 0..20 {
                let demand = if node == turn % 20 { 50.0 } else { 50.0 / 19.0 };
                fleet.inject(Fault::SetDemand(node, demand));
            }
        }
        fleet.run(5000.0);
    }
    (fleet.observations.used_unit_ms - before) / (fleet.observations.usable_unit_ms - could)
}

/// Milliseconds until something is so, looked at each 5 ms.
fn until(fleet: &mut Fleet, condition: impl Fn(&Fleet) -> bool) -> f64 {
    let from = fleet.now_ms();
    while !condition(fleet) && fleet.now_ms() - from < 60_000.0 {
        fleet.run(5.0);
    }
    fleet.now_ms() - from
}

/// How much of the total is used under different demand, by division policy.
fn simulated_use() {
    println!(
        "Use of the whole (100 units, 20 nodes, calls of 50 ms, demand of 100 in all, one minute), {SEEDS} seeds:"
    );
    let kinds = [
        ("even", 0.0, false),
        ("Zipf 1.0", 1.0, false),
        ("one node with half of it, another each 5 s", 0.0, true),
    ];
    let rows = kinds.iter().map(|(name, skew, hot)| {
        let of = |policy| spread((1..=SEEDS).map(|seed| used(policy, seed, *skew, *hot)).collect(), 3);
        vec![
            (*name).to_owned(),
            of(DivisionPolicy::Static),
            of(DivisionPolicy::Leases),
            of(DivisionPolicy::Oracle),
        ]
    });
    table(&["demand", "fixed parts", "divided anew", "oracle"], rows.collect());
}

/// How long a new division takes after a change, in simulated time.
fn simulated_division() {
    println!(
        "Milliseconds until the new division (20 nodes, 100 units, leases of 2 s, longest use 1 s), {SEEDS} seeds:"
    );
    let fleet = |seed| {
        let mut fleet = Fleet::new(FleetConfig { seed, nodes: 20, total: 100, ..FleetConfig::default() });
        (0..20).for_each(|node| fleet.inject(Fault::SetDemand(node, 20.0)));
        fleet.run(5000.0);
        fleet
    };
    let each = |what: &dyn Fn(&mut Fleet) -> f64| {
        spread((1..=SEEDS).map(|seed| what(&mut fleet(seed))).collect(), 0)
    };
    let rows = vec![
        vec![
            "a node's demand falls to nothing, another's grows: it has ten more".into(),
            each(&|fleet| {
                fleet.inject(Fault::SetDemand(0, 0.0));
                (2..20).for_each(|node| fleet.inject(Fault::SetDemand(node, 2.0)));
                let before = fleet.shares()[1];
                fleet.inject(Fault::SetDemand(1, 60.0));
                until(fleet, |fleet| fleet.shares()[1] >= before + 10)
            }),
        ],
        vec![
            "a node joins: it has its share".into(),
            each(&|fleet| {
                fleet.inject(Fault::KillNode(0));
                fleet.run(8000.0);
                fleet.inject(Fault::StartNode(0));
                fleet.inject(Fault::SetDemand(0, 20.0));
                until(fleet, |fleet| fleet.shares()[0] >= 4)
            }),
        ],
        vec![
            "a node leaves: the others have its part".into(),
            each(&|fleet| {
                fleet.inject(Fault::DrainNode(0));
                until(fleet, |fleet| fleet.shares()[1..].iter().sum::<u32>() >= 99)
            }),
        ],
        vec![
            "a node dies: the others have its part".into(),
            each(&|fleet| {
                fleet.inject(Fault::KillNode(0));
                until(fleet, |fleet| fleet.shares()[1..].iter().sum::<u32>() >= 99)
            }),
        ],
        vec![
            "the keeper is killed and started: a node that lost its lease has some again".into(),
            each(&|fleet| {
                fleet.inject(Fault::KillSite(0));
                fleet.run(3000.0);
                fleet.inject(Fault::StartSite(0, RestartStore::Own));
                until(fleet, |fleet| fleet.shares().iter().sum::<u32>() >= 99)
            }),
        ],
    ];
    table(&["what", "ms"], rows);
}

/// Messages between nodes and lessor under steady demand.
fn message_rates() {
    println!("What is said, a second, with steady demand (leases of 2 s, ten units a node, ten seconds):");
    let rows = [10, 100, 1000].map(|nodes| {
        let whole = nodes as u32 * 10;
        let mut fleet =
            Fleet::new(FleetConfig { nodes, total: whole, call_ms: 500.0, ..FleetConfig::default() });
        (0..nodes).for_each(|node| fleet.inject(Fault::SetDemand(node, 5.0)));
        fleet.run(3000.0);
        let (asks, bytes, began) = (fleet.observations.requests, fleet.observations.bytes, Instant::now());
        fleet.run(10_000.0);
        let took = began.elapsed().as_secs_f64();
        vec![
            nodes.to_string(),
            format!("{:.0}", (fleet.observations.requests - asks) as f64 / 10.0),
            format!("{:.1}", (fleet.observations.bytes - bytes) as f64 / 10_000.0),
            format!("{:.2}", took / 10.0),
        ]
    });
    table(&["nodes", "asks", "kB", "CPU s, machines and simulation"], rows.to_vec());
}

/// How long a new division takes in a group of processes.
fn process_division() -> Result<(), String> {
    let program = program()?;
    let number = |group: &Group, field: &str| {
        group.control_service.budget_status()["budgets"]["calls"][field].as_u64().unwrap_or(0)
    };
    let setting = SharedBudgetConfig {
        total: 12,
        call_duration: Duration::from_millis(100),
        ..SharedBudgetConfig::default()
    };
    let mut group = Group::start_with(&program, &[SELF], 5, 40.0, Some(setting)).map_err(to_message)?;
    let all = |group: &mut Group| number(group, "granted") == 12;
    let (mut deaths, mut starts) = (Vec::new(), Vec::new());
    for turn in 0..5 {
        group.wait_until(TIMEOUT, all);
        let began = Instant::now();
        group.inject(ProcessFault::Kill { node: turn }).map_err(to_message)?;
        let moved = |group: &mut Group| {
            let calls = group.control_service.budget_status()["budgets"]["calls"].clone();
            let holders = calls["holders"].as_array().into_iter().flatten();
            let gone = format!("n{turn}");
            holders
                .filter(|one| one["holder"] != gone.as_str())
                .filter_map(|one| one["granted"].as_u64())
                .sum::<u64>()
                == 12
        };
        group.wait_until(TIMEOUT, moved);
        deaths.push(began.elapsed().as_secs_f64() * 1000.0);
        group.inject(ProcessFault::Start { node: turn, disk: Disk::Own }).map_err(to_message)?;
        group.wait_until(TIMEOUT, all);
        group.inject(ProcessFault::KillControl).map_err(to_message)?;
        let began = Instant::now();
        group.inject(ProcessFault::StartControl { disk: Disk::Own }).map_err(to_message)?;
        group.wait_until(TIMEOUT, all);
        starts.push(began.elapsed().as_secs_f64() * 1000.0);
    }
    let history = group.finish();
    println!("Processes (5 nodes, 12 units, leases of 0.6 s, longest use 0.6 s), five times each, ms:");
    table(
        &["what", "ms"],
        vec![
            vec!["a node is killed: the others have its part".into(), spread(deaths, 0)],
            vec!["the keeper is started anew: all is granted".into(), spread(starts, 0)],
        ],
    );
    println!(
        "the whole was passed {:?} times; rules broken: {}",
        history.budget_overloads,
        history.violations().len()
    );
    Ok(())
}

/// Latency of jobs with budgets and without, where the total is never short.
fn job_latency() -> Result<(), String> {
    let program = program()?;
    let served = |setting: Option<SharedBudgetConfig>| -> Result<(String, String), String> {
        let mut group = Group::start_with(&program, &[SELF], 3, 40.0, setting).map_err(to_message)?;
        let from: usize = group.nodes.iter().map(|member| member.job_count()).sum();
        group.wait_until(TIMEOUT, |group| {
            group.nodes.iter().map(|member| member.job_count()).sum::<usize>() >= from + 1500
        });
        let history = group.finish();
        let mut took: Vec<f64> = history
            .jobs
            .iter()
            .filter(|job| job.outcome == JobOutcome::Succeeded)
            .map(|job| job.latency.as_ms())
            .collect();
        took.sort_by(f64::total_cmp);
        let at = |part: f64| format!("{:.1}", took[((took.len() - 1) as f64 * part) as usize]);
        Ok((at(0.5), at(0.99)))
    };
    let roomy = SharedBudgetConfig {
        total: 60,
        call_duration: Duration::from_millis(2),
        ..SharedBudgetConfig::default()
    };
    let (on, off) = (served(Some(roomy))?, served(None)?);
    println!("A job, from its caller, where the whole is never short (3 nodes, 40 jobs a second each), ms:");
    table(&["budgets", "p50", "p99"], vec![vec!["on".into(), on.0, on.1], vec!["off".into(), off.0, off.1]]);
    Ok(())
}

pub fn all() -> Result<bool, String> {
    simulated_use();
    simulated_division();
    process_division()?;
    job_latency()?;
    message_rates();
    Ok(true)
}
