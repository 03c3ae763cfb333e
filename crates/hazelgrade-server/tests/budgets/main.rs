//! Tests with node processes that share a budget of calls to a dependency, under injected faults. The dependency counts
//! the calls in flight, which must never exceed the total of the budget.

#![allow(clippy::expect_used, clippy::too_many_lines)]

use hazelgrade_budget::protocol::{LeaseRequest, OperatorCommand, RequestLine};
use hazelgrade_config::{Document, Kind};
use hazelgrade_fakes::executor::{Executor, Workload};
use hazelgrade_fakes::{free_address, test_environment};
use hazelgrade_fault_injection::group::Group;
use hazelgrade_fault_injection::history::History;
use hazelgrade_fault_injection::plan::{Directions, Disk, Fault, FaultPlan, Link};
use hazelgrade_fault_injection::plan_run::run_plan;
use hazelgrade_fault_injection::proxy::{ms, now};
use hazelgrade_fault_injection::shared_budget::SharedBudgetConfig;
use hazelgrade_stream::protocol::SubscriberMessage;
use serde_json::Value;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time-out for an expected state, on a machine that runs all other tests at the same time.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serializes the tests: the nodes and callers of one group use most of a small machine.
fn lock_group() -> MutexGuard<'static, ()> {
    static GROUP_LOCK: Mutex<()> = Mutex::new(());
    GROUP_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hazelgrade"))
}

fn group(nodes: usize, rate: f64, config: SharedBudgetConfig) -> Group {
    Group::start_with(program(), &[], nodes, rate, Some(config)).expect("process starts")
}

fn inject(group: &mut Group, fault: Fault) {
    group.inject(fault).expect("the fault is injected");
}

fn assert_no_violations(history: &History) {
    let violations = history.violations();
    assert!(
        violations.is_empty(),
        "{}",
        violations.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    );
}

/// Returns the figures of the budget `calls` at the lessor of the first site.
fn calls_figures(group: &Group) -> Value {
    group.control_service.budget_status()["budgets"]["calls"].clone()
}

fn number(figures: &Value, field: &str) -> u64 {
    figures[field].as_u64().unwrap_or(0)
}

/// Returns the units granted to all lease holders of this name.
fn granted_to_name(calls: &Value, name: &str) -> u64 {
    let holders = calls["holders"].as_array().into_iter().flatten();
    holders.filter(|holder| holder["holder"] == name).map(|holder| number(holder, "granted")).sum()
}

/// Waits until the total of the budget has this value and all of its units are granted.
fn wait_until_all_granted(group: &mut Group, total: u64) -> bool {
    group.wait_until(STATE_TIMEOUT, |group| {
        let calls = calls_figures(group);
        number(&calls, "granted") == total && number(&calls, "whole") == total
    })
}

/// Returns the units that the lessor of the first site has granted to the nodes with these indexes.
fn granted_to_nodes(group: &Group, nodes: &[usize]) -> u64 {
    let calls = calls_figures(group);
    nodes.iter().map(|node| granted_to_name(&calls, &format!("n{node}"))).sum()
}

/// Returns the units that the lessor of a site owns.
fn owned(group: &Group, site: usize) -> u64 {
    let other = group.shared_budget.as_ref().and_then(|shared| shared.second_control.as_ref());
    let report = if site == 0 {
        group.control_service.budget_status()
    } else {
        other.map(|other| other.budget_status()).unwrap_or_default()
    };
    number(&report["budgets"]["calls"], "owned")
}

fn peak_calls_in_flight(group: &Group) -> usize {
    group.shared_budget.as_ref().map_or(0, |shared| shared.dependency.peak())
}

fn calls_in_flight(group: &Group) -> usize {
    group.shared_budget.as_ref().map_or(0, |shared| shared.dependency.in_flight())
}

fn send_command(group: &Group, command: OperatorCommand) -> Result<Value, String> {
    group.control_service.send_budget_command(command).map_err(|error| error.to_string())
}

/// Latency objective of the job class that callers request.
const LATENCY_OBJECTIVE_MS: f64 = 1000.0;

