//! Tests a fleet of 20 instances that run at the same time: limits that each instance observes on its own must also
//! hold for the whole fleet.

use crate::common::*;
use hazelgrade_fakes::callers::{Callers, CallersConfig, JobOutcome};
use hazelgrade_fakes::dependency::Dependency;
use hazelgrade_fakes::executor::{Executor, Workload};
use hazelgrade_fault_injection::proxy::FaultProxy;
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const NODES: usize = 20;
/// Calls that each instance may have in flight by its settings: its share of the fleet's limit.
const CALLS_PER_NODE: usize = 2;
/// How long the dependency takes for a call.
const CALL_DURATION: Duration = Duration::from_millis(40);
/// Time limit of a restart.
const RESTART_TIMEOUT: Duration = Duration::from_secs(10);

/// An instance with its own executor, link proxy and callers.
struct Node {
    instance: Instance,
    executor: Executor,
    link: FaultProxy,
    callers: Callers,
}

/// Locks out other fleet tests, as a single fleet already keeps a small machine busy.
fn lock_fleet_tests() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a fleet. The callers of each node request twice the rate of jobs that the node's share of calls allows.
fn start_fleet(dependency: &Dependency) -> Vec<Node> {
    let start_node = |_| {
        let workload = Workload { cores: 4, job_duration: Duration::from_millis(8), makes_call: true };
        let executor = Executor::start(workload).expect("start the executor");
        let link = FaultProxy::tcp(executor.address).expect("start the proxy");
        let instance = Instance::start_with(|configuration| {
            configuration["executor"] = json!(link.address.to_string());
            configuration["db"] = json!(dependency.address.to_string());
            let specifics = &mut configuration["settings"]["specifics"];
            (specifics["below"], specifics["callsOut"]) = (json!("shared"), json!(CALLS_PER_NODE));
            (specifics["callsOver"], specifics["cores"]) = (json!(1000), json!(4));
        });
        let rate = 2.0 * CALLS_PER_NODE as f64 / CALL_DURATION.as_secs_f64();
        let job_classes = vec!["read".to_owned()];
        let node = instance.listen;
        let callers = CallersConfig {
            node,
            connections: 3,
            rate,
            job_classes,
            owner: "acme".into(),
            token: None,
            drain_notice_delay: Duration::ZERO,
        };
        Node { instance, executor, link, callers: Callers::start(&callers) }
    };
    (0..NODES).map(start_node).collect()
}

/// Waits until a condition holds; panics after 60 s.
fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(60);
    while !condition() {
        assert!(Instant::now() < deadline, "the condition did not hold within 60 s");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends a health check to a node; returns `Some` if the node answers that it is healthy.
fn check_health(listen: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect(listen).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}\n").ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.contains("\"up\":true").then_some(())
}

/// Returns the number of jobs that succeeded at each node.
fn succeeded_jobs(nodes: &[Node]) -> Vec<usize> {
    let count = |node: &Node| {
        node.callers.results().iter().filter(|result| result.outcome == JobOutcome::Succeeded).count()
    };
    nodes.iter().map(count).collect()
}

/// Waits until at least `more` further jobs have succeeded at each node.
fn wait_for_succeeded_jobs(nodes: &[Node], more: usize) {
    let before = succeeded_jobs(nodes);
    wait_until(|| succeeded_jobs(nodes).iter().zip(&before).all(|(now, before)| *now >= before + more));
}

/// Each instance observes its own share, whatever it knows of the other instances. The fleet must therefore never
/// exceed the shared limit: neither during warm-up, nor under overload, nor when half of the instances are killed and
/// restarted.
#[test]
fn calls_of_twenty_processes_never_exceed_the_shared_limit_at_any_instant() {
    let _lock = lock_fleet_tests();
    let dependency = Dependency::start(CALL_DURATION, NODES * CALLS_PER_NODE).expect("start the dependency");
    let mut nodes = start_fleet(&dependency);
    wait_for_succeeded_jobs(&nodes, 10);
    let peak_before_restart = dependency.peak();
    for node in nodes.iter_mut().step_by(2) {
        node.instance.kill();
        node.executor.restart();
    }
    // A restarted process does not know the calls of its predecessor, so these calls must end before the restart.
    std::thread::sleep(2 * CALL_DURATION);
    for node in nodes.iter_mut().step_by(2) {
        node.instance.start_again();
    }
    wait_for_succeeded_jobs(&nodes, 10);
    println!(
        "peak of calls in flight: {}, before the restart: {peak_before_restart}, limit: {}",
        dependency.peak(),
        NODES * CALLS_PER_NODE
    );
    assert_eq!(dependency.overloads(), (0, 0), "peak of calls in flight: {}", dependency.peak());
    // The test is conclusive only if the fleet came near the limit.
    assert!(
        peak_before_restart * 2 > NODES * CALLS_PER_NODE,
        "only {peak_before_restart} calls in flight before the restart"
    );
}

/// All 20 instances are killed at the same time under load. Their executors accept links only 2 s after the restart.
#[test]
fn of_twenty_processes_that_restart_together_nine_in_ten_are_ready_within_ten_seconds() {
    let _lock = lock_fleet_tests();
    let dependency = Dependency::start(CALL_DURATION, NODES * CALLS_PER_NODE).expect("start the dependency");
    let mut nodes = start_fleet(&dependency);
    wait_for_succeeded_jobs(&nodes, 5);
    for node in &mut nodes {
        node.link.set_refusing(true);
        node.instance.kill();
        node.link.reset();
        node.executor.restart();
    }
    let restarted_at = Instant::now();
    for node in &mut nodes {
        node.instance.start_again();
    }
    let waits: Vec<_> = nodes
        .iter()
        .map(|node| {
            let listen = node.instance.listen;
            std::thread::spawn(move || {
                while check_health(listen).is_none() && restarted_at.elapsed() < 2 * RESTART_TIMEOUT {
                    std::thread::sleep(Duration::from_millis(5));
                }
                restarted_at.elapsed()
            })
        })
        .collect();
    let mut ready_after: Vec<Duration> =
        waits.into_iter().map(|wait| wait.join().expect("the health check thread panicked")).collect();
    ready_after.sort();
    let executor_delay = Duration::from_secs(2).saturating_sub(restarted_at.elapsed());
    std::thread::sleep(executor_delay);
    nodes.iter().for_each(|node| node.link.set_refusing(false));
    wait_for_succeeded_jobs(&nodes, 5);
    println!(
        "readiness: median {:?}, 90th percentile {:?}, maximum {:?}; all nodes served again after {:?}",
        ready_after[NODES / 2],
        ready_after[NODES * 9 / 10 - 1],
        ready_after[NODES - 1],
        restarted_at.elapsed()
    );
    assert!(ready_after[NODES * 9 / 10 - 1] < RESTART_TIMEOUT, "{ready_after:?}");
}
