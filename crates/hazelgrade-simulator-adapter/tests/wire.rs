//! Drives the built binary over its standard input, as the bench does.

#![allow(clippy::expect_used)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const LAUNCH: &str = concat!(
    "launch\t3\t42\t{\"classes\":[{\"aim\":2000,\"giveUp\":6000,\"idempotency\":\"safe\",\"gain\":1}],",
    "\"specifics\":{\"cores\":2,\"memoryKb\":9000,\"blowup\":8,\"signal\":\"weight\",\"newKey\":[1]}}"
);

fn host(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hazelgrade-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // The child may end before it has read everything, when the input is malformed.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the binary ends")
}

fn job(id: &str) -> String {
    format!("ingress\t3\t{id}\t0\t0\t-\t-\t-\t12.5\t0.5\t0\t1\t0.4\t-")
}

#[test]
fn batches_are_answered_one_by_one_and_a_crash_with_a_launch_starts_afresh() {
    let (old, new) = (job("old"), job("new"));
    let input = format!(
        "sync\t5\neof_batch\nsync\t10\n{LAUNCH}\n{old}\neof_batch\n\
         sync\t20\ncrash_now\t3\n{LAUNCH}\n{new}\ntimeout_fired\t3\t99\tcore_use:0.5\neof_batch\n"
    );
    let output = host(&input);
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies: Vec<&str> = text.split("ok\n").collect();
    assert_eq!((replies.len(), replies[0]), (4, ""), "{text}");
    assert!(replies[1].contains("execute\t3\told\n"), "{text}");
    assert!(replies[2].contains("execute\t3\tnew\n") && !replies[2].contains("old"), "{text}");
}

#[test]
fn a_malformed_line_ends_it_with_one_plain_line() {
    let cases = [
        ("hello\t3", "message"),
        ("ingress\t3\tid\t7\t0\t-\t-\t-\t1\t0.5\t0\t1\t0.4\t-", "category"),
        ("ingress\t3\tid\t0\t0\t-\t-\t-\tbig\t0.5\t0\t1\t0.4\t-", "sizeKb"),
        ("returned\t3\tid\tfine\t3", "result"),
        ("needs_dep\t3\tid\tmore", "end of the line"),
        ("crash_now\tx", "field i"),
        ("needs_dep\t4\tid", "launched"),
    ];
    for (line, field) in cases {
        let output = host(&format!("sync\t10\n{LAUNCH}\n{line}\neof_batch\n"));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && output.stdout.is_empty(), "{line}");
        assert!(
            message.lines().count() == 1 && message.contains("line 3") && message.contains(field),
            "{message}"
        );
    }
}