/// Guards against units that are used twice or stay unused when nodes are killed, drain, are suspended past their
/// lease, are cut off in one direction, have clocks of different rates, or run twice under one name.
#[test]
fn units_move_when_nodes_start_leave_and_are_suspended() {
    let _lock = lock_group();
    let config = SharedBudgetConfig {
        total: 9,
        call_duration: Duration::from_millis(150),
        ..SharedBudgetConfig::default()
    };
    let mut group = group(3, 60.0, config);
    assert!(wait_until_all_granted(&mut group, 9), "{}", group.control_service.budget_status());
    let began = now();
    let call_seconds =
        |group: &Group| group.shared_budget.as_ref().map_or(0.0, |shared| shared.dependency.call_seconds());
    let before = call_seconds(&group);

    // Node 0 is killed while it holds units, and starts again under the same name as another lease holder.
    inject(&mut group, Fault::Kill { node: 0 });
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| granted_to_nodes(group, &[1, 2]) == 9),
        "{}",
        group.control_service.budget_status()
    );
    group.nodes[0].set_operator_settings("[for_tests_only]\nclock_rate = 0.9998\n").expect("file operation");
    inject(&mut group, Fault::Start { node: 0, disk: Disk::Own });
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| granted_to_nodes(group, &[0]) >= 2),
        "{}",
        group.control_service.budget_status()
    );

    // Node 1 is suspended for longer than its lease, and its units are granted to others. Resumed, it uses none of
    // them.
    inject(&mut group, Fault::Stop { node: 1 });
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| granted_to_nodes(group, &[0, 2]) == 9),
        "{}",
        group.control_service.budget_status()
    );
    let full = |group: &mut Group| calls_in_flight(group) >= 8;
    assert!(group.wait_until(STATE_TIMEOUT, full), "the other nodes use the units");
    inject(&mut group, Fault::Wake { node: 1 });
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| granted_to_nodes(group, &[1]) >= 2),
        "{}",
        group.control_service.budget_status()
    );

    // Messages from node 2 are lost, then messages to it: after its lease it has no units, whatever is in transit.
    for directions in [Directions::To, Directions::Back] {
        inject(&mut group, Fault::Cut { node: 2, link: Link::Control, directions });
        assert!(
            group.wait_until(STATE_TIMEOUT, |group| granted_to_nodes(group, &[0, 1]) == 9),
            "{directions:?} {}",
            group.control_service.budget_status()
        );
        assert!(group.wait_until(STATE_TIMEOUT, full));
        inject(&mut group, Fault::Heal { node: 2, link: Link::Control });
        assert!(
            group.wait_until(STATE_TIMEOUT, |group| granted_to_nodes(group, &[2]) >= 2),
            "{directions:?} {}",
            group.control_service.budget_status()
        );
    }

    // Two processes under one name are two lease holders.
    let folder = tempfile::tempdir().expect("folder");
    let executor =
        Executor::start(Workload { cores: 4, job_duration: Duration::from_millis(16), makes_call: true })
            .expect("process starts");
    let twin_config = hazelgrade_fakes::node_process::NodeConfig {
        directory: folder.path().into(),
        listen: free_address(),
        executor: executor.address,
        ..group.nodes[0].node.config.clone()
    };
    let twin = twin_config.start().expect("process starts");
    let callers = test_environment::start_callers(twin_config.listen, 60.0, &["read"]);
    let both_hold = |group: &mut Group| {
        let calls = calls_figures(group);
        calls["holders"]
            .as_array()
            .is_some_and(|all| all.iter().filter(|one| one["holder"] == "n0").count() == 2)
            && number(&calls, "granted") == 9
    };
    assert!(group.wait_until(STATE_TIMEOUT, both_hold), "{}", group.control_service.budget_status());
    callers.stop();
    drop(twin);

    // A node that drains returns its units at once, without waiting for its lease to expire.
    inject(&mut group, Fault::Term { node: 2 });
    let left = |group: &mut Group| {
        let events = send_command(group, OperatorCommand::History).unwrap_or_default().to_string();
        events.contains("n2 has left and given all back")
    };
    assert!(group.wait_until(STATE_TIMEOUT, left), "{:?}", send_command(&group, OperatorCommand::History));
    let ended = now();
    let used = (call_seconds(&group) - before) * 1000.0 / ended.since(began).as_ms();
    let history = group.finish();
    assert_no_violations(&history);
    // Most of the total is in use throughout, although a third of the units is unused after each fault until the lease
    // expires.
    assert!(used >= 0.5 * f64::from(config.total), "{used} calls in flight on average");
    let ratio = history.served_ratio(0, began, ended, ms(LATENCY_OBJECTIVE_MS)).unwrap_or(0.0);
    assert!(ratio >= 0.5, "node 0 served {ratio}");
    for node in [0, 2] {
        // A node answers jobs without a unit for their call within the latency objective, also while it is cut off from
        // the lessor.
        let ratio =
            history.answered_ratio(node, began, ended, ms(LATENCY_OBJECTIVE_MS + 500.0)).unwrap_or(0.0);
        assert!(ratio >= 0.98, "node {node} answered {ratio}");
    }
}

