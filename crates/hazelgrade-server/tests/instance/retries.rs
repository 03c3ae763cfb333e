//! Retries of keyed jobs that this node does not admit: no answer says that the job never ran once another try of it may
//! have run.

use crate::common::*;
use serde_json::{Value, json};

/// JSON-RPC error code of a failure, which does not say that the job never ran.
const FAILED: i64 = -32000;
/// Open calls that the protocol allows on a connection.
const MAX_OPEN: u64 = 32;

fn keyed_job(call: u64, id: &str, key: &str) -> Value {
    let mut job = job(call, "book", id);
    job["params"]["opkey"] = json!(key);
    job
}

fn run_ended(cursor: u64, id: &str) -> Value {
    json!({"event": "EXIT", "cursor": cursor, "handle": id, "fate": "good", "lasted": 9, "arg": "b25l"})
}

/// Guards against rejecting a retry as never run because it expired before it was read, although its first try has run.
#[test]
fn an_expired_retry_of_a_keyed_job_that_has_run_is_failed_and_not_rejected() {
    let instance = Instance::start();
    let (mut link, mut client) = instance.ready();
    client.send(&keyed_job(1, "a1", "order-7"));
    assert_eq!(link.command()["handle"], "a1");
    link.send(&run_ended(1, "a1"));
    assert_eq!(client.receive()["result"]["body"], "b25l");
    let mut expired = keyed_job(2, "a2", "order-7");
    expired["params"]["ts"] = json!(unix_ms() - 60_000);
    client.send(&expired);
    assert_eq!(client.receive()["error"]["code"], FAILED);
}

/// Guards against rejecting a retry as never run because its connection has no free call, while its first try runs.
#[test]
fn a_retry_without_a_free_call_is_failed_and_not_rejected_while_the_first_try_runs() {
    let instance = Instance::start();
    let (mut link, mut first) = instance.ready();
    first.send(&keyed_job(1, "a1", "order-7"));
    assert_eq!(link.command()["handle"], "a1");
    let mut second = instance.client();
    // They repeat the first job, so that they neither run nor end before it.
    (1..=MAX_OPEN).for_each(|call| second.send(&keyed_job(call, &format!("b{call}"), "order-7")));
    second.send(&keyed_job(MAX_OPEN + 1, "c1", "order-7"));
    let answer = second.receive();
    assert_eq!((&answer["id"], &answer["error"]["code"]), (&json!(MAX_OPEN + 1), &json!(FAILED)), "{answer}");
}
