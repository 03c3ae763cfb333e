//! Breaks of the link to the executor: which commands are sent again on the new link, and what becomes of jobs whose
//! command may be lost.

use crate::common::*;
use hazelgrade::time::Span;
use hazelgrade_server::routing::run_command::{
    LossWindow, Recovery, RunCommand, RunRules, SilenceResponse, UnconfirmedCommand,
};
use hazelgrade_server::transport::executor::{ExecutorLink, NoLink};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const REJECTED: i64 = -32066;

fn run_ended(cursor: u64, id: &str) -> Value {
    json!({"event": "EXIT", "cursor": cursor, "handle": id, "fate": "good", "lasted": 9, "arg": "b25l"})
}

fn call_requested(cursor: u64, id: &str) -> Value {
    json!({"event": "CALLOUT", "cursor": cursor, "handle": id, "arg": "cXVlcnk="})
}

fn welcome() -> Value {
    json!({"event": "WELCOME", "fate": "old", "lasted": 5})
}

/// Starts an instance whose class "book" is of this kind.
fn instance_with(idempotency: &str) -> Instance {
    Instance::start_with(|configuration| {
        configuration["settings"]["classes"][1]["idempotency"] = json!(idempotency);
    })
}

/// Sends a job, and receives the command to start its run.
fn start_run(link: &mut Peer, client: &mut Peer, call: u64, job_class: &str, id: &str) {
    client.send(&job(call, job_class, id));
    let run = link.command();
    assert_eq!((&run["event"], &run["handle"]), (&json!("EXEC"), &json!(id)), "{run}");
}

/// Accepts the next link and answers requests for gauges up to the one that follows the missed events.
fn restored_link(instance: &Instance) -> Peer {
    let (mut link, _) = instance.link();
    link.send(&welcome());
    while link.answer_gauges(1) != "all-heard" {}
    link
}

/// Guards against a second run of an at-most-once or keyed job whose run ended while the link was restored.
#[test]
fn a_run_that_ends_behind_the_missed_events_is_not_started_again_unless_its_job_is_idempotent() {
    for idempotency in ["unsafe", "keyed"] {
        let instance = instance_with(idempotency);
        let (mut link, mut client) = instance.ready();
        start_run(&mut link, &mut client, 1, "book", "a1");
        start_run(&mut link, &mut client, 2, "read", "b1");
        drop(link);
        let mut link = restored_link(&instance);
        link.send(&run_ended(1, "a1"));
        // Lost commands are sent again in the order of the ids, so that of a1 would come before that of b1.
        let command = link.command();
        assert_eq!((&command["event"], &command["handle"]), (&json!("EXEC"), &json!("b1")), "{idempotency}");
        assert_eq!(client.receive()["result"]["body"], "b25l");
        link.send(&run_ended(2, "b1"));
        assert_eq!(client.receive()["result"]["body"], "b25l");
        start_run(&mut link, &mut client, 3, "read", "c1");
    }
}

/// Guards against a job without an answer, and against a run that counts as running for ever, after the start of an
/// at-most-once job was lost with the link.
#[test]
fn jobs_whose_start_was_lost_are_failed_by_their_deadline_and_leave_room_for_others() {
    const JOBS: u64 = 12;
    const DEADLINE: Duration = Duration::from_millis(1000);
    let instance = Instance::start_with(|configuration| {
        let class = &mut configuration["settings"]["classes"][1];
        (class["idempotency"], class["aim"], class["giveUp"]) =
            (json!("unsafe"), json!(600), json!(DEADLINE.as_millis() as u64));
    });
    let (mut link, mut client) = instance.ready();
    let sent_at = Instant::now();
    let jobs: Vec<String> =
        (1..=JOBS).map(|call| job(call, "book", &format!("a{call:02}")).to_string()).collect();
    client.write(&(jobs.join("\n") + "\n"));
    let first_started = link.command()["handle"].clone();
    drop(link);
    let mut link = restored_link(&instance);
    // Runs that start on the new link end at once; those whose start was lost with the old link do not exist.
    let executor = std::thread::spawn(move || {
        let (mut cursor, mut started) = (0, Vec::new());
        loop {
            let command = link.command();
            let Some(id) = command["handle"].as_str() else { continue };
            started.push(id.to_owned());
            cursor += 1;
            link.send(&run_ended(cursor, id));
            if id == "last" {
                return started;
            }
        }
    });
    let mut failed = 0;
    for _ in 0..JOBS {
        let answer = client.receive();
        failed += u64::from(answer["error"]["code"].as_i64().is_some_and(|code| code != REJECTED));
    }
    assert!(
        sent_at.elapsed() < DEADLINE + Duration::from_millis(100),
        "answers came after {:?}",
        sent_at.elapsed()
    );
    assert!(failed > 0, "the job whose start was lost was not failed");
    // Runs that were given up no longer count once the deadline of their jobs has passed.
    let mut served = false;
    while !served && sent_at.elapsed() < TIMEOUT {
        client.send(&job(JOBS + 1, "read", "last"));
        served = client.receive()["result"]["body"] == "b25l";
    }
    assert!(served, "no job runs any more");
    let started = executor.join().expect("the executor's thread ends");
    assert!(!started.iter().any(|id| *id == first_started), "{first_started} was started again: {started:?}");
}

