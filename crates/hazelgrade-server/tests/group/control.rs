//! Faults of the control service: killed, suspended, cut off from nodes, restarted with an old counter, and duplicated.

use super::*;
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::documents::{BOOK, READ, document};
use hazelgrade_fault_injection::plan::{Directions, Disk, Link};
use hazelgrade_fault_injection::proxy::{Direction, FaultProxy};
use hazelgrade_fault_injection::subscriber_fleet::SubscriberFleet;
use std::time::Instant;

#[test]
fn a_service_killed_between_storing_a_number_and_offering_it_offers_it_after_the_restart() {
    let _group_lock = lock_group();
    let mut group = group();
    // No message of the control service reaches a node, so the version number is stored but no node knows it.
    for node in 0..NODES {
        inject(&mut group, Fault::Cut { node, link: Link::Control, directions: Directions::Back });
    }
    inject(&mut group, Fault::Publish { harmful: false });
    let number_is_stored = |group: &mut Group| {
        std::fs::read_to_string(group.control_service.counter_file()).is_ok_and(|text| text.contains(":2"))
    };
    assert!(group.wait_until(TIMEOUT, number_is_stored));
    inject(&mut group, Fault::KillControl);
    for node in 0..NODES {
        inject(&mut group, Fault::Reset { node, link: Link::Control });
        inject(&mut group, Fault::Heal { node, link: Link::Control });
    }
    assert_eq!(count(&has_standing(&group, "good")), 0);
    inject(&mut group, Fault::StartControl { disk: Disk::Own });
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES),
        "{}",
        group.status()
    );
    let status = group.status();
    assert!(status["version"].as_str().is_some_and(|version| version.starts_with("2 ")), "{status}");
    assert_no_violations(&group.finish());
}

#[test]
fn a_service_suspended_for_longer_than_nodes_wait_continues_when_it_resumes() {
    let _group_lock = lock_group();
    let mut group = group();
    let proxy = group.nodes[0].proxy(Link::Control).clone();
    let before = proxy.connections();
    inject(&mut group, Fault::StopControl);
    // A node closes a connection that was silent for fifteen seconds and reconnects, but the suspended service accepts
    // no connection.
    assert!(
        group.wait_until(TIMEOUT, |_| proxy.connections() > before),
        "the node kept the connection to a silent service"
    );
    inject(&mut group, Fault::Publish { harmful: false });
    inject(&mut group, Fault::WakeControl);
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES),
        "{}",
        group.status()
    );
    assert_no_violations(&group.finish());
}

#[test]
fn a_service_with_an_old_counter_exceeds_the_numbers_that_nodes_know() {
    let _group_lock = lock_group();
    let mut group = group();
    for _ in 0..2 {
        inject(&mut group, Fault::Publish { harmful: false });
        assert!(
            group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES),
            "{}",
            group.status()
        );
    }
    // With the old counter, the service knows of version 2 only, and has another document for number 3.
    inject(&mut group, Fault::KillControl);
    inject(&mut group, Fault::Publish { harmful: false });
    inject(&mut group, Fault::StartControl { disk: Disk::Own });
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES),
        "{}",
        group.status()
    );
    inject(&mut group, Fault::KillControl);
    inject(&mut group, Fault::StartControl { disk: Disk::Old });
    inject(&mut group, Fault::Publish { harmful: false });
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES),
        "{}",
        group.status()
    );
    assert_no_violations(&group.finish());
}

/// Guards against two documents under one version number when two services have the same lineage by mistake. Nodes that
/// switch to the other service must keep their version rather than accept another document under a number that they
/// know, and continue with the first version above that number.
#[test]
fn with_two_services_of_one_lineage_no_node_accepts_a_second_document_under_a_number() {
    let _group_lock = lock_group();
    let mut group = group();
    let other_document = document(&[READ, BOOK], 2, "").expect("the document is valid");
    // The same number may stand for different documents on nodes of different services, but not on one node.
    group.history.version_numbers_reused = true;
    let other = ControlServiceProcess::start(program(), &[], "test", &other_document)
        .expect("the control service starts");
    for node in [3, 4] {
        let proxy = group.nodes[node].proxy(Link::Control);
        proxy.set_target(other.address);
        proxy.reset();
    }
    // Number 1 is another document on the other service. Both nodes report the conflict, and the service offers its
    // document again with a number above those that they know.
    let both_accept = |group: &mut Group| {
        group.observe();
        let nodes = other.status()["nodes"].as_array().cloned().unwrap_or_default();
        let good = nodes.iter().filter(|node| {
            node["standing"] == "good" && node["has"].as_str().is_some_and(|has| !has.starts_with("1 "))
        });
        good.count() == 2
    };
    assert!(group.wait_until(TIMEOUT, both_accept), "{}", other.status());
    for node in [3, 4] {
        let proxy = group.nodes[node].proxy(Link::Control);
        proxy.set_target(group.control_service.address);
        proxy.reset();
    }
    // The two nodes know higher numbers than the first service has assigned. The service reports that another service
    // publishes, and exceeds these numbers after some publications.
    for _ in 0..3 {
        inject(&mut group, Fault::Publish { harmful: false });
        assert!(
            group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")[..3]) == 3),
            "{}",
            group.status()
        );
    }
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES),
        "{}",
        group.status()
    );
    assert_no_violations(&group.finish());
}

