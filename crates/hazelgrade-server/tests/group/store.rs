//! A real node that dies at each write of its store in turn, while versions come, and the disk it finds then.

use super::*;
use hazelgrade_fault_injection::plan::Disk;
use std::collections::BTreeSet;

/// Whatever write of its store kills it, a node starts again by a version that was good or that it had acknowledged, takes
/// the latest, and no job is lost but by the death.
#[test]
fn a_node_killed_at_each_write_of_its_store_in_turn_comes_back_by_a_good_version() {
    let _alone = alone();
    let mut group = Group::start(program(), &[], 1, RATE).expect("it starts");
    let mut died_at = BTreeSet::new();
    let mut beyond = 0;
    for write in 0.. {
        cause(&mut group, Fault::Term { node: 0 });
        assert!(group.wait_until(SOON, |group| !group.nodes[0].is_running()));
        let operator = format!("[for_tests_only]\nstore_dies_at = {write}\n");
        group.nodes[0].set_operator_settings(&operator).expect("a file");
        // It may die as it opens the store, or when a version comes, or not at all.
        group.start_node_that_may_exit(0).expect("it starts");
        cause(&mut group, Fault::Publish { harmful: false });
        let settled = |group: &mut Group| !group.nodes[0].is_running() || stand(group, "good")[0];
        assert!(group.wait_until(SOON, settled), "at {write}: {}", group.status());
        let dead = !group.nodes[0].is_running();
        group.nodes[0].set_operator_settings("").expect("a file");
        if dead {
            died_at.insert(write);
            cause(&mut group, Fault::Start { node: 0, disk: Disk::Own });
            // A version with which it died once is offered again; with twice it would be suspect.
            assert!(
                group.wait_until(SOON, |group| group.nodes[0].is_ready()),
                "after a death at {write}: {}",
                group.status()
            );
        } else {
            group.confirm_survival(0);
            beyond += 1;
        }
        if beyond == 2 {
            break;
        }
    }
    cause(&mut group, Fault::Term { node: 0 });
    assert!(group.wait_until(SOON, |group| !group.nodes[0].is_running()));
    cause(&mut group, Fault::Start { node: 0, disk: Disk::Own });
    assert!(died_at.len() >= 10, "it died at {died_at:?} only");
    println!("{} deaths, the last at write {:?}", died_at.len(), died_at.last());
    kept(&group.finish());
}

#[test]
fn with_an_old_disk_or_an_empty_one_a_node_takes_the_latest_version_again() {
    let _alone = alone();
    plays(&[
        (Trigger::Now, Fault::Publish { harmful: false }),
        (Trigger::Acknowledged(NODES), Fault::Publish { harmful: false }),
        (Trigger::Acknowledged(NODES), Fault::Kill { node: 0 }),
        (Trigger::Now, Fault::Kill { node: 1 }),
        (Trigger::Answers(20), Fault::Start { node: 0, disk: Disk::Old }),
        (Trigger::Now, Fault::Start { node: 1, disk: Disk::Empty }),
        (Trigger::Ready(1), Fault::Publish { harmful: true }),
        (Trigger::OnTrial(2), Fault::Kill { node: 2 }),
        (Trigger::Answers(20), Fault::Start { node: 2, disk: Disk::Own }),
    ]);
}
