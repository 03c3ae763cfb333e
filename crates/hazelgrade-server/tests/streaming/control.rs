//! The real control service, with nodes: published by a file in a folder, restarted, and one too many.

use super::*;
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::documents::{BOOK, READ};
use hazelgrade_fakes::wait_until;
use hazelgrade_stream::control_service;
use std::path::Path;
use std::process::Command;

fn service(document: &Document) -> ControlServiceProcess {
    ControlServiceProcess::start(Path::new(env!("CARGO_BIN_EXE_hazelgrade")), &[], "test", document)
        .expect("it starts")
}

fn publish(service: &ControlServiceProcess, document: &Document) {
    service.publish(&document.to_toml()).expect("a file");
}

/// Waits until the one node stands so with a version of this number.
fn node_stands(service: &ControlServiceProcess, standing: &str, number: u64) -> bool {
    wait_until(Duration::from_secs(10), || {
        let node = service.status()["nodes"][0].clone();
        let of = node["of"].as_str().unwrap_or_default().to_owned();
        node["standing"] == standing && of.starts_with(&format!("{number} "))
    })
}

#[test]
fn what_is_in_the_folder_is_published_and_what_is_wrong_there_is_told_and_not_published() {
    let world = TestEnvironment::new(QUICK);
    let service = service(&doc(&[READ], ""));
    let mut plan = world.plan(SHORT_TRIAL);
    plan.control = vec![service.address];
    let node = plan.start().expect("it starts");
    assert!(node_stands(&service, "good", 1), "{}", service.status());
    assert!(node.wait_until_ready(true));
    publish(&service, &doc(&[READ, BOOK], ""));
    assert!(node_stands(&service, "good", 2), "{}", service.status());
    std::fs::write(
        service.documents.path().join(control_service::SERVING_DOCUMENT_FILE),
        "[use_case.read]\ngoal_ms = \"x\"\n",
    )
    .expect("a file");
    assert!(wait_until(Duration::from_secs(5), || {
        service.status()["folder"]
            .as_str()
            .is_some_and(|fault| fault.contains(":2:1: field use_case.read.goal_ms"))
    }));
    let status = service.status();
    assert!(status["version"].as_str().is_some_and(|version| version.starts_with("2 ")), "{status}");
    let shown = Command::new(env!("CARGO_BIN_EXE_hazelgrade"))
        .args(["status", "--control", &service.address.to_string()])
        .output()
        .expect("it starts");
    let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(shown.contains("n1") && shown.contains("good") && shown.contains("not published"), "{shown}");
}

#[test]
fn a_control_service_that_restarts_or_loses_its_counter_goes_on_where_nodes_are() {
    let world = TestEnvironment::new(QUICK);
    let mut service = service(&doc(&[READ], ""));
    let mut plan = world.plan(SHORT_TRIAL);
    plan.control = vec![service.address];
    let _node = plan.start().expect("it starts");
    assert!(node_stands(&service, "good", 1), "{}", service.status());
    for number in 2..=3 {
        publish(&service, &doc(&[READ], &format!("[promises]\nanswer_slack_ms = {number}\n")));
        assert!(node_stands(&service, "good", number), "{}", service.status());
    }
    service.restart().expect("it starts");
    assert!(node_stands(&service, "good", 3), "the same version: {}", service.status());
    service.kill();
    std::fs::remove_file(service.documents.path().join(control_service::SERVING_COUNTER_FILE))
        .expect("a file");
    publish(&service, &doc(&[READ, BOOK], ""));
    service.restart().expect("it starts");
    assert!(node_stands(&service, "good", 4), "past what the node knows: {}", service.status());
}

#[test]
fn of_two_control_services_that_disagree_a_node_stays_with_what_it_took_last() {
    let world = TestEnvironment::new(QUICK);
    let (mut one, other) = (service(&doc(&[READ], "")), service(&doc(&[BOOK], "")));
    // The other has published already: its node has taken version 1 from it.
    let second = TestEnvironment::new(QUICK);
    let mut plan = second.plan(SHORT_TRIAL);
    (plan.control, plan.name) = (vec![other.address], "n2".into());
    let _n2 = plan.start().expect("it starts");
    assert!(node_stands(&other, "good", 1), "{}", other.status());
    let mut plan = world.plan(SHORT_TRIAL);
    plan.control = vec![one.address, other.address];
    let node = plan.start().expect("it starts");
    assert!(node_stands(&one, "good", 1), "{}", one.status());
    one.kill();
    let refused = wait_until(Duration::from_secs(10), || {
        let nodes = other.status()["nodes"].clone();
        let n1 = nodes.as_array().and_then(|nodes| nodes.iter().find(|node| node["name"] == "n1")).cloned();
        n1.is_some_and(|n1| {
            n1["standing"] == "turned down" && n1["why"].as_str().unwrap_or("").contains("knows this number")
        })
    });
    assert!(refused, "{}", other.status());
    let callers = world.callers(&node, 100.0, &["read"]);
    assert!(wait_until(Duration::from_secs(5), || callers.count() >= 10));
    let served = |told: &hazelgrade_fakes::callers::JobResult| {
        told.outcome == hazelgrade_fakes::callers::JobOutcome::Succeeded
    };
    assert!(callers.stop().results.iter().all(served), "it serves by what it had");
}

/// Two documents of one length, one right after the other: the second may look like the first to whoever goes by the file's
/// time of change, which goes on in ticks.
#[test]
fn a_document_that_is_replaced_at_once_is_published() {
    let of = |goal: u32| doc(&[("read", goal, 3000, 1)], "");
    let service = service(&of(999));
    let published = |document: &Document| {
        let digest = document.digest().short();
        wait_until(Duration::from_secs(2), || {
            service.status()["version"].as_str().is_some_and(|version| version.contains(&digest))
        })
    };
    assert!(published(&of(999)));
    let at = service.documents.path().join(control_service::SERVING_DOCUMENT_FILE);
    for count in 0..60 {
        // In place, as some editors write: the same file, of the same length.
        std::fs::write(&at, of(200 + 2 * count).to_toml()).expect("a file");
        std::thread::sleep(Duration::from_micros(300 * u64::from(count % 12)));
        let last = of(201 + 2 * count);
        std::fs::write(&at, last.to_toml()).expect("a file");
        assert!(published(&last), "{count}: {}", service.status());
    }
}
