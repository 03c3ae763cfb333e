//! Scene of configuration streaming: a control service, two nodes, each with an executor and a database, and callers.
//! The control service streams a good version, refuses an invalid document, and streams a valid but harmful version,
//! which the nodes roll back.

use crate::SELF;
use crate::processes::{program, start_control_service, to_message};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use hazelgrade_fakes::callers::{Callers, CallersReport, JobOutcome, JobResult};
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::documents::{BOOK, READ, document, text};
use hazelgrade_fakes::executor::Workload;
use hazelgrade_fakes::node_process::NodeProcess;
use hazelgrade_fakes::test_environment::{TestEnvironment, start_callers};
use hazelgrade_fakes::{rule_check, wait_until};
use serde_json::Value;
use std::time::{Duration, Instant};

const STATUS_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum duration of each step, so that callers have time to collect results.
const MIN_STEP_DURATION: Duration = Duration::from_secs(3);
const TRIAL_CONFIG: &str = "[stream.trial]\nspan_ms = 2000\nleast_jobs = 30\n";
/// Deadline of the job class `read` in the good versions.
const JOB_DEADLINE: Duration = Duration::from_secs(3);
/// Allowance beyond the deadline for an answer to reach its caller.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

struct NodeSetup {
    environment: TestEnvironment,
    node: NodeProcess,
    callers: Callers,
}

/// A completed step of the scene, as the final table shows it.
struct Step {
    name: &'static str,
    started_at: Instant,
    ended_at: Instant,
    node_versions: Vec<String>,
}

/// Returns the version that the control service reports for the node, and the node's status for that version.
fn node_version_status(status: &Value, node: &str) -> (String, String) {
    let nodes = status["nodes"].as_array();
    let node = nodes.and_then(|nodes| nodes.iter().find(|known| known["name"] == node));
    let field_text = |field: &str| node.and_then(|node| node[field].as_str()).unwrap_or("-").to_owned();
    (field_text("of"), field_text("standing"))
}

/// Waits until both nodes report `expected` as their status for the version with this number.
fn wait_for_status(control: &ControlServiceProcess, number: u64, expected: &str) -> Result<(), String> {
    let mut status = Value::Null;
    let reached = wait_until(STATUS_TIMEOUT, || {
        std::thread::sleep(POLL_INTERVAL);
        status = control.status();
        ["n1", "n2"].iter().all(|node| {
            let (version, node_status) = node_version_status(&status, node);
            version.starts_with(&format!("{number} ")) && node_status == expected
        })
    });
    if reached {
        Ok(())
    } else {
        Err(format!(
            "nodes did not report version {number} as {expected:?} within {STATUS_TIMEOUT:?}: {status}"
        ))
    }
}

/// Runs one step of the scene, and records the versions that both nodes have at its end.
fn run_step(
    control: &ControlServiceProcess,
    name: &'static str,
    action: impl FnOnce() -> Result<(), String>,
) -> Result<Step, String> {
    let started_at = Instant::now();
    println!("- {name}");
    action()?;
    std::thread::sleep(MIN_STEP_DURATION.saturating_sub(started_at.elapsed()));
    let status = control.status();
    let node_version = |node: &str| {
        let (version, node_status) = node_version_status(&status, node);
        format!("{node}: {} {node_status}", version.split(' ').next().unwrap_or("-"))
    };
    Ok(Step {
        name,
        started_at,
        ended_at: Instant::now(),
        node_versions: vec![node_version("n1"), node_version("n2")],
    })
}

