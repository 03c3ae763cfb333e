//! Runs the components of hazelgrade together on loopback: scenes that end with a table, fault plans, and measurements.

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

/// Global allocator that counts allocations for the measurements.
#[global_allocator]
pub static ALLOCATIONS: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// First argument that makes the demo binary run as the program `hazelgrade`, so that a scene needs no second binary.
pub const SELF: &str = "hazelgrade";

fn main() -> ExitCode {
    let mut arguments: Vec<_> = std::env::args_os().skip(1).collect();
    if arguments.first().is_some_and(|argument| argument == SELF) {
        arguments.remove(0);
        return hazelgrade_server::program::command::main_with(Arguments::from_vec(arguments));
    }
    let arguments: Vec<String> =
        arguments.into_iter().map(|argument| argument.to_string_lossy().into_owned()).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match arguments[..] {
        [] | ["streaming"] => scenes::streaming::run_scene(),
        ["trouble", ..] => fault_campaign::play(&arguments[1..]),
        ["budgets"] => scenes::budgets::run_scene(),
        ["measure", "budgets"] => measure::budgets::all(),
        ["measure"] => measure::streaming::all(),
        ["measure", "identity"] => measure::identity::all(),
        ["measure", "trouble"] => measure::fault_injection::all(),
        ["measure", what] => measure::streaming::one(what),
        _ => {
            print!("{USAGE}");
            return ExitCode::from(if arguments == ["help"] { 0 } else { 2 });
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("hazelgrade-demo: {message}");
            ExitCode::FAILURE
        }
    }
}