/// Guards against a lessor that grants units which may still be in use, after it is suspended, is killed, or starts
/// with an old store, a copied store or no store.
#[test]
fn a_failing_lessor_never_grants_units_that_may_be_in_use() {
    let _lock = lock_group();
    let config = SharedBudgetConfig { total: 10, set_aside: 3, unleased: 1, ..SharedBudgetConfig::default() };
    let mut group = group(3, 60.0, config);
    assert!(
        wait_until_all_granted(&mut group, 10 - 3) || number(&calls_figures(&group), "granted") == 7,
        "{}",
        group.control_service.budget_status()
    );

    // While the lessor is suspended, nodes continue with the units that they may use without a lease.
    inject(&mut group, Fault::StopControl);
    let jobs = |group: &Group| group.nodes.iter().map(|member| member.job_count()).sum::<usize>();
    let before = jobs(&group);
    assert!(group.wait_until(STATE_TIMEOUT, |group| jobs(group) > before + 200));
    assert!(group.wait_until(STATE_TIMEOUT, |group| calls_in_flight(group) <= 3));
    inject(&mut group, Fault::WakeControl);
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| number(&calls_figures(group), "granted") == 7),
        "{}",
        group.control_service.budget_status()
    );

    // After a kill, the next start waits for all leases to expire, and lease holders keep their units.
    group.shared_budget.as_mut().expect("shared").snapshot_stores(&group.control_service);
    for disk in [Disk::Own, Disk::Own] {
        inject(&mut group, Fault::KillControl);
        inject(&mut group, Fault::StartControl { disk });
        assert!(
            group.wait_until(STATE_TIMEOUT, |group| number(&calls_figures(group), "granted") == 7),
            "{}",
            group.control_service.budget_status()
        );
    }

    // With an old store, the lessor learns of later starts from lease holders, and grants nothing until an operator
    // opens it.
    inject(&mut group, Fault::KillControl);
    let service = &group.control_service;
    group.shared_budget.as_ref().expect("shared").prepare_store(0, service, Disk::Old).expect("a copy");
    inject(&mut group, Fault::StartControl { disk: Disk::Own });
    let closed = |group: &mut Group| {
        group.control_service.budget_status()["held_up"]
            .as_str()
            .is_some_and(|why| why.contains("an old copy"))
    };
    assert!(group.wait_until(STATE_TIMEOUT, closed), "{}", group.control_service.budget_status());
    assert!(send_command(&group, OperatorCommand::Open).is_ok());
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| number(&calls_figures(group), "granted") == 7),
        "{}",
        group.control_service.budget_status()
    );

    // A lessor starts neither with a copy of the store at another address nor without a store.
    let run_control = |arguments: &[&str], folder: &Path| {
        let mut command = std::process::Command::new(program());
        let process = command
            .arg("control")
            .args(arguments)
            .arg("--documents")
            .arg(folder)
            .output()
            .expect("process starts");
        (process.status.code(), String::from_utf8_lossy(&process.stderr).into_owned())
    };
    let copy = tempfile::tempdir().expect("folder");
    std::fs::copy(group.control_service.lessor_store(), copy.path().join(".keeper.store")).expect("a copy");
    let other_address = free_address().to_string();
    let (code, output) = run_control(&["--listen", &other_address, "--keeper", "a"], copy.path());
    assert!(code == Some(2) && output.contains("belongs to the keeper of a at"), "{code:?} {output}");
    let empty_folder = tempfile::tempdir().expect("folder");
    let (code, output) = run_control(&["--listen", &other_address, "--keeper", "a"], empty_folder.path());
    assert!(code == Some(2) && output.contains("there is no store"), "{code:?} {output}");

    // With a store that replaces a lost one, the lessor grants nothing for the longest time that a lease of any
    // document may last.
    inject(&mut group, Fault::KillControl);
    inject(&mut group, Fault::StartControl { disk: Disk::Empty });
    let waits = |group: &mut Group| {
        group.control_service.budget_status()["held_up"].as_str().is_some_and(|why| why.contains("ms more"))
    };
    assert!(group.wait_until(STATE_TIMEOUT, waits), "{}", group.control_service.budget_status());
    assert_no_violations(&group.finish());
}