#[test]
fn a_node_whose_acknowledgements_are_lost_serves_by_the_version_and_is_good_once_they_arrive() {
    let _group_lock = lock_group();
    let mut group = group();
    inject(&mut group, Fault::Cut { node: 2, link: Link::Control, directions: Directions::To });
    let before = group.nodes[2].proxy(Link::Control).forwarded_bytes(Direction::Back);
    inject(&mut group, Fault::Publish { harmful: false });
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES - 1),
        "{}",
        group.status()
    );
    assert!(!has_standing(&group, "good")[2]);
    assert!(
        group.nodes[2].proxy(Link::Control).forwarded_bytes(Direction::Back) > before,
        "the offer wasn't delivered"
    );
    assert!(group.serves_latest(2, TIMEOUT), "node 2 was offered the version but doesn't serve by it");
    inject(&mut group, Fault::Heal { node: 2, link: Link::Control });
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES),
        "{}",
        group.status()
    );
    assert_no_violations(&group.finish());
}

#[test]
fn a_node_suspended_during_a_trial_ends_the_trial_when_it_resumes() {
    let _group_lock = lock_group();
    let mut group = group();
    inject(&mut group, Fault::Publish { harmful: false });
    assert!(group.wait_until(TIMEOUT, |group| has_standing(group, "on trial")[1]), "{}", group.status());
    inject(&mut group, Fault::Stop { node: 1 });
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES - 1),
        "{}",
        group.status()
    );
    assert!(!has_standing(&group, "good")[1]);
    inject(&mut group, Fault::Wake { node: 1 });
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES),
        "{}",
        group.status()
    );
    assert_no_violations(&group.finish());
}

/// Guards against a rush of reconnections after a control service restarts. Twenty node processes and 980 light
/// subscribers lose the service. All of them must reconnect, spread over seconds, and none may apply again the version
/// that it has.
#[test]
fn a_thousand_subscribers_reconnect_to_a_service_that_was_killed() {
    const NODE_PROCESSES: usize = 20;
    const LIGHT_SUBSCRIBERS: usize = 980;
    let _group_lock = lock_group();
    let mut group = Group::start(program(), &[], NODE_PROCESSES, 4.0).expect("the group starts");
    let proxy = FaultProxy::tcp(group.control_service.address).expect("a port is free");
    let light_subscribers = SubscriberFleet::start(LIGHT_SUBSCRIBERS, proxy.address);
    let connected = |group: &mut Group| {
        let nodes = group.status()["nodes"].as_array().cloned().unwrap_or_default();
        nodes.iter().filter(|node| node["connected"] == true && node["standing"] == "good").count()
    };
    assert!(
        group.wait_until(TIMEOUT, |group| connected(group) == NODE_PROCESSES + LIGHT_SUBSCRIBERS),
        "{}",
        connected(&mut group)
    );
    inject(&mut group, Fault::KillControl);
    proxy.reset();
    std::thread::sleep(Duration::from_millis(500));
    let before = proxy.connections();
    inject(&mut group, Fault::StartControl { disk: Disk::Own });
    let mut max_reconnections = 0;
    let mut last = (Instant::now(), before);
    let all_connected = group.wait_until(TIMEOUT, |group| {
        if last.0.elapsed() >= Duration::from_millis(100) {
            max_reconnections = max_reconnections.max(proxy.connections() - last.1);
            last = (Instant::now(), proxy.connections());
        }
        connected(group) == NODE_PROCESSES + LIGHT_SUBSCRIBERS
    });
    assert!(all_connected, "{} subscribers reconnected", connected(&mut group));
    // Within 0.1 s, fewer than a third of the light subscribers' number may reconnect.
    assert!(
        max_reconnections < LIGHT_SUBSCRIBERS as u64 / 3,
        "{max_reconnections} subscribers reconnected within 0.1 s"
    );
    let digest = group.first_digest();
    assert_eq!(light_subscribers.serving(&digest), (LIGHT_SUBSCRIBERS, 0));
    // The next version reaches all subscribers.
    inject(&mut group, Fault::Publish { harmful: false });
    assert!(group.wait_until(TIMEOUT, |group| connected(group) == NODE_PROCESSES + LIGHT_SUBSCRIBERS
        && count(&has_standing(group, "good")) == NODE_PROCESSES));
    assert_no_violations(&group.finish());
}
