//! Tests of authentication and authorization of callers over real sockets. The command `keys` creates keys and
//! tokens, and a node reads its identity document from a file or from a control service.

#![allow(clippy::expect_used, clippy::panic)]

mod retries;
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

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_millis(250);
const SHORT_JOBS: Workload = Workload { cores: 4, job_duration: Duration::from_millis(4), makes_call: false };

const CALLERS: &str = "audience = \"agenda\"\nlongest_token_s = 60\nskew_s = 0\n\n\
    [caller.front]\nuse_cases = [\"read\"]\ncustomers = [\"c0\"]\n\n\
    [caller.desk]\nuse_cases = [\"read\", \"book\"]\ncustomers = [\"c0\"]\n";

/// Runs the command `keys` and returns its output.
fn keys(arguments: &[&str], document: &Path, private: &Path) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hazelgrade"));
    command.arg("keys").args(arguments).arg("--set").arg(document).arg("--private").arg(private);
    let output = command.output().expect("process starts");
    assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).trim().to_owned()
}

struct TestSetup {
    environment: TestEnvironment,
    control_address: SocketAddr,
    control_service: Child,
    documents: PathBuf,
    private: PathBuf,
}

fn serving() -> Document {
    document(&[READ, BOOK], 2, "").expect("valid document")
}

impl TestSetup {
    /// Starts a control service with a serving document and an identity document with one key.
    fn new() -> TestSetup {
        let environment = TestEnvironment::new(SHORT_JOBS).expect("free ports");
        let (documents, private) =
            (environment.directory.path().join("documents"), environment.directory.path().join("private"));
        std::fs::create_dir(&documents).expect("folder");
        std::fs::write(documents.join(control_service::SERVING_DOCUMENT_FILE), serving().to_toml())
            .expect("file operation");
        let identity_document = documents.join("identity.toml");
        std::fs::write(&identity_document, CALLERS).expect("file operation");
        keys(&["new"], &identity_document, &private);
        let control_address = free_address();
        let mut command = Command::new(env!("CARGO_BIN_EXE_hazelgrade"));
        command.args(["control", "--lineage", "test", "--log", "error", "--documents"]).arg(&documents);
        let child = command
            .args(["--listen", &control_address.to_string()])
            .stdin(Stdio::null())
            .spawn()
            .expect("process starts");
        TestSetup { environment, control_address, control_service: child, documents, private }
    }

    fn identity_document(&self) -> PathBuf {
        self.documents.join("identity.toml")
    }

    fn node(&self, identity: &str) -> NodeProcess {
        let program = Path::new(env!("CARGO_BIN_EXE_hazelgrade"));
        let stream = format!("lineage = \"test\"\n[stream.trial]\nspan_ms = 100\n{identity}");
        let config = self.environment.node_config("n1", program, &[], self.control_address, &stream);
        let node = NodeConfig { log: "error".into(), ..config }.start().expect("process starts");
        assert!(node.wait_until_ready(true));
        node
    }

    fn token(&self, caller: &str, lifetime_s: &str) -> String {
        keys(&["token", "--caller", caller, "--for", lifetime_s], &self.identity_document(), &self.private)
    }

    /// Replaces the identity document atomically.
    fn edit_document(&self, edit: impl FnOnce(String) -> String) {
        let next = self.documents.join("next");
        std::fs::write(
            &next,
            edit(std::fs::read_to_string(self.identity_document()).expect("file operation")),
        )
        .expect("file operation");
        std::fs::rename(next, self.identity_document()).expect("file operation");
    }
}

impl Drop for TestSetup {
    fn drop(&mut self) {
        let _ = self.control_service.kill();
        let _ = self.control_service.wait();
    }
}

/// A client connection that sends and receives one JSON message per line.
struct Connection(BufReader<TcpStream>);

impl Connection {
    fn connect(node: &NodeProcess) -> Connection {
        let stream = TcpStream::connect(node.config.listen).expect("connects");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("time-out is set");
        Connection(BufReader::new(stream))
    }

