//! Files that earlier builds stored: a node and a control service start from them and go on where they were.
//!
//! The recordings were written by the program at commit 7080dd1. The control services of two sites had published version 1
//! of a serving document, an identity document and budgets, and an operator had moved a unit of the budget from b to a. A
//! node `n1` held the first two documents as good; it took version 2 of the serving document on trial, and was killed with
//! it (`node_on_trial.json`) and once more (`node_after_two_deaths.json`). `service_a.json` and `service_b.json` are the
//! folders of the control services after that. Recordings are never written anew: a build that can't read them can't be
//! installed over an earlier one.

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

/// What ought to come has come by then, on a machine that is busy with other tests too.
const SOON: Duration = Duration::from_secs(30);
const LINEAGE: &str = "recorded";

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hazelgrade"))
}

fn world() -> TestEnvironment {
    TestEnvironment::new(Workload { cores: 4, job_duration: Duration::from_millis(4), makes_call: true })
        .expect("ports")
}

/// A node of the recorded name that is started from a recorded store.
fn node(world: &TestEnvironment, recorded: &Value, control: SocketAddr) -> NodeProcess {
    let stream = "lineage = \"recorded\"\n[stream.trial]\nspan_ms = 100\n[identity]\nstreamed = true\n\
                  trial_ms = 100\n[budgets]\nin_hand = \"calls\"\ntrial_ms = 100\n";
    let plan = world.node_config("n1", program(), &[], control, stream);
    restore(&plan.store_file(), recorded, text(recorded, "/about/owner"));
    NodeConfig { log: "error".into(), ..plan }.start().expect("it starts")
}

/// A control service of a site from its recorded folder, at an address of its own; not started yet.
fn service(recorded: &Value, site: &str) -> ControlServiceProcess {
    let any = document(&[READ], 1, "").expect("it is right");
    let service = ControlServiceProcess::prepare(program(), &[], LINEAGE, &any).expect("a folder");
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

/// Both control services, started with the words that join them.
fn services() -> (ControlServiceProcess, ControlServiceProcess) {
    let mut a = service(&recording("service_a.json"), "a");
    let mut b = service(&recording("service_b.json"), "b");
    a.extra_arguments = vec!["--keeper".into(), "a".into(), "--peer".into(), format!("b={}", b.address)];
    b.extra_arguments = vec!["--keeper".into(), "b".into(), "--peer".into(), format!("a={}", a.address)];
    a.restart().expect("it starts");
    b.restart().expect("it starts");
    (a, b)
}

/// A value that a recorded store holds, read as JSON.
fn stored(recorded: &Value, name: &str) -> Value {
    let value = recorded["kept"][name].as_str().expect("a value");
    serde_json::from_str(value).expect("JSON")
}

fn version(value: &Value) -> Version {
    let digest = value["digest"].as_str().expect("a digest").parse().expect("a digest");
    Version { number: value["number"].as_u64().expect("a number"), digest }
}

/// A token of the caller that the recorded identities name, signed with their key.
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

/// What a node answers to one job.
fn answer(node: &NodeProcess, job_class: &str, token: Option<&str>) -> Value {
    let stream = TcpStream::connect(node.config.listen).expect("it listens");
    stream.set_read_timeout(Some(SOON)).expect("a time-out");
    let job = json!({"jsonrpc": "2.0", "id": 1, "method": job_class, "params": {
        "req": format!("r{:012x}", unix_ms()), "ts": unix_ms(), "via": 1, "owner": "c0",
        "need": 12.5, "level": 0.5, "body": "aGVsbG8=", "token": token}});
    (&stream).write_all(format!("{job}\n").as_bytes()).expect("it takes bytes");
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).expect("a line in time");
    serde_json::from_str(&line).expect("JSON")
}

/// Waits until the one node stands so with the version of this number.
fn stands(service: &ControlServiceProcess, standing: &str, number: u64) -> bool {
    wait_until(SOON, || {
        let node = service.status()["nodes"][0].clone();
        let of = node["of"].as_str().unwrap_or_default().to_owned();
        node["standing"] == standing && of.starts_with(&format!("{number} "))
    })
}

fn calls(service: &ControlServiceProcess) -> Value {
    service.budget_status()["budgets"]["calls"].clone()
}

