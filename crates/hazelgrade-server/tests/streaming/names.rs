//! What becomes of a job that has run when a later version changes the names or the kind by which the job is known.

use super::*;
use hazelgrade_fakes::documents;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::{SystemTime, UNIX_EPOCH};

/// The result that the fake executor makes for every run.
const RESULT: &str = "cmVzdWx0";

/// A class of keyed jobs, whose retries may come within a minute.
const KEYED: &str = "goal_ms = 1000\ncut_off_ms = 3000\nrepeats = \"numbered\"\nwindow_ms = 60000\n";
/// The same class, whose jobs must not be sent again.
const AT_MOST_ONCE: &str = "goal_ms = 1000\ncut_off_ms = 3000\nrepeats = \"at-most-once\"\n";
/// The same class, whose jobs may run again at any time.
const IDEMPOTENT: &str = "goal_ms = 1000\ncut_off_ms = 3000\nrepeats = \"reissuable\"\n";
/// How long a test waits for the start of a run.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// JSON-RPC error code of an answer that says that the job never ran.
const REJECTED: i64 = -32066;

/// Returns a document with these tenants and without the class "order".
fn without_order(tenants: &[&str]) -> Document {
    let rest: String = tenants.iter().map(|name| format!("[customer.{name}]\nquota_per_s = 100\n")).collect();
    documents::document(&[documents::READ], 0, &rest).expect("the document is valid")
}

/// Returns a document with these tenants and this class "order".
fn document_with(order: &str, tenants: &[&str]) -> Document {
    let text = format!("{}[use_case.order]\n{order}", without_order(tenants).to_toml());
    Document::read(&text, "a document with the class").expect("the document is valid")
}

/// A caller that sends one job at a time.
struct Caller {
    connection: BufReader<TcpStream>,
    last_call: u64,
}

impl Caller {
    fn connect(node: &NodeProcess) -> Caller {
        let connection = TcpStream::connect(node.config.listen).expect("the node accepts a connection");
        connection.set_read_timeout(Some(Duration::from_secs(5))).expect("set the read timeout");
        Caller { connection: BufReader::new(connection), last_call: 0 }
    }

    /// Sends a job of the class "order" under the key "k1", and returns its answer.
    fn order(&mut self, id: &str, tenant: &str) -> Value {
        self.send_order(id, tenant, "k1");
        self.answer()
    }

    fn send_order(&mut self, id: &str, tenant: &str, key: &str) {
        self.last_call += 1;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("the time is after 1970");
        let request = json!({"jsonrpc": "2.0", "id": self.last_call, "method": "order", "params": {
            "req": id, "ts": unix.as_millis() as u64, "via": 1, "owner": tenant, "opkey": key, "resent": 1,
            "need": 12.5, "level": 0.5, "body": "aGVsbG8="}});
        self.connection.get_mut().write_all(format!("{request}\n").as_bytes()).expect("the request is sent");
    }

    fn answer(&mut self) -> Value {
        let mut line = String::new();
        self.connection.read_line(&mut line).expect("the job is answered in time");
        serde_json::from_str(&line).expect("the answer is JSON")
    }
}

/// Guards against a second run of a keyed job within its window, because a later version knows it under another slot or
/// as another kind of job.
#[test]
fn a_keyed_job_that_has_run_is_answered_with_its_result_after_each_change_of_names_and_kind() {
    let with = |tenants: &[&str]| document_with(KEYED, tenants);
    let changes: [(&str, &str, Vec<Document>); 11] = [
        ("tenants go", "north", vec![with(&["east", "north"]), with(&[])]),
        ("tenants come", "north", vec![with(&[]), with(&["east", "north"])]),
        (
            "tenants go and return",
            "north",
            vec![with(&["east", "north"]), with(&[]), with(&["east", "north"])],
        ),
        (
            "the tenant goes and returns",
            "north",
            vec![with(&["east", "north"]), with(&["east"]), with(&["east", "north"])],
        ),
        ("another tenant comes first", "north", vec![with(&["north"]), with(&["a", "north"])]),
        (
            "the class gets at-most-once jobs",
            "north",
            vec![with(&["north"]), document_with(AT_MOST_ONCE, &["north"])],
        ),
        (
            "the class goes and returns",
            "north",
            vec![with(&["north"]), without_order(&["north"]), with(&["north"])],
        ),
        ("the class goes", "north", vec![with(&["north"]), without_order(&["north"])]),
        ("the tenant goes", "north", vec![with(&["east", "north"]), with(&["east"])]),
        ("the class and the tenant go", "north", vec![with(&["east", "north"]), without_order(&["east"])]),
        (
            "the class gets idempotent jobs",
            "north",
            vec![with(&["north"]), document_with(IDEMPOTENT, &["north"])],
        ),
    ];
    for (change, tenant, versions) in changes {
        let environment = TestEnvironment::new(FAST_WORKLOAD);
        let node = environment.node(SHORT_TRIAL);
        let (mut subscriber, _) = environment.subscriber();
        let mut caller = Caller::connect(&node);
        let mut tries = 0;
        for (number, version) in (1..).zip(&versions) {
            complete_trial(&mut subscriber, number, version);
            let is_between = number > 1 && (number as usize) < versions.len();
            if !is_between {
                tries += 1;
                let answer = caller.order(&format!("try{tries}"), tenant);
                assert_eq!(answer["result"]["body"], RESULT, "{change}: try {tries}: {answer}");
            }
        }
        let runs: Vec<String> = environment.executor.runs().into_keys().collect();
        assert_eq!(runs, ["try1"], "{change}");
    }
}

