//! A folder whose writes and syncs fail for a while, from the start or later. What was acknowledged outlives a kill, what
//! could not be written is not acknowledged, and the node serves on and recovers by itself.

use super::{FAST_WORKLOAD, SHORT_TRIAL, TestEnvironment, doc};
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::documents::{BOOK, READ};
use hazelgrade_fakes::node_process::{NodeConfig, NodeProcess};
use hazelgrade_fakes::system_faults::{DiskCall, SystemCall, SystemFaults};
use hazelgrade_fakes::{test_environment, wait_until};
use rustix::io::Errno;
use std::path::Path;
use std::time::Duration;

const FAILURES: [DiskCall; 4] = [
    DiskCall::Sync(Errno::IO),
    DiskCall::Sync(Errno::NOSPC),
    DiskCall::Write(Errno::NOSPC),
    DiskCall::Write(Errno::IO),
];
/// How long a node may take to recover. Failed writes are tried again after 0.5 s, then after twice as long each time.
const RECOVERY: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);

struct Setup {
    environment: TestEnvironment,
    control: ControlServiceProcess,
    faults: SystemFaults,
    config: NodeConfig,
}

impl Setup {
    fn new(seed: u64) -> Setup {
        let environment = TestEnvironment::new(FAST_WORKLOAD);
        let program = Path::new(env!("CARGO_BIN_EXE_hazelgrade"));
        let control =
            ControlServiceProcess::start(program, &[], "test", &doc(&[READ], "")).expect("it starts");
        let faults =
            SystemFaults::new(environment.base.directory.path(), seed).expect("the library is built");
        let config = NodeConfig {
            control: vec![control.address],
            environment: faults.environment().into(),
            log: "off".into(),
            ..environment.node_config(SHORT_TRIAL)
        };
        Setup { environment, control, faults, config }
    }

    /// Waits until the node has the version of this number as its last good one.
    fn is_good(&self, number: u64) -> bool {
        wait_until(RECOVERY, || {
            std::thread::sleep(POLL);
            let node = self.control.status()["nodes"][0].clone();
            let has_version = node["has"].as_str().is_some_and(|has| has.starts_with(&format!("{number} ")));
            node["standing"] == "good" && has_version && node["of"] == node["has"]
        })
    }
}

fn is_ready_in_time(node: &NodeProcess) -> bool {
    wait_until(RECOVERY, || {
        std::thread::sleep(POLL);
        node.health_check() == Some(true)
    })
}

/// Guards against a node that never becomes ready because its disk failed for a moment when it was started.
#[test]
fn a_node_whose_disk_fails_at_its_start_becomes_ready_by_itself() {
    for (failure, seed) in FAILURES.into_iter().zip(1..) {
        let setup = Setup::new(seed);
        setup.faults.set_disk_failing(failure, 100);
        let node = setup.config.start().expect("the node starts");
        assert!(wait_until(RECOVERY, || node.health_check().is_some()), "{failure:?}: answers health checks");
        assert_eq!(node.health_check(), Some(false), "{failure:?}: nothing is in effect that is not stored");
        let (syncs, writes) = setup.faults.disk_hits();
        assert!(syncs + writes > 0, "{failure:?} never happened");
        setup.faults.heal();
        assert!(is_ready_in_time(&node), "{failure:?}: ready after the disk works again");
    }
}

/// Guards against versions that are acknowledged and not on the disk, against a node that stops serving because its disk
/// fails, and against one that does not take the version once the disk works again.
#[test]
fn a_version_that_can_not_be_stored_takes_effect_once_the_disk_works_again_and_outlives_a_kill() {
    for (failure, seed) in FAILURES.into_iter().zip(11..) {
        let mut setup = Setup::new(seed);
        let mut node = setup.config.start().expect("the node starts");
        assert!(node.wait_until_ready(true));
        let callers = test_environment::start_callers(node.config.listen, 60.0, &["read"]);
        assert!(setup.is_good(1), "{failure:?}: the first version is good");
        setup.faults.set_disk_failing(failure, 100);
        let next = doc(&[READ, BOOK], "");
        setup.control.publish(&next.to_toml()).expect("it is published");
        assert!(wait_until(RECOVERY, || setup.faults.disk_hits() != (0, 0)), "{failure:?} never happened");
        let served = callers.success_count();
        assert!(wait_until(RECOVERY, || callers.success_count() > served + 30), "{failure:?}: it serves on");
        setup.faults.heal();
        assert!(setup.is_good(2), "{failure:?}: the version is good after the disk works again");
        setup.control.kill();
        node.kill();
        setup.environment.executor.restart();
        node.restart().expect("the node starts");
        assert!(is_ready_in_time(&node), "{failure:?}: ready by what is stored, without a control service");
        let verdict = callers.stop();
        assert_eq!(verdict.unmatched_answers, 0);
    }
}

/// Guards against a start that fails, or loses what was stored, because half of the syncs fail.
#[test]
fn a_node_starts_by_its_stored_version_although_half_of_the_syncs_fail() {
    let mut setup = Setup::new(21);
    let mut node = setup.config.start().expect("the node starts");
    let callers = test_environment::start_callers(node.config.listen, 60.0, &["read"]);
    assert!(setup.is_good(1));
    setup.control.kill();
    setup.faults.set_disk_failing(DiskCall::Sync(Errno::IO), 50);
    for _ in 0..5 {
        node.kill();
        setup.environment.executor.restart();
        node.restart().expect("the node starts");
        assert!(is_ready_in_time(&node), "ready by what is stored");
    }
    assert!(setup.faults.disk_hits().0 > 0, "no sync failed");
    drop(callers.stop());
}

/// Guards against a document that is never published because the disk of its control service failed when the document was
/// read, or when its number was stored.
#[test]
fn a_document_is_published_once_the_disk_of_its_control_service_works_again() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let program = Path::new(env!("CARGO_BIN_EXE_hazelgrade"));
    let mut control =
        ControlServiceProcess::start(program, &[], "test", &doc(&[READ], "")).expect("it starts");
    let faults = SystemFaults::new(folder.path(), 31).expect("the library is built");
    control.environment = faults.environment().into();
    control.restart().expect("it starts");
    let publishes = |control: &ControlServiceProcess, number: u64| {
        wait_until(RECOVERY, || {
            let status = control.status();
            status["version"].as_str().is_some_and(|version| version.starts_with(&format!("{number} ")))
        })
    };
    assert!(publishes(&control, 1));
    faults.set_disk_failing(DiskCall::Sync(Errno::IO), 100);
    control.publish(&doc(&[READ, BOOK], "").to_toml()).expect("the document is written");
    assert!(wait_until(RECOVERY, || faults.disk_hits().0 > 0), "no sync failed");
    faults.heal();
    assert!(publishes(&control, 2), "published after its number could not be stored");
    faults.set_failing(SystemCall::Open, 100);
    control.publish(&doc(&[BOOK], "").to_toml()).expect("the document is written");
    assert!(wait_until(RECOVERY, || faults.hits(SystemCall::Open) > 1), "no file failed to open");
    std::thread::sleep(2 * POLL);
    faults.heal();
    assert!(publishes(&control, 3), "published after it could not be read");
}