/// Guards against calls beyond the total when it is reduced while all units are in use, and against nodes that never
/// get a unit when there are fewer units than nodes.
#[test]
fn the_total_changes_while_all_units_are_in_use() {
    let _lock = lock_group();
    let config = SharedBudgetConfig {
        total: 12,
        call_duration: Duration::from_millis(150),
        ..SharedBudgetConfig::default()
    };
    let mut group = group(3, 80.0, config);
    assert!(wait_until_all_granted(&mut group, 12), "{}", group.control_service.budget_status());
    assert!(group.wait_until(STATE_TIMEOUT, |group| calls_in_flight(group) >= 11));
    for total in [6, 12, 2] {
        inject(&mut group, Fault::SetBudgetTotal { units: total });
        assert!(
            wait_until_all_granted(&mut group, u64::from(total)),
            "{total}: {}",
            group.control_service.budget_status()
        );
        assert!(group.wait_until(STATE_TIMEOUT, |group| calls_in_flight(group) <= total as usize));
    }
    // With two units for three nodes, each node gets a unit in turn.
    for node in 0..3 {
        assert!(
            group.wait_until(STATE_TIMEOUT, |group| granted_to_nodes(group, &[node]) >= 1),
            "{node}: {}",
            group.control_service.budget_status()
        );
    }
    assert_no_violations(&group.finish());
}

/// Guards against units that are lost or owned twice when they move between the lessors of two sites, by demand and by
/// operator command, and when a site is retired and starts again.
#[test]
fn units_move_between_sites_and_those_of_a_lost_site_are_taken_over() {
    let _lock = lock_group();
    let config = SharedBudgetConfig {
        total: 12,
        sites: 2,
        call_duration: Duration::from_millis(150),
        ..SharedBudgetConfig::default()
    };
    let mut group = group(4, 60.0, config);
    let owned_by_both = |group: &Group| owned(group, 0) + owned(group, 1);
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| owned_by_both(group) == 12),
        "{}",
        group.control_service.budget_status()
    );

    // Without nodes at site a, its units move to site b, and they return when nodes at site a request them.
    inject(&mut group, Fault::Kill { node: 0 });
    inject(&mut group, Fault::Kill { node: 2 });
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| owned(group, 1) >= 10),
        "{}",
        group.control_service.budget_status()
    );
    // The lessors are cut off from each other while a transfer of units is in transit.
    inject(&mut group, Fault::CutKeepers { directions: Directions::Back });
    inject(&mut group, Fault::Start { node: 0, disk: Disk::Own });
    inject(&mut group, Fault::Start { node: 2, disk: Disk::Own });
    inject(&mut group, Fault::HealKeepers);
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| owned(group, 0) >= 5 && owned_by_both(group) == 12),
        "{}",
        group.control_service.budget_status()
    );

    // The lessor rejects the transfer of units that are not free, and a transfer to an unknown site.
    let too_much =
        OperatorCommand::Move { id: "m0".into(), to: "b".into(), budget: "calls".into(), units: 100 };
    assert!(send_command(&group, too_much).is_err_and(|why| why.contains("are not free")));
    let nowhere = OperatorCommand::Move { id: "m1".into(), to: "c".into(), budget: "calls".into(), units: 0 };
    assert!(send_command(&group, nowhere).is_err_and(|why| why.contains("no other site")));

    // Site b is lost for good. Retiring it is rejected while its units may be in use; then site a owns them. The same
    // command is carried out once.
    inject(&mut group, Fault::KillOther);
    let retire = |id: &str| OperatorCommand::Retire { id: id.into(), site: "b".into() };
    assert!(send_command(&group, retire("r0")).is_err_and(|why| why.contains("ms more")));
    assert!(group.wait_until(STATE_TIMEOUT, |group| send_command(group, retire("r1")).is_ok()));
    assert!(send_command(&group, retire("r1")).is_ok_and(|answer| answer.to_string().contains("before")));
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| owned(group, 0) == 12),
        "{}",
        group.control_service.budget_status()
    );

    // Site b starts again with its own store, learns that it was retired and owns nothing, and gets the units it needs.
    inject(&mut group, Fault::StartOther { disk: Disk::Own });
    let rejoined = |group: &mut Group| {
        let other = group.shared_budget.as_ref().and_then(|shared| shared.second_control.as_ref());
        other.is_some_and(|other| other.budget_status()["held_up"].is_null()) && owned_by_both(group) == 12
    };
    assert!(group.wait_until(STATE_TIMEOUT, rejoined), "{}", group.control_service.budget_status());
    assert_no_violations(&group.finish());
}

