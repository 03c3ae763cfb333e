//! Twenty processes at a time: what holds for each must hold for all of them together.

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
/// Each process's share, by its settings, of the calls that all may have in flight.
const SHARE: usize = 2;
const CALL: Duration = Duration::from_millis(40);
/// The time limit of a restart.
const READY_WITHIN: Duration = Duration::from_secs(10);

struct Member {
    instance: Instance,
    executor: Executor,
    link: FaultProxy,
    callers: Callers,
}

/// One fleet at a time: it keeps a small machine busy.
fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Each with an executor and callers of its own, which ask for twice what the calls allow.
fn fleet(dependency: &Dependency) -> Vec<Member> {
    let member = |_| {
        let work = Workload { cores: 4, job_duration: Duration::from_millis(8), makes_call: true };
        let executor = Executor::start(work).expect("a port");
        let link = FaultProxy::tcp(executor.address).expect("a port");
        let instance = Instance::start_with(|configuration| {
            configuration["executor"] = json!(link.address.to_string());
            configuration["db"] = json!(dependency.address.to_string());
            let specifics = &mut configuration["settings"]["specifics"];
            (specifics["below"], specifics["callsOut"]) = (json!("shared"), json!(SHARE));
            (specifics["callsOver"], specifics["cores"]) = (json!(1000), json!(4));
        });
        let rate = 2.0 * SHARE as f64 / CALL.as_secs_f64();
        let job_classes = vec!["read".to_owned()];
        let node = instance.listen;
        let plan = CallersConfig {
            node,
            connections: 3,
            rate,
            job_classes,
            owner: "acme".into(),
            token: None,
            drain_notice_delay: Duration::ZERO,
        };
        Member { instance, executor, link, callers: Callers::start(&plan) }
    };
    (0..NODES).map(member).collect()
}

fn wait_until(mut so: impl FnMut() -> bool) {
    let by = Instant::now() + Duration::from_secs(60);
    while !so() {
        assert!(Instant::now() < by, "it does not come");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Until a check is answered with `up`.
fn up(listen: SocketAddr) -> Option<()> {
    let mut stream = TcpStream::connect(listen).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}\n").ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.contains("\"up\":true").then_some(())
}

fn served(members: &[Member]) -> Vec<usize> {
    let served = |member: &Member| {
        member.callers.results().iter().filter(|told| told.outcome == JobOutcome::Succeeded).count()
    };
    members.iter().map(served).collect()
}

/// Waits until each has served so many more.
fn serve_on(members: &[Member], more: usize) {
    let before = served(members);
    wait_until(|| served(members).iter().zip(&before).all(|(now, before)| *now >= before + more));
}

/// Each keeps to its own share, whatever it knows of the others, so that together they never exceed the limit: not
/// during warm-up, nor past capacity, nor when half of them are killed and restarted.
#[test]
fn calls_of_twenty_processes_never_exceed_the_shared_limit_at_any_instant() {
    let _alone = alone();
    let dependency = Dependency::start(CALL, NODES * SHARE).expect("a port");
    let mut members = fleet(&dependency);
    serve_on(&members, 10);
    let crowded = dependency.peak();
    for member in members.iter_mut().step_by(2) {
        member.instance.kill();
        member.executor.restart();
    }
    // Their calls are over before they restart: a new process can't know of them.
    std::thread::sleep(2 * CALL);
    for member in members.iter_mut().step_by(2) {
        member.instance.start_again();
    }
    serve_on(&members, 10);
    println!("{} in flight at most, {crowded} before the restart, of {}", dependency.peak(), NODES * SHARE);
    assert_eq!(dependency.overloads(), (0, 0), "{} in flight at most", dependency.peak());
    // Close to the limit was asked for, or nothing is shown.
    assert!(crowded * 2 > NODES * SHARE, "only {crowded} in flight");
}

/// Twenty are killed together under load; their executors come 2 s late.
#[test]
fn of_twenty_processes_that_restart_together_nine_in_ten_are_ready_within_ten_seconds() {
    let _alone = alone();
    let dependency = Dependency::start(CALL, NODES * SHARE).expect("a port");
    let mut members = fleet(&dependency);
    serve_on(&members, 5);
    for member in &mut members {
        member.link.set_refusing(true);
        member.instance.kill();
        member.link.reset();
        member.executor.restart();
    }
    let began = Instant::now();
    for member in &mut members {
        member.instance.start_again();
    }
    let waits: Vec<_> = members
        .iter()
        .map(|member| {
            let listen = member.instance.listen;
            std::thread::spawn(move || {
                while up(listen).is_none() && began.elapsed() < 2 * READY_WITHIN {
                    std::thread::sleep(Duration::from_millis(5));
                }
                began.elapsed()
            })
        })
        .collect();
    let mut ready: Vec<Duration> = waits.into_iter().map(|wait| wait.join().expect("it waits")).collect();
    ready.sort();
    let late = Duration::from_secs(2).saturating_sub(began.elapsed());
    std::thread::sleep(late);
    members.iter().for_each(|member| member.link.set_refusing(false));
    serve_on(&members, 5);
    println!(
        "ready after {:?} at the middle, {:?} nine in ten, {:?} at most; all served again after {:?}",
        ready[NODES / 2],
        ready[NODES * 9 / 10 - 1],
        ready[NODES - 1],
        began.elapsed()
    );
    assert!(ready[NODES * 9 / 10 - 1] < READY_WITHIN, "{ready:?}");
}
