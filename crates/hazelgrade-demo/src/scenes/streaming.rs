//! Streamed configuration: a control service, two nodes with an executor and a database each, and callers. A good version
//! is streamed, then a document that is wrong, then one that is right and does harm.

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

const TIMEOUT: Duration = Duration::from_secs(15);
const LOOK: Duration = Duration::from_millis(50);
/// Each act has at least so long for callers to be heard.
const ACT: Duration = Duration::from_secs(3);
const TRIAL: &str = "[stream.trial]\nspan_ms = 2000\nleast_jobs = 30\n";
const CUT_OFF: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_millis(250);

struct Stage {
    environment: TestEnvironment,
    node: NodeProcess,
    callers: Callers,
}

/// What happened in an act, as it is shown at the end.
struct Act {
    name: &'static str,
    from: Instant,
    to: Instant,
    versions: Vec<String>,
}

fn standing(status: &Value, node: &str) -> (String, String) {
    let nodes = status["nodes"].as_array();
    let node = nodes.and_then(|nodes| nodes.iter().find(|known| known["name"] == node));
    let word = |field: &str| node.and_then(|node| node[field].as_str()).unwrap_or("-").to_owned();
    (word("of"), word("standing"))
}

/// Waits until both nodes stand so with a version of this number.
fn wait(control: &ControlServiceProcess, number: u64, word: &str) -> Result<(), String> {
    let mut status = Value::Null;
    let so = wait_until(TIMEOUT, || {
        std::thread::sleep(LOOK);
        status = control.status();
        ["n1", "n2"].iter().all(|node| {
            let (of, stands) = standing(&status, node);
            of.starts_with(&format!("{number} ")) && stands == word
        })
    });
    if so { Ok(()) } else { Err(format!("version {number} is not {word} in time: {status}")) }
}

fn act(
    control: &ControlServiceProcess,
    name: &'static str,
    what: impl FnOnce() -> Result<(), String>,
) -> Result<Act, String> {
    let from = Instant::now();
    println!("- {name}");
    what()?;
    std::thread::sleep(ACT.saturating_sub(from.elapsed()));
    let status = control.status();
    let version = |node: &str| {
        let (of, stands) = standing(&status, node);
        format!("{node}: {} {stands}", of.split(' ').next().unwrap_or("-"))
    };
    Ok(Act { name, from, to: Instant::now(), versions: vec![version("n1"), version("n2")] })
}

/// `true` if every rule was kept and every act ended as it should.
#[allow(clippy::too_many_lines)] // one scene, read from top to bottom
pub fn play() -> Result<bool, String> {
    let first = document(&[READ], 2, "").map_err(to_message)?;
    let control = start_control_service(&first)?;
    let work = Workload { cores: 4, job_duration: Duration::from_millis(20), makes_call: true };
    let stage = |name: &str| -> Result<Stage, String> {
        let environment = TestEnvironment::new(work).map_err(to_message)?;
        let stream = format!("lineage = \"demo\"\n{TRIAL}");
        let mut plan = environment.node_config(name, &program()?, &[SELF], control.address, &stream);
        plan.log = "off".into();
        let node = plan.start().map_err(to_message)?;
        if !node.wait_until_ready(true) {
            return Err(format!("{name} is not ready in time"));
        }
        let callers = start_callers(node.config.listen, 60.0, &["read"]);
        Ok(Stage { environment, node, callers })
    };
    println!("a control service at {}, two nodes that follow it, 60 jobs a second to each", control.address);
    let mut stages = [stage("n1")?, stage("n2")?];
    let good = text(&[READ, BOOK], 3, "");
    let harmful = text(&[("read", 2, 10, 1), BOOK], 3, "");
    let acts = [
        act(&control, "version 1: the first there is, on trial, then good", || wait(&control, 1, "good"))?,
        act(&control, "version 2: a use case and a customer more", || {
            control.publish(&good).map_err(to_message)?;
            wait(&control, 2, "good")
        })?,
        act(&control, "a document that is wrong: told, not published", || {
            control.publish("[use_case.read]\ngoal_ms = \"soon\"\n").map_err(to_message)?;
            let told = wait_until(TIMEOUT, || {
                std::thread::sleep(LOOK);
                control.status()["folder"].is_string()
            });
            if told { Ok(()) } else { Err("what is wrong is not told in time".into()) }
        })?,
        act(&control, "version 3: right, and does harm: a cut-off of 10 ms; both nodes go back", || {
            control.publish(&harmful).map_err(to_message)?;
            wait(&control, 3, "went back")
        })?,
        act(&control, "after it", || Ok(()))?,
    ];
    let folder = control.status()["folder"].as_str().map(str::to_owned);
    let why = control.status()["nodes"][0]["why"].as_str().unwrap_or("-").to_owned();
    for stage in &stages {
        stage.node.signal("TERM");
    }
    let clean =
        stages.iter_mut().all(|stage| stage.node.wait_for_exit().is_some_and(|status| status.success()));
    let mut told: Vec<JobResult> = Vec::new();
    let mut kept = clean;
    println!();
    for Stage { environment, node, callers } in stages {
        let CallersReport { results: of_node, unmatched_answers: twice } = callers.stop();
        let verdict = rule_check::check(&of_node, twice, &environment.executor.runs(), CUT_OFF, GRACE);
        println!("{}: {verdict}", node.config.name);
        kept &= verdict.passed();
        told.extend(of_node);
    }
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(["act", "jobs", "satisfied", "bounced", "written off", "versions at its end"]);
    for Act { name, from, to, versions } in &acts {
        let of_act: Vec<&JobResult> = told.iter().filter(|told| (*from..*to).contains(&told.sent)).collect();
        let count = |fate| of_act.iter().filter(|told| told.outcome == fate).count().to_string();
        table.add_row([
            (*name).to_owned(),
            of_act.len().to_string(),
            count(JobOutcome::Succeeded),
            count(JobOutcome::Rejected),
            count(JobOutcome::Failed),
            versions.join(", "),
        ]);
    }
    println!("\n{table}\n");
    println!("why the nodes went back from version 3: {why}");
    println!("both nodes left with every answer given: {}", if clean { "yes" } else { "no" });
    println!("rules: {}", if kept { "all kept" } else { "BROKEN" });
    // The harmful version took the place of the wrong document.
    Ok(kept && folder.is_none())
}