/// Guards against grants that are lost when the lessor is killed at any one of the writes to its store.
#[test]
fn a_lessor_killed_at_any_write_to_its_store_recovers_its_grants() {
    let _lock = lock_group();
    let config =
        SharedBudgetConfig { total: 6, lease_ms: 300, max_use_ms: 300, ..SharedBudgetConfig::default() };
    let mut group = group(2, 40.0, config);
    assert!(wait_until_all_granted(&mut group, 6), "{}", group.control_service.budget_status());
    let (usual_arguments, mut deaths) = (group.control_service.extra_arguments.clone(), 0);
    for write_index in 0.. {
        inject(&mut group, Fault::KillControl);
        group.control_service.extra_arguments = usual_arguments.clone();
        group
            .control_service
            .extra_arguments
            .extend(["--keeper-dies-at-for-tests-only".into(), write_index.to_string()]);
        inject(&mut group, Fault::StartControl { disk: Disk::Own });
        // The control service is killed at a write of its start, or completes all writes of the start.
        let done = |group: &mut Group| {
            !group.control_service.is_alive() || number(&calls_figures(group), "granted") == 6
        };
        assert!(
            group.wait_until(STATE_TIMEOUT, done),
            "{write_index}: {}",
            group.control_service.budget_status()
        );
        if group.control_service.is_alive() {
            break;
        }
        deaths += 1;
        assert!(deaths < 100, "the control service is killed at every start");
    }
    assert!(deaths >= 3, "{deaths} deaths");
    group.control_service.extra_arguments = usual_arguments;
    inject(&mut group, Fault::KillControl);
    inject(&mut group, Fault::StartControl { disk: Disk::Own });
    assert!(wait_until_all_granted(&mut group, 6), "{}", group.control_service.budget_status());
    assert!(peak_calls_in_flight(&group) >= 4);
    assert_no_violations(&group.finish());
}

/// Returns the number of nodes that both control services report with the budgets document of this total as good.
fn nodes_with_good_total(group: &Group, total: u32) -> usize {
    let Some(shared) = &group.shared_budget else { return 0 };
    let text = shared.config.document(total);
    let digest = Document::read_as(Kind::Budgets, &text, "budgets.toml").expect("valid document").digest();
    let shown = &digest.to_string()[..8];
    let services = std::iter::once(&group.control_service).chain(&shared.second_control);
    let statuses = services.map(|service| service.status());
    let is_good = |node: &Value| {
        node["connected"] == true
            && node["standing"] == "good"
            && node["has"].as_str().is_some_and(|version| version.contains(shown))
    };
    statuses
        .map(|status| {
            status["budgets"]["nodes"]
                .as_array()
                .map_or(0, |nodes| nodes.iter().filter(|node| is_good(node)).count())
        })
        .sum()
}

