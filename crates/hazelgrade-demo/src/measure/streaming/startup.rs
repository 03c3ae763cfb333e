//! From the start of a node until it is ready.

use crate::SELF;
use crate::measure::report::{spread, table};
use crate::processes::{program, start_control_service, to_message};
use comfy_table::Table;
use hazelgrade_fakes::documents::{BOOK, READ, document};
use hazelgrade_fakes::executor::Workload;
use hazelgrade_fakes::test_environment::TestEnvironment;
use hazelgrade_fakes::{free_address, node_process::settings, wait_until};
use std::process::Command;
use std::time::{Duration, Instant};

/// How long what should follow at once is waited for.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Measures it, as a table.
pub fn start() -> Result<Table, String> {
    const RUNS: usize = 15;
    let mut table = table(["a node starts", "start to ready, ms: median (lowest to highest)", "runs"]);
    let work = Workload { cores: 4, job_duration: Duration::from_millis(4), makes_call: false };
    let environment = TestEnvironment::new(work).map_err(to_message)?;
    let serving = document(&[READ, BOOK], 500, "").map_err(to_message)?;
    let file = environment.directory.path().join("first.toml");
    std::fs::write(&file, serving.to_toml()).map_err(to_message)?;
    let gone = free_address();
    let trial = "[stream.trial]\nspan_ms = 100\n";
    // A node that has kept a good version.
    let control = start_control_service(&serving)?;
    let stream = format!("lineage = \"demo\"\n{trial}");
    let mut plan = environment.node_config("kept", &program()?, &[SELF], control.address, &stream);
    plan.log = "off".into();
    let mut node = plan.start().map_err(to_message)?;
    let good = wait_until(TIMEOUT, || {
        std::thread::sleep(Duration::from_millis(50));
        control.status()["nodes"][0]["standing"] == "good"
    });
    if !good {
        return Err(format!("no version is good in time: {}", control.status()));
    }
    node.kill();
    drop(control);
    let ready = |plan: &hazelgrade_fakes::node_process::NodeConfig| -> Result<f64, String> {
        environment.executor.restart();
        let began = Instant::now();
        let node = plan.start().map_err(to_message)?;
        if !wait_until(TIMEOUT, || node.health_check() == Some(true)) {
            return Err(format!("{} is not ready in time", plan.name));
        }
        Ok(began.elapsed().as_secs_f64() * 1000.0)
    };
    let mut add = |name: &str, runs: Result<Vec<f64>, String>| {
        runs.map(|runs| {
            let count = runs.len().to_string();
            table.add_row([name.to_owned(), spread(runs, 1), count]);
        })
    };
    plan.control = vec![gone];
    add("from its store, control service gone", (0..RUNS).map(|_| ready(&plan)).collect())?;
    let stream = format!("document = {file:?}\n{trial}");
    let mut plan = environment.node_config("filed", &program()?, &[SELF], gone, &stream);
    plan.log = "off".into();
    let fresh = |plan: &hazelgrade_fakes::node_process::NodeConfig| {
        let _ = std::fs::remove_file(plan.store_file());
        ready(plan)
    };
    add("from its file, a new store, control service gone", (0..RUNS).map(|_| fresh(&plan)).collect())?;
    add("from its file, its store there, control service gone", (0..RUNS).map(|_| ready(&plan)).collect())?;
    let control = start_control_service(&serving)?;
    let mut plan = environment.node_config("first", &program()?, &[SELF], control.address, trial);
    plan.log = "off".into();
    wait_until(TIMEOUT, || !control.status().is_null());
    add("from the control service, a new store", (0..RUNS).map(|_| fresh(&plan)).collect())?;
    add("without streaming, as on the platform", (0..RUNS).map(|_| plain(&environment)).collect())?;
    Ok(table)
}

/// A node without an operator's file.
fn plain(environment: &TestEnvironment) -> Result<f64, String> {
    environment.executor.restart();
    let mut of = settings();
    of["classes"] = serde_json::json!([{"name": "read", "aim": 1000, "giveUp": 3000}]);
    let listen = free_address();
    let configuration = serde_json::json!({
        "name": "plain", "listen": listen.to_string(), "seed": "00000000000000ff", "stop_ms": 2500,
        "executor": environment.executor.address.to_string(), "registry": environment.registry.address.to_string(),
        "settings": of
    });
    let path = environment.directory.path().join("plain.json");
    std::fs::write(&path, configuration.to_string()).map_err(to_message)?;
    let began = Instant::now();
    let mut command = Command::new(program()?);
    command.args([SELF, "serve", "--log", "off", "--config"]).arg(&path);
    let mut child = command.stderr(std::process::Stdio::null()).spawn().map_err(to_message)?;
    let up = wait_until(TIMEOUT, || std::net::TcpStream::connect(listen).is_ok());
    let lasted = began.elapsed();
    let _ = child.kill();
    let _ = child.wait();
    if up { Ok(lasted.as_secs_f64() * 1000.0) } else { Err("it does not listen in time".into()) }
}
