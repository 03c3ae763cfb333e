//! Invalid input, clients that violate the protocol, limits on clients and memory, the clock, and the command line.

use crate::common::*;
use hazelgrade::time::{Span, Time};
use hazelgrade_server::protocol;
use hazelgrade_server::routing::result_cache::ResultCache;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

#[test]
fn invalid_input_is_answered_with_a_json_rpc_error_and_the_connection_stays_open() {
    let instance = Instance::start();
    let (mut link, mut client) = instance.ready();
    let with = |field: &str, value: Value| {
        let mut job = job(7, "read", "a1");
        match value {
            Value::Null => {
                job["params"].as_object_mut().expect("the parameters are an object").remove(field).is_some()
            }
            value => job["params"]
                .as_object_mut()
                .expect("the parameters are an object")
                .insert(field.into(), value)
                .is_none(),
        };
        job.to_string()
    };
    let cases = [
        ("{\"jsonrpc\":\"2.0\",\"id\":7".into(), -32700, "JSON"),
        ("[1]".into(), -32600, "object"),
        ("{\"id\":7,\"method\":\"read\"}".into(), -32600, "jsonrpc"),
        ("{\"jsonrpc\":\"2.0\",\"id\":7}".into(), -32600, "method"),
        ("{\"jsonrpc\":\"2.0\",\"method\":\"read\"}".into(), -32600, "id"),
        (job(7, "write", "a1").to_string(), -32601, "method"),
        ("{\"jsonrpc\":\"2.0\",\"id\":7,\"method\":\"read\",\"params\":[]}".into(), -32602, "params"),
        (with("req", Value::Null), -32602, "req"),
        (with("req", json!("a b")), -32602, "req"),
        (with("ts", json!("now")), -32602, "ts"),
        (with("via", json!(-1)), -32602, "via"),
        (with("owner", json!("nobody")), -32602, "owner"),
        (with("owner", Value::Null), -32602, "owner"),
        (with("resent", json!("yes")), -32602, "resent"),
        (with("need", json!(0)), -32602, "need"),
        (with("need", json!(2000)), -32602, "need"),
        (with("level", json!(1.0)), -32602, "level"),
        (with("subject", json!(5)), -32602, "subject"),
        (with("body", json!("a*==")), -32602, "body"),
        (with("body", json!("A".repeat(2736))), -32602, "body"),
        (with("body", Value::Null), -32602, "body"),
    ];
    for (index, (line, code, expected_text)) in cases.into_iter().enumerate() {
        // A connection is used for at most four cases, because the fifth invalid message would close it.
        if index % 4 == 3 {
            client = instance.client();
        }
        client.write(&format!("{line}\n"));
        let error = client.receive()["error"].clone();
        assert_eq!(error["code"], code, "{line}: {error}");
        assert!(
            error["message"].as_str().is_some_and(|message| message.contains(expected_text)),
            "{line}: {error}"
        );
    }
    client.send(&job(8, "read", "a2"));
    assert_eq!(link.command()["handle"], "a2");
    client.send(&job(8, "read", "a3"));
    assert_eq!(client.receive()["error"]["code"], -32600);
    for (index, received_at) in [0, unix_ms() - 7000, unix_ms() + 60_000].into_iter().enumerate() {
        let mut client = instance.client();
        let mut job = job(1, "read", &format!("b{index}"));
        job["params"]["ts"] = json!(received_at);
        client.send(&job);
        assert_eq!(client.receive()["error"]["code"], -32602);
    }
}

/// Runs a job of this client, so that its connection becomes trusted.
fn make_trusted(link: &mut Peer, client: &mut Peer, cursor: u64) {
    let id = format!("trust{cursor}");
    client.send(&job(900 + cursor, "read", &id));
    assert_eq!(link.command()["handle"], id);
    link.send(
        &json!({"event": "EXIT", "cursor": cursor, "handle": id, "fate": "good", "lasted": 9, "arg": "b25l"}),
    );
    assert!(client.receive()["result"].is_object());
}

#[test]
fn a_client_that_keeps_sending_invalid_messages_is_told_so_and_closed_while_others_are_served() {
    let instance = Instance::start();
    let (mut link, mut client) = instance.ready();
    let (mut invalid, mut unknown_jobs) = (instance.client(), instance.client());
    invalid.write(&"what\n".repeat(500));
    for _ in 0..6 {
        assert!(invalid.receive()["error"].is_object());
    }
    assert!(invalid.is_closed());
    // Jobs that the executor does not know: each fails, and after a few of them the connection is not read any more.
    for call in 1..=30 {
        unknown_jobs.send(&job(call, "read", &format!("u{call}")));
    }
    let refuse_until = |link: &mut Peer, id: &str, max_commands: usize| {
        for _ in 0..max_commands {
            let command = link.command();
            if command["handle"] == id {
                break;
            }
            link.send(&json!({"event": "BAD", "fate": command["event"], "handle": command["handle"]}));
        }
    };
    refuse_until(&mut link, "", 5);
    let mut received = 0;
    while !unknown_jobs.is_closed() {
        assert!(unknown_jobs.receive()["error"].is_object());
        received += 1;
    }
    assert!((6..=30).contains(&received), "{received} answers");
    // A client that sends valid messages is still served.
    client.send(&job(1, "read", "a1"));
    refuse_until(&mut link, "a1", 60);
    link.send(
        &json!({"event": "EXIT", "cursor": 1, "handle": "a1", "fate": "good", "lasted": 9, "arg": "b25l"}),
    );
    assert_eq!(client.receive()["result"]["body"], "b25l");
}