    fn request(&mut self, message: &Value) -> Value {
        self.0.get_mut().write_all(format!("{message}\n").as_bytes()).expect("sends");
        let mut line = String::new();
        self.0.read_line(&mut line).expect("answer before the time-out");
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

/// Asserts that the answer denies the job for good, and returns the reason.
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
    let setup = TestSetup::new();
    let file = setup.identity_document();
    let node = setup.node(&format!("[identity]\ndocument = {file:?}\n"));
    let mut connection = Connection::connect(&node);
    assert_eq!(
        denied(&connection.job(2, "read", Some("c0"), None)),
        "no token or certificate names the caller"
    );
    // A token in `hello` names the caller of all later jobs of the connection.
    let front = setup.token("front", "30");
    assert_eq!(connection.hello(&front)["result"]["caller"], "front");
    assert!(succeeded(&connection.job(3, "read", Some("c0"), None)));
    assert!(succeeded(&connection.job(4, "read", None, None)), "a caller with one tenant need not name it");
    assert_eq!(
        denied(&connection.job(5, "book", Some("c0"), None)),
        "the caller may not ask for this use case"
    );
    assert_eq!(
        denied(&connection.job(6, "read", Some("c1"), None)),
        "the caller may not ask for this customer"
    );
    // A token in a job names the caller of this job only.
    let desk = setup.token("desk", "30");
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
    assert!(setup.environment.executor.runs().len() == 3, "denied jobs never run");

    // The caller `desk` is revoked in the file. After SIGHUP the node denies its jobs on open connections.
    assert!(succeeded(&connection.job(9, "book", Some("c0"), Some(&desk))));
    setup.edit_document(|text| text.replace("[caller.desk]\n", "[caller.desk]\nrevoked = true\n"));
    assert!(node.signal("HUP"));
    let mut call = 10;
    assert!(wait_until(WAIT_TIMEOUT, || {
        call += 1;
        !succeeded(&connection.job(call, "book", Some("c0"), Some(&desk)))
    }));
    assert_eq!(denied(&connection.job(900, "book", Some("c0"), Some(&desk))), "revoked");
    assert!(
        succeeded(&connection.job(901, "read", Some("c0"), None)),
        "jobs of the caller front are still admitted"
    );
    // The node ignores an invalid file and keeps the identity document in effect.
    setup.edit_document(|text| text.replace("audience", "audiences"));
    assert!(node.signal("HUP"));
    assert!(succeeded(&connection.job(902, "read", Some("c0"), None)));
}

/// Guards against cutting off callers, and denying their valid tokens for seconds, because this node received their key
/// late: tokens of an unknown key counted as violations, and as bad tokens of everybody behind the same address.
#[test]
fn callers_whose_key_arrives_late_keep_their_connection_and_are_served_once_it_is_there() {
    let setup = TestSetup::new();
    let known_document = setup.documents.join("known.toml");
    std::fs::copy(setup.identity_document(), &known_document).expect("file operation");
    keys(&["rotate", "--lead", "0", "--overlap", "60"], &setup.identity_document(), &setup.private);
    let token = setup.token("front", "30");
    let node = setup.node(&format!("[identity]\ndocument = {known_document:?}\n"));
    let mut connection = Connection::connect(&node);
    for _ in 0..40 {
        assert_eq!(connection.hello(&token)["error"]["message"], "no key of that id is known");
    }
    std::fs::rename(setup.identity_document(), &known_document).expect("file operation");
    assert!(node.signal("HUP"));
    let mut answers = Vec::new();
    assert!(wait_until(WAIT_TIMEOUT, || {
        answers.push(connection.hello(&token));
        answers.last().is_some_and(|answer| answer["result"]["caller"] == "front")
    }));
    let unknown_key = |answer: &Value| answer["error"]["message"] == "no key of that id is known";
    assert!(answers[..answers.len() - 1].iter().all(unknown_key), "{:?}", answers.last());
    assert!(succeeded(&connection.job(2, "read", None, None)));
}

#[test]
fn a_token_that_expires_on_an_open_connection_lets_its_job_end_and_no_other_begin() {
    let setup = TestSetup::new();
    let file = setup.identity_document();
    setup
        .environment
        .executor
        .set_workload(Workload { job_duration: Duration::from_millis(2500), ..SHORT_JOBS });
    let long_deadlines = document(&[("read", 6000, 8000, 1)], 2, "").expect("valid document");
    std::fs::write(setup.documents.join(control_service::SERVING_DOCUMENT_FILE), long_deadlines.to_toml())
        .expect("file operation");
    let node = setup.node(&format!("[identity]\ndocument = {file:?}\n"));
    let mut connection = Connection::connect(&node);
    let token = setup.token("front", "2");
    assert_eq!(connection.hello(&token)["result"]["caller"], "front");
    let began = Instant::now();
    assert!(
        succeeded(&connection.job(2, "read", None, None)),
        "a job that was admitted before the token expired succeeds"
    );
    assert!(began.elapsed() > Duration::from_millis(2400));
    assert_eq!(denied(&connection.job(3, "read", None, None)), "the token has expired");
}

#[test]
fn key_rotation_each_second_under_load_denies_no_valid_job_and_a_revoked_caller_gets_nothing_after_the_bound()
{
    let setup = TestSetup::new();
    let node = setup.node("[identity]\nstreamed = true\ntrial_ms = 100\n");
    let (front, desk): (Token, Token) = Default::default();
    let sign =
        |token: &Arc<Mutex<String>>, caller: &str| *token.lock().expect("lock") = setup.token(caller, "5");
    sign(&front, "front");
    sign(&desk, "desk");
    let mut connection = Connection::connect(&node);
    let ready = wait_until(WAIT_TIMEOUT, || {
        succeeded(&connection.job(
            unix_ms() % 1_000_000,
            "read",
            Some("c0"),
            Some(&front.lock().expect("lock")),
        ))
    });
    assert!(ready, "the first identity document arrives");
    let load = start_callers_with_token(node.config.listen, 100.0, &["read"], Some(front.clone()));
    let load_of_desk = start_callers_with_token(node.config.listen, 100.0, &["book"], Some(desk.clone()));
    for second in 0..5 {
        // The new key signs after a lead of 0.3 s, by when the node has received it. Older keys sign for 1 s more.
        keys(&["rotate", "--lead", "0.3", "--overlap", "1"], &setup.identity_document(), &setup.private);
        std::thread::sleep(Duration::from_millis(600));
        sign(&front, "front");
        if second < 3 {
            sign(&desk, "desk");
        }
        if second == 3 {
            setup.edit_document(|text| text.replace("[caller.desk]\n", "[caller.desk]\nrevoked = true\n"));
        }
        std::thread::sleep(Duration::from_millis(400));
    }
    let revoked_period = Duration::from_millis(1000);
    let CallersReport { results, unmatched_answers } = load.stop();
    let desk_results = load_of_desk.stop().results;
    let verdict =
        rule_check::check(&results, unmatched_answers, &setup.environment.executor.runs(), DEADLINE, GRACE);
    assert!(verdict.passed() && verdict.count > 300, "{verdict}");
    let denials: Vec<&JobResult> =
        results.iter().filter(|result| result.outcome == JobOutcome::Denied).collect();
    assert!(denials.is_empty(), "a valid job was denied: {denials:?}");
    // The last jobs of the revoked caller `desk` are all denied, and no denied job ran.
    let last = desk_results.iter().map(|result| result.sent).max().expect("at least one result");
    let late: Vec<&JobResult> = desk_results
        .iter()
        .filter(|result| result.sent > last - revoked_period + Duration::from_millis(400))
        .collect();
    assert!(late.len() > 20 && late.iter().all(|result| result.outcome == JobOutcome::Denied), "{late:?}");
    let runs = setup.environment.executor.runs();
    assert!(
        desk_results
            .iter()
            .filter(|result| result.outcome == JobOutcome::Denied)
            .all(|result| !runs.contains_key(&result.id))
    );
    let served = desk_results.iter().filter(|result| result.outcome == JobOutcome::Succeeded).count();
    assert!(served > 100, "{served} jobs succeeded before the revocation");
}

#[test]
fn a_flood_of_bad_tokens_is_denied_while_others_are_served() {
    let setup = TestSetup::new();
    let file = setup.identity_document();
    let node = setup.node(&format!("[identity]\ndocument = {file:?}\n"));
    let token: Token = Arc::new(Mutex::new(setup.token("front", "50")));
    let load = start_callers_with_token(node.config.listen, 100.0, &["read"], Some(token.clone()));
    assert!(wait_until(WAIT_TIMEOUT, || load.count() >= 20));
    let good = token.lock().expect("lock").clone();
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
    let sent: u64 = flood.into_iter().map(|thread| thread.join().expect("thread ends")).sum();
    let CallersReport { results, unmatched_answers } = load.stop();
    let verdict =
        rule_check::check(&results, unmatched_answers, &setup.environment.executor.runs(), DEADLINE, GRACE);
    assert!(sent > 200, "only {sent} bad tokens were sent");
    assert!(
        verdict.passed() && verdict.count_of(JobOutcome::Succeeded) == verdict.count,
        "{sent} bad tokens: {verdict}"
    );
    let slowest = results.iter().map(|result| result.latency).max().expect("at least one result");
    assert!(slowest < Duration::from_millis(1000), "latency {slowest:?} exceeds the latency objective");
}
