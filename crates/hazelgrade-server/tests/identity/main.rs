//! Authentication and authorization of callers through real sockets: the operators' tool makes keys and tokens, a node goes by
//! a file or by what a control service streams.

#![allow(clippy::expect_used, clippy::panic)]

mod tls;

use hazelgrade_config::Document;
use hazelgrade_fakes::callers::{CallersReport, JobOutcome, JobResult, Token};
use hazelgrade_fakes::documents::{BOOK, READ, document};
use hazelgrade_fakes::executor::Workload;
use hazelgrade_fakes::node_process::{NodeConfig, NodeProcess};
use hazelgrade_fakes::test_environment::{TestEnvironment, start_callers_with_token};
use hazelgrade_fakes::{free_address, rule_check, unix_ms, wait_until};
use hazelgrade_stream::control_service;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SOON: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_millis(250);
const QUICK: Workload = Workload { cores: 4, job_duration: Duration::from_millis(4), makes_call: false };

const CALLERS: &str = "audience = \"agenda\"\nlongest_token_s = 60\nskew_s = 0\n\n\
    [caller.front]\nuse_cases = [\"read\"]\ncustomers = [\"c0\"]\n\n\
    [caller.desk]\nuse_cases = [\"read\", \"book\"]\ncustomers = [\"c0\"]\n";

/// The operators' tool; what it prints.
fn keys(arguments: &[&str], set: &Path, private: &Path) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hazelgrade"));
    command.arg("keys").args(arguments).arg("--set").arg(set).arg("--private").arg(private);
    let output = command.output().expect("it starts");
    assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).trim().to_owned()
}

struct Setting {
    world: TestEnvironment,
    control: SocketAddr,
    control_service: Child,
    documents: PathBuf,
    private: PathBuf,
}

fn serving() -> Document {
    document(&[READ, BOOK], 2, "").expect("it is right")
}

impl Setting {
    /// A control service with a serving document and an identity document with one key.
    fn new() -> Setting {
        let world = TestEnvironment::new(QUICK).expect("ports");
        let (documents, private) =
            (world.directory.path().join("documents"), world.directory.path().join("private"));
        std::fs::create_dir(&documents).expect("a folder");
        std::fs::write(documents.join(control_service::SERVING_DOCUMENT_FILE), serving().to_toml())
            .expect("a file");
        let set = documents.join("identity.toml");
        std::fs::write(&set, CALLERS).expect("a file");
        keys(&["new"], &set, &private);
        let control = free_address();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hazelgrade"));
        command.args(["control", "--lineage", "test", "--log", "error", "--documents"]).arg(&documents);
        let child =
            command.args(["--listen", &control.to_string()]).stdin(Stdio::null()).spawn().expect("it starts");
        Setting { world, control, control_service: child, documents, private }
    }

    fn set(&self) -> PathBuf {
        self.documents.join("identity.toml")
    }

    fn node(&self, identity: &str) -> NodeProcess {
        let program = Path::new(env!("CARGO_BIN_EXE_hazelgrade"));
        let stream = format!("lineage = \"test\"\n[stream.trial]\nspan_ms = 100\n{identity}");
        let plan = self.world.node_config("n1", program, &[], self.control, &stream);
        let node = NodeConfig { log: "error".into(), ..plan }.start().expect("it starts");
        assert!(node.wait_until_ready(true));
        node
    }

    fn token(&self, caller: &str, lasts: &str) -> String {
        keys(&["token", "--caller", caller, "--for", lasts], &self.set(), &self.private)
    }

    /// Changes the identity document in one step.
    fn change(&self, change: impl FnOnce(String) -> String) {
        let next = self.documents.join("next");
        std::fs::write(&next, change(std::fs::read_to_string(self.set()).expect("a file"))).expect("a file");
        std::fs::rename(next, self.set()).expect("a file");
    }
}

impl Drop for Setting {
    fn drop(&mut self) {
        let _ = self.control_service.kill();
        let _ = self.control_service.wait();
    }
}

/// A connection, line by line.
struct Connection(BufReader<TcpStream>);

impl Connection {
    fn connect(node: &NodeProcess) -> Connection {
        let stream = TcpStream::connect(node.config.listen).expect("it listens");
        stream.set_read_timeout(Some(SOON)).expect("a time-out");
        Connection(BufReader::new(stream))
    }

    fn request(&mut self, message: &Value) -> Value {
        self.0.get_mut().write_all(format!("{message}\n").as_bytes()).expect("it takes bytes");
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line in time");
        serde_json::from_str(&line).unwrap_or_else(|_| panic!("not JSON: {line:?}"))
    }

    fn hello(&mut self, token: &str) -> Value {
        self.request(&json!({"jsonrpc": "2.0", "id": 1, "method": "hello", "params": {"token": token}}))
    }

