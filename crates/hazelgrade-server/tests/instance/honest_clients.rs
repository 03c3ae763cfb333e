//! Clients that keep to the protocol are neither cut off nor answered late because of what this node, or somebody else,
//! does: however many of their jobs are rejected, and however long the node itself leaves their messages unread.

use crate::common::*;
use hazelgrade_server::transport::clients::{CallPool, PooledCalls, SharedThrottle};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Open calls that the protocol allows on a connection.
const MAX_OPEN: usize = 32;
/// How long after its deadline a job may be answered: the settings' slack of 60 ms, and 50 ms on sockets.
const SLACK: Duration = Duration::from_millis(110);
const REJECTED: i64 = -32066;

/// Sets the deadlines of the classes "read" and "book". Answers after the latency objective, two fifths of the deadline,
/// have some value, so that jobs stay queued for longer.
fn start_with_deadlines(read_ms: u64, book_ms: u64) -> Instance {
    Instance::start_with(|configuration| {
        for (index, deadline) in [read_ms, book_ms].into_iter().enumerate() {
            let class = &mut configuration["settings"]["classes"][index];
            class["giveUp"] = json!(deadline);
            class["aim"] = json!(deadline * 2 / 5);
            class["lateWorth"] = json!(0.2);
        }
    })
}

/// Sends `count` jobs with as many open as the protocol allows, and returns the longest time until an answer. All of
/// them must be rejected.
fn longest_rejection(client: &mut Peer, count: u64) -> Duration {
    let mut sent_at = BTreeMap::new();
    let mut longest = Duration::ZERO;
    let mut next = 1;
    while next <= count || !sent_at.is_empty() {
        if next <= count && sent_at.len() < MAX_OPEN {
            sent_at.insert(next, Instant::now());
            client.send(&job(next, "read", &format!("r{next}")));
            next += 1;
            continue;
        }
        let answer = client.receive();
        let sent =
            answer["id"].as_u64().and_then(|call| sent_at.remove(&call)).expect("an answer to an open call");
        assert_eq!(answer["error"]["code"], REJECTED, "after {:?}: {answer}", sent.elapsed());
        longest = longest.max(sent.elapsed());
    }
    longest
}

/// Guards against reading a connection so slowly, because its jobs were rejected, that the jobs behind them expire
/// unread: they were answered late, counted as violations, and the fifth ended the connection (incident 58).
#[test]
fn a_client_whose_jobs_are_all_rejected_is_answered_in_time_and_keeps_its_connection() {
    let instance = start_with_deadlines(700, 700);
    let (_link, mut client) = instance.ready();
    let longest = longest_rejection(&mut client, 300);
    assert!(longest <= Duration::from_millis(700) + SLACK, "answered after {longest:?}");
    assert_eq!(client.check(900)["result"]["up"], true);
}

/// Guards against a bound on rejected clients that makes honest ones pay for hostile ones: 16 connections that retry
/// immediately, with 32 jobs each, are read at 5,000 jobs a second together, and an honest new client beside them is
/// answered in time.
#[test]
fn clients_that_retry_immediately_are_read_at_a_bounded_rate_and_delay_no_honest_one() {
    let instance = start_with_deadlines(700, 700);
    let (_link, mut honest) = instance.ready();
    let flooding = Arc::new(AtomicBool::new(true));
    let started_at = Instant::now();
    let floods: Vec<_> = (0..16)
        .map(|number| {
            let (client, flooding) = (instance.client(), flooding.clone());
            std::thread::spawn(move || flood(client, number, &flooding))
        })
        .collect();
    let longest = longest_rejection(&mut honest, 300);
    let health = Instant::now();
    assert_eq!(instance.client().check(1)["result"]["up"], true);
    assert!(health.elapsed() < Duration::from_millis(500), "{:?}", health.elapsed());
    flooding.store(false, Ordering::Relaxed);
    let answers: u64 = floods.into_iter().map(|flood| flood.join().expect("the flood ran")).sum();
    assert!(longest <= Duration::from_millis(700) + SLACK, "answered after {longest:?}");
    let limit = 5_000.0 * started_at.elapsed().as_secs_f64() + 16.0 * MAX_OPEN as f64;
    assert!((answers as f64) < limit, "{answers} answers, at most {limit}");
    assert!(answers > 500, "{answers} answers are no flood");
}

/// Sends jobs too large to be queued, and sends each again as soon as it is rejected. Returns the number of answers.
fn flood(mut client: Peer, number: u64, flooding: &AtomicBool) -> u64 {
    let mut sent = 0;
    let mut send = |client: &mut Peer| {
        sent += 1;
        let mut job = job(sent, "read", &format!("f{number}-{sent}"));
        job["params"]["need"] = json!(1999);
        client.send(&job);
    };
    (0..MAX_OPEN).for_each(|_| send(&mut client));
    let mut answers = 0;
    while flooding.load(Ordering::Relaxed) {
        assert_eq!(client.receive()["error"]["code"], REJECTED);
        answers += 1;
        send(&mut client);
    }
    answers
}

