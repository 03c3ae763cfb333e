//! How soon a revoked caller is denied.

use super::environment::{IdentityEnvironment, identity_document};
use crate::SELF;
use crate::measure::report::{spread, table};
use crate::processes::{program, to_message};
use comfy_table::Table;
use hazelgrade_fakes::callers::{JobOutcome, JobResult, Token};
use hazelgrade_fakes::test_environment::start_callers_with_token;
use hazelgrade_fakes::{free_address, wait_until};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A process that ends with its measurement.
struct ControlService(Child);

impl Drop for ControlService {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// From the document's rename until the first job of a revoked caller is denied and none is served any more.
pub fn revocation() -> Result<Table, String> {
    const RUNS: usize = 7;
    let mut table =
        table(["a caller is revoked", "to the last job served, ms: median (lowest to highest)", "runs"]);
    let environment = IdentityEnvironment::new()?;
    let documents = environment.file("documents");
    std::fs::create_dir(&documents).map_err(to_message)?;
    std::fs::copy(environment.file("first.toml"), documents.join("serving.toml")).map_err(to_message)?;
    let right = identity_document(&environment.signer, 100, 3600.0)?.to_toml();
    let publish = |text: &str| {
        let next = documents.join("next");
        std::fs::write(&next, text)
            .and_then(|()| std::fs::rename(&next, documents.join("identity.toml")))
            .map_err(to_message)
    };
    publish(&right)?;
    let control = free_address();
    let mut command = Command::new(program()?);
    command.args([SELF, "control", "--lineage", "demo", "--log", "off", "--documents"]).arg(&documents);
    let service = command.args(["--listen", &control.to_string()]).stdin(Stdio::null()).spawn();
    let _service = ControlService(service.map_err(to_message)?);
    let node = environment.node("n1", "[identity]\nstreamed = true\ntrial_ms = 100\n", control)?;
    let mut runs = Vec::new();
    for run in 0..RUNS {
        let token: Token = Arc::new(Mutex::new(environment.token(run)?));
        let callers = start_callers_with_token(node.config.listen, 300.0, &["read"], Some(token));
        let served = |callers: &[JobResult]| {
            callers.iter().filter(|told| told.outcome == JobOutcome::Succeeded).count()
        };
        if !wait_until(Duration::from_secs(10), || served(&callers.results()) > 30) {
            return Err(format!("caller {run} is not served in time"));
        }
        let table = format!("[caller.caller-{run}]\n");
        let began = Instant::now();
        publish(&right.replace(&table, &format!("{table}revoked = true\n")))?;
        std::thread::sleep(Duration::from_millis(700));
        let told = callers.stop().results;
        let last =
            told.iter().filter(|told| told.outcome == JobOutcome::Succeeded).map(|told| told.sent).max();
        runs.push(last.map_or(0.0, |last| last.saturating_duration_since(began).as_secs_f64() * 1000.0));
    }
    table.add_row([
        "its document replaced at the control service".to_owned(),
        spread(runs, 1),
        RUNS.to_string(),
    ]);
    Ok(table)
}