    fn job(&mut self, call: u64, job_class: &str, owner: Option<&str>, token: Option<&str>) -> Value {
        self.request(&json!({"jsonrpc": "2.0", "id": call, "method": job_class, "params": {
            "req": format!("j{call:04}{:08x}", unix_ms() as u32), "ts": unix_ms(), "via": 1, "owner": owner,
            "need": 12.5, "level": 0.5, "body": "aGVsbG8=", "token": token}}))
    }
}

fn denied(answer: &Value) -> &str {
    let data = &answer["error"]["data"];
    assert_eq!(
        (&answer["error"]["code"], &data["nomore"], &data["denied"]),
        (&json!(-32066), &json!(1), &json!(1)),
        "{answer}"
    );
    answer["error"]["message"].as_str().unwrap_or_default()
}

fn succeeded(answer: &Value) -> bool {
    answer["result"]["body"].is_string()
}

#[test]
fn a_caller_gets_the_jobs_that_it_may_request_and_one_denial_for_any_other() {
    let setting = Setting::new();
    let file = setting.set();
    let node = setting.node(&format!("[identity]\ndocument = {file:?}\n"));
    let mut connection = Connection::connect(&node);
    assert_eq!(
        denied(&connection.job(2, "read", Some("c0"), None)),
        "no token or certificate names the caller"
    );
    // Once for a connection.
    let front = setting.token("front", "30");
    assert_eq!(connection.hello(&front)["result"]["caller"], "front");
    assert!(succeeded(&connection.job(3, "read", Some("c0"), None)));
    assert!(succeeded(&connection.job(4, "read", None, None)), "its only tenant needs no name");
    assert_eq!(
        denied(&connection.job(5, "book", Some("c0"), None)),
        "the caller may not ask for this use case"
    );
    assert_eq!(
        denied(&connection.job(6, "read", Some("c1"), None)),
        "the caller may not ask for this customer"
    );
    // With a job: another caller on the same connection.
    let desk = setting.token("desk", "30");
    assert!(succeeded(&connection.job(7, "book", Some("c0"), Some(&desk))));
    assert_eq!(
        denied(&connection.job(8, "book", Some("c0"), None)),
        "the caller may not ask for this use case"
    );
    let mut other = Connection::connect(&node);
    let signature = desk.rfind('.').expect("three parts") + 1;
    let other_letter = if &desk[signature..=signature] == "A" { "B" } else { "A" };
    let bad = format!("{}{other_letter}{}", &desk[..signature], &desk[signature + 1..]);
    assert_eq!(other.hello(&bad)["error"]["message"], "the signature is wrong");
    assert_eq!(denied(&other.job(2, "read", Some("c0"), Some(&bad))), "the signature is wrong");
    assert!(setting.world.executor.runs().len() == 3, "what was denied never ran");

    // From the file, on SIGHUP: the desk is revoked, on the connection that it has.
    assert!(succeeded(&connection.job(9, "book", Some("c0"), Some(&desk))));
    setting.change(|text| text.replace("[caller.desk]\n", "[caller.desk]\nrevoked = true\n"));
    assert!(node.signal("HUP"));
    let mut call = 10;
    assert!(wait_until(SOON, || {
        call += 1;
        !succeeded(&connection.job(call, "book", Some("c0"), Some(&desk)))
    }));
    assert_eq!(denied(&connection.job(900, "book", Some("c0"), Some(&desk))), "revoked");
    assert!(succeeded(&connection.job(901, "read", Some("c0"), None)), "the front goes on");
    // A file that is wrong changes nothing.
    setting.change(|text| text.replace("audience", "audiences"));
    assert!(node.signal("HUP"));
    assert!(succeeded(&connection.job(902, "read", Some("c0"), None)));
}

#[test]
fn a_token_that_expires_on_an_open_connection_lets_its_job_end_and_no_other_begin() {
    let setting = Setting::new();
    let file = setting.set();
    setting.world.executor.set_workload(Workload { job_duration: Duration::from_millis(2500), ..QUICK });
    let patient = document(&[("read", 6000, 8000, 1)], 2, "").expect("it is right");
    std::fs::write(setting.documents.join(control_service::SERVING_DOCUMENT_FILE), patient.to_toml())
        .expect("a file");
    let node = setting.node(&format!("[identity]\ndocument = {file:?}\n"));
    let mut connection = Connection::connect(&node);
    let token = setting.token("front", "2");
    assert_eq!(connection.hello(&token)["result"]["caller"], "front");
    let began = Instant::now();
    assert!(succeeded(&connection.job(2, "read", None, None)), "a job that was admitted goes on");
    assert!(began.elapsed() > Duration::from_millis(2400));
    assert_eq!(denied(&connection.job(3, "read", None, None)), "the token has expired");
}

