//! Faults of single nodes: cut off from their peers, suspended, killed and replaced, while the other nodes continue.

use super::*;
use hazelgrade_fault_injection::plan::{Directions, Disk, Link};
use hazelgrade_fault_injection::proxy::{ms, now};
use std::time::Instant;

/// How far the ratio of jobs served within their latency objective may fall below 1 on nodes without faults.
const MAX_RATIO_LOSS: f64 = 0.05;
const LATENCY_OBJECTIVE_MS: f64 = 1000.0;

/// Guards against faults of one node that reach the others. One node of five is cut off from its executor, its database
/// and the registry, one after the other and two together, under load, while a version is published, and in a drain.
#[test]
fn links_cut_on_one_node_do_not_affect_the_others() {
    let _group_lock = lock_group();
    let mut group = group();
    let started_at = now();
    let cut = |node, link| Fault::Cut { node, link, directions: Directions::Both };
    for links in [
        vec![Link::Executor],
        vec![Link::Database],
        vec![Link::Registry],
        vec![Link::Executor, Link::Database],
    ] {
        links.iter().for_each(|link| inject(&mut group, cut(4, *link)));
        inject(&mut group, Fault::Publish { harmful: false });
        assert!(
            group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")[..4]) == 4),
            "{}",
            group.status()
        );
        let before: Vec<usize> = group.nodes.iter().map(|member| member.job_count()).collect();
        let others =
            |group: &mut Group| (0..4).all(|node| group.nodes[node].job_count() >= before[node] + 40);
        assert!(group.wait_until(TIMEOUT, others));
        links.iter().for_each(|link| inject(&mut group, Fault::Heal { node: 4, link: *link }));
    }
    // In a drain: the executor and the database are unreachable when shutdown is requested.
    inject(&mut group, cut(4, Link::Database));
    inject(&mut group, cut(4, Link::Executor));
    inject(&mut group, Fault::Term { node: 4 });
    assert!(
        group.wait_until(TIMEOUT, |group| !group.nodes[4].is_running()),
        "the draining node doesn't exit"
    );
    let ended_at = now();
    // Jobs whose runs the node couldn't stop are answered too, so the node exits with status 0.
    let history = group.finish();
    assert_no_violations(&history);
    for node in 0..4 {
        let ratio = history
            .served_ratio(node, started_at, ended_at, ms(LATENCY_OBJECTIVE_MS))
            .expect("the node had jobs");
        assert!(ratio >= 1.0 - MAX_RATIO_LOSS, "node {node} served a ratio of {ratio}");
    }
}

#[test]
fn signals_to_all_nodes_at_once_break_no_rule() {
    let _group_lock = lock_group();
    let mut group = group();
    for node in 0..NODES {
        inject(&mut group, Fault::Hup { node });
        inject(&mut group, if node < 2 { Fault::Kill { node } } else { Fault::Term { node } });
    }
    assert!(group.wait_until(TIMEOUT, |group| group.nodes.iter().all(|member| !member.is_running())));
    for node in 0..NODES {
        inject(&mut group, Fault::Start { node, disk: Disk::Own });
    }
    assert_no_violations(&group.finish());
}

/// All nodes are replaced one after the other. The first replacement of the third node can't start because of an
/// invalid configuration, and must name the file in its error.
#[test]
fn a_rolling_replacement_continues_after_a_node_that_fails_to_start() {
    let _group_lock = lock_group();
    let mut group = group();
    let started_at = now();
    for node in 0..NODES {
        inject(&mut group, Fault::Term { node });
        assert!(group.wait_until(TIMEOUT, |group| !group.nodes[node].is_running()));
        if node == 2 {
            let path = group.folder.path().join("n2.json");
            let valid_configuration = std::fs::read(&path).expect("the node was started with this file");
            std::fs::write(&path, &valid_configuration[..valid_configuration.len() / 2])
                .expect("the configuration file is written");
            let output = std::process::Command::new(program())
                .args(["serve", "--config"])
                .arg(&path)
                .output()
                .expect("the command starts");
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(
                output.status.code() == Some(2) && stderr.contains("n2.json"),
                "{:?}: {stderr}",
                output.status
            );
            std::fs::write(&path, &valid_configuration).expect("the configuration file is written");
        }
        inject(&mut group, Fault::Start { node, disk: Disk::Own });
        assert!(group.wait_until(TIMEOUT, |group| group.nodes[node].is_ready()));
    }
    let ended_at = now();
    let history = group.finish();
    assert_no_violations(&history);
    // Each node was down for part of the time and served otherwise.
    for node in 0..NODES {
        assert!(
            history
                .served_ratio(node, started_at, ended_at, ms(LATENCY_OBJECTIVE_MS))
                .is_some_and(|ratio| ratio > 0.5),
            "node {node}"
        );
    }
}

