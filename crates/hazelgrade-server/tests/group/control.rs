//! The control service in trouble, or cut off from some: killed, paused, with yesterday's counter, twice.

use super::*;
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::documents::{BOOK, READ, document};
use hazelgrade_fault_injection::plan::{Directions, Disk, Link};
use hazelgrade_fault_injection::proxy::{Direction, FaultProxy};
use hazelgrade_fault_injection::subscriber_fleet::SubscriberFleet;
use std::time::Instant;

#[test]
fn killed_between_keeping_a_number_and_offering_it_the_service_offers_it_when_it_is_back() {
    let _alone = alone();
    let mut group = group();
    // Nothing that it says reaches anyone: the number is kept, and nobody has heard of it.
    for node in 0..NODES {
        cause(&mut group, Fault::Cut { node, link: Link::Control, directions: Directions::Back });
    }
    cause(&mut group, Fault::Publish { harmful: false });
    let kept_number = |group: &mut Group| {
        std::fs::read_to_string(group.control_service.counter_file()).is_ok_and(|text| text.contains(":2"))
    };
    assert!(group.wait_until(SOON, kept_number));
    cause(&mut group, Fault::KillControl);
    for node in 0..NODES {
        cause(&mut group, Fault::Reset { node, link: Link::Control });
        cause(&mut group, Fault::Heal { node, link: Link::Control });
    }
    assert_eq!(count(&stand(&group, "good")), 0);
    cause(&mut group, Fault::StartControl { disk: Disk::Own });
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES), "{}", group.status());
    let status = group.status();
    assert!(status["version"].as_str().is_some_and(|version| version.starts_with("2 ")), "{status}");
    kept(&group.finish());
}

#[test]
fn paused_for_longer_than_nodes_wait_for_it_and_woken_the_service_goes_on() {
    let _alone = alone();
    let mut group = group();
    let proxy = group.nodes[0].proxy(Link::Control).clone();
    let before = proxy.connections();
    cause(&mut group, Fault::StopControl);
    // A node hangs up after fifteen seconds of silence and comes again, to a service that accepts nothing.
    assert!(
        group.wait_until(SOON, |_| proxy.connections() > before),
        "the node went on with a silent service"
    );
    cause(&mut group, Fault::Publish { harmful: false });
    cause(&mut group, Fault::WakeControl);
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES), "{}", group.status());
    kept(&group.finish());
}

#[test]
fn with_yesterdays_counter_the_service_goes_past_what_nodes_know() {
    let _alone = alone();
    let mut group = group();
    for _ in 0..2 {
        cause(&mut group, Fault::Publish { harmful: false });
        assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES), "{}", group.status());
    }
    // It knows of version 2 only, and has another document for number 3.
    cause(&mut group, Fault::KillControl);
    cause(&mut group, Fault::Publish { harmful: false });
    cause(&mut group, Fault::StartControl { disk: Disk::Own });
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES), "{}", group.status());
    cause(&mut group, Fault::KillControl);
    cause(&mut group, Fault::StartControl { disk: Disk::Old });
    cause(&mut group, Fault::Publish { harmful: false });
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES), "{}", group.status());
    kept(&group.finish());
}

/// Two services of one lineage, by mistake: nodes that change over keep what they have rather than take another document
/// under a number that they know, and go on with the first that goes past it.
#[test]
fn of_two_services_with_one_lineage_no_node_takes_a_second_document_of_a_number() {
    let _alone = alone();
    let mut group = group();
    let mine = document(&[READ, BOOK], 2, "").expect("it is right");
    // Between nodes of one and of the other nothing holds but their own word; for each node it does.
    group.history.version_numbers_reused = true;
    let other = ControlServiceProcess::start(program(), &[], "test", &mine).expect("it starts");
    for node in [3, 4] {
        let proxy = group.nodes[node].proxy(Link::Control);
        proxy.set_target(other.address);
        proxy.reset();
    }
    // Number 1 is another document there: both nodes say so, and it is offered again past what they know.
    let takes = |group: &mut Group| {
        group.observe();
        let nodes = other.status()["nodes"].as_array().cloned().unwrap_or_default();
        let good = nodes.iter().filter(|node| {
            node["standing"] == "good" && node["has"].as_str().is_some_and(|has| !has.starts_with("1 "))
        });
        good.count() == 2
    };
    assert!(group.wait_until(SOON, takes), "{}", other.status());
    for node in [3, 4] {
        let proxy = group.nodes[node].proxy(Link::Control);
        proxy.set_target(group.control_service.address);
        proxy.reset();
    }
    // They know greater numbers than it has given: it says that somebody else publishes, and goes past them with time.
    for _ in 0..3 {
        cause(&mut group, Fault::Publish { harmful: false });
        assert!(group.wait_until(SOON, |group| count(&stand(group, "good")[..3]) == 3), "{}", group.status());
    }
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES), "{}", group.status());
    kept(&group.finish());
}

