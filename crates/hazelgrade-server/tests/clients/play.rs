//! One play: a node between its peers, honest clients, and faults that are drawn by a seed, until the node is killed
//! at the earliest time that the platform allows.

use crate::client::{self, JobClass, Outcome, Surroundings};
use crate::crowd::Crowd;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade_fakes::dependency::Dependency;
use hazelgrade_fakes::executor::{Executor, Workload};
use hazelgrade_fakes::registry::Registry;
use hazelgrade_fakes::system_faults::{SystemCall, SystemFaults};
use hazelgrade_fakes::{free_address, wait_until};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// SIGKILL follows SIGTERM after the longest deadline, counted as 3 s at most, and this time.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long a node has to answer a health check after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long clients send under faults before the first signal to end.
const FAULTS_FOR: Duration = Duration::from_secs(6);
/// How long a call to the database takes, usually and while it is slow.
const USUAL_CALL: Duration = Duration::from_millis(2);
const SLOW_CALL: Duration = Duration::from_secs(4);
/// Calls that the database takes at once.
const MAX_CALLS: usize = 1000;
/// Steps of the Unix clock that are drawn, in milliseconds.
const CLOCK_STEPS_MS: [i64; 6] = [3_600_000, -3_600_000, 20_000, -20_000, 700, -700];

/// What a seed draws.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub classes: Vec<JobClass>,
    pub window: Duration,
    /// Requests a second of each client.
    pub rates: Vec<f64>,
    pub has_crowd: bool,
    pub steps_clock: bool,
    pub fails_calls: bool,
    /// How often the node is started.
    pub lives: usize,
    /// How long the executor stays down after the start of the node.
    pub executor_down: Duration,
}

/// What happened in a play.
pub struct Record {
    pub plan: Plan,
    pub outcomes: Vec<Outcome>,
    pub lives: Vec<Life>,
    /// How often each kind of call failed.
    pub hits: Vec<(SystemCall, i64)>,
    /// The node's log.
    pub log: String,
}

/// What happened in one life of the node.
pub struct Life {
    /// How often each job was started on the executor.
    pub runs: BTreeMap<String, u32>,
    /// When the process stood still, and until when.
    pub pauses: Vec<(Instant, Instant)>,
    /// When the process was killed, if it still ran then.
    pub killed: Option<Instant>,
    /// The exit code, if the process left by itself.
    pub exit_code: Option<i32>,
}

struct Picker(MultiplyWithCarry);

impl Picker {
    fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[((self.0.next_f64() * values.len() as f64) as usize).min(values.len() - 1)]
    }

    fn between_ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + (self.0.next_f64() * (to - from) as f64) as u64)
    }
}

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        let mut picker = Picker(MultiplyWithCarry::new(seed ^ 0x0c11));
        let deadline = |picker: &mut Picker| picker.between_ms(500, 3000);
        let classes = vec![
            JobClass { name: "search", deadline: deadline(&mut picker), is_keyed: false },
            JobClass { name: "status", deadline: deadline(&mut picker), is_keyed: false },
            JobClass { name: "book", deadline: deadline(&mut picker), is_keyed: true },
        ];
        let clients = picker.pick(&[1, 2, 3, 4]);
        Plan {
            seed,
            window: picker.between_ms(2000, 5000),
            rates: (0..clients).map(|_| picker.pick(&[15.0, 40.0, 60.0, 90.0])).collect(),
            has_crowd: picker.pick(&[false, false, true]),
            steps_clock: picker.pick(&[false, true]),
            fails_calls: picker.pick(&[false, true]),
            executor_down: Duration::from_millis(picker.pick(&[0, 0, 500])),
            lives: picker.pick(&[1, 1, 2]),
            classes,
        }
    }

    fn stop_after(&self) -> Duration {
        let longest = self.classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        longest.min(LONGEST_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE
    }

    fn settings(&self) -> Value {
        let classes: Vec<Value> = self
            .classes
            .iter()
            .map(|class| {
                let deadline = class.deadline.as_millis() as u64;
                json!({"name": class.name, "aim": deadline * 2 / 5, "giveUp": deadline, "gain": 1, "lateWorth": 0.2,
                    "idempotency": if class.is_keyed { "keyed" } else { "safe" },
                    "window": self.window.as_millis() as u64})
            })
            .collect();
        let drain_grace = self.stop_after().as_millis() as u64 / 3;
        json!({
            "classes": classes, "customers": [{"name": "c0", "quotaPerS": 1000}],
            "ceilings": {"retryAfter": true, "maxRetryAfter": 1000},
            "guarantees": {"answerSlack": 60, "coldFrom": 0.3, "warmUp": 4000, "drainGrace": drain_grace, "tipMultiple": 8},
            "quantum": 2, "fleetSize": 1, "clients": {"marksRetry": false},
            "specifics": {"cores": 2, "memoryKb": 30000, "blowup": 8, "keyKb": 1, "below": "tier", "halt": "drop",
                "classSkipWorth": [0.5, 0.5, 0], "readiness": true, "callers": 4, "signal": "weight", "saidFor": 1000,
                "linger": 100, "ownStats": ["links", "core_use"]}
        })
    }
}