/// Guards against a client that takes the whole processor with messages that owe no answer to a job: health checks, and
/// aborts of jobs that it never sent. They are read at a bounded rate, and the health checks of others are not delayed.
#[test]
fn health_checks_and_aborts_of_unknown_jobs_at_full_speed_are_read_at_a_bounded_rate() {
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}\n";
    let abort = "{\"jsonrpc\":\"2.0\",\"method\":\"abort\",\"params\":{\"req\":\"never\"}}\n";
    for (aborts_per_check, checks_per_write) in [(0, 50), (24, 2)] {
        let lines = format!("{}{check}", abort.repeat(aborts_per_check)).repeat(checks_per_write);
        let instance = Instance::start();
        let (mut link, mut trusted) = instance.ready();
        trusted.send(&job(1, "read", "a1"));
        assert_eq!(link.command()["handle"], "a1");
        link.send(&json!({"event": "EXIT", "cursor": 1, "handle": "a1", "fate": "good", "lasted": 9, "arg": "b25l"}));
        assert!(trusted.receive()["result"].is_object());
        let mut other = instance.client();
        let started_at = Instant::now();
        let mut writer = trusted.stream().try_clone().expect("the connection is open");
        let flood =
            std::thread::spawn(
                move || while std::io::Write::write_all(&mut writer, lines.as_bytes()).is_ok() {},
            );
        let (mut checks, mut longest) = (0_u32, Duration::ZERO);
        while started_at.elapsed() < FLOOD {
            assert_eq!(trusted.receive()["result"]["up"], true);
            checks += 1;
            if checks.is_multiple_of(256) {
                let sent_at = Instant::now();
                other.check(1);
                longest = longest.max(sent_at.elapsed());
            }
        }
        let limit = MAX_JOBLESS_PER_S * started_at.elapsed().as_secs_f64() + MAX_JOBLESS_BURST;
        let messages = f64::from(checks) * (aborts_per_check + 1) as f64;
        assert!(messages <= limit, "{messages} messages were read, at most {limit}");
        assert!(longest < Duration::from_millis(500), "a health check took {longest:?}");
        let _ = trusted.stream().shutdown(std::net::Shutdown::Both);
        flood.join().expect("the flood ran");
    }
}

/// How long a client floods the instance.
const FLOOD: Duration = Duration::from_millis(1500);
/// Messages per second that are read on all throttled connections together.
const MAX_JOBLESS_PER_S: f64 = 5_000.0;
/// Messages without a job that a connection may send before it is throttled, with those that grow in [`FLOOD`].
const MAX_JOBLESS_BURST: f64 = 256.0;

/// Guards against leaving jobs unread behind others that wait for much longer than their own deadline.
#[test]
fn jobs_behind_sixteen_open_ones_on_a_new_connection_are_answered_by_their_own_deadline() {
    let instance = start_with_deadlines(700, 4000);
    let (_link, mut client) = instance.ready();
    (1..=16).for_each(|call| client.send(&job(call, "book", &format!("b{call}"))));
    let sent_at = Instant::now();
    (17..=32).for_each(|call| client.send(&job(call, "read", &format!("r{call}"))));
    for _ in 17..=32 {
        let answer = client.receive();
        assert!(answer["id"].as_u64() > Some(16) && answer["error"]["code"] == REJECTED, "{answer}");
    }
    let longest = sent_at.elapsed();
    assert!(longest <= Duration::from_millis(700) + SLACK, "answered after {longest:?}");
}

/// Guards against answering late what lies behind a job for which its connection has no free call, as when a client
/// dropped some jobs without a word.
#[test]
fn a_33rd_job_and_those_behind_it_are_rejected_in_time() {
    let instance = start_with_deadlines(700, 4000);
    let (_link, mut client) = instance.ready();
    (1..=32).for_each(|call| client.send(&job(call, "book", &format!("b{call}"))));
    let sent_at = Instant::now();
    (33..=40).for_each(|call| client.send(&job(call, "read", &format!("r{call}"))));
    for call in 33..=40 {
        let answer = client.receive();
        assert_eq!((&answer["id"], &answer["error"]["code"]), (&json!(call), &json!(REJECTED)), "{answer}");
    }
    assert!(sent_at.elapsed() <= Duration::from_millis(700), "answered after {:?}", sent_at.elapsed());
    assert_eq!(client.check(900)["result"]["up"], true);
}