/// Guards against budgets documents with a table of sites that nodes reject when they are streamed.
#[test]
fn a_streamed_budgets_document_is_good_at_every_node_and_outlasts_a_restart_and_a_change() {
    let _lock = lock_group();
    let nodes = 4;
    let mut group =
        group(nodes, 40.0, SharedBudgetConfig { total: 12, sites: 2, ..SharedBudgetConfig::default() });
    let has_total = |group: &mut Group, total: u32| {
        group.wait_until(STATE_TIMEOUT, |group| nodes_with_good_total(group, total) == nodes)
    };
    assert!(has_total(&mut group, 12), "{}", group.status()["budgets"]);
    for node in 0..nodes {
        inject(&mut group, Fault::Kill { node });
        inject(&mut group, Fault::Start { node, disk: Disk::Own });
    }
    assert!(has_total(&mut group, 12), "{}", group.status()["budgets"]);
    for total in [6, 12] {
        inject(&mut group, Fault::SetBudgetTotal { units: total });
        assert!(has_total(&mut group, total), "{total}: {}", group.status()["budgets"]);
        let owned_in_all = |group: &mut Group| owned(group, 0) + owned(group, 1) == u64::from(total);
        assert!(group.wait_until(STATE_TIMEOUT, owned_in_all), "{}", group.control_service.budget_status());
    }
    assert_no_violations(&group.finish());
}

/// Guards against calls beyond the total when a connection is reset: a node counted the calls of the connection as
/// ended and repeated them while the dependency still ran them.
#[test]
fn calls_on_connections_that_are_reset_count_until_the_dependency_gives_them_up() {
    let _lock = lock_group();
    let config = SharedBudgetConfig {
        total: 10,
        call_duration: Duration::from_millis(150),
        ..SharedBudgetConfig::default()
    };
    let mut group = group(2, 40.0, config);
    assert!(wait_until_all_granted(&mut group, 10), "{}", group.control_service.budget_status());
    for _ in 0..6 {
        assert!(group.wait_until(STATE_TIMEOUT, |group| calls_in_flight(group) >= 9));
        for node in 0..2 {
            inject(&mut group, Fault::Reset { node, link: Link::Database });
        }
    }
    assert_no_violations(&group.finish());
}

/// Guards against a lost store after which a whole site's callers are rejected for 70 s, and again at each later start.
#[test]
fn a_site_whose_lessor_lost_its_disk_serves_again_soon_and_so_after_the_next_start() {
    let _lock = lock_group();
    let mut group = group(2, 40.0, SharedBudgetConfig::default());
    assert!(wait_until_all_granted(&mut group, 10), "{}", group.control_service.budget_status());
    for disk in [Disk::Empty, Disk::Own] {
        inject(&mut group, Fault::KillControl);
        inject(&mut group, Fault::StartControl { disk });
        assert!(
            wait_until_all_granted(&mut group, 10),
            "{disk:?}: {}",
            group.control_service.budget_status()
        );
    }
    assert_no_violations(&group.finish());
}

/// Guards against a new store that ignores the longest lease that the operator states. Without `--longest-ms` the
/// lessor waits for the longest lease that any document may have.
#[test]
fn a_lost_store_is_replaced_with_the_longest_lease_that_the_operator_states() {
    let create_store = |arguments: &[&str]| {
        let folder = tempfile::tempdir().expect("folder");
        let mut command = std::process::Command::new(program());
        command.args(["budget", "found", "--keeper", "a", "--listen", "127.0.0.1:1", "--documents"]);
        let process = command.arg(folder.path()).args(arguments).output().expect("process starts");
        let output = [process.stdout, process.stderr].concat();
        (process.status.code(), String::from_utf8_lossy(&output).into_owned())
    };
    let (code, output) = create_store(&["--lost"]);
    assert!(code == Some(0) && output.contains("nothing new for 70000 ms"), "{code:?} {output}");
    let (code, output) = create_store(&["--lost", "--longest-ms", "1200"]);
    assert!(code == Some(0) && output.contains("nothing new for 1202 ms"), "{code:?} {output}");
    for wrong in [
        &["--longest-ms", "1200"] as &[&str],
        &["--lost", "--longest-ms", "70001"],
        &["--lost", "--longest-ms", "nan"],
    ] {
        let (code, output) = create_store(wrong);
        assert!(code == Some(2) && output.contains("--longest-ms"), "{wrong:?}: {code:?} {output}");
    }
}

