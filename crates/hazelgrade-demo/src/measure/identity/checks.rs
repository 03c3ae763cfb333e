//! The cost of checking a job's caller.

use super::environment::{claims, compiled, identity_document};
use crate::ALLOCATIONS;
use crate::measure::report::table;
use crate::processes::to_message;
use comfy_table::Table;
use hazelgrade::time::Time;
use hazelgrade_identity::signer::Signer;
use hazelgrade_identity::{Authenticator, CallerId, Credentials};
use stats_alloc::Region;
use std::collections::HashSet;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const NOW_S: f64 = 1_800_000_000.0;
const RUNS: usize = 9;

fn at(seconds: f64) -> Time {
    Time::from_ms(seconds * 1000.0)
}

/// Microseconds of each in some runs, and allocations of each.
fn cost(count: usize, mut what: impl FnMut(usize)) -> (Vec<f64>, f64) {
    let (mut runs, mut allocations) = (Vec::new(), 0.0);
    for run in 0..RUNS {
        let region = Region::new(ALLOCATIONS);
        let began = Instant::now();
        (0..count).for_each(|place| what(run * count + place));
        runs.push(began.elapsed().as_secs_f64() * 1e6 / count as f64);
        allocations = region.change().allocations as f64 / count as f64;
    }
    (runs, allocations)
}

#[allow(clippy::too_many_lines)] // one measurement, read from top to bottom
pub fn checks() -> Result<Table, String> {
    const COUNT: usize = 1000;
    let mut table =
        table(["what is asked of a job", "us each: median (lowest to highest)", "a second", "allocations"]);
    let mut add = |name: &str, (runs, allocations): (Vec<f64>, f64)| {
        let mut sorted = runs.clone();
        sorted.sort_by(f64::total_cmp);
        let a_second = format!("{:.0}", 1e6 / sorted[sorted.len() / 2].max(1e-6));
        let us =
            format!("{:.2} ({:.2} to {:.2})", sorted[sorted.len() / 2], sorted[0], sorted[sorted.len() - 1]);
        table.add_row([name.to_owned(), us, a_second, format!("{allocations:.2}")]);
    };
    for algorithm in ["EdDSA", "ES256"] {
        let signer = Signer::generate(algorithm).map_err(to_message)?;
        let mut authenticator =
            Authenticator::new(compiled(&identity_document(&signer, 100, 600.0)?)?, at(NOW_S))
                .map_err(to_message)?;
        let sign = |id: usize| signer.sign("k1", &claims(&format!("caller-{}", id % 100), id, NOW_S, 300.0));
        let tokens: Vec<String> =
            (0..COUNT * RUNS).map(sign).collect::<Result<_, _>>().map_err(to_message)?;
        add(
            &format!("{algorithm}, a new token: verified and remembered"),
            cost(COUNT, |place| {
                black_box(authenticator.verify_token(at(NOW_S), &tokens[place], HERE).is_ok());
            }),
        );
        if algorithm == "EdDSA" {
            let known = Credentials {
                token: authenticator.verify_token(at(NOW_S), &tokens[0], HERE).ok(),
                certificate: None,
            };
            add(
                "a known token with the job: digest, table, rights",
                cost(COUNT, |place| {
                    let token = authenticator.verify_token(at(NOW_S), &tokens[place % 100], HERE);
                    let known = Credentials { token: token.ok(), certificate: None };
                    black_box(authenticator.authorize_and_count(at(NOW_S), &known, 0, Some(0), HERE).is_ok());
                }),
            );
            add(
                "a connection that said hello: key, expiry, rights",
                cost(COUNT, |_| {
                    black_box(authenticator.authorize_and_count(at(NOW_S), &known, 0, Some(0), HERE).is_ok());
                }),
            );
        }
        let bad: Vec<String> =
            tokens.iter().map(|token| format!("{}AAAA", &token[..token.len() - 4])).collect();
        add(
            &format!("{algorithm}, a bad signature, looked at"),
            cost(COUNT, |place| {
                // Each from a source of its own, so that none is doubted.
                let from = IpAddr::V4(Ipv4Addr::from(place as u32));
                black_box(authenticator.verify_token(at(NOW_S), &bad[place], from).is_err());
            }),
        );
        add(
            "a bad signature from a doubted source",
            cost(COUNT, |place| {
                black_box(authenticator.verify_token(at(NOW_S), &bad[place], HERE).is_err());
            }),
        );
    }
    // Rights alone, against plain ways.
    let signer = Signer::generate("EdDSA").map_err(to_message)?;
    let identity = compiled(&identity_document(&signer, 1000, 600.0)?)?;
    let ids: Vec<CallerId> =
        (0..1000).filter_map(|caller| identity.caller_by_name(&format!("caller-{caller}"))).collect();
    let triples: Vec<(usize, usize, usize)> =
        (0..1000).flat_map(|caller| [0, 1].map(|case| (caller, case, caller % 50))).collect();
    let hashed: HashSet<(usize, usize, usize)> = triples.iter().copied().collect();
    add(
        "rights of one in 1,000 callers, with its networks: bit sets",
        cost(COUNT * 10, |place| {
            black_box(identity.authorize(ids[place % 1000], place % 2, Some(place % 50), HERE).is_ok());
        }),
    );
    add(
        "the same without networks: a hash set of triples",
        cost(COUNT * 10, |place| {
            black_box(hashed.contains(&(place % 1000, place % 2, place % 50)));
        }),
    );
    add(
        "the same without networks: a scan of triples",
        cost(COUNT, |place| {
            black_box(triples.contains(&(place % 1000, place % 2, place % 50)));
        }),
    );
    Ok(table)
}