#[test]
fn key_rotation_each_second_under_load_denies_no_valid_job_and_a_revoked_caller_gets_nothing_after_the_bound()
{
    let setting = Setting::new();
    let node = setting.node("[identity]\nstreamed = true\ntrial_ms = 100\n");
    let (front, leaves): (Token, Token) = Default::default();
    let sign =
        |into: &Arc<Mutex<String>>, caller: &str| *into.lock().expect("a lock") = setting.token(caller, "5");
    sign(&front, "front");
    sign(&leaves, "desk");
    let mut connection = Connection::connect(&node);
    let ready = wait_until(SOON, || {
        succeeded(&connection.job(
            unix_ms() % 1_000_000,
            "read",
            Some("c0"),
            Some(&front.lock().expect("a lock")),
        ))
    });
    assert!(ready, "the first set arrives");
    let load = start_callers_with_token(node.config.listen, 100.0, &["read"], Some(front.clone()));
    let load_of_desk = start_callers_with_token(node.config.listen, 100.0, &["book"], Some(leaves.clone()));
    for second in 0..5 {
        // The key signs from when it was sent; the node has it within the bound. Old ones sign on for a while.
        keys(&["rotate", "--lead", "0.3", "--overlap", "1"], &setting.set(), &setting.private);
        std::thread::sleep(Duration::from_millis(600));
        sign(&front, "front");
        if second < 3 {
            sign(&leaves, "desk");
        }
        if second == 3 {
            setting.change(|text| text.replace("[caller.desk]\n", "[caller.desk]\nrevoked = true\n"));
        }
        std::thread::sleep(Duration::from_millis(400));
    }
    let revoked_for = Duration::from_millis(1000);
    let CallersReport { results: told, unmatched_answers: twice } = load.stop();
    let of_desk = load_of_desk.stop().results;
    let verdict = rule_check::check(&told, twice, &setting.world.executor.runs(), DEADLINE, GRACE);
    assert!(verdict.passed() && verdict.count > 300, "{verdict}");
    let denials: Vec<&JobResult> = told.iter().filter(|told| told.outcome == JobOutcome::Denied).collect();
    assert!(denials.is_empty(), "a valid job was denied: {denials:?}");
    // Of the desk, the last ones: all denied, and none of them ran.
    let last = of_desk.iter().map(|told| told.sent).max().expect("some");
    let late: Vec<&JobResult> =
        of_desk.iter().filter(|told| told.sent > last - revoked_for + Duration::from_millis(400)).collect();
    assert!(late.len() > 20 && late.iter().all(|told| told.outcome == JobOutcome::Denied), "{late:?}");
    let runs = setting.world.executor.runs();
    assert!(
        of_desk
            .iter()
            .filter(|told| told.outcome == JobOutcome::Denied)
            .all(|told| !runs.contains_key(&told.id))
    );
    let served = of_desk.iter().filter(|told| told.outcome == JobOutcome::Succeeded).count();
    assert!(served > 100, "{served} served before");
}

#[test]
fn a_flood_of_bad_tokens_is_denied_while_others_are_served() {
    let setting = Setting::new();
    let file = setting.set();
    let node = setting.node(&format!("[identity]\ndocument = {file:?}\n"));
    let token: Token = Arc::new(Mutex::new(setting.token("front", "50")));
    let load = start_callers_with_token(node.config.listen, 100.0, &["read"], Some(token.clone()));
    assert!(wait_until(SOON, || load.count() >= 20));
    let good = token.lock().expect("a lock").clone();
    let flood: Vec<_> = (0..4)
        .map(|thread| {
            let (listen, good) = (node.config.listen, good.clone());
            std::thread::spawn(move || {
                let until = Instant::now() + Duration::from_secs(2);
                let mut sent = 0;
                while Instant::now() < until {
                    let Ok(mut stream) = TcpStream::connect(listen) else { continue };
                    while Instant::now() < until {
                        let line = json!({"jsonrpc": "2.0", "id": sent + 1, "method": "hello", "params": {"token": format!("{good}{thread}{sent}")}});
                        sent += 1;
                        if stream.write_all(format!("{line}\n").as_bytes()).is_err() {
                            break;
                        }
                    }
                }
                sent
            })
        })
        .collect();
    let sent: u64 = flood.into_iter().map(|thread| thread.join().expect("it ends")).sum();
    let CallersReport { results: told, unmatched_answers: twice } = load.stop();
    let verdict = rule_check::check(&told, twice, &setting.world.executor.runs(), DEADLINE, GRACE);
    assert!(sent > 200, "{sent} is no flood");
    assert!(
        verdict.passed() && verdict.count_of(JobOutcome::Succeeded) == verdict.count,
        "{sent} bad ones: {verdict}"
    );
    let slowest = told.iter().map(|told| told.latency).max().expect("some");
    assert!(slowest < Duration::from_millis(1000), "{slowest:?}, within the latency objective");
}