#[test]
fn silent_connections_and_half_messages_are_closed_within_three_seconds_and_others_stay() {
    let instance = Instance::start();
    let (_link, mut client) = instance.ready();
    client.check(1);
    let started_at = Instant::now();
    let mut silent = instance.client();
    let mut incomplete = instance.client();
    incomplete.check(1);
    incomplete.write("{\"jsonrpc\":");
    assert!(silent.is_closed() && incomplete.is_closed());
    assert!(started_at.elapsed() > Duration::from_secs(1) && started_at.elapsed() < Duration::from_secs(3));
    client.check(2);
}

#[test]
fn unusual_order_spacing_escapes_unknown_fields_and_single_bytes_are_accepted() {
    let instance = Instance::start();
    let (mut link, mut client) = instance.ready();
    let escaped: String = "A".repeat(2728).chars().map(|c| format!("\\u{:04x}", c as u32)).collect();
    client.write(&format!(
        "{{ \"params\" : {{\"new\":[{{}}],\"body\":\"{escaped}\",\"level\":0,\"need\":1e1,\"via\":4,\
         \"ts\":{},\"owner\":\"\\u0061cme\",\"req\":\"a1\"}},\t\"method\":\"re\\u0061d\",\"id\":1 ,\"jsonrpc\":\"2.0\"}}\n",
        unix_ms()
    ));
    let run = link.command();
    assert_eq!((&run["handle"], run["arg"].as_str().map(str::len)), (&json!("a1"), Some(2728)));
    let mut other = instance.client();
    for byte in job(1, "read", "a2").to_string().chars() {
        client.write(&byte.to_string());
        assert_eq!(other.check(3)["result"]["up"], true);
    }
    client.write("\n");
    assert_eq!(client.receive()["error"]["code"], -32600);
}

#[test]
fn a_line_without_end_closes_its_connection_once_its_open_calls_are_answered() {
    let instance = Instance::start();
    let (mut link, mut client) = instance.ready();
    // An untrusted client receives an error and is closed, regardless of how much it sends.
    let mut untrusted = instance.client();
    untrusted.send(&job(1, "read", "s1"));
    assert_eq!(link.command()["handle"], "s1");
    untrusted.stream().set_write_timeout(Some(Duration::from_millis(300))).expect("set the write timeout");
    untrusted.write(&" ".repeat(30_000));
    assert!(untrusted.receive()["error"].is_object() && untrusted.is_closed());
    while std::io::Write::write_all(&mut untrusted.stream(), &[b' '; 65_536]).is_ok() {}
    assert!(link.receives_cancel("s1"));
    make_trusted(&mut link, &mut client, 1);
    client.send(&job(1, "read", "a1"));
    assert_eq!(link.command()["handle"], "a1");
    client.write(&" ".repeat(30_000));
    assert!(client.receive()["error"].is_object() && client.is_silent());
    assert_eq!(instance.client().check(1)["result"]["up"], true);
    link.send(
        &json!({"event": "EXIT", "cursor": 2, "handle": "a1", "fate": "good", "lasted": 9, "arg": "b25l"}),
    );
    assert_eq!(client.receive()["result"]["body"], "b25l");
    assert!(client.is_closed());
}

#[test]
fn a_33rd_open_job_waits_and_a_client_that_never_reads_delays_nobody() {
    let instance = Instance::start();
    let (mut link, mut client) = instance.ready();
    make_trusted(&mut link, &mut client, 1);
    // Few jobs run at the same time; the others are queued.
    for call in 1..=33 {
        client.send(&job(call, "read", &format!("a{call}")));
    }
    client.send(&json!({"jsonrpc": "2.0", "id": 90, "method": "ping"}));
    assert!(client.is_silent());
    let first = link.command()["handle"].clone();
    link.send(&json!({"event": "EXIT", "cursor": 2, "handle": first, "fate": "bad", "lasted": 9}));
    let answers = [client.receive(), client.receive()];
    assert!(answers.iter().any(|answer| answer["id"] == 90), "{answers:?}");
    let mut non_reading = instance.client();
    let ping = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}\n".repeat(1000);
    non_reading.stream().set_write_timeout(Some(Duration::from_millis(300))).expect("set the write timeout");
    while std::io::Write::write_all(&mut non_reading.stream(), ping.as_bytes()).is_ok() {}
    let started_at = Instant::now();
    assert_eq!(instance.client().check(1)["result"]["up"], true);
    assert!(started_at.elapsed() < Duration::from_millis(500));
    non_reading.receive();
}