/// A node and its peers.
struct Stage {
    folder: TempDir,
    executor: Executor,
    registry: Registry,
    database: Dependency,
    listen: SocketAddr,
    faults: SystemFaults,
}

impl Stage {
    fn new(seed: u64) -> std::io::Result<Stage> {
        let folder = tempfile::tempdir()?;
        let faults = SystemFaults::new(folder.path(), seed)?;
        let workload = Workload { cores: 2, job_duration: Duration::from_millis(8), makes_call: true };
        Ok(Stage {
            executor: Executor::start(workload)?,
            registry: Registry::start()?,
            database: Dependency::start(USUAL_CALL, MAX_CALLS)?,
            listen: free_address(),
            faults,
            folder,
        })
    }

    fn start_node(&self, plan: &Plan) -> std::io::Result<Child> {
        let path = self.folder.path().join("n1.json");
        let configuration = json!({
            "name": "n1", "listen": self.listen.to_string(), "executor": self.executor.address.to_string(),
            "registry": self.registry.address.to_string(), "db": self.database.address.to_string(),
            "seed": format!("{:016x}", plan.seed), "stop_ms": plan.stop_after().as_millis() as u64,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 384}, "settings": plan.settings()
        });
        std::fs::write(&path, configuration.to_string())?;
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let program = std::env::var("SOAK_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_hazelgrade").into());
        let mut command = Command::new(program);
        let level = std::env::var("SOAK_LOG").unwrap_or("info".into());
        command.args(["serve", "--log", &level, "--config"]).arg(&path).env_remove("PROXY_CONFIG");
        self.faults.apply_to(&mut command);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()
    }

    fn log_path(&self) -> std::path::PathBuf {
        self.folder.path().join("n1.log")
    }
}

fn answers_health_check(node: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(node) else { return false };
    let sent = stream.set_read_timeout(Some(Duration::from_millis(500))).is_ok()
        && stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}\n").is_ok();
    let mut line = String::new();
    sent && BufReader::new(stream).read_line(&mut line).is_ok() && line.contains("\"up\":true")
}

fn signal(node: &Child, name: &str) {
    let id = node.id().to_string();
    let sent = Command::new("kill").args([&format!("-{name}"), &id]).status();
    assert!(sent.is_ok_and(|status| status.success()), "signal {name} could not be sent");
}

/// Plays a plan, and returns what happened.
pub fn play(plan: &Plan) -> Record {
    let stage = Stage::new(plan.seed).expect("files and ports are free");
    let surroundings = Surroundings {
        node: stage.listen,
        classes: plan.classes.clone(),
        window: plan.window,
        clock_offset_ms: Arc::new(AtomicI64::new(0)),
        resets: Arc::new(AtomicU64::new(0)),
        is_listed: Arc::new(AtomicBool::new(false)),
        stop: Arc::new(AtomicBool::new(false)),
    };
    let mut picker = Picker(MultiplyWithCarry::new(plan.seed ^ 0xfa17));
    let clients: Vec<_> = plan
        .rates
        .iter()
        .zip(1..)
        .map(|(rate, number)| client::start(surroundings.clone(), plan.seed << 8 | number, *rate))
        .collect();
    let lives: Vec<Life> =
        (0..plan.lives).map(|_| play_life(plan, &stage, &surroundings, &mut picker)).collect();
    surroundings.stop.store(true, Ordering::Relaxed);
    let outcomes = clients.into_iter().flat_map(|client| client.join().expect("the client ran")).collect();
    let calls =
        [SystemCall::Accept, SystemCall::ShortIo, SystemCall::InterruptedIo, SystemCall::SocketOption];
    Record {
        plan: plan.clone(),
        outcomes,
        lives,
        hits: calls.map(|call| (call, stage.faults.hits(call))).to_vec(),
        log: std::fs::read_to_string(stage.log_path()).unwrap_or_default(),
    }
}