#[test]
fn a_node_whose_acknowledgements_are_lost_serves_by_the_version_and_is_known_to_once_they_come() {
    let _alone = alone();
    let mut group = group();
    cause(&mut group, Fault::Cut { node: 2, link: Link::Control, directions: Directions::To });
    let before = group.nodes[2].proxy(Link::Control).forwarded_bytes(Direction::Back);
    cause(&mut group, Fault::Publish { harmful: false });
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES - 1), "{}", group.status());
    assert!(!stand(&group, "good")[2]);
    assert!(
        group.nodes[2].proxy(Link::Control).forwarded_bytes(Direction::Back) > before,
        "the offer was not delivered"
    );
    assert!(group.serves_latest(2, SOON), "it was offered the version and doesn't serve by it");
    cause(&mut group, Fault::Heal { node: 2, link: Link::Control });
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES), "{}", group.status());
    kept(&group.finish());
}

#[test]
fn a_node_that_is_stopped_in_its_trial_settles_it_when_it_is_woken() {
    let _alone = alone();
    let mut group = group();
    cause(&mut group, Fault::Publish { harmful: false });
    assert!(group.wait_until(SOON, |group| stand(group, "on trial")[1]), "{}", group.status());
    cause(&mut group, Fault::Stop { node: 1 });
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES - 1), "{}", group.status());
    assert!(!stand(&group, "good")[1]);
    cause(&mut group, Fault::Wake { node: 1 });
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES), "{}", group.status());
    kept(&group.finish());
}

/// Twenty nodes as processes and 980 light ones lose the service and come back to the one that is started anew: spread over
/// seconds, all of them, and nobody takes up again what it has.
#[test]
fn a_thousand_subscribers_come_back_to_a_service_that_was_killed() {
    const REAL: usize = 20;
    const LIGHT: usize = 980;
    let _alone = alone();
    let mut group = Group::start(program(), &[], REAL, 4.0).expect("it starts");
    let proxy = FaultProxy::tcp(group.control_service.address).expect("a port");
    let lights = SubscriberFleet::start(LIGHT, proxy.address);
    let connected = |group: &mut Group| {
        let nodes = group.status()["nodes"].as_array().cloned().unwrap_or_default();
        nodes.iter().filter(|node| node["connected"] == true && node["standing"] == "good").count()
    };
    assert!(group.wait_until(SOON, |group| connected(group) == REAL + LIGHT), "{}", connected(&mut group));
    cause(&mut group, Fault::KillControl);
    proxy.reset();
    std::thread::sleep(Duration::from_millis(500));
    let before = proxy.connections();
    cause(&mut group, Fault::StartControl { disk: Disk::Own });
    let mut most = 0;
    let mut last = (Instant::now(), before);
    let all = group.wait_until(SOON, |group| {
        if last.0.elapsed() >= Duration::from_millis(100) {
            most = most.max(proxy.connections() - last.1);
            last = (Instant::now(), proxy.connections());
        }
        connected(group) == REAL + LIGHT
    });
    assert!(all, "{} are back", connected(&mut group));
    // Of a thousand no more than a third come at one moment.
    assert!(most < LIGHT as u64 / 3, "{most} came within 0.1 s");
    let digest = group.first_digest();
    assert_eq!(lights.serving(&digest), (LIGHT, 0));
    // And the next version reaches all of them.
    cause(&mut group, Fault::Publish { harmful: false });
    assert!(
        group.wait_until(SOON, |group| connected(group) == REAL + LIGHT
            && count(&stand(group, "good")) == REAL)
    );
    kept(&group.finish());
}
