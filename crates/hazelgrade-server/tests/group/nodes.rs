//! Nodes in trouble: cut off from what they stand on, stopped, killed and replaced, while the others go on.

use super::*;
use hazelgrade_fault_injection::plan::{Directions, Disk, Link};
use hazelgrade_fault_injection::proxy::{ms, now};
use std::time::Instant;

/// By how much the part of jobs served in their latency objective may differ between the nodes that nothing was done to.
const WITHIN: f64 = 0.05;
const GOAL_MS: f64 = 1000.0;

/// One node of five without its executor, its database, the registry, one after the other and two together; under load,
/// while a version arrives, and in a drain.
#[test]
fn what_one_node_is_cut_off_from_costs_the_others_nothing() {
    let _alone = alone();
    let mut group = group();
    let began = now();
    let cut = |node, link| Fault::Cut { node, link, directions: Directions::Both };
    for links in [
        vec![Link::Executor],
        vec![Link::Database],
        vec![Link::Registry],
        vec![Link::Executor, Link::Database],
    ] {
        links.iter().for_each(|link| cause(&mut group, cut(4, *link)));
        cause(&mut group, Fault::Publish { harmful: false });
        assert!(group.wait_until(SOON, |group| count(&stand(group, "good")[..4]) == 4), "{}", group.status());
        let before: Vec<usize> = group.nodes.iter().map(|member| member.job_count()).collect();
        let others =
            |group: &mut Group| (0..4).all(|node| group.nodes[node].job_count() >= before[node] + 40);
        assert!(group.wait_until(SOON, others));
        links.iter().for_each(|link| cause(&mut group, Fault::Heal { node: 4, link: *link }));
    }
    // In a drain: its executor and its database are out of reach when the notice comes.
    cause(&mut group, cut(4, Link::Database));
    cause(&mut group, cut(4, Link::Executor));
    cause(&mut group, Fault::Term { node: 4 });
    assert!(group.wait_until(SOON, |group| !group.nodes[4].is_running()), "it does not leave");
    let over = now();
    // Runs that it could not stop are answered for; it leaves with 0.
    let history = group.finish();
    kept(&history);
    for node in 0..4 {
        let part = history.served_ratio(node, began, over, ms(GOAL_MS)).expect("it had jobs");
        assert!(part >= 1.0 - WITHIN, "node {node} served {part}");
    }
}

#[test]
fn signals_to_all_at_once_lose_nothing_that_they_need_not() {
    let _alone = alone();
    let mut group = group();
    for node in 0..NODES {
        cause(&mut group, Fault::Hup { node });
        cause(&mut group, if node < 2 { Fault::Kill { node } } else { Fault::Term { node } });
    }
    assert!(group.wait_until(SOON, |group| group.nodes.iter().all(|member| !member.is_running())));
    for node in 0..NODES {
        cause(&mut group, Fault::Start { node, disk: Disk::Own });
    }
    kept(&group.finish());
}

/// All are replaced one after the other; the new one of the third can't start, as its configuration is wrong, and says so.
#[test]
fn a_rolling_replacement_goes_on_past_one_that_refuses_to_start() {
    let _alone = alone();
    let mut group = group();
    let began = now();
    for node in 0..NODES {
        cause(&mut group, Fault::Term { node });
        assert!(group.wait_until(SOON, |group| !group.nodes[node].is_running()));
        if node == 2 {
            let at = group.folder.path().join("n2.json");
            let right = std::fs::read(&at).expect("it was started by it");
            std::fs::write(&at, &right[..right.len() / 2]).expect("a file");
            let refused = std::process::Command::new(program())
                .args(["serve", "--config"])
                .arg(&at)
                .output()
                .expect("it starts");
            let said = String::from_utf8_lossy(&refused.stderr).into_owned();
            assert!(
                refused.status.code() == Some(2) && said.contains("n2.json"),
                "{:?}: {said}",
                refused.status
            );
            std::fs::write(&at, &right).expect("a file");
        }
        cause(&mut group, Fault::Start { node, disk: Disk::Own });
        assert!(group.wait_until(SOON, |group| group.nodes[node].is_ready()));
    }
    let over = now();
    let history = group.finish();
    kept(&history);
    // Each was away for some of the time, and served at all others.
    for node in 0..NODES {
        assert!(
            history.served_ratio(node, began, over, ms(GOAL_MS)).is_some_and(|part| part > 0.5),
            "node {node}"
        );
    }
}

#[test]
fn a_machine_that_stalls_for_two_seconds_goes_on_where_it_was() {
    let _alone = alone();
    let mut group = group();
    cause(&mut group, Fault::Publish { harmful: false });
    cause(&mut group, Fault::Stall { ms: 2000 });
    let before: Vec<usize> = group.nodes.iter().map(|member| member.job_count()).collect();
    let began = Instant::now();
    let all = |group: &mut Group| {
        group.nodes.iter().zip(&before).all(|(member, before)| member.job_count() > before + 60)
    };
    assert!(group.wait_until(SOON, all), "not all answer again after {:?}", began.elapsed());
    assert!(group.wait_until(SOON, |group| group.nodes.iter().all(|member| member.is_ready())));
    kept(&group.finish());
}

/// The clock of one node is an hour off, and that of another runs fast, by an operator's setting for tests only.
#[test]
fn a_clock_that_is_off_or_runs_fast_loses_no_job() {
    let _alone = alone();
    let mut group = group();
    for (node, clock) in [(1, "clock_off_ms = -3600000"), (2, "clock_rate = 1.5")] {
        cause(&mut group, Fault::Term { node });
        assert!(group.wait_until(SOON, |group| !group.nodes[node].is_running()));
        group.nodes[node].set_operator_settings(&format!("[for_tests_only]\n{clock}\n")).expect("a file");
        cause(&mut group, Fault::Start { node, disk: Disk::Own });
        assert!(group.wait_until(SOON, |group| group.nodes[node].is_ready()));
    }
    cause(&mut group, Fault::Publish { harmful: false });
    assert!(group.wait_until(SOON, |group| count(&stand(group, "good")) == NODES), "{}", group.status());
    kept(&group.finish());
}

#[test]
fn settings_for_tests_are_refused_where_the_platform_starts_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let (config, operator) = (folder.path().join("n.json"), folder.path().join("operator.toml"));
    let text = r#"{"name": "n", "listen": "127.0.0.1:9", "executor": "127.0.0.1:9", "registry": "127.0.0.1:9",
        "seed": "00", "stop_ms": 100, "settings": {}}"#;
    std::fs::write(&config, text).expect("a file");
    std::fs::write(&operator, "[for_tests_only]\nclock_rate = 2\n").expect("a file");
    let mut command = std::process::Command::new(program());
    command.arg("serve").arg("--operator").arg(&operator).env("PROXY_CONFIG", &config);
    let refused = command.output().expect("it starts");
    let said = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(refused.status.code() == Some(2) && said.contains("field for_tests_only"), "{said}");
    std::fs::write(&operator, "[for_tests_only]\nclock_rate = 20\n").expect("a file");
    let checked = std::process::Command::new(program()).args(["check", "--operator"]).arg(&operator).output();
    let said = String::from_utf8_lossy(&checked.expect("it starts").stderr).into_owned();
    assert!(said.contains("operator.toml:2:") && said.contains("clock_rate"), "{said}");
}
