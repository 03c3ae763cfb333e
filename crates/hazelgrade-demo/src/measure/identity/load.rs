//! Latency of jobs with identities.

use super::environment::IdentityEnvironment;
use crate::measure::report::{spread, table};
use comfy_table::Table;
use hazelgrade_fakes::callers::{JobOutcome, JobResult, Token};
use hazelgrade_fakes::free_address;
use hazelgrade_fakes::test_environment::start_callers_with_token;
use hdrhistogram::Histogram;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn quantile(told: &[JobResult], part: f64) -> f64 {
    let Ok(mut waits) = Histogram::<u64>::new(3) else { return 0.0 };
    let succeeded = told.iter().filter(|told| told.outcome == JobOutcome::Succeeded);
    succeeded.for_each(|told| waits.record(told.latency.as_micros() as u64).unwrap_or_default());
    waits.value_at_quantile(part) as f64 / 1000.0
}

/// Job latency without identities, with them, and under a flood of bad tokens.
pub fn load() -> Result<Table, String> {
    const ROUNDS: usize = 3;
    let lasts = Duration::from_secs(4);
    let mut table = table([
        "200 jobs a second",
        "p50 ms: median (lowest to highest)",
        "p99 ms",
        "satisfied of all",
        "bad tokens a second",
    ]);
    let environment = IdentityEnvironment::new()?;
    let gone = free_address();
    let ways = [
        ("no identities", false, false),
        ("a known token with each job", true, false),
        ("the same under a flood of bad tokens", true, true),
    ];
    let mut runs: Vec<Vec<Vec<JobResult>>> = vec![Vec::new(); ways.len()];
    let mut floods = vec![0u64; ways.len()];
    for _ in 0..ROUNDS {
        for (place, (_, named, flooded)) in ways.iter().enumerate() {
            let tables = if *named { environment.identity() } else { String::new() };
            let node = environment.node(&format!("n{place}"), &tables, gone)?;
            let token: Option<Token> =
                named.then(|| environment.token(0).map(|token| Arc::new(Mutex::new(token)))).transpose()?;
            let callers = start_callers_with_token(node.config.listen, 200.0, &["read"], token);
            let (listen, until) = (node.config.listen, Instant::now() + lasts);
            let flood = flooded.then(|| std::thread::spawn(move || flood(listen, until)));
            std::thread::sleep(lasts);
            floods[place] += flood.and_then(|flood| flood.join().ok()).unwrap_or(0);
            runs[place].push(callers.stop().results);
        }
    }
    for ((name, _, _), (runs, flood)) in ways.iter().zip(runs.iter().zip(&floods)) {
        let all: usize = runs.iter().map(Vec::len).sum();
        let succeeded = runs.iter().flatten().filter(|told| told.outcome == JobOutcome::Succeeded).count();
        table.add_row([
            (*name).to_owned(),
            spread(runs.iter().map(|run| quantile(run, 0.5)).collect(), 1),
            spread(runs.iter().map(|run| quantile(run, 0.99)).collect(), 1),
            format!("{succeeded} of {all}"),
            (flood / (ROUNDS as u64 * lasts.as_secs())).to_string(),
        ]);
    }
    Ok(table)
}

/// Bad tokens as fast as a client can send them, on new connections when they are closed.
fn flood(listen: SocketAddr, until: Instant) -> u64 {
    let mut sent = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(listen) else { continue };
        while Instant::now() < until {
            let token = format!("eyJhbGciOiJFZERTQSIsImtpZCI6ImsxIn0.e30.{sent:086}");
            let line =
                json!({"jsonrpc": "2.0", "id": sent + 1, "method": "hello", "params": {"token": token}});
            if stream.write_all(format!("{line}\n").as_bytes()).is_err() {
                break;
            }
            sent += 1;
        }
    }
    sent
}