/// Runs the scene. Returns `true` if no rule was broken and every step reached its expected state.
#[allow(clippy::too_many_lines)] // The scene is one script that is read from top to bottom.
pub fn run_scene() -> Result<bool, String> {
    let first_document = document(&[READ], 2, "").map_err(to_message)?;
    let control = start_control_service(&first_document)?;
    let workload = Workload { cores: 4, job_duration: Duration::from_millis(20), makes_call: true };
    let setup = |name: &str| -> Result<NodeSetup, String> {
        let environment = TestEnvironment::new(workload).map_err(to_message)?;
        let stream = format!("lineage = \"demo\"\n{TRIAL_CONFIG}");
        let mut node_config = environment.node_config(name, &program()?, &[SELF], control.address, &stream);
        node_config.log = "off".into();
        let node = node_config.start().map_err(to_message)?;
        if !node.wait_until_ready(true) {
            return Err(format!("node {name} did not become ready in time"));
        }
        let callers = start_callers(node.config.listen, 60.0, &["read"]);
        Ok(NodeSetup { environment, node, callers })
    };
    println!(
        "control service at {}, two nodes subscribed to it, 60 jobs per second to each node",
        control.address
    );
    let mut setups = [setup("n1")?, setup("n2")?];
    let good_document = text(&[READ, BOOK], 3, "");
    let harmful_document = text(&[("read", 2, 10, 1), BOOK], 3, "");
    let steps = [
        run_step(&control, "version 1: the first version, on trial and then good", || {
            wait_for_status(&control, 1, "good")
        })?,
        run_step(&control, "version 2: adds a job class and a tenant", || {
            control.publish(&good_document).map_err(to_message)?;
            wait_for_status(&control, 2, "good")
        })?,
        run_step(&control, "an invalid document: reported, not published", || {
            control.publish("[use_case.read]\ngoal_ms = \"soon\"\n").map_err(to_message)?;
            let reported = wait_until(STATUS_TIMEOUT, || {
                std::thread::sleep(POLL_INTERVAL);
                control.status()["folder"].is_string()
            });
            if reported {
                Ok(())
            } else {
                Err("the control service did not report the invalid document in time".into())
            }
        })?,
        run_step(&control, "version 3: valid but harmful, deadline 10 ms; both nodes roll back", || {
            control.publish(&harmful_document).map_err(to_message)?;
            wait_for_status(&control, 3, "went back")
        })?,
        run_step(&control, "after the rollback", || Ok(()))?,
    ];
    let document_error = control.status()["folder"].as_str().map(str::to_owned);
    let rollback_reason = control.status()["nodes"][0]["why"].as_str().unwrap_or("-").to_owned();
    for setup in &setups {
        setup.node.signal("TERM");
    }
    let clean_exit =
        setups.iter_mut().all(|setup| setup.node.wait_for_exit().is_some_and(|status| status.success()));
    let mut results: Vec<JobResult> = Vec::new();
    let mut rules_kept = clean_exit;
    println!();
    for NodeSetup { environment, node, callers } in setups {
        let CallersReport { results: node_results, unmatched_answers } = callers.stop();
        let check = rule_check::check(
            &node_results,
            unmatched_answers,
            &environment.executor.runs(),
            JOB_DEADLINE,
            ANSWER_GRACE,
        );
        println!("{}: {check}", node.config.name);
        rules_kept &= check.passed();
        results.extend(node_results);
    }
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(["step", "jobs", "succeeded", "rejected", "failed", "versions at the end of the step"]);
    for Step { name, started_at, ended_at, node_versions } in &steps {
        let step_results: Vec<&JobResult> =
            results.iter().filter(|result| (*started_at..*ended_at).contains(&result.sent)).collect();
        let count =
            |outcome| step_results.iter().filter(|result| result.outcome == outcome).count().to_string();
        table.add_row([
            (*name).to_owned(),
            step_results.len().to_string(),
            count(JobOutcome::Succeeded),
            count(JobOutcome::Rejected),
            count(JobOutcome::Failed),
            node_versions.join(", "),
        ]);
    }
    println!("\n{table}\n");
    println!("reason for the rollback of version 3: {rollback_reason}");
    println!(
        "both nodes drained, answered every job and exited successfully: {}",
        if clean_exit { "yes" } else { "no" }
    );
    println!("rules: {}", if rules_kept { "all kept" } else { "BROKEN" });
    // The valid document of version 3 replaced the invalid one, so the control service reports no document error.
    Ok(rules_kept && document_error.is_none())
}