/// Guards against failing an at-most-once job whose start was never sent, because there was no link at that moment.
#[test]
fn a_start_that_found_no_link_is_sent_on_the_next_one_whatever_the_job_allows() {
    for idempotency in ["unsafe", "keyed", "safe"] {
        let mut instance = instance_with(idempotency);
        let (mut link, mut client) = instance.ready();
        start_run(&mut link, &mut client, 1, "read", "r1");
        link.send(&run_ended(1, "r1"));
        assert_eq!(client.receive()["result"]["body"], "b25l");
        let moved = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let address = moved.local_addr().expect("read the local address").to_string();
        instance.reload(|configuration| configuration["executor"] = json!(address));
        // After its last request on the old link the instance drops all commands until the new link is up.
        while link.receive()["ticket"] != "parting" {}
        client.send(&job(2, "book", "a1"));
        client.check(3);
        drop(link);
        let mut link = Peer::accept(&moved);
        assert_eq!(link.receive(), json!({"event": "JOIN", "cursor": 1}));
        link.send(&welcome());
        let command = link.command();
        assert_eq!((&command["event"], &command["handle"]), (&json!("EXEC"), &json!("a1")), "{idempotency}");
        link.send(&run_ended(2, "a1"));
        assert_eq!(client.receive()["result"]["body"], "b25l");
    }
}

#[test]
fn a_line_for_the_executor_is_refused_while_there_is_no_link() {
    assert_eq!(ExecutorLink::new(free_address()).send("line\n"), Err(NoLink));
}

/// Lets the run of a job request its first call, and receives the reply to the call on the link. The reply is not
/// confirmed when this returns.
fn receive_first_reply(instance: &Instance, link: &mut Peer, id: &str) {
    link.send(&call_requested(1, id));
    let mut database_connections = DatabaseConnections::of(&instance.database);
    let connection = database_connections.call(id);
    database_connections.reply(connection, &format!("{id} ROWS 1\r\n1\r\n"));
    assert_eq!(link.command(), json!({"event": "RETURN", "handle": id, "arg": "MQ=="}));
}

/// Guards against the reply to a run's first call being delivered as the reply to its second call.
#[test]
fn a_reply_is_not_sent_again_to_a_run_that_waits_for_its_next_call_behind_the_missed_events() {
    for idempotency in ["safe", "unsafe"] {
        let instance = instance_with(idempotency);
        let (mut link, mut client) = instance.ready();
        start_run(&mut link, &mut client, 1, "book", "a1");
        receive_first_reply(&instance, &mut link, "a1");
        drop(link);
        let mut link = restored_link(&instance);
        link.send(&call_requested(2, "a1"));
        let mut database_connections = DatabaseConnections::of(&instance.database);
        let connection = database_connections.call("a1");
        database_connections.reply(connection, "a1 ROWS 1\r\n2\r\n");
        assert_eq!(
            link.command(),
            json!({"event": "RETURN", "handle": "a1", "arg": "Mg=="}),
            "{idempotency}"
        );
        link.send(&run_ended(3, "a1"));
        assert_eq!(client.receive()["result"]["body"], "b25l");
    }
}

/// Guards against a run that waits for ever for a reply that was lost with the link.
#[test]
fn after_a_lost_reply_the_run_continues_without_it_or_is_started_anew_or_fails_by_its_deadline() {
    let lost_reply = |idempotency: &str, weight_without_call: f64| {
        let instance = Instance::start_with(|configuration| {
            let settings = &mut configuration["settings"];
            settings["classes"][1]["idempotency"] = json!(idempotency);
            (settings["classes"][1]["aim"], settings["classes"][1]["giveUp"]) = (json!(900), json!(1200));
            settings["specifics"]["classSkipWorth"][1] = json!(weight_without_call);
        });
        let (mut link, mut client) = instance.ready();
        start_run(&mut link, &mut client, 1, "book", "a1");
        receive_first_reply(&instance, &mut link, "a1");
        drop(link);
        let link = restored_link(&instance);
        (instance, link, client)
    };
    for idempotency in ["safe", "keyed", "unsafe"] {
        let (_instance, mut link, mut client) = lost_reply(idempotency, 0.5);
        assert_eq!(link.command(), json!({"event": "BYPASS", "handle": "a1", "cursor": 1}), "{idempotency}");
        link.send(&run_ended(2, "a1"));
        assert_eq!(client.receive()["result"]["body"], "b25l");
    }
    let (_instance, mut link, mut client) = lost_reply("safe", 0.0);
    assert_eq!(link.command(), json!({"event": "KILL", "handle": "a1"}));
    link.send(&json!({"event": "EXIT", "cursor": 2, "handle": "a1", "fate": "cut", "lasted": 9, "arg": ""}));
    assert_eq!(link.command()["event"], "EXEC");
    link.send(&run_ended(3, "a1"));
    assert_eq!(client.receive()["result"]["body"], "b25l");
    for idempotency in ["keyed", "unsafe"] {
        let (_instance, mut link, mut client) = lost_reply(idempotency, 0.0);
        let executor = std::thread::spawn(move || link.command());
        let answer = client.receive();
        assert!(answer["error"]["code"].as_i64().is_some_and(|code| code != REJECTED), "{answer}");
        // Nothing was sent to the run: the next command is for another job.
        client.send(&job(2, "read", "b1"));
        assert_eq!(executor.join().expect("the executor's thread ends")["handle"], "b1", "{idempotency}");
    }
}

