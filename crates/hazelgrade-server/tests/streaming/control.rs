//! The real control service with nodes: publication from a folder of documents, restarts, and two services that
//! disagree.

use super::*;
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::documents::{BOOK, READ};
use hazelgrade_fakes::wait_until;
use hazelgrade_stream::control_service;
use std::path::Path;
use std::process::Command;

fn service(document: &Document) -> ControlServiceProcess {
    ControlServiceProcess::start(Path::new(env!("CARGO_BIN_EXE_hazelgrade")), &[], "test", document)
        .expect("the control service starts")
}

fn publish(service: &ControlServiceProcess, document: &Document) {
    service.publish(&document.to_toml()).expect("the document file is written");
}

/// Waits until the only node has this standing with the version of this number.
fn wait_for_standing(service: &ControlServiceProcess, standing: &str, number: u64) -> bool {
    wait_until(Duration::from_secs(10), || {
        let node = service.status()["nodes"][0].clone();
        let version = node["of"].as_str().unwrap_or_default().to_owned();
        node["standing"] == standing && version.starts_with(&format!("{number} "))
    })
}

#[test]
fn valid_documents_in_the_folder_are_published_and_invalid_ones_are_only_reported() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let service = service(&doc(&[READ], ""));
    let mut config = environment.node_config(SHORT_TRIAL);
    config.control = vec![service.address];
    let node = config.start().expect("the node starts");
    assert!(wait_for_standing(&service, "good", 1), "{}", service.status());
    assert!(node.wait_until_ready(true));
    publish(&service, &doc(&[READ, BOOK], ""));
    assert!(wait_for_standing(&service, "good", 2), "{}", service.status());
    std::fs::write(
        service.documents.path().join(control_service::SERVING_DOCUMENT_FILE),
        "[use_case.read]\ngoal_ms = \"x\"\n",
    )
    .expect("the document file is written");
    assert!(wait_until(Duration::from_secs(5), || {
        service.status()["folder"]
            .as_str()
            .is_some_and(|error| error.contains(":2:1: field use_case.read.goal_ms"))
    }));
    let status = service.status();
    assert!(status["version"].as_str().is_some_and(|version| version.starts_with("2 ")), "{status}");
    let shown = Command::new(env!("CARGO_BIN_EXE_hazelgrade"))
        .args(["status", "--control", &service.address.to_string()])
        .output()
        .expect("the command starts");
    let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(shown.contains("n1") && shown.contains("good") && shown.contains("not published"), "{shown}");
}

#[test]
fn a_control_service_that_restarts_or_loses_its_counter_continues_from_the_version_of_its_nodes() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let mut service = service(&doc(&[READ], ""));
    let mut config = environment.node_config(SHORT_TRIAL);
    config.control = vec![service.address];
    let _node = config.start().expect("the node starts");
    assert!(wait_for_standing(&service, "good", 1), "{}", service.status());
    for number in 2..=3 {
        publish(&service, &doc(&[READ], &format!("[promises]\nanswer_slack_ms = {number}\n")));
        assert!(wait_for_standing(&service, "good", number), "{}", service.status());
    }
    service.restart().expect("the control service restarts");
    assert!(
        wait_for_standing(&service, "good", 3),
        "expected the same version after the restart: {}",
        service.status()
    );
    service.kill();
    std::fs::remove_file(service.documents.path().join(control_service::SERVING_COUNTER_FILE))
        .expect("the counter file is removed");
    publish(&service, &doc(&[READ, BOOK], ""));
    service.restart().expect("the control service restarts");
    assert!(
        wait_for_standing(&service, "good", 4),
        "expected a number above those that the node knows: {}",
        service.status()
    );
}

#[test]
fn with_two_control_services_that_disagree_a_node_keeps_the_version_it_accepted_last() {
    let environment = TestEnvironment::new(FAST_WORKLOAD);
    let (mut one, other) = (service(&doc(&[READ], "")), service(&doc(&[BOOK], "")));
    // The other service has published already: its own node n2 has accepted version 1.
    let other_environment = TestEnvironment::new(FAST_WORKLOAD);
    let mut config = other_environment.node_config(SHORT_TRIAL);
    (config.control, config.name) = (vec![other.address], "n2".into());
    let _n2 = config.start().expect("the node starts");
    assert!(wait_for_standing(&other, "good", 1), "{}", other.status());
    let mut config = environment.node_config(SHORT_TRIAL);
    config.control = vec![one.address, other.address];
    let node = config.start().expect("the node starts");
    assert!(wait_for_standing(&one, "good", 1), "{}", one.status());
    one.kill();
    let rejected = wait_until(Duration::from_secs(10), || {
        let nodes = other.status()["nodes"].clone();
        let n1 = nodes.as_array().and_then(|nodes| nodes.iter().find(|node| node["name"] == "n1")).cloned();
        n1.is_some_and(|n1| {
            n1["standing"] == "turned down" && n1["why"].as_str().unwrap_or("").contains("knows this number")
        })
    });
    assert!(rejected, "{}", other.status());
    let callers = environment.callers(&node, 100.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 10));
    let served = |result: &hazelgrade_fakes::callers::JobResult| {
        result.outcome == hazelgrade_fakes::callers::JobOutcome::Succeeded
    };
    assert!(callers.stop().results.iter().all(served), "the node still serves by the version that it had");
}

/// Guards against a document that is never published because it replaces one of the same length within a tick of the
/// file system's modification time, so that length and time are the same as before.
#[test]
fn a_document_that_is_replaced_at_once_is_published() {
    let version = |goal: u32| doc(&[("read", goal, 3000, 1)], "");
    let service = service(&version(999));
    let published = |document: &Document| {
        let digest = document.digest().short();
        wait_until(Duration::from_secs(2), || {
            service.status()["version"].as_str().is_some_and(|version| version.contains(&digest))
        })
    };
    assert!(published(&version(999)));
    let path = service.documents.path().join(control_service::SERVING_DOCUMENT_FILE);
    for count in 0..60 {
        // The file is overwritten in place, as some editors do, with content of the same length.
        std::fs::write(&path, version(200 + 2 * count).to_toml()).expect("the document file is written");
        std::thread::sleep(Duration::from_micros(300 * u64::from(count % 12)));
        let last = version(201 + 2 * count);
        std::fs::write(&path, last.to_toml()).expect("the document file is written");
        assert!(published(&last), "{count}: {}", service.status());
    }
}
