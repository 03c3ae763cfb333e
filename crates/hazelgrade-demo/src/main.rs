//! Plays the parts of hazelgrade together on loopback: scenes that end with a table, and measurements.

mod fault_campaign;
mod measure;
mod processes;
mod scenes;

use pico_args::Arguments;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;

const USAGE: &str = "\
hazelgrade-demo: the parts of hazelgrade at work, on loopback, with no file to write

usage:
  hazelgrade-demo [SCENE]         plays a scene, streaming if none is named
  hazelgrade-demo trouble [--seed N] [--minutes M] [--nodes N] [--faults N] [--repeat N] [--plan FILE]
                          [--sites N --whole N]
                                  many nodes with faults between them, drawn by seed or from a file
  hazelgrade-demo measure [WHAT]  measures streaming: all, or effect, bytes, reconnects, start or latency;
                                  or identity, trouble or budgets

scenes:
  budgets      three nodes that share calls below; one is killed and its part moves
  streaming    a control service, two nodes, and callers; a good version, a wrong one and a harmful one
";

/// Counts allocations, for the measurements.
#[global_allocator]
pub static ALLOCATIONS: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Under this word it is the program `hazelgrade` itself, so that a scene needs no other file.
pub const SELF: &str = "hazelgrade";

fn main() -> ExitCode {
    let mut words: Vec<_> = std::env::args_os().skip(1).collect();
    if words.first().is_some_and(|word| word == SELF) {
        words.remove(0);
        return hazelgrade_server::program::command::main_with(Arguments::from_vec(words));
    }
    let words: Vec<String> = words.into_iter().map(|word| word.to_string_lossy().into_owned()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let done = match words[..] {
        [] | ["streaming"] => scenes::streaming::play(),
        ["trouble", ..] => fault_campaign::play(&words[1..]),
        ["budgets"] => scenes::budgets::play(),
        ["measure", "budgets"] => measure::budgets::all(),
        ["measure"] => measure::streaming::all(),
        ["measure", "identity"] => measure::identity::all(),
        ["measure", "trouble"] => measure::fault_injection::all(),
        ["measure", what] => measure::streaming::one(what),
        _ => {
            print!("{USAGE}");
            return ExitCode::from(if words == ["help"] { 0 } else { 2 });
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("hazelgrade-demo: {message}");
            ExitCode::FAILURE
        }
    }
}
