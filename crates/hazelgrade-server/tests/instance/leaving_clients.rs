//! Clients that leave with requests unread or unanswered: nobody waits for these jobs any more.

use crate::common::*;
use hazelgrade::api::JobId;
use hazelgrade::time::Time;
use hazelgrade_server::routing::started_jobs::StartedJobs;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn run_ended(cursor: u64, id: &str, fate: &str) -> Value {
    json!({"event": "EXIT", "cursor": cursor, "handle": id, "fate": fate, "lasted": 9, "arg": "b25l"})
}

/// Makes the instance stand still, sends it `count` jobs, and closes the connection. With `reset`, the connection is
/// reset, because an answer on it is still unread.
fn send_and_leave(instance: &Instance, mut client: Peer, reset: bool, count: u64) {
    if reset {
        client.send(&json!({"jsonrpc": "2.0", "id": 900, "method": "ping"}));
        assert!(client.stream().peek(&mut [0]).is_ok_and(|count| count == 1));
    }
    instance.signal("STOP");
    (1..=count).for_each(|call| client.send(&job(call, "read", &format!("gone{call}"))));
    drop(client);
    instance.signal("CONT");
}

/// Guards against running the jobs of a client that had left before the instance read them.
#[test]
fn jobs_that_are_read_after_their_client_has_left_do_not_run() {
    for (reset, count) in [(false, 1), (false, 60), (true, 1), (true, 60)] {
        let instance = Instance::start();
        let (mut link, mut other) = instance.ready();
        let client = instance.client();
        other.check(900);
        send_and_leave(&instance, client, reset, count);
        // The first round may be decided before anything of the leaving client is read, the second one not.
        for call in 1..=2 {
            let id = format!("a{call}");
            other.send(&job(call, "read", &id));
            assert_eq!(link.command()["handle"], id, "reset: {reset}, {count} jobs");
            link.send(&run_ended(call, &id, "good"));
            assert_eq!(other.receive()["result"]["body"], "b25l");
        }
    }
}

/// Guards against running the jobs of a client that has left since, because it closed its connection with nothing
/// unread on its side: until something was sent to it, it passed for one that only sends no more.
#[test]
fn jobs_in_flight_are_cancelled_or_dropped_when_their_client_closes_its_connection() {
    let instance = Instance::start();
    let (mut link, client) = instance.ready();
    let mut client = client;
    for call in 1..=32 {
        client.send(&job(call, "read", &format!("a{call}")));
    }
    assert_eq!(client.check(900)["result"]["up"], true);
    let first = link.command();
    assert_eq!(first["event"], "EXEC");
    drop(client);
    let mut running = vec![first["handle"].clone()];
    let mut other = instance.client();
    other.send(&job(1, "read", "b1"));
    let mut cursor = 0;
    // Whatever was started before is cancelled; then the job of the other client runs, and no further one of the first.
    loop {
        let command = link.command();
        let id = command["handle"].clone();
        match command["event"].as_str() {
            Some("KILL") => {
                running.retain(|running| *running != id);
                cursor += 1;
                link.send(&run_ended(cursor, id.as_str().expect("an id"), "cut"));
            }
            _ if id == "b1" => break,
            _ => running.push(id),
        }
    }
    assert!(running.len() < 32, "{} jobs were started", running.len());
    link.send(&run_ended(cursor + 1, "b1", "good"));
    assert_eq!(other.receive()["result"]["body"], "b25l");
    while !running.is_empty() {
        let command = link.command();
        assert_eq!(command["event"], "KILL", "{command}");
        running.retain(|running| *running != command["handle"]);
    }
}

