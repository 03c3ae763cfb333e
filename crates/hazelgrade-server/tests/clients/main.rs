//! Honest clients of one node under faults that are drawn by seeds: executors that hang, break off or come late, pauses,
//! signals in series, a crowd of hostile clients, steps of the Unix clock, system calls that fail. The clients send on
//! their open connections until the node is killed. No request may be lost, answered late or run twice.
//!
//! `SOAK_SEEDS=100..150` plays these seeds in place of the few that are played otherwise; `SOAK_PROGRAM=PATH` plays them
//! with another build, `SOAK_LOG=trace` follows each job.

#![allow(clippy::expect_used, clippy::panic)]

mod client;
mod crowd;
mod play;
mod verdict;

use play::Plan;
use std::ops::Range;

/// Seeds that are played if none are given. Between them they draw each kind of fault.
const SEEDS: Range<u64> = 1..7;
/// Number of plays at the same time.
const PARALLEL: usize = 3;

fn seeds() -> Vec<u64> {
    let given = std::env::var("SOAK_SEEDS").ok();
    let range = given
        .as_deref()
        .and_then(|text| text.split_once(".."))
        .map(|(from, to)| from.parse().expect("a number before ..")..to.parse().expect("a number after .."));
    range.unwrap_or(SEEDS).collect()
}

/// Guards against clients that keep to the protocol and are cut off, answered late or served twice, because this node was
/// slow, busy, paused or misled by its clock, or because somebody else was at fault (incident 58).
#[test]
fn honest_clients_lose_nothing_until_the_kill() {
    let mut broken = Vec::new();
    for batch in seeds().chunks(PARALLEL) {
        let plays: Vec<_> = batch
            .iter()
            .map(|seed| {
                let plan = Plan::draw(*seed);
                std::thread::spawn(move || verdict::judge(&play::play(&plan)))
            })
            .collect();
        for play in plays {
            let verdict = play.join().expect("the play ran");
            println!("{verdict}");
            if !verdict.is_kept() {
                broken.push(verdict.seed);
            }
        }
    }
    assert!(broken.is_empty(), "broken by seeds {broken:?}");
}
