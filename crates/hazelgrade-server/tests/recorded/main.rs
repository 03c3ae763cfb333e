//! Files that earlier builds stored. A node and a control service must start from these files and continue from the
//! recorded state.
//!
//! The recordings were written by the program at commit 7080dd1. The control services of two sites had published
//! version 1 of a serving document, an identity document and a budget document, and an operator had moved a unit of the
//! budget from site b to site a. Node `n1` had the serving and identity documents in effect as good versions. It took
//! version 2 of the serving document on trial, was killed during the trial (`node_on_trial.json`), and was killed
//! during a second trial of that version (`node_after_two_deaths.json`). `service_a.json` and `service_b.json` are the
//! folders of the control services after that. Recordings are never written anew: a build that can't read them can't be
//! installed over an earlier build.

#![allow(clippy::expect_used, clippy::panic)]

mod recordings;

use hazelgrade_budget::protocol::OperatorCommand;
use hazelgrade_config::{Document, Kind, Version};
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::control_service::FakeControlService;
use hazelgrade_fakes::documents::{BOOK, READ, document};
use hazelgrade_fakes::executor::Workload;
use hazelgrade_fakes::node_process::{NodeConfig, NodeProcess};
use hazelgrade_fakes::test_environment::{TestEnvironment, start_callers_with_token};
use hazelgrade_fakes::{unix_ms, wait_until};
use hazelgrade_identity::signer::Signer;
use hazelgrade_identity::token::Claims;
use hazelgrade_stream::protocol::{Content, Rejection, SubscriberMessage};
use recordings::{recording, restore, text};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use zeroize::Zeroizing;

/// The limit on every wait for an expected event, long enough for a machine that runs other tests at the same time.
const TIMEOUT: Duration = Duration::from_secs(30);
const LINEAGE: &str = "recorded";

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hazelgrade"))
}

fn environment() -> TestEnvironment {
    TestEnvironment::new(Workload { cores: 4, job_duration: Duration::from_millis(4), makes_call: true })
        .expect("ports")
}

/// Starts a node with the recorded name from a recorded store.
fn node(environment: &TestEnvironment, recorded: &Value, control: SocketAddr) -> NodeProcess {
    let stream = "lineage = \"recorded\"\n[stream.trial]\nspan_ms = 100\n[identity]\nstreamed = true\n\
                  trial_ms = 100\n[budgets]\nin_hand = \"calls\"\ntrial_ms = 100\n";
    let config = environment.node_config("n1", program(), &[], control, stream);
    restore(&config.store_file(), recorded, text(recorded, "/about/owner"));
    NodeConfig { log: "error".into(), ..config }.start().expect("it starts")
}

/// Prepares the control service of a site from its recorded folder, at a new address, without starting it.
fn service(recorded: &Value, site: &str) -> ControlServiceProcess {
    let placeholder_document = document(&[READ], 1, "").expect("it is right");
    let service =
        ControlServiceProcess::prepare(program(), &[], LINEAGE, &placeholder_document).expect("a folder");
    for (name, content) in recorded["files"].as_object().expect("files") {
        let content = content.as_str().expect("a text");
        std::fs::write(service.documents.path().join(name), content).expect("a file");
    }
    let (owner, address) = (text(recorded, "/store/about/owner"), text(recorded, "/address"));
    assert_eq!(owner, format!("the keeper of {site} at {address}"));
    restore(
        &service.lessor_store(),
        &recorded["store"],
        &owner.replace(address, &service.address.to_string()),
    );
    service
}

/// Starts both control services with the arguments that make them peers.
fn services() -> (ControlServiceProcess, ControlServiceProcess) {
    let mut a = service(&recording("service_a.json"), "a");
    let mut b = service(&recording("service_b.json"), "b");
    a.extra_arguments = vec!["--keeper".into(), "a".into(), "--peer".into(), format!("b={}", b.address)];
    b.extra_arguments = vec!["--keeper".into(), "b".into(), "--peer".into(), format!("a={}", a.address)];
    a.restart().expect("it starts");
    b.restart().expect("it starts");
    (a, b)
}

/// Returns a value of a recorded store, decoded as JSON.
fn stored(recorded: &Value, name: &str) -> Value {
    let value = recorded["kept"][name].as_str().expect("a value");
    serde_json::from_str(value).expect("JSON")
}

fn version(value: &Value) -> Version {
    let digest = value["digest"].as_str().expect("a digest").parse().expect("a digest");
    Version { number: value["number"].as_u64().expect("a number"), digest }
}

