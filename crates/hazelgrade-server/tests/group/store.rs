//! A node process that is killed at each write to its store in turn while versions are published, and nodes that
//! restart with an old or empty disk.

use super::*;
use hazelgrade_fault_injection::plan::Disk;
use std::collections::BTreeSet;

/// Guards against a store that a crash during a write leaves unusable. After a crash at any write, the node must
/// restart with a good or acknowledged version and accept the latest one, and no job may be lost except by the crash.
#[test]
fn a_node_killed_at_each_write_to_its_store_in_turn_restarts_with_a_good_version() {
    let _group_lock = lock_group();
    let mut group = Group::start(program(), &[], 1, JOBS_PER_S).expect("the group starts");
    let mut crashed_at = BTreeSet::new();
    let mut survived_starts = 0;
    for write in 0.. {
        inject(&mut group, Fault::Term { node: 0 });
        assert!(group.wait_until(TIMEOUT, |group| !group.nodes[0].is_running()));
        let operator = format!("[for_tests_only]\nstore_dies_at = {write}\n");
        group.nodes[0].set_operator_settings(&operator).expect("the operator's file is written");
        // The node may crash when it opens the store, when it accepts a version, or not at all.
        group.start_node_that_may_exit(0).expect("the node process is spawned");
        inject(&mut group, Fault::Publish { harmful: false });
        let settled = |group: &mut Group| !group.nodes[0].is_running() || has_standing(group, "good")[0];
        assert!(group.wait_until(TIMEOUT, settled), "set to be killed at write {write}: {}", group.status());
        let crashed = !group.nodes[0].is_running();
        group.nodes[0].set_operator_settings("").expect("the operator's file is written");
        if crashed {
            crashed_at.insert(write);
            inject(&mut group, Fault::Start { node: 0, disk: Disk::Own });
            // A version on trial in one crash is offered again. A version on trial in two crashes would be rejected.
            assert!(
                group.wait_until(TIMEOUT, |group| group.nodes[0].is_ready()),
                "not ready after a crash at write {write}: {}",
                group.status()
            );
        } else {
            group.confirm_survival(0);
            survived_starts += 1;
        }
        if survived_starts == 2 {
            break;
        }
    }
    inject(&mut group, Fault::Term { node: 0 });
    assert!(group.wait_until(TIMEOUT, |group| !group.nodes[0].is_running()));
    inject(&mut group, Fault::Start { node: 0, disk: Disk::Own });
    assert!(crashed_at.len() >= 10, "the node crashed only at writes {crashed_at:?}");
    println!("{} crashes, the last at write {:?}", crashed_at.len(), crashed_at.last());
    assert_no_violations(&group.finish());
}

#[test]
fn a_node_with_an_old_or_empty_disk_accepts_the_latest_version_again() {
    let _group_lock = lock_group();
    run_steps(&[
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
