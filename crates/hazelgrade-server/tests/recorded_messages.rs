//! Records every message format between an instance and its clients, executor, database and registry, byte for byte.
//! The peers are separate programs, so identifiers in this package may be renamed, but the messages must not change.

#![allow(clippy::expect_used)]

use hazelgrade::api::Idempotency;
use hazelgrade::time::Span;
use hazelgrade_server::protocol::executor::{Command, Event, RunEnd};
use hazelgrade_server::protocol::jsonrpc::{Answer, ClientMessage};
use hazelgrade_server::protocol::{database, executor, jsonrpc, registry};
use hazelgrade_settings::HostSettings;
use serde_json::json;

/// Settings with one idempotent and one keyed job class and one tenant; `authenticates_callers` states whether callers
/// are authenticated.
fn host_settings(authenticates_callers: bool) -> HostSettings {
    let settings = json!({
        "classes": [
            {"name": "read", "aim": 3000, "giveUp": 6000, "idempotency": "safe", "gain": 1, "window": 5000},
            {"name": "book", "aim": 3000, "giveUp": 6000, "idempotency": "keyed", "gain": 2, "window": 5000}
        ],
        "customers": [{"name": "acme", "quotaPerS": 1000}],
        "fleetSize": 1
    });
    let host = hazelgrade_settings::decode(&settings, 1).expect("settings").host;
    assert_eq!(host.job_classes[0].idempotency, Idempotency::Idempotent);
    assert_ne!(host.job_classes[1].idempotency, Idempotency::Idempotent);
    HostSettings { authenticates_callers, ..host }
}