/// Returns a token of the caller in the recorded identity document, signed with the recorded key.
fn token() -> String {
    use base64::Engine;
    let pkcs8 = base64::engine::general_purpose::STANDARD
        .decode(text(&recording("keys.json"), "/k1"))
        .expect("a private key");
    let signer = Signer::from_pkcs8(Zeroizing::new(pkcs8)).expect("a private key");
    let now = (unix_ms() / 1000) as f64;
    let (sub, aud) = ("front".into(), "agenda".into());
    let claims = Claims { sub, aud, iat: now, exp: now + 600.0, nbf: None, jti: Some("t2".into()) };
    signer.sign("k1", &claims).expect("it signs")
}

/// Sends one job to a node and returns the answer.
fn answer(node: &NodeProcess, job_class: &str, token: Option<&str>) -> Value {
    let stream = TcpStream::connect(node.config.listen).expect("it listens");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    let job = json!({"jsonrpc": "2.0", "id": 1, "method": job_class, "params": {
        "req": format!("r{:012x}", unix_ms()), "ts": unix_ms(), "via": 1, "owner": "c0",
        "need": 12.5, "level": 0.5, "body": "aGVsbG8=", "token": token}});
    (&stream).write_all(format!("{job}\n").as_bytes()).expect("it takes bytes");
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).expect("a line in time");
    serde_json::from_str(&line).expect("JSON")
}

/// Waits until the only node has this standing with the version of this number.
fn wait_for_standing(service: &ControlServiceProcess, standing: &str, number: u64) -> bool {
    wait_until(TIMEOUT, || {
        let node = service.status()["nodes"][0].clone();
        let of = node["of"].as_str().unwrap_or_default().to_owned();
        node["standing"] == standing && of.starts_with(&format!("{number} "))
    })
}

fn calls_budget(service: &ControlServiceProcess) -> Value {
    service.budget_status()["budgets"]["calls"].clone()
}

#[test]
fn a_node_serves_with_its_recorded_versions_before_it_receives_an_offer() {
    let (environment, control, recorded) =
        (environment(), FakeControlService::start().expect("a port"), recording("node_on_trial.json"));
    let serving = stored(&recorded, "configuration");
    assert_eq!(
        (&serving["good"]["version"]["number"], &serving["trial"]["version"]["number"]),
        (&json!(1), &json!(2))
    );
    let node = node(&environment, &recorded, control.address);
    assert!(node.wait_until_ready(true), "it is ready by what it stored");
    // The node subscribes on one connection for each kind of document, and reports the version that it has in effect.
    let mut subscriptions = BTreeMap::new();
    while subscriptions.len() < 3 {
        let SubscriberMessage::Subscribe { node, kind, lineage, in_effect, on_trial, latest_known, .. } =
            control.accept_subscriber().expect("a subscriber in time").subscribed
        else {
            panic!("it said something else first")
        };
        assert_eq!((node.as_str(), lineage.as_deref(), on_trial), ("n1", Some(LINEAGE), false));
        subscriptions.insert(kind, (in_effect, latest_known));
    }
    for (kind, name) in [(Kind::Serving, "configuration"), (Kind::Identity, "configuration.identity")] {
        let stored = stored(&recorded, name);
        let (good, known) = (version(&stored["good"]["version"]), version(&stored["known"]));
        assert_eq!(subscriptions[&kind], (Some(good), Some(known)), "{name}");
    }
    // The recorded node had accepted no version of the budget document.
    assert!(recorded["kept"]["configuration.budgets"].is_null(), "{recorded}");
    assert_eq!(subscriptions[&Kind::Budgets], (None, None));
    // The node applies the recorded job classes, callers, rights and signing key.
    let denied = answer(&node, "read", None);
    assert_eq!(denied["error"]["message"], "no token or certificate names the caller", "{denied}");
    let denied = answer(&node, "book", Some(&token()));
    assert_eq!(denied["error"]["message"], "the caller may not ask for this use case", "{denied}");
    let unknown = answer(&node, "hold", Some(&token()));
    assert!(
        unknown["error"]["message"].as_str().is_some_and(|why| why.contains("field method")),
        "{unknown}"
    );
    let rejected = answer(&node, "read", Some(&token()));
    assert!(rejected["error"]["data"]["denied"].is_null(), "{rejected}");
}

