//! The log lines by which the fate of a job or a connection can be told at the default level, and their bound.

use crate::common::*;
use hazelgrade_server::transport::log_limit::LineLimit;
use std::process::Stdio;
use std::time::{Duration, Instant};

/// Guards against a log that a flood of events fills: 20 lines of a kind in 10 s, then the next tells how many were left
/// out.
#[test]
fn lines_of_a_kind_are_bounded_and_those_left_out_are_counted() {
    let limit = LineLimit::default();
    let start = Instant::now();
    assert!((0..20).all(|_| limit.permit(start) == Some(0)));
    assert!((0..300).all(|_| limit.permit(start + Duration::from_secs(9)).is_none()));
    assert_eq!(limit.permit(start + Duration::from_secs(10)), Some(300));
    assert_eq!(limit.permit(start + Duration::from_secs(10)), Some(0));
}

/// Guards against connections that end without a word in the log: incident 58 could not be told from it.
#[test]
fn the_log_tells_why_a_connection_was_closed_and_what_was_read_on_it() {
    let mut instance = Instance::start_with_log("info", Stdio::piped());
    let (_link, mut client) = instance.ready();
    client.check(1);
    client.write(&"what\n".repeat(8));
    for _ in 0..6 {
        assert!(client.receive()["error"].is_object());
    }
    assert!(client.is_closed());
    drop(client);
    let log = instance.log_until("client connection ended");
    for expected in ["cause=too many invalid messages", "messages=6", "violations=5", "open_jobs=0"] {
        assert!(log.contains(expected), "{expected}: {log}");
    }
    assert_eq!(log.matches("message violates the protocol").count(), 5, "{log}");
}