/// Guards against a holder that counts as connected after the control service has closed its connection, as another one
/// has subscribed under its name.
#[test]
fn a_holder_whose_connection_was_closed_by_the_control_service_is_shown_as_gone() {
    let _lock = lock_group();
    let long = SharedBudgetConfig { lease_ms: 10_000, max_use_ms: 10_000, ..SharedBudgetConfig::default() };
    let mut group = group(1, 40.0, long);
    let subscribe = SubscriberMessage::Subscribe {
        node: "n9".into(),
        program: "test".into(),
        kind: Kind::Budgets,
        lineage: None,
        in_effect: None,
        on_trial: false,
        latest_known: None,
    };
    let request = SubscriberMessage::LeaseRequest(LeaseRequest {
        holder: "n9".into(),
        incarnation: 1,
        sequence: 1,
        last_accepted: 0,
        known_lessor: None,
        draining: false,
        lines: vec![RequestLine { budget: "calls".into(), held: 0, in_use: 0, wanted: 1, unleased: 0 }],
    });
    let address = group.control_service.address;
    let connect = |text: String| {
        let mut stream = TcpStream::connect(address).expect("connects");
        stream.write_all(text.as_bytes()).expect("sends");
        stream
    };
    let connected = |group: &Group, expected: bool| {
        let calls = calls_figures(group);
        let mut holders = calls["holders"].as_array().into_iter().flatten();
        holders.any(|holder| holder["holder"] == "n9" && holder["connected"] == expected)
    };
    let _first = connect(subscribe.encode() + &request.encode());
    assert!(group.wait_until(STATE_TIMEOUT, |group| connected(group, true)), "{}", calls_figures(&group));
    let _second = connect(subscribe.encode());
    assert!(group.wait_until(STATE_TIMEOUT, |group| connected(group, false)), "{}", calls_figures(&group));
}

/// Guards against nodes that start at a site without units and never get any: a node that had never held a unit did not
/// request one.
#[test]
fn nodes_that_start_at_a_site_without_units_get_some_back() {
    let _lock = lock_group();
    let config = SharedBudgetConfig {
        total: 12,
        sites: 2,
        call_duration: Duration::from_millis(150),
        ..SharedBudgetConfig::default()
    };
    let mut group = group(4, 60.0, config);
    let nodes_of_second_site = [1, 3];
    nodes_of_second_site.iter().for_each(|node| inject(&mut group, Fault::Kill { node: *node }));
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| owned(group, 0) >= 10),
        "{}",
        group.control_service.budget_status()
    );
    // With the smaller total, the second site has lent more units than its share.
    inject(&mut group, Fault::SetBudgetTotal { units: 6 });
    let owns_nothing = |group: &mut Group| owned(group, 0) == 6 && owned(group, 1) == 0;
    assert!(group.wait_until(STATE_TIMEOUT, owns_nothing), "{}", group.control_service.budget_status());
    for node in nodes_of_second_site {
        inject(&mut group, Fault::Start { node, disk: Disk::Own });
    }
    assert!(
        group.wait_until(STATE_TIMEOUT, |group| owned(group, 1) >= 2),
        "{}",
        group.control_service.budget_status()
    );
    assert_no_violations(&group.finish());
}

#[test]
fn generated_fault_plans_never_exceed_the_total() {
    let _lock = lock_group();
    for (seed, sites) in [(5, 1), (9, 2)] {
        let plan = FaultPlan::draw_shared(seed, 5, 10, sites, 10);
        let outcome = run_plan(&plan, program(), &[]).expect("the fault plan runs");
        let violations: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "{}\n\n{}", violations.join("\n"), plan.to_toml());
    }
}