/// Guards against cutting off a client that writes so slowly that its jobs expire on the way.
#[test]
fn jobs_that_expire_while_they_are_being_written_are_rejected_and_count_no_violation() {
    let instance = start_with_deadlines(100, 4000);
    let (_link, mut client) = instance.ready();
    for call in 1..=6 {
        let line = format!("{}\n", job(call, "read", &format!("r{call}")));
        let (start, rest) = line.split_at(line.len() / 2);
        client.write(start);
        // The time that passes until the rest is written is the fault.
        std::thread::sleep(Duration::from_millis(200));
        client.write(rest);
        let answer = client.receive();
        assert_eq!((&answer["id"], &answer["error"]["code"]), (&json!(call), &json!(REJECTED)), "{answer}");
    }
    assert_eq!(client.check(900)["result"]["up"], true);
}

/// Guards against cutting off a client whose connection waited to be accepted, because others held all places.
#[test]
fn jobs_that_expire_while_their_connection_waits_to_be_accepted_are_rejected_and_count_no_violation() {
    let instance = Instance::start_with(|configuration| {
        configuration["limits"]["sockets"] = json!(32);
        configuration["settings"]["classes"][0]["giveUp"] = json!(300);
    });
    let (mut link, first) = instance.ready();
    let mut others: Vec<Peer> = (1..PLACES).map(|_| instance.client()).collect();
    others.push(first);
    for (index, other) in others.iter_mut().enumerate() {
        other.send(&job(1, "book", &format!("b{index}")));
    }
    assert_eq!(link.command()["event"], "EXEC");
    let mut late = instance.client();
    let lines: String = (1..=6).map(|call| format!("{}\n", job(call, "read", &format!("r{call}")))).collect();
    late.write(&lines);
    // The time that passes until there is a place is the fault.
    std::thread::sleep(Duration::from_millis(500));
    drop(others);
    let codes: Vec<Value> = (1..=6).map(|_| late.receive()["error"]["code"].clone()).collect();
    assert_eq!(codes, vec![json!(REJECTED); 6]);
    assert_eq!(late.check(900)["result"]["up"], true);
}

/// Client connections that a node with 32 descriptors may have open.
const PLACES: usize = 8;

/// Guards against cutting off a client that requests jobs of a class, or for a tenant, that this node does not know yet
/// but the rest of the fleet does: what else was open on the connection, or on its way, was lost (review/8).
#[test]
fn jobs_under_names_that_this_node_does_not_know_end_no_connection_and_lose_no_other_job() {
    let instance = start_with_deadlines(4000, 4000);
    let (mut link, mut client) = instance.ready();
    let mut lines = String::new();
    for call in (1..=40).step_by(2) {
        let mut unknown = job(call, "read", &format!("u{call}"));
        match call % 4 {
            1 => unknown["method"] = json!("reminder"),
            _ => unknown["params"]["owner"] = json!("newcomer"),
        }
        lines.push_str(&format!("{unknown}\n{}\n", job(call + 1, "read", &format!("a{call}"))));
    }
    client.write(&lines);
    let executor = std::thread::spawn(move || {
        for cursor in 1..=20 {
            let id = link.command()["handle"].clone();
            link.send(&json!({"event": "EXIT", "cursor": cursor, "handle": id, "fate": "good", "lasted": 9, "arg": "b25l"}));
        }
    });
    for _ in 1..=40 {
        let answer = client.receive();
        let is_known = answer["id"].as_u64().is_some_and(|call| call % 2 == 0);
        assert_eq!(is_known, answer["result"].is_object(), "{answer}");
    }
    executor.join().expect("all known jobs ran");
    assert_eq!(client.check(900)["result"]["up"], true);
}

/// Guards against cutting off a client whose jobs run, because the executor refused some of its jobs since: what is open
/// on the connection, or on its way, would be lost through a fault of the executor.
#[test]
fn jobs_that_the_executor_refuses_do_not_end_a_connection_on_which_a_job_has_run() {
    let instance = start_with_deadlines(4000, 4000);
    let (mut link, mut client) = instance.ready();
    let run_ended = |cursor: u64, id: &str| json!({"event": "EXIT", "cursor": cursor, "handle": id, "fate": "good", "lasted": 9, "arg": "b25l"});
    client.send(&job(1, "read", "a1"));
    assert_eq!(link.command()["handle"], "a1");
    link.send(&run_ended(1, "a1"));
    assert!(client.receive()["result"].is_object());
    for call in 2..=8 {
        let id = format!("a{call}");
        client.send(&job(call, "read", &id));
        assert_eq!(link.command()["handle"], id);
        link.send(&json!({"event": "BAD", "fate": "EXEC", "handle": id}));
        assert_eq!(client.receive()["error"]["code"], -32000);
    }
    client.send(&job(9, "read", "a9"));
    assert_eq!(link.command()["handle"], "a9");
    link.send(&run_ended(2, "a9"));
    assert_eq!(client.receive()["result"]["body"], "b25l");
}