#[test]
fn a_version_on_trial_in_two_crashes_of_a_node_stays_rejected() {
    let (environment, control, recorded) = (
        environment(),
        FakeControlService::start().expect("a port"),
        recording("node_after_two_deaths.json"),
    );
    let stored = stored(&recorded, "configuration");
    let text = text(&recording("service_a.json"), "/files/serving.toml").to_owned();
    let second = Document::read(&text, "serving.toml").expect("it is right");
    assert_eq!(stored["deaths"], json!([[second.digest().to_string(), 2]]));
    let node = node(&environment, &recorded, control.address);
    assert!(node.wait_until_ready(true));
    let mut serving = loop {
        let subscriber = control.accept_subscriber().expect("a subscriber in time");
        if matches!(subscriber.subscribed, SubscriberMessage::Subscribe { kind: Kind::Serving, .. }) {
            break subscriber;
        }
    };
    let offered = Version { number: 2, digest: second.digest() };
    serving.offer_in_lineage(LINEAGE, offered, Content::Full(second.to_toml()));
    let reply = serving.receive();
    assert!(
        matches!(&reply, Some(SubscriberMessage::Rejected { version, rejection: Rejection::CrashedOnTrial, .. }) if *version == offered),
        "{reply:?}"
    );
}

#[test]
fn control_services_continue_their_recorded_numbers_and_a_node_its_recorded_version() {
    let (environment, (a, _b)) = (environment(), services());
    let counter: Value =
        serde_json::from_str(text(&recording("service_a.json"), "/files/.published.json")).expect("JSON");
    assert_eq!((&counter["lineage"], &counter["last"]["number"]), (&json!(LINEAGE), &json!(2)));
    let node = node(&environment, &recording("node_on_trial.json"), a.address);
    // The node was killed only once with version 2 on trial, so it accepts that version for another trial.
    assert!(wait_for_standing(&a, "good", 2), "{}", a.status());
    let status = a.status();
    assert_eq!(status["lineage"], LINEAGE);
    assert!(status["version"].as_str().is_some_and(|version| version.starts_with("2 ")), "{status}");
    assert!(node.wait_until_ready(true));
    let next = document(&[READ, BOOK], 2, "[promises]\nanswer_slack_ms = 62\n").expect("it is right");
    a.publish(&next.to_toml()).expect("a file");
    assert!(wait_for_standing(&a, "good", 3), "{}", a.status());
}

#[test]
fn lessors_continue_their_recorded_generations_and_honour_recorded_grants_and_transfers() {
    let (environment, (a, b)) = (environment(), services());
    let (recorded_a, recorded_b) = (recording("service_a.json"), recording("service_b.json"));
    for (service, recorded) in [(&a, &recorded_a), (&b, &recorded_b)] {
        let book = stored(&recorded["store"], "budget.book");
        assert!(wait_until(TIMEOUT, || service.budget_status()["generation"].is_u64()), "it can be asked");
        let generation = book["generation"].as_u64().expect("a generation");
        assert_eq!(service.budget_status()["generation"], json!(generation + 1), "one more start is counted");
    }
    // No unit of the operator's transfer between the sites is lost, and a repeated transfer command has no effect.
    let stored_ledger = |recorded: &Value| stored(&recorded["store"], "budget.ledger");
    assert!(stored_ledger(&recorded_b)["words"].to_string().contains("m1"), "{recorded_b}");
    let total_owned =
        || calls_budget(&a)["owned"].as_u64().unwrap_or(0) + calls_budget(&b)["owned"].as_u64().unwrap_or(0);
    assert!(wait_until(TIMEOUT, || total_owned() == 12), "{} {}", a.budget_status(), b.budget_status());
    let repeated_transfer =
        OperatorCommand::Move { id: "m1".into(), to: "a".into(), budget: "calls".into(), units: 1 };
    let reply = b.send_budget_command(repeated_transfer);
    assert!(reply.as_ref().is_ok_and(|reply| reply.to_string().contains("m1 was done before")), "{reply:?}");
    // Leases granted before the start must expire before new ones are granted. After that, all units can be granted.
    let node = node(&environment, &recording("node_on_trial.json"), a.address);
    assert!(node.wait_until_ready(true));
    let load =
        start_callers_with_token(node.config.listen, 60.0, &["read"], Some(Arc::new(Mutex::new(token()))));
    let granted = || calls_budget(&a)["granted"].as_u64().unwrap_or(0);
    assert!(wait_until(TIMEOUT, || granted() >= 5), "{}", a.budget_status());
    assert!(total_owned() <= 12, "{} {}", a.budget_status(), b.budget_status());
    load.stop();
}