/// Plays one life of the node, from its start to its end.
fn play_life(plan: &Plan, stage: &Stage, surroundings: &Surroundings, picker: &mut Picker) -> Life {
    let runs_before = stage.executor.runs();
    stage.executor.restart();
    stage.executor.set_hung(false);
    stage.executor.set_up(false);
    let mut node = stage.start_node(plan).expect("the node starts");
    std::thread::sleep(plan.executor_down);
    stage.executor.set_up(true);
    assert!(wait_until(START_TIMEOUT, || answers_health_check(stage.listen)), "seed {}: not up", plan.seed);
    surroundings.is_listed.store(true, Ordering::Relaxed);
    let crowd = plan.has_crowd.then(|| Crowd::start(stage.listen));
    let pauses = inject_faults(plan, stage, &node, surroundings, picker);
    let (killed, exit_code) = end_node(plan, stage, &mut node, picker);
    surroundings.is_listed.store(false, Ordering::Relaxed);
    drop(crowd);
    let mut runs = stage.executor.runs();
    runs.retain(|id, _| !runs_before.contains_key(id));
    Life { runs, pauses, killed, exit_code }
}

/// Injects faults one after the other for [`FAULTS_FOR`]. Returns when the process stood still.
fn inject_faults(
    plan: &Plan,
    stage: &Stage,
    node: &Child,
    surroundings: &Surroundings,
    picker: &mut Picker,
) -> Vec<(Instant, Instant)> {
    let end = Instant::now() + FAULTS_FOR;
    let mut pauses = Vec::new();
    if plan.fails_calls {
        stage.faults.set_failing(SystemCall::Accept, picker.pick(&[30, 70]));
        stage.faults.set_failing(SystemCall::ShortIo, picker.pick(&[30, 80]));
        stage.faults.set_failing(SystemCall::InterruptedIo, picker.pick(&[5, 30]));
        stage.faults.set_failing(SystemCall::SocketOption, picker.pick(&[30, 70]));
        let has_failed = || stage.faults.hits(SystemCall::Accept) > 0;
        wait_until(START_TIMEOUT, || answers_health_check(stage.listen) && has_failed());
    }
    while Instant::now() < end {
        std::thread::sleep(picker.between_ms(50, 400));
        match picker.pick(&[0, 0, 1, 2, 3, 4, 5, 6, 6]) {
            0 => {
                stage.executor.set_hung(true);
                if picker.pick(&[false, true]) {
                    surroundings.resets.fetch_add(1, Ordering::Relaxed);
                }
                std::thread::sleep(picker.between_ms(300, 2500));
                stage.executor.set_hung(false);
            }
            1 => stage.executor.break_link(),
            2 => {
                let from = Instant::now();
                signal(node, "STOP");
                std::thread::sleep(picker.between_ms(100, 500));
                signal(node, "CONT");
                pauses.push((from, Instant::now()));
            }
            3 => signal(node, "HUP"),
            4 => {
                let slow = Workload { cores: 2, job_duration: Duration::from_millis(200), makes_call: true };
                stage.executor.set_workload(slow);
                std::thread::sleep(picker.between_ms(200, 1000));
                let usual = Workload { job_duration: Duration::from_millis(8), ..slow };
                stage.executor.set_workload(usual);
            }
            5 => {
                stage.database.set_call_duration(SLOW_CALL);
                std::thread::sleep(picker.between_ms(300, 1500));
                stage.database.set_call_duration(USUAL_CALL);
            }
            _ if plan.steps_clock => {
                let stepped = stage.faults.unix_clock_offset_ms() == 0;
                let offset_ms = if stepped { picker.pick(&CLOCK_STEPS_MS) } else { 0 };
                stage.faults.set_unix_clock_offset_ms(offset_ms);
                surroundings.clock_offset_ms.store(offset_ms, Ordering::Relaxed);
            }
            _ => {}
        }
    }
    pauses
}

/// Sends SIGTERM, with other signals before or after it, and SIGKILL at the earliest time. The executor may hang
/// meanwhile, so that jobs are held. Returns when the process was killed, or with which code it left.
fn end_node(
    plan: &Plan,
    stage: &Stage,
    node: &mut Child,
    picker: &mut Picker,
) -> (Option<Instant>, Option<i32>) {
    stage.executor.set_hung(picker.pick(&[false, true]));
    if picker.pick(&[false, true]) {
        signal(node, "HUP");
    }
    let kill_at = Instant::now() + plan.stop_after();
    signal(node, "TERM");
    for name in &["HUP", "TERM"][..picker.pick(&[0, 1, 2])] {
        std::thread::sleep(Duration::from_millis(30));
        signal(node, name);
    }
    while Instant::now() < kill_at {
        if let Ok(Some(status)) = node.try_wait() {
            return (None, status.code());
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    let killed = Instant::now();
    let _ = node.kill();
    let _ = node.wait();
    (Some(killed), None)
}
