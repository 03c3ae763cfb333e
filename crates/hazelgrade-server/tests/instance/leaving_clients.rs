//! Clients that leave with requests unread or unanswered: nobody waits for these jobs any more.

use crate::common::*;
use serde_json::{Value, json};

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
