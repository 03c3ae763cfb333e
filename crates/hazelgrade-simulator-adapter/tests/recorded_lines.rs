//! Lines that an earlier build was given, and the lines that it answered: this build answers the same, byte for byte.
//!
//! `recorded/input.tsv` was played to the adapter of commit 7080dd1, `recorded/output.tsv` is what it wrote. The input has
//! each message of the protocol, the output each decision that the adapter writes but `print`.

#![allow(clippy::expect_used)]

use std::io::Write;
use std::process::{Command, Stdio};
use std::thread;

const INPUT: &str = include_str!("recorded/input.tsv");
const OUTPUT: &str = include_str!("recorded/output.tsv");

/// What the adapter writes for this input.
fn played(input: &'static str) -> String {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_hazelgrade-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut stdin = adapter.stdin.take().expect("piped");
    let writer = thread::spawn(move || stdin.write_all(input.as_bytes()).expect("it takes all lines"));
    let output = adapter.wait_with_output().expect("the binary ends");
    writer.join().expect("all is written");
    assert!(output.status.success(), "{}", output.status);
    String::from_utf8(output.stdout).expect("text")
}

/// The first field of each line.
fn messages(lines: &str) -> Vec<&str> {
    let mut names: Vec<&str> = lines.lines().filter_map(|line| line.split('\t').next()).collect();
    names.sort_unstable();
    names.dedup();
    names
}

#[test]
fn recorded_input_lines_give_the_recorded_output_lines() {
    let output = played(INPUT);
    for (number, (line, recorded)) in output.lines().zip(OUTPUT.lines()).enumerate() {
        assert_eq!(line, recorded, "line {} of recorded/output.tsv", number + 1);
    }
    assert_eq!(output, OUTPUT);
}

#[test]
fn the_recording_has_each_message_of_the_protocol() {
    let input =
        ["crash_now", "eof_batch", "ingress", "launch", "needs_dep", "retire_soon", "returned", "sync"];
    let events = ["timed_out_client", "timeout_fired", "wound_up"];
    assert_eq!(messages(INPUT), [&input[..], &events].concat());
    let output = [
        "announce",
        "call_dep",
        "decline",
        "drop_key",
        "execute",
        "finish_error",
        "go_on",
        "halt",
        "join",
        "keep",
        "ok",
        "set_health",
        "timer",
    ];
    assert_eq!(messages(OUTPUT), output);
}