#[test]
fn a_node_serves_by_its_recorded_versions_before_it_hears_of_any_other() {
    let (world, control, recorded) =
        (world(), FakeControlService::start().expect("a port"), recording("node_on_trial.json"));
    let serving = stored(&recorded, "configuration");
    assert_eq!(
        (&serving["good"]["version"]["number"], &serving["trial"]["version"]["number"]),
        (&json!(1), &json!(2))
    );
    let node = node(&world, &recorded, control.address);
    assert!(node.wait_until_ready(true), "it is ready by what it stored");
    // On a connection for each kind it tells what it has.
    let mut told = BTreeMap::new();
    while told.len() < 3 {
        let SubscriberMessage::Subscribe { node, kind, lineage, in_effect, on_trial, latest_known, .. } =
            control.accept_subscriber().expect("a subscriber in time").subscribed
        else {
            panic!("it said something else first")
        };
        assert_eq!((node.as_str(), lineage.as_deref(), on_trial), ("n1", Some(LINEAGE), false));
        told.insert(kind, (in_effect, latest_known));
    }
    for (kind, name) in [(Kind::Serving, "configuration"), (Kind::Identity, "configuration.identity")] {
        let stored = stored(&recorded, name);
        let (good, known) = (version(&stored["good"]["version"]), version(&stored["known"]));
        assert_eq!(told[&kind], (Some(good), Some(known)), "{name}");
    }
    // The node that was recorded had taken no version of the budgets.
    assert!(recorded["kept"]["configuration.budgets"].is_null(), "{recorded}");
    assert_eq!(told[&Kind::Budgets], (None, None));
    // By the recorded document, callers, rights and key.
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
fn a_version_with_which_a_node_died_twice_stays_suspect() {
    let (world, control, recorded) =
        (world(), FakeControlService::start().expect("a port"), recording("node_after_two_deaths.json"));
    let stored = stored(&recorded, "configuration");
    let text = text(&recording("service_a.json"), "/files/serving.toml").to_owned();
    let second = Document::read(&text, "serving.toml").expect("it is right");
    assert_eq!(stored["deaths"], json!([[second.digest().to_string(), 2]]));
    let node = node(&world, &recorded, control.address);
    assert!(node.wait_until_ready(true));
    let mut serving = loop {
        let subscriber = control.accept_subscriber().expect("a subscriber in time");
        if matches!(subscriber.subscribed, SubscriberMessage::Subscribe { kind: Kind::Serving, .. }) {
            break subscriber;
        }
    };
    let offered = Version { number: 2, digest: second.digest() };
    serving.offer_in_lineage(LINEAGE, offered, Content::Full(second.to_toml()));
    let said = serving.receive();
    assert!(
        matches!(&said, Some(SubscriberMessage::Rejected { version, rejection: Rejection::CrashedOnTrial, .. }) if *version == offered),
        "{said:?}"
    );
}

#[test]
fn control_services_go_on_with_their_recorded_numbers_and_a_node_with_its_recorded_version() {
    let (world, (a, _b)) = (world(), services());
    let counter: Value =
        serde_json::from_str(text(&recording("service_a.json"), "/files/.published.json")).expect("JSON");
    assert_eq!((&counter["lineage"], &counter["last"]["number"]), (&json!(LINEAGE), &json!(2)));
    let node = node(&world, &recording("node_on_trial.json"), a.address);
    // Died with it on trial once, it tries it again.
    assert!(stands(&a, "good", 2), "{}", a.status());
    let status = a.status();
    assert_eq!(status["lineage"], LINEAGE);
    assert!(status["version"].as_str().is_some_and(|version| version.starts_with("2 ")), "{status}");
    assert!(node.wait_until_ready(true));
    let next = document(&[READ, BOOK], 2, "[promises]\nanswer_slack_ms = 62\n").expect("it is right");
    a.publish(&next.to_toml()).expect("a file");
    assert!(stands(&a, "good", 3), "{}", a.status());
}

#[test]
fn lessors_count_on_from_their_recorded_generations_and_honour_recorded_grants_and_moves() {
    let (world, (a, b)) = (world(), services());
    let (recorded_a, recorded_b) = (recording("service_a.json"), recording("service_b.json"));
    for (service, recorded) in [(&a, &recorded_a), (&b, &recorded_b)] {
        let book = stored(&recorded["store"], "budget.book");
        assert!(wait_until(SOON, || service.budget_status()["generation"].is_u64()), "it can be asked");
        let generation = book["generation"].as_u64().expect("a generation");
        assert_eq!(service.budget_status()["generation"], json!(generation + 1), "one more start is counted");
    }
    // Of what was moved between the sites by an operator's word nothing is lost, and no word is carried out twice.
    let owned = |recorded: &Value| stored(&recorded["store"], "budget.ledger");
    assert!(owned(&recorded_b)["words"].to_string().contains("m1"), "{recorded_b}");
    let both = || calls(&a)["owned"].as_u64().unwrap_or(0) + calls(&b)["owned"].as_u64().unwrap_or(0);
    assert!(wait_until(SOON, || both() == 12), "{} {}", a.budget_status(), b.budget_status());
    let again = OperatorCommand::Move { id: "m1".into(), to: "a".into(), budget: "calls".into(), units: 1 };
    let said = b.send_budget_command(again);
    assert!(said.as_ref().is_ok_and(|said| said.to_string().contains("m1 was done before")), "{said:?}");
    // What a holder of before the start may still use is over before anything new is granted, and then all of it is.
    let node = node(&world, &recording("node_on_trial.json"), a.address);
    assert!(node.wait_until_ready(true));
    let load =
        start_callers_with_token(node.config.listen, 60.0, &["read"], Some(Arc::new(Mutex::new(token()))));
    let granted = || calls(&a)["granted"].as_u64().unwrap_or(0);
    assert!(wait_until(SOON, || granted() >= 5), "{}", a.budget_status());
    assert!(both() <= 12, "{} {}", a.budget_status(), b.budget_status());
    load.stop();
}
