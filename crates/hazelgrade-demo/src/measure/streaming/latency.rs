//! Latency of jobs while versions are streamed.

use crate::SELF;
use crate::measure::report::{spread, table};
use crate::processes::{program, start_control_service, to_message};
use comfy_table::Table;
use hazelgrade_config::Document;
use hazelgrade_fakes::callers::{JobOutcome, JobResult};
use hazelgrade_fakes::documents::{BOOK, text};
use hazelgrade_fakes::executor::Workload;
use hazelgrade_fakes::test_environment::{TestEnvironment, start_callers};
use hdrhistogram::Histogram;
use std::time::{Duration, Instant};

/// Measures it, as a table.
pub fn latency() -> Result<Table, String> {
    const ROUNDS: usize = 5;
    let lasts = Duration::from_secs(6);
    let mut table = table([
        "jobs while",
        "p50 ms: median (lowest to highest)",
        "p99 ms",
        "satisfied of all",
        "rounds of 6 s",
    ]);
    let work = Workload { cores: 4, job_duration: Duration::from_millis(10), makes_call: true };
    let environment = TestEnvironment::new(work).map_err(to_message)?;
    let version = |number: u32| text(&[("read", 1000 + number, 9000, 1), BOOK], 50, "");
    let first = Document::read(&version(0), "first").map_err(|faults| faults[0].to_string())?;
    let control = start_control_service(&first)?;
    let stream = "lineage = \"demo\"\n[stream.trial]\nspan_ms = 300\n";
    let mut plan = environment.node_config("n1", &program()?, &[SELF], control.address, stream);
    plan.log = "off".into();
    let node = plan.start().map_err(to_message)?;
    if !node.wait_until_ready(true) {
        return Err("the node is not ready in time".into());
    }
    let mut runs = [Vec::new(), Vec::new()];
    let mut number = 0;
    // The two in turn, so that what changes on the machine bears on both.
    for _ in 0..ROUNDS {
        for (streamed, runs) in runs.iter_mut().enumerate() {
            let callers = start_callers(node.config.listen, 200.0, &["read", "book"]);
            let began = Instant::now();
            while began.elapsed() < lasts {
                std::thread::sleep(Duration::from_secs(1));
                if streamed == 1 {
                    number += 1;
                    control.publish(&version(number)).map_err(to_message)?;
                }
            }
            runs.push(callers.stop().results);
        }
    }
    for (name, runs) in ["no version comes", "a version comes each second"].iter().zip(&runs) {
        let quantile = |part: f64| {
            let of_run = |run: &Vec<JobResult>| {
                let mut waits = Histogram::<u64>::new(3).ok()?;
                let succeeded = run.iter().filter(|told| told.outcome == JobOutcome::Succeeded);
                succeeded.for_each(|told| waits.record(told.latency.as_micros() as u64).unwrap_or_default());
                Some(waits.value_at_quantile(part) as f64 / 1000.0)
            };
            spread(runs.iter().filter_map(of_run).collect(), 1)
        };
        let all: usize = runs.iter().map(Vec::len).sum();
        let succeeded = runs.iter().flatten().filter(|told| told.outcome == JobOutcome::Succeeded).count();
        table.add_row([
            (*name).to_owned(),
            quantile(0.5),
            quantile(0.99),
            format!("{succeeded} of {all}"),
            runs.len().to_string(),
        ]);
    }
    Ok(table)
}