/// Guards against jobs that go on, and are started, for a client that has left with more requests unread than it may have
/// open: its connection was not looked at until one of its jobs was answered.
#[test]
fn jobs_in_flight_are_cancelled_when_their_client_leaves_with_further_jobs_unread() {
    let instance = Instance::start_with(|configuration| {
        configuration["settings"]["classes"][0]["giveUp"] = json!(30_000);
        configuration["settings"]["classes"][0]["aim"] = json!(29_000);
    });
    let (mut link, mut client) = instance.ready();
    for call in 1..=60 {
        client.send(&job(call, "read", &format!("a{call}")));
    }
    let mut running = vec![link.command()["handle"].clone()];
    drop(client);
    let left_at = Instant::now();
    // The first that is cancelled shows that the instance knows; until then it may start what it had read.
    loop {
        let command = link.command();
        if command["event"] == "KILL" {
            break;
        }
        running.push(command["handle"].clone());
    }
    assert!(left_at.elapsed() < Duration::from_secs(1), "noticed after {:?}", left_at.elapsed());
    for _ in 1..running.len() {
        assert_eq!(link.command()["event"], "KILL");
    }
    let mut other = instance.client();
    other.send(&job(1, "read", "b1"));
    for (cursor, id) in (1..).zip(&running) {
        link.send(&run_ended(cursor, id.as_str().expect("an id"), "cut"));
    }
    assert_eq!(link.command()["handle"], "b1");
}

/// JSON-RPC error code of a failure, which does not say that the job never ran.
const FAILED: i64 = -32000;

/// Sends a job of the first class, lets it start, and resets its connection.
fn start_and_leave(instance: &Instance, link: &mut Peer, id: &str) {
    let mut client = instance.client();
    client.send(&job(1, "read", id));
    let command = link.command();
    assert_eq!((&command["event"], &command["handle"]), (&json!("EXEC"), &json!(id)));
    client.send(&json!({"jsonrpc": "2.0", "id": 90, "method": "ping"}));
    assert!(client.stream().peek(&mut [0]).is_ok_and(|count| count == 1));
}

/// Guards against a second run under the id of a job that was started for a client that has left, and against an answer
/// that says that it never ran.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_is_failed_and_does_not_run_again() {
    for idempotency in ["safe", "unsafe"] {
        let instance = Instance::start_with(|configuration| {
            configuration["settings"]["classes"][0]["idempotency"] = json!(idempotency);
        });
        let (mut link, mut other) = instance.ready();
        let copy = |other: &mut Peer, call: u64, is_late: bool| {
            let mut copy = job(call, "read", "a1");
            copy["params"]["resent"] = json!(1);
            if is_late {
                copy["params"]["ts"] = json!(unix_ms() - 60_000);
            }
            other.send(&copy);
            assert_eq!(
                other.receive()["error"]["code"],
                FAILED,
                "{idempotency}, call {call}, late: {is_late}"
            );
        };
        start_and_leave(&instance, &mut link, "a1");
        copy(&mut other, 1, false);
        if idempotency == "safe" {
            assert!(link.receives_cancel("a1"));
        }
        link.send(&run_ended(1, "a1", if idempotency == "safe" { "cut" } else { "good" }));
        // The next job runs, so the end of the first one has been handled.
        for (cursor, call) in [(2, 2), (3, 3)] {
            let id = format!("b{call}");
            other.send(&job(call, "read", &id));
            assert_eq!(link.command()["handle"], id, "{idempotency}");
            link.send(&run_ended(cursor, &id, "good"));
            assert_eq!(other.receive()["result"]["body"], "b25l");
        }
        (4..=10).for_each(|call| copy(&mut other, call, false));
        copy(&mut other, 11, true);
        other.send(&job(12, "read", "c1"));
        assert_eq!(link.command()["handle"], "c1", "{idempotency}");
    }
}

/// Guards against a table of started ids that grows without end, and against one that forgets ids too early.
#[test]
fn the_ids_of_started_jobs_are_known_for_a_minute_and_bounded_in_number() {
    let mut started = StartedJobs::default();
    let id = |number: u32| JobId::from(format!("a{number}"));
    let at = |seconds: f64| Time::from_ms(seconds * 1000.0);
    (0..100).for_each(|number| started.record(at(0.0), &id(number)));
    started.record(at(59.0), &id(100));
    assert!((0..=100).all(|number| started.contains(&id(number))));
    started.record(at(61.0), &id(101));
    assert!(!(0..100).any(|number| started.contains(&id(number))));
    assert!(started.contains(&id(100)) && started.contains(&id(101)));
    (0..100_000).for_each(|number| started.record(at(61.0), &id(number)));
    assert_eq!(started.count(), MAX_STARTED_IDS);
    assert!(started.contains(&id(99_999)) && !started.contains(&id(100)));
}

/// Ids of started jobs that an instance knows at most.
const MAX_STARTED_IDS: usize = 32_768;