/// Guards against leaving jobs unanswered because the process stood still over the end of its drain: it looked at the
/// clock before the controller could answer them.
#[test]
fn a_pause_over_the_end_of_a_drain_leaves_no_job_unanswered() {
    let mut instance = Instance::start_with(|configuration| {
        configuration["settings"]["guarantees"]["drainGrace"] = json!(1000);
    });
    let (_link, mut client) = instance.ready();
    (1..=8).for_each(|call| client.send(&job(call, "read", &format!("r{call}"))));
    assert_eq!(client.check(90)["result"]["up"], true);
    instance.signal("TERM");
    // The last answers are due 200 ms before the stop, which is 1.5 s after the signal. The pause spans both.
    std::thread::sleep(Duration::from_millis(1200));
    instance.signal("STOP");
    std::thread::sleep(Duration::from_millis(500));
    instance.signal("CONT");
    let mut answered = BTreeMap::new();
    while answered.len() < 8 {
        let message = client.receive();
        if let Some(call) = message["id"].as_u64() {
            answered.insert(call, message["error"]["code"].clone());
        }
    }
    assert_eq!(instance.exit_code(), Some(0));
}

/// Guards against cutting off a client that sends its jobs once more after its connection broke, while the first copies
/// still run: their caller is gone, and nobody copies anybody's id.
#[test]
fn jobs_sent_again_after_their_connection_broke_are_answered_and_count_no_violation() {
    let instance = start_with_deadlines(4000, 4000);
    let (mut link, mut client) = instance.ready();
    let first = job(1, "read", "r1");
    client.send(&first);
    assert_eq!(link.command(), json!({"event": "EXEC", "handle": "r1", "entry": "read", "arg": "aGVsbG8="}));
    // A socket that is closed with unread bytes is reset.
    client.send(&json!({"jsonrpc": "2.0", "id": 90, "method": "ping"}));
    assert!(client.stream().peek(&mut [0]).is_ok_and(|count| count == 1));
    drop(client);
    // The node has noticed. That may take a while: a process that another test starts inherits the socket for a moment.
    assert!(link.receives_cancel("r1"));
    let mut other = instance.client();
    for call in 1..=6 {
        let mut job = first.clone();
        job["id"] = json!(call);
        other.send(&job);
        assert_eq!(other.receive()["error"]["code"], -32000);
    }
    assert_eq!(other.check(900)["result"]["up"], true);
}

/// Guards against open calls of hostile clients that take more memory than 16 on each connection and 1,024 beyond them,
/// against less than 32 for a new connection while there is room, and against calls that stay counted.
#[test]
fn untrusted_connections_share_the_open_calls_beyond_sixteen_each() {
    let pool = Rc::new(CallPool::default());
    let connections: Vec<_> = (0..65).map(|_| PooledCalls::new(pool.clone())).collect();
    for connection in &connections[..64] {
        for open in 0..32 {
            assert!(connection.has_free_call(open, false));
            connection.record(open + 1, false);
        }
        assert!(!connection.has_free_call(32, false) && !connection.has_free_call(32, true));
    }
    let last = &connections[64];
    assert!(last.has_free_call(15, false) && !last.has_free_call(16, false) && last.has_free_call(16, true));
    // One call of another connection ends; then all others end, or count no longer because their connection is trusted.
    connections[0].record(31, false);
    assert!(last.has_free_call(16, false));
    last.record(17, false);
    assert!(!last.has_free_call(17, false));
    connections[1].record(32, true);
    assert!(last.has_free_call(17, false));
}

/// Guards against a pause for few throttled connections, against a longer one than each alone had before, and against a
/// debt that outlives the flood.
#[test]
fn throttled_connections_share_one_rate_and_none_pauses_for_longer_than_25_ms() {
    let start = Instant::now();
    let throttle = SharedThrottle::new(start);
    let every = |micros: u64| (1..=10_000).map(move |count| start + Duration::from_micros(micros * count));
    assert!(every(200).all(|now| throttle.reserve(now) == Duration::ZERO));
    let end = start + Duration::from_secs(2);
    let max_pause = Duration::from_millis(25);
    for count in 1..=1000 {
        assert_eq!(throttle.reserve(end), Duration::from_micros(200 * count).min(max_pause));
    }
    assert_eq!(throttle.reserve(end + Duration::from_millis(26)), Duration::ZERO);
}