/// Returns rules that forbid nothing, with a deadline of 1 s.
fn permissive_rules() -> RunRules {
    let deadline = Span::from_ms(1000.0);
    RunRules { is_idempotent: true, may_skip_calls: true, is_cancellable: true, deadline }
}

/// Guards against a command that is sent again although it could do harm, and against one that is not sent again
/// although it certainly was lost.
#[test]
fn a_command_is_recovered_by_what_is_known_of_its_receipt_and_by_the_harm_it_could_do() {
    let (before, after) = (Duration::from_secs(1), Duration::from_secs(2));
    let now = Instant::now();
    let lost = LossWindow { from: now.checked_sub(before).unwrap_or(now), until: now + after };
    let later = LossWindow { from: now + after, until: now + after * 2 };
    let start = || RunCommand::StartRun;
    let skip = || RunCommand::SkipCall { cursor: 7 };
    let reply = || RunCommand::CallReply { cursor: 7, body: "".into() };
    let at_most_once = RunRules { is_idempotent: false, ..permissive_rules() };
    let await_event = |limit_ms: Option<f64>| Recovery::AwaitEvent { limit: limit_ms.map(Span::from_ms) };
    let recover =
        |command, sent, window, rules| UnconfirmedCommand::new(command, sent).recover(window, rules, true);
    for rules in [permissive_rules(), at_most_once] {
        for command in [start(), reply(), skip()] {
            assert_eq!(recover(command.clone(), Err(NoLink), lost, rules), Recovery::SendAgain);
            assert_eq!(recover(command, Ok(()), later, rules), Recovery::NotNeeded);
        }
        assert_eq!(recover(skip(), Ok(()), lost, rules), Recovery::SendAgain);
        assert_eq!(recover(reply(), Ok(()), lost, rules), await_event(Some(50.0)));
    }
    assert_eq!(recover(start(), Ok(()), lost, permissive_rules()), Recovery::SendAgain);
    assert_eq!(recover(start(), Ok(()), lost, at_most_once), await_event(None));
    // Nobody waits for the answer any more.
    let mut unwanted = UnconfirmedCommand::new(start(), Ok(()));
    assert_eq!(unwanted.recover(lost, permissive_rules(), false), await_event(None));
    // A command in doubt stays so when a later link is lost too, and is known to be received once it is sent again on
    // a link that is not lost.
    let mut command = UnconfirmedCommand::new(start(), Ok(()));
    assert_eq!(command.recover(lost, at_most_once, true), await_event(None));
    assert_eq!(command.recover(later, at_most_once, true), await_event(None));
    command.sent_again(Ok(()));
    assert_eq!(command.recover(later, at_most_once, true), Recovery::NotNeeded);
}

/// Guards against a run that is started anew although its job may not run twice or nobody wants its answer.
#[test]
fn a_run_that_stays_silent_after_a_lost_reply_is_treated_by_the_rules_of_its_class() {
    let respond = |command: RunCommand, rules, is_wanted| {
        UnconfirmedCommand::new(command, Ok(())).respond_to_silence(rules, is_wanted)
    };
    let reply = || RunCommand::CallReply { cursor: 7, body: "".into() };
    let must_call = RunRules { may_skip_calls: false, ..permissive_rules() };
    assert_eq!(respond(reply(), permissive_rules(), true), SilenceResponse::SkipCall { cursor: 7 });
    assert_eq!(respond(reply(), must_call, true), SilenceResponse::Restart);
    for rules in
        [RunRules { is_idempotent: false, ..must_call }, RunRules { is_cancellable: false, ..must_call }]
    {
        assert_eq!(respond(reply(), rules, true), SilenceResponse::AwaitDeadline);
    }
    assert_eq!(respond(reply(), must_call, false), SilenceResponse::AwaitDeadline);
    assert_eq!(respond(RunCommand::StartRun, permissive_rules(), true), SilenceResponse::AwaitDeadline);
}