#[test]
fn answers_to_jobs() {
    let rejected = |not_elsewhere, ms| Answer::Rejected { not_elsewhere, retry_after: Span::from_ms(ms) };
    let cases = [
        (Answer::Succeeded("b25l".into()), None, r#"{"id":7,"jsonrpc":"2.0","result":{"body":"b25l"}}"#),
        (
            Answer::Succeeded("b25l".into()),
            Some(0.75),
            r#"{"id":7,"jsonrpc":"2.0","result":{"body":"b25l","signal":0.75}}"#,
        ),
        (
            rejected(false, 0.0),
            None,
            r#"{"error":{"code":-32066,"data":{},"message":"bounced: this try never ran"},"id":7,"jsonrpc":"2.0"}"#,
        ),
        (
            rejected(true, 250.0),
            Some(0.5),
            concat!(
                r#"{"error":{"code":-32066,"data":{"holdoff":250.0,"nomore":1,"signal":0.5},"#,
                r#""message":"bounced: this try never ran"},"id":7,"jsonrpc":"2.0"}"#
            ),
        ),
        (
            Answer::Denied("not allowed"),
            None,
            concat!(
                r#"{"error":{"code":-32066,"data":{"denied":1,"nomore":1},"message":"not allowed"},"#,
                r#""id":7,"jsonrpc":"2.0"}"#
            ),
        ),
        (
            Answer::Failed,
            Some(1.0),
            concat!(
                r#"{"error":{"code":-32000,"data":{"signal":1.0},"message":"written off"},"#,
                r#""id":7,"jsonrpc":"2.0"}"#
            ),
        ),
    ];
    for (answer, load_signal, line) in cases {
        assert_eq!(jsonrpc::encode(7, &answer, load_signal), format!("{line}\n"));
    }
}

#[test]
fn answers_to_health_checks_and_hellos_and_the_notice_of_a_drain() {
    assert_eq!(
        jsonrpc::encode_check(3, true, None),
        "{\"id\":3,\"jsonrpc\":\"2.0\",\"result\":{\"up\":true}}\n"
    );
    assert_eq!(
        jsonrpc::encode_check(3, false, Some(0.25)),
        "{\"id\":3,\"jsonrpc\":\"2.0\",\"result\":{\"signal\":0.25,\"up\":false}}\n"
    );
    assert_eq!(
        jsonrpc::encode_hello(4, Ok("billing")),
        "{\"id\":4,\"jsonrpc\":\"2.0\",\"result\":{\"caller\":\"billing\"}}\n"
    );
    assert_eq!(
        jsonrpc::encode_hello(4, Err("expired")),
        "{\"error\":{\"code\":-32602,\"message\":\"expired\"},\"id\":4,\"jsonrpc\":\"2.0\"}\n"
    );
    assert_eq!(jsonrpc::DRAINING, "{\"jsonrpc\":\"2.0\",\"method\":\"draining\"}\n");
}

#[test]
fn answers_to_requests_that_break_the_protocol() {
    let cases = [
        ("{", "null", -32700, "the line is not a JSON value in UTF-8"),
        ("[1]", "null", -32600, "expected one JSON object; batches are not taken"),
        (r#"{"id":7,"method":"read"}"#, "7", -32600, r#"field jsonrpc: expected \"2.0\""#),
        (r#"{"jsonrpc":"2.0","id":7}"#, "7", -32600, "field method: expected a word"),
        (
            r#"{"jsonrpc":"2.0","id":7,"method":"read","params":[]}"#,
            "7",
            -32602,
            "field params: expected an object",
        ),
        (r#"{"jsonrpc":"2.0","method":"read"}"#, "null", -32600, "field id: expected a whole number"),
        (
            r#"{"jsonrpc":"2.0","id":7,"method":"write"}"#,
            "7",
            -32601,
            "field method: expected a use case of this site",
        ),
    ];
    for (line, id, code, message) in cases {
        assert_error_answer(line, &host_settings(false), id, code, message);
    }
    let line = jsonrpc::encode_error(&jsonrpc::invalid_time(7));
    let message = "field ts: expected a time in the past, and within the cut-off";
    assert_eq!(line, error_line("7", -32602, message));
    let line = jsonrpc::encode_error(&jsonrpc::call_id_in_use());
    assert_eq!(line, error_line("null", -32600, "field id: a call with this id is still open"));
    let line = jsonrpc::encode_error(&jsonrpc::line_too_long());
    assert_eq!(line, error_line("null", -32600, "the line is longer than any message"));
    let line = jsonrpc::encode_error(&jsonrpc::too_many_violations());
    assert_eq!(line, error_line("null", -32600, "too many wrong messages"));
}

#[test]
fn answers_to_wrong_fields_of_a_job() {
    let owner_message = "field owner: expected a customer of this site";
    let cases = [
        ("read", r#""req":"a1""#, r#""req":"""#, "field req: expected a job's id"),
        ("read", r#""req":"a1""#, r#""req":"a 1""#, "field req: expected a job's id without spaces"),
        ("read", r#""ts":1000.5"#, r#""ts":0"#, "field ts: expected Unix milliseconds"),
        ("read", r#""via":2"#, r#""via":0.5"#, "field via: expected a whole number"),
        ("read", r#""owner":"acme""#, r#""owner":"other""#, owner_message),
        ("read", r#""owner":"acme""#, r#""owner":null"#, owner_message),
        ("read", r#""resent":1"#, r#""resent":2"#, "field resent: expected 1, or no such field"),
        (
            "read",
            r#""need":12.5"#,
            r#""need":2000"#,
            "field need: expected kilobytes, above 0 and under 2000",
        ),
        ("read", r#""level":0.5"#, r#""level":1"#, "field level: expected from 0 to under 1"),
        ("read", r#""subject":"s1""#, r#""subject":5"#, "field subject: expected what a read is about"),
        ("book", r#""opkey":"k1""#, r#""opkey":5"#, "field opkey: expected the mark of a numbered job"),
        ("read", r#""body":"aGk=""#, r#""body":"a""#, "field body: expected base64 for 2048 bytes at most"),
    ];
    for (job_class, field, invalid, message) in cases {
        let line = job_line(job_class);
        assert!(line.contains(field), "{field}");
        assert_error_answer(&line.replace(field, invalid), &host_settings(false), "7", -32602, message);
    }
    let invalid_token = job_line("read").replace(r#""token":"t1""#, r#""token":5"#);
    let message = "field token: expected a token of 2048 bytes at most";
    assert_error_answer(&invalid_token, &host_settings(true), "7", -32602, message);
    let no_token = r#"{"jsonrpc":"2.0","id":7,"method":"hello","params":{}}"#;
    assert_error_answer(no_token, &host_settings(true), "7", -32602, "field token: expected a token");
}

fn job_line(job_class: &str) -> String {
    format!(
        concat!(
            r#"{{"jsonrpc":"2.0","id":7,"method":"{}","params":{{"req":"a1","ts":1000.5,"via":2,"owner":"acme","#,
            r#""resent":1,"need":12.5,"level":0.5,"subject":"s1","opkey":"k1","body":"aGk=","token":"t1"}}}}"#
        ),
        job_class
    )
}

fn error_line(id: &str, code: i64, message: &str) -> String {
    format!("{{\"error\":{{\"code\":{code},\"message\":\"{message}\"}},\"id\":{id},\"jsonrpc\":\"2.0\"}}\n")
}

fn assert_error_answer(line: &str, settings: &HostSettings, id: &str, code: i64, message: &str) {
    let error = jsonrpc::decode(line.as_bytes(), settings).expect_err(line);
    assert_eq!(jsonrpc::encode_error(&error), error_line(id, code, message), "{line}");
}

#[test]
fn a_job_with_every_field_is_read() {
    for (job_class, class_index) in [("read", 0), ("book", 1)] {
        for authenticates_callers in [false, true] {
            let decoded =
                jsonrpc::decode(job_line(job_class).as_bytes(), &host_settings(authenticates_callers));
            let Ok(ClientMessage::Job(request)) = decoded else { panic!("{decoded:?}") };
            assert_eq!((request.call_id, &*request.job.id, request.job.job_class), (7, "a1", class_index));
            assert_eq!((request.job.tenant, request.tenant_name.as_deref()), (0, Some("acme")));
            assert_eq!((request.job.received_at.as_ms(), request.job.queued_kb), (1000.5, 12.5));
            assert_eq!((request.job.priority_rank, request.job.is_retry), (0.5, true));
            assert_eq!((&*request.body, request.idempotency_key.as_deref()), ("aGk=", Some("k1")));
            assert_eq!(request.token.as_deref(), authenticates_callers.then_some("t1"));
        }
    }
}

#[test]
fn messages_other_than_jobs_are_read() {
    let settings = host_settings(true);
    let decode = |line: &str| jsonrpc::decode(line.as_bytes(), &settings).expect(line);
    let ping = decode(r#"{"jsonrpc":"2.0","id":3,"method":"ping"}"#);
    assert!(matches!(ping, ClientMessage::HealthCheck { call_id: 3 }), "{ping:?}");
    let hello = decode(r#"{"jsonrpc":"2.0","id":4,"method":"hello","params":{"token":"t1"}}"#);
    assert!(matches!(&hello, ClientMessage::Hello { call_id: 4, token } if token == "t1"), "{hello:?}");
    let by_job = decode(r#"{"jsonrpc":"2.0","method":"abort","params":{"req":"a1"}}"#);
    assert!(
        matches!(&by_job, ClientMessage::Abort { call_id: None, job_id: Some(id) } if &**id == "a1"),
        "{by_job:?}"
    );
    let by_call = decode(r#"{"jsonrpc":"2.0","method":"abort","params":{"id":9}}"#);
    assert!(matches!(by_call, ClientMessage::Abort { call_id: Some(9), job_id: None }), "{by_call:?}");
    let by_own_id = decode(r#"{"jsonrpc":"2.0","id":8,"method":"abort"}"#);
    assert!(matches!(by_own_id, ClientMessage::Abort { call_id: Some(8), job_id: None }), "{by_own_id:?}");
}

#[test]
fn commands_to_the_executor() {
    let cases = [
        (Command::Join { cursor: 5 }, r#"{"cursor":5,"event":"JOIN"}"#),
        (
            Command::StartRun { id: "a1", job_class: "read", body: "aGk=" },
            r#"{"arg":"aGk=","entry":"read","event":"EXEC","handle":"a1"}"#,
        ),
        (Command::CancelRun { id: "a1" }, r#"{"event":"KILL","handle":"a1"}"#),
        (Command::CallReply { id: "a1", body: "aGk=" }, r#"{"arg":"aGk=","event":"RETURN","handle":"a1"}"#),
        (Command::SkipCall { id: "a1", cursor: 5 }, r#"{"cursor":5,"event":"BYPASS","handle":"a1"}"#),
        (Command::Gauges { ticket: "12" }, r#"{"event":"METER","ticket":"12"}"#),
    ];
    for (command, line) in cases {
        assert_eq!(executor::encode(&command), format!("{line}\n"));
    }
}

#[test]
fn events_of_the_executor() {
    let decode = |line: &str| executor::decode(line.as_bytes());
    let welcome = decode(r#"{"event":"WELCOME","fate":"new","lasted":5}"#);
    let Ok(Event::Welcome { is_new, uptime }) = welcome else { panic!("{welcome:?}") };
    assert_eq!((is_new, uptime), (true, Span::from_ms(5.0)));
    let welcome = decode(r#"{"event":"WELCOME","fate":"old"}"#);
    let Ok(Event::Welcome { is_new, uptime }) = welcome else { panic!("{welcome:?}") };
    assert_eq!((is_new, uptime), (false, Span::ZERO));
    let ends = [
        ("good", RunEnd::Completed),
        ("bad", RunEnd::Failed),
        ("cut", RunEnd::Cancelled),
        ("gone", RunEnd::Superseded),
    ];
    for (fate, expected) in ends {
        let line = format!(
            r#"{{"event":"EXIT","cursor":1,"handle":"a1","fate":"{fate}","lasted":9.5,"arg":"b25l"}}"#
        );
        let ended = decode(&line);
        let Ok(Event::RunEnded { cursor, id, end, elapsed, body }) = ended else { panic!("{ended:?}") };
        assert_eq!((cursor, &*id, end), (1, "a1", expected));
        assert_eq!((elapsed, &*body), (Span::from_ms(9.5), "b25l"));
    }
    let at_call = decode(r#"{"event":"CALLOUT","cursor":2,"handle":"a1","arg":"cXVlcnk="}"#);
    let Ok(Event::CallRequested { cursor, id, body }) = at_call else { panic!("{at_call:?}") };
    assert_eq!((cursor, &*id, &*body), (2, "a1", "cXVlcnk="));
    let gauges = decode(r#"{"event":"METERS","ticket":"12","figures":[3,0.5]}"#);
    let Ok(Event::Gauges { ticket, values }) = gauges else { panic!("{gauges:?}") };
    assert_eq!((&*ticket, values), ("12", vec![3.0, 0.5]));
    let bad = decode(r#"{"event":"BAD","fate":"EXEC","handle":"a1"}"#);
    let Ok(Event::CommandRefused { is_start, command, id }) = bad else { panic!("{bad:?}") };
    assert_eq!((is_start, &*command, id.as_deref()), (true, "EXEC", Some("a1")));
    let bad = decode(r#"{"event":"BAD","fate":"KILL"}"#);
    let Ok(Event::CommandRefused { is_start, command, id }) = bad else { panic!("{bad:?}") };
    assert_eq!((is_start, &*command, id), (false, "KILL", None));
    let log = decode(r#"{"event":"LOG","cursor":3,"fate":"a remark"}"#);
    let Ok(Event::Log { cursor, text }) = log else { panic!("{log:?}") };
    assert_eq!((cursor, &*text), (3, "a remark"));
    let other = decode(r#"{"event":"OTHER","cursor":4}"#);
    let Ok(Event::Unknown { name, cursor }) = other else { panic!("{other:?}") };
    assert_eq!((&*name, cursor), ("OTHER", Some(4)));
}

#[test]
fn calls_to_the_database_and_their_replies() {
    let call = database::encode_call("a1", Span::from_ms(12.2), b"query");
    assert_eq!(call, b"Q a1 13 5\r\nquery\r\n");
    assert_eq!(database::encode_call("a1", Span::ZERO, b""), b"Q a1 1 0\r\n\r\n");
    assert_eq!(database::encode_cancel("a1"), "X a1\r\n");
    use database::{Reply, ReplyHead};
    let cases = [
        ("a1 ROWS 5\r\n", Reply::Rows, Some(5)),
        ("a1 FULL\r\n", Reply::Overloaded, None),
        ("a1 FAIL\r\n", Reply::Failed, None),
        ("a1 TIMEOUT\r\n", Reply::TimedOut, None),
        ("a1 NONE\r\n", Reply::NoSuchRun, None),
        ("a1 FULL 3\r\n", Reply::Overloaded, Some(3)),
    ];
    for (line, reply, body_length) in cases {
        let decoded = database::decode(line.as_bytes()).expect(line);
        assert_eq!(decoded, ReplyHead { id: "a1".into(), reply, body_length }, "{line}");
    }
}

#[test]
fn heartbeats_to_the_registry() {
    assert_eq!(registry::encode("n1", true), "BEAT n1 ready");
    assert_eq!(registry::encode("n1", false), "BEAT n1 draining");
}