#[test]
fn when_descriptors_run_out_the_longest_idle_connection_is_evicted_and_those_in_use_stay() {
    let instance = Instance::start_with(|configuration| configuration["limits"]["sockets"] = json!(32));
    let (mut link, mut busy) = instance.ready();
    let mut trusted = instance.client();
    make_trusted(&mut link, &mut trusted, 1);
    busy.send(&job(1, "read", "a1"));
    assert_eq!(link.command()["handle"], "a1");
    let mut idle: Vec<Peer> = (0..30).map(|_| instance.client()).collect();
    for _ in 0..3 {
        let mut new = instance.client();
        assert_eq!(new.check(1)["result"]["up"], true);
        idle.push(new);
    }
    assert!(idle[0].is_closed());
    // The trusted client has been idle for longer than the evicted one and stays connected.
    assert_eq!(trusted.check(2)["result"]["up"], true);
    link.send(
        &json!({"event": "EXIT", "cursor": 2, "handle": "a1", "fate": "good", "lasted": 9, "arg": "b25l"}),
    );
    assert_eq!(busy.receive()["result"]["body"], "b25l");
}

#[test]
fn stored_results_stay_within_their_memory_limit_and_the_earliest_to_expire_is_dropped() {
    let (now, result_cache) = (Time::from_ms(0.0), ResultCache::new(10));
    for (index, id) in ["a1", "a2"].into_iter().enumerate() {
        let id = id.into();
        let key = result_cache.job_key(job_owner(), &index.to_string(), &"".into());
        result_cache.arrived(&id, key, now, Span::ZERO);
        result_cache.store_record(&id, now, Span::from_ms(1000.0 + index as f64));
        result_cache.finish(&id, now, Some("12345678".into()));
    }
    assert_eq!(result_cache.await_result(&"b1".into(), &"a1".into()), Some(None));
    assert_eq!(result_cache.await_result(&"b2".into(), &"a2".into()), Some(Some("12345678".into())));
}

#[test]
fn arbitrary_lines_are_decoded_or_refused_without_a_panic() {
    fn property(position: usize, byte: u8, cut: usize) -> bool {
        let site = hazelgrade_settings::decode(&settings(), 1).expect("the settings are valid").host;
        let mut line = job(1, "read", "a1").to_string().into_bytes();
        let position = position % line.len();
        line[position] = byte;
        line.truncate(line.len() - cut % 3);
        let is_accepted = protocol::jsonrpc::decode(&line, &site).is_ok();
        let _ = (protocol::executor::decode(&line), protocol::database::decode(&line));
        !is_accepted || cut.is_multiple_of(3)
    }
    quickcheck::QuickCheck::new().tests(2000).quickcheck(property as fn(usize, u8, usize) -> bool);
}

#[test]
fn an_invalid_configuration_exits_with_2_and_one_line_that_names_the_field() {
    let instance = Instance::start();
    instance.client();
    let valid = instance.configuration();
    let with = |field: &str, value: Value| {
        let mut configuration: Value = serde_json::from_str(&valid).expect("the configuration is JSON");
        configuration[field] = value;
        configuration.to_string()
    };
    let cases = [
        ("{".into(), "line 1"),
        (with("listen", json!("here")), "listen"),
        (with("executor", Value::Null), "executor"),
        (with("seed", json!("xyz")), "seed"),
        (with("limits", json!({"sockets": 3})), "limits.sockets"),
        (with("limits", json!({"memory_mb": -1})), "limits.memory_mb"),
        (with("settings", json!([])), "settings"),
        (with("settings", json!({"specifics": {"halt": "sometimes"}})), "halt"),
        (valid.clone(), "listen"),
    ];
    for (text, expected_text) in cases {
        let path = write(&text);
        let output = run(&["serve", "--config", path.to_str().expect("the path is valid UTF-8")]);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        let error_lines: Vec<&str> =
            message.lines().filter(|line| line.starts_with("hazelgrade: ")).collect();
        assert_eq!((output.status.code(), error_lines.len()), (Some(2), 1), "{text}: {message}");
        assert!(error_lines[0].contains(expected_text), "{expected_text}: {message}");
        let _ = std::fs::remove_file(path);
    }
    let path = write(&valid);
    let checked = run(&["check", "--config", path.to_str().expect("the path is valid UTF-8")]);
    assert!(checked.status.success() && String::from_utf8_lossy(&checked.stdout).contains("use case book"));
    assert_eq!(run(&["serve", "--config", "/nowhere/at.json"]).status.code(), Some(2));
    for args in [&["serve", "--loud"][..], &["server"], &[]] {
        let output = run(args);
        assert!(output.status.code() == Some(2) && String::from_utf8_lossy(&output.stderr).contains("usage"));
    }
    assert!(run(&["help"]).status.success() && run(&["version"]).stdout.starts_with(b"hazelgrade "));
}