#[test]
fn a_group_continues_after_its_machine_stalls_for_two_seconds() {
    let _group_lock = lock_group();
    let mut group = group();
    inject(&mut group, Fault::Publish { harmful: false });
    inject(&mut group, Fault::Stall { ms: 2000 });
    let before: Vec<usize> = group.nodes.iter().map(|member| member.job_count()).collect();
    let started_at = Instant::now();
    let all = |group: &mut Group| {
        group.nodes.iter().zip(&before).all(|(member, before)| member.job_count() > before + 60)
    };
    assert!(group.wait_until(TIMEOUT, all), "not all nodes answer again after {:?}", started_at.elapsed());
    assert!(group.wait_until(TIMEOUT, |group| group.nodes.iter().all(|member| member.is_ready())));
    assert_no_violations(&group.finish());
}

/// The clock of one node is off by an hour and that of another runs fast, set by test-only fields of the operator's
/// file.
#[test]
fn a_clock_that_is_off_or_runs_fast_breaks_no_rule() {
    let _group_lock = lock_group();
    let mut group = group();
    for (node, clock) in [(1, "clock_off_ms = -3600000"), (2, "clock_rate = 1.5")] {
        inject(&mut group, Fault::Term { node });
        assert!(group.wait_until(TIMEOUT, |group| !group.nodes[node].is_running()));
        group.nodes[node]
            .set_operator_settings(&format!("[for_tests_only]\n{clock}\n"))
            .expect("the operator's file is written");
        inject(&mut group, Fault::Start { node, disk: Disk::Own });
        assert!(group.wait_until(TIMEOUT, |group| group.nodes[node].is_ready()));
    }
    inject(&mut group, Fault::Publish { harmful: false });
    assert!(
        group.wait_until(TIMEOUT, |group| count(&has_standing(group, "good")) == NODES),
        "{}",
        group.status()
    );
    assert_no_violations(&group.finish());
}

#[test]
fn test_settings_are_rejected_when_the_platform_starts_the_node() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (config, operator) = (folder.path().join("n.json"), folder.path().join("operator.toml"));
    let text = r#"{"name": "n", "listen": "127.0.0.1:9", "executor": "127.0.0.1:9", "registry": "127.0.0.1:9",
        "seed": "00", "stop_ms": 100, "settings": {}}"#;
    std::fs::write(&config, text).expect("the file is written");
    std::fs::write(&operator, "[for_tests_only]\nclock_rate = 2\n").expect("the file is written");
    let mut command = std::process::Command::new(program());
    command.arg("serve").arg("--operator").arg(&operator).env("PROXY_CONFIG", &config);
    let output = command.output().expect("the command starts");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.code() == Some(2) && stderr.contains("field for_tests_only"), "{stderr}");
    std::fs::write(&operator, "[for_tests_only]\nclock_rate = 20\n").expect("the file is written");
    let checked = std::process::Command::new(program()).args(["check", "--operator"]).arg(&operator).output();
    let stderr = String::from_utf8_lossy(&checked.expect("the command starts").stderr).into_owned();
    assert!(stderr.contains("operator.toml:2:") && stderr.contains("clock_rate"), "{stderr}");
}