/// Guards against telling the caller of a keyed job that the job never ran, while its first try runs, because a later
/// version lacks its names or has it as an idempotent job.
#[test]
fn a_retry_of_a_running_keyed_job_gets_its_result_after_each_change_of_names_and_kind() {
    let slow = Workload { job_duration: Duration::from_millis(700), ..FAST_WORKLOAD };
    let changes = [
        ("the class goes", without_order(&["east", "north"])),
        ("the tenant goes", document_with(KEYED, &["east"])),
        ("both go", without_order(&["east"])),
        ("the class gets idempotent jobs", document_with(IDEMPOTENT, &["east", "north"])),
        ("the class gets at-most-once jobs", document_with(AT_MOST_ONCE, &["east", "north"])),
    ];
    for (change, version) in changes {
        let environment = TestEnvironment::new(slow);
        let node = environment.node(SHORT_TRIAL);
        let (mut subscriber, _) = environment.subscriber();
        complete_trial(&mut subscriber, 1, &document_with(KEYED, &["east", "north"]));
        let mut caller = Caller::connect(&node);
        let mut others = Caller::connect(&node);
        caller.send_order("try1", "north", "k1");
        assert!(wait_until(START_TIMEOUT, || environment.executor.runs().contains_key("try1")), "{change}");
        complete_trial(&mut subscriber, 2, &version);
        let answer = others.order("try2", "north");
        assert_eq!(answer["result"]["body"], RESULT, "{change}: {answer}");
        assert_eq!(caller.answer()["result"]["body"], RESULT, "{change}");
        assert!(!environment.executor.runs().contains_key("try2"), "{change}");
    }
}

/// Guards against running a job that no version in effect serves, because a retry of another job would be answered.
#[test]
fn a_job_that_never_ran_is_rejected_while_no_version_serves_its_class() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let node = environment.node(SHORT_TRIAL);
    let (mut subscriber, _) = environment.subscriber();
    let mut caller = Caller::connect(&node);
    complete_trial(&mut subscriber, 1, &document_with(KEYED, &["north"]));
    assert_eq!(caller.order("try1", "north")["result"]["body"], RESULT);
    complete_trial(&mut subscriber, 2, &without_order(&["north"]));
    caller.send_order("other", "north", "k2");
    assert_eq!(caller.answer()["error"]["code"], REJECTED);
    caller.send_order("foreign", "east", "k1");
    assert_eq!(caller.answer()["error"]["code"], REJECTED);
    assert_eq!(caller.order("try2", "north")["result"]["body"], RESULT);
    let runs: Vec<String> = environment.executor.runs().into_keys().collect();
    assert_eq!(runs, ["try1"]);
}

/// Guards against taking jobs of two tenants, or of two classes, for one because no tenant is configured.
#[test]
fn the_same_key_of_another_tenant_is_another_job_also_where_no_tenant_is_configured() {
    for tenants in [&["east", "north"][..], &[]] {
        let environment = TestEnvironment::new(FAST_WORKLOAD);
        let node = environment.node(SHORT_TRIAL);
        let (mut subscriber, _) = environment.subscriber();
        let mut caller = Caller::connect(&node);
        complete_trial(&mut subscriber, 1, &document_with(KEYED, tenants));
        for (id, tenant) in [("try1", "north"), ("try2", "east"), ("try3", "north"), ("try4", "east")] {
            assert_eq!(caller.order(id, tenant)["result"]["body"], RESULT);
        }
        let runs: Vec<String> = environment.executor.runs().into_keys().collect();
        assert_eq!(runs, ["try1", "try2"], "{tenants:?}");
    }
}
