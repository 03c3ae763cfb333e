//! Compares each message on the wire, the stored state of a node and the counter file of a publisher byte for byte with
//! recorded text, and decodes the recorded text again. Guards against changes of a format that nodes and control
//! services of other builds read and write.

#![allow(clippy::expect_used, clippy::panic)]

mod common;

use async_executor::LocalExecutor;
use common::document;
use futures_lite::future::{block_on, poll_once};
use hazelgrade::time::Span;
use hazelgrade_budget::protocol::{LeaseGrant, LeaseRequest, OperatorCommand, SiteReport};
use hazelgrade_config::{Digest, Kind, Version};
use hazelgrade_stream::control_service::{self, AdmissionRate, ControlServiceConfig};
use hazelgrade_stream::protocol::{Content, Offer, PublisherMessage, Rejection, SubscriberMessage};
use hazelgrade_stream::publisher::Counter;
use hazelgrade_stream::stored::{
    self, CrashCount, FailedVersion, StoredState, StoredVersion, VersionOnTrial,
};
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

const A: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const B: &str = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100";
const ASK: &str = r#"{"count":9,"holder":"n1","known":["west",4],"leaving":false,"of":[{"alone":1,"budget":"search","holds":5,"used":3,"wants":7}],"run":18446744073709551615,"taken":8}"#;
const GRANT: &str = r#"{"again_ms":250.0,"count":9,"generation":4,"keeper":"west","of":[{"budget":"search","lease_ms":3000.0,"longest_use_ms":500.5,"more_in_ms":null,"units":6}]}"#;
const PARTS: &str = r#"{"from":"west","gave_up":1,"generation":4,"known":2,"of":[{"budget":"search","recalls":1,"seen":20,"sent":30,"short":2}],"retired":{"north":{"back":false,"by":"west","taken":{"search":4},"times":1,"totals":{"search":{"seen":5,"sent":6}}}},"settled":true,"to":"east","version":"v"}"#;

fn digest(hex: &str) -> Digest {
    hex.parse().expect("64 hex digits")
}

fn version_a() -> Version {
    Version { number: 7, digest: digest(A) }
}

fn version_b() -> Version {
    Version { number: 6, digest: digest(B) }
}

fn parse<T: DeserializeOwned>(json: &str) -> T {
    serde_json::from_str(json).expect("a message about budgets")
}

/// Replaces `"A"` and `"B"` by the digests, and appends a newline.
fn line(text: &str) -> String {
    text.replace("\"A\"", &format!("\"{A}\"")).replace("\"B\"", &format!("\"{B}\"")) + "\n"
}

fn assert_publisher_message(message: &PublisherMessage, text: &str) {
    let text = line(text);
    assert_eq!(message.encode(), text);
    assert_eq!(PublisherMessage::decode(text.as_bytes()).as_ref(), Ok(message));
}

fn assert_subscriber_message(message: &SubscriberMessage, text: &str) {
    let text = line(text);
    assert_eq!(message.encode(), text);
    assert_eq!(SubscriberMessage::decode(text.as_bytes()).as_ref(), Ok(message));
}

#[test]
fn messages_of_a_publisher_have_their_recorded_bytes() {
    let offer = |content| {
        PublisherMessage::Offer(Offer { nonce: 5, lineage: "l".into(), version: version_a(), content })
    };
    assert_publisher_message(
        &offer(Content::Full("x = \"1\"\n".into())),
        r#"{"id":5,"jsonrpc":"2.0","method":"offer","params":{"lineage":"l","version":{"digest":"A","number":7},"whole":"x = \"1\"\n"}}"#,
    );
    let difference = document(1).fields().difference(document(2).fields());
    assert_publisher_message(
        &offer(Content::Delta { base: version_b(), difference }),
        r#"{"id":5,"jsonrpc":"2.0","method":"offer","params":{"base":{"digest":"B","number":6},"difference":{"gone":[],"set":{"use_case/a/goal_ms":102.0}},"lineage":"l","version":{"digest":"A","number":7}}}"#,
    );
    assert_publisher_message(&PublisherMessage::Ping, r#"{"jsonrpc":"2.0","method":"ping"}"#);
    assert_publisher_message(
        &PublisherMessage::RetryAfter(Span::from_ms(1234.5)),
        r#"{"jsonrpc":"2.0","method":"retry","params":{"after_ms":1234.5}}"#,
    );
    assert_publisher_message(
        &PublisherMessage::LeaseGrant(parse::<LeaseGrant>(GRANT)),
        &format!(r#"{{"jsonrpc":"2.0","method":"grant","params":{GRANT}}}"#),
    );
    assert_publisher_message(&PublisherMessage::RequestLeases, r#"{"jsonrpc":"2.0","method":"nudge"}"#);
    assert_publisher_message(
        &PublisherMessage::SiteReport(parse::<SiteReport>(PARTS)),
        &format!(r#"{{"jsonrpc":"2.0","method":"parts","params":{PARTS}}}"#),
    );
}

#[test]
fn messages_of_a_subscriber_have_their_recorded_bytes() {
    let subscribe = |kind, lineage, in_effect, on_trial, latest_known| SubscriberMessage::Subscribe {
        node: "n1".into(),
        program: "1.2.3".into(),
        kind,
        lineage,
        in_effect,
        on_trial,
        latest_known,
    };
    assert_subscriber_message(
        &subscribe(Kind::Identity, Some("l".into()), Some(version_b()), true, Some(version_a())),
        r#"{"jsonrpc":"2.0","method":"subscribe","params":{"have":{"digest":"B","number":6},"kind":"identity","known":{"digest":"A","number":7},"lineage":"l","node":"n1","program":"1.2.3","trial":true}}"#,
    );
    assert_subscriber_message(
        &subscribe(Kind::Serving, None, None, false, None),
        r#"{"jsonrpc":"2.0","method":"subscribe","params":{"have":null,"kind":"serving","known":null,"lineage":null,"node":"n1","program":"1.2.3","trial":false}}"#,
    );
    assert_subscriber_message(
        &SubscriberMessage::Acknowledged {
            nonce: 5,
            version: version_a(),
            on_trial: true,
            staged: vec!["limits.memory_mb".into()],
        },
        r#"{"id":5,"jsonrpc":"2.0","result":{"staged":["limits.memory_mb"],"trial":true,"version":{"digest":"A","number":7}}}"#,
    );
    assert_subscriber_message(
        &SubscriberMessage::TrialEnded { version: version_a(), failure: None },
        r#"{"jsonrpc":"2.0","method":"settled","params":{"failed":null,"version":{"digest":"A","number":7}}}"#,
    );
    assert_subscriber_message(
        &SubscriberMessage::TrialEnded { version: version_a(), failure: Some("why".into()) },
        r#"{"jsonrpc":"2.0","method":"settled","params":{"failed":"why","version":{"digest":"A","number":7}}}"#,
    );
    assert_subscriber_message(&SubscriberMessage::Pong, r#"{"jsonrpc":"2.0","method":"pong"}"#);
    assert_subscriber_message(
        &SubscriberMessage::Status { request_id: 3 },
        r#"{"id":3,"jsonrpc":"2.0","method":"status"}"#,
    );
    assert_subscriber_message(
        &SubscriberMessage::LeaseRequest(parse::<LeaseRequest>(ASK)),
        &format!(r#"{{"jsonrpc":"2.0","method":"ask","params":{ASK}}}"#),
    );
    assert_subscriber_message(
        &SubscriberMessage::SiteReport(parse::<SiteReport>(PARTS)),
        &format!(r#"{{"jsonrpc":"2.0","method":"parts","params":{PARTS}}}"#),
    );
    for word in [
        r#""show""#,
        r#""history""#,
        r#"{"move":{"budget":"search","id":"i","to":"east","units":4}}"#,
        r#"{"retire":{"id":"i","site":"north"}}"#,
        r#""open""#,
    ] {
        assert_subscriber_message(
            &SubscriberMessage::BudgetCommand { request_id: 4, command: parse::<OperatorCommand>(word) },
            &format!(r#"{{"id":4,"jsonrpc":"2.0","method":"budget","params":{word}}}"#),
        );
    }
}

#[test]
fn rejections_have_their_recorded_bytes() {
    let recorded = [
        (Rejection::Draining, r#"{"version":V,"why":"leaving"}"#, "the node is leaving"),
        (
            Rejection::OtherLineage { own: "m".into() },
            r#"{"own":"m","version":V,"why":"other-lineage"}"#,
            "the node follows the lineage m",
        ),
        (
            Rejection::Outdated { known: version_b() },
            r#"{"known":W,"version":V,"why":"behind"}"#,
            "the node knows version 6 (ffeeddcc), which is later",
        ),
        (
            Rejection::Conflict { known: version_b() },
            r#"{"known":W,"version":V,"why":"conflict"}"#,
            "the node knows this number as 6 (ffeeddcc)",
        ),
        (
            Rejection::UnknownBase,
            r#"{"version":V,"why":"unknown-base"}"#,
            "the node doesn't have the base of the difference",
        ),
        (
            Rejection::DigestMismatch,
            r#"{"version":V,"why":"wrong-digest"}"#,
            "the contents don't have the digest that was announced",
        ),
        (Rejection::Invalid("m".into()), r#"{"version":V,"why":"malformed"}"#, "m"),
        (
            Rejection::CrashedOnTrial,
            r#"{"version":V,"why":"suspect"}"#,
            "the node died twice with it on trial",
        ),
        (Rejection::FailedTrial("f".into()), r#"{"version":V,"why":"failed"}"#, "f"),
        (Rejection::NotStored("k".into()), r#"{"version":V,"why":"not-kept"}"#, "k"),
        (Rejection::NotApplicable("h".into()), r#"{"version":V,"why":"not-here"}"#, "h"),
        (
            Rejection::Superseded { by: version_b() },
            r#"{"known":W,"version":V,"why":"superseded"}"#,
            "version 6 (ffeeddcc) came before its turn",
        ),
    ];
    for (rejection, data, message) in recorded {
        let data =
            data.replace('V', r#"{"digest":"A","number":7}"#).replace('W', r#"{"digest":"B","number":6}"#);
        assert_subscriber_message(
            &SubscriberMessage::Rejected { nonce: 5, version: version_a(), rejection },
            &format!(
                r#"{{"error":{{"code":-32010,"data":{data},"message":"{message}"}},"id":5,"jsonrpc":"2.0"}}"#
            ),
        );
    }
    // A reason is truncated to 2000 bytes at a character boundary.
    let long = Rejection::Invalid("é".repeat(1500) + "x");
    let text = SubscriberMessage::Rejected { nonce: 5, version: version_a(), rejection: long }.encode();
    let data = r#"{"version":{"digest":"A","number":7},"why":"malformed"}"#;
    let message = "é".repeat(1000);
    let expected = format!(
        r#"{{"error":{{"code":-32010,"data":{data},"message":"{message}"}},"id":5,"jsonrpc":"2.0"}}"#
    );
    assert_eq!(text, line(&expected));
}

#[test]
fn undecodable_messages_have_their_recorded_errors() {
    let subscriber_error =
        |text: &str| SubscriberMessage::decode(text.as_bytes()).expect_err(text).to_string();
    let publisher_error = |text: &str| PublisherMessage::decode(text.as_bytes()).expect_err(text).to_string();
    assert_eq!(subscriber_error("7"), "expected a JSON object");
    assert_eq!(publisher_error("{}"), "field jsonrpc: expected \"2.0\"");
    assert_eq!(
        subscriber_error(r#"{"jsonrpc":"2.0"}"#),
        "field method: expected subscribe, settled, pong, status, ask, parts or budget"
    );
    assert_eq!(
        publisher_error(r#"{"jsonrpc":"2.0"}"#),
        "field method: expected offer, ping, retry, grant, nudge or parts"
    );
    assert_eq!(
        subscriber_error(r#"{"jsonrpc":"2.0","method":"status"}"#),
        "field id: expected a whole number"
    );
    assert_eq!(
        subscriber_error(r#"{"jsonrpc":"2.0","method":"subscribe","params":{"node":""}}"#),
        "field node: expected a word"
    );
    assert_eq!(
        subscriber_error(
            r#"{"jsonrpc":"2.0","method":"subscribe","params":{"node":"n","program":"p","kind":"x"}}"#
        ),
        "field kind: expected a kind of document"
    );
    assert_eq!(
        subscriber_error(r#"{"jsonrpc":"2.0","method":"settled","params":{"version":{"number":1}}}"#),
        "field version: expected a number and a digest"
    );
    assert_eq!(
        subscriber_error(r#"{"id":1,"jsonrpc":"2.0","error":{"data":{"why":"x"}}}"#),
        "field why: expected a reason's word"
    );
    assert_eq!(
        subscriber_error(r#"{"jsonrpc":"2.0","method":"ask","params":{}}"#),
        "field params: expected an ask: missing field `holder`"
    );
    assert_eq!(
        publisher_error(r#"{"jsonrpc":"2.0","method":"retry","params":{"after_ms":-1}}"#),
        "field after_ms: expected milliseconds"
    );
    assert_eq!(
        publisher_error(r#"{"jsonrpc":"2.0","method":"offer","params":{"whole":1}}"#),
        "field whole: expected a document"
    );
    assert_eq!(
        publisher_error(r#"{"id":1,"jsonrpc":"2.0","method":"offer","params":{"base":{}}}"#),
        "field base: expected a number and a digest"
    );
}

const STORED: &str = r#"{"deaths":[["A",1],["B",2]],"failed":{"version":{"digest":"B","number":6},"why":"it fell"},"good":{"text":"\n[use_case.a]\ncut_off_ms = 9000\ngoal_ms = 101\n","version":{"digest":"D","number":5}},"known":{"digest":"A","number":7},"lineage":"l","trial":{"text":"t","version":{"digest":"A","number":7}}}"#;
const STORED_NOTHING: &str =
    r#"{"deaths":[],"failed":null,"good":null,"known":null,"lineage":null,"trial":null}"#;
/// The digest of `document(1)`.
const D: &str = "92da075fca8c4927295fada0eaff98b9a566ea2aae402764a237b672f4601210";

#[test]
fn the_stored_state_of_a_node_has_its_recorded_bytes_and_names() {
    let names = [Kind::Serving, Kind::Identity, Kind::Budgets].map(stored::store_key);
    assert_eq!(names, ["configuration", "configuration.identity", "configuration.budgets"]);
    let good = StoredVersion { version: Version { number: 5, digest: digest(D) }, document: document(1) };
    let all = StoredState {
        lineage: Some("l".into()),
        last_good: Some(good),
        latest_known: Some(version_a()),
        on_trial: Some(VersionOnTrial { version: version_a(), text: "t".into() }),
        last_failed: Some(FailedVersion { version: version_b(), reason: "it fell".into() }),
        crashes: vec![CrashCount { digest: digest(A), count: 1 }, CrashCount { digest: digest(B), count: 2 }],
    };
    for (state, text) in [(all, STORED), (StoredState::default(), STORED_NOTHING)] {
        let text = line(&text.replace("\"D\"", &format!("\"{D}\"")));
        let text = text.trim_end();
        assert_eq!(String::from_utf8(state.encode()).as_deref(), Ok(text));
        assert_eq!(StoredState::decode(Kind::Serving, text.as_bytes()).expect(text), state);
    }
}

#[test]
fn invalid_stored_states_have_their_recorded_errors() {
    let decode_error =
        |text: &str| StoredState::decode(Kind::Serving, text.as_bytes()).expect_err(text).to_string();
    assert_eq!(decode_error("{"), "EOF while parsing an object at line 1 column 1");
    assert_eq!(decode_error(r#"{"known":{"number":1}}"#), "a version lacks its number or digest");
    assert_eq!(decode_error(r#"{"deaths":[[1,2]]}"#), "a death lacks its digest or count");
    let good = |text: &str| line(&format!(r#"{{"good":{{"version":{{"number":1,"digest":"A"}}{text}}}}}"#));
    assert_eq!(decode_error(&good("")), "the last good version lacks its text");
    let text = r#","text":"[use_case.a]\ngoal_ms = 101\ncut_off_ms = 9000\n""#;
    assert_eq!(decode_error(&good(text)), "the last good version doesn't have its digest");
    assert!(decode_error(&good(r#","text":"x = 1""#)).starts_with("the last good version:1:1: "));
}

fn service_config(documents: &Path, listen: SocketAddr, lineage: Option<&str>) -> ControlServiceConfig {
    ControlServiceConfig {
        documents: documents.into(),
        listen,
        lineage: lineage.map(str::to_owned),
        lessor: None,
        admission: AdmissionRate { per_second: 100.0, burst: 100.0 },
    }
}

#[test]
fn the_counter_file_has_its_recorded_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = [".published.json", ".published-identity.json", ".published-budgets.json"];
    let stored_counter = line(r#"{"last":{"digest":"A","number":7},"lineage":"l"}"#);
    std::fs::write(folder.path().join(files[0]), stored_counter.trim_end()).expect("a file");
    let counter = Counter { lineage: "l".into(), last: Some(version_a()) };
    let read = |kind| control_service::read_counter(folder.path(), kind).expect("it can be read");
    assert_eq!(read(Kind::Serving), Some(counter));
    assert_eq!(read(Kind::Budgets), None);
    // A control service writes all counter files when it starts.
    let listen = "127.0.0.1:0".parse().expect("an address");
    let mut serving = Box::pin(control_service::serve(
        Rc::new(LocalExecutor::new()),
        service_config(folder.path(), listen, None),
        Box::new(|_| {}),
    ));
    assert!(block_on(poll_once(&mut serving)).is_none(), "it serves");
    let empty_counter = r#"{"last":null,"lineage":"l"}"#;
    for (file, text) in files.iter().zip([stored_counter.trim_end(), empty_counter, empty_counter]) {
        assert_eq!(std::fs::read_to_string(folder.path().join(file)).as_deref().ok(), Some(text), "{file}");
    }
    std::fs::write(folder.path().join(files[0]), r#"{"lineage":"l","last":7}"#).expect("a file");
    let wrong =
        control_service::read_counter(folder.path(), Kind::Serving).expect_err("it is wrong").to_string();
    let shown = folder.path().join(files[0]).display().to_string();
    assert_eq!(wrong, format!("{shown}: field last: expected it as this program writes it"));
}

/// A client connection that sends and receives lines.
struct ClientConnection(BufReader<TcpStream>);

impl ClientConnection {
    fn connect(address: SocketAddr) -> ClientConnection {
        for _ in 0..500 {
            if let Ok(stream) = TcpStream::connect(address) {
                stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time");
                return ClientConnection(BufReader::new(stream));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("nobody listens at {address}");
    }

    fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("it takes a line");
    }

    /// Receives the next line that is not a ping.
    fn receive(&mut self) -> String {
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).expect("a line");
            if line != "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n" {
                return line;
            }
        }
    }
}

#[test]
fn a_control_service_answers_with_its_recorded_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("serving.toml"), document(1).to_toml()).expect("a file");
    std::fs::write(folder.path().join("identity.toml"), "x = 1\n").expect("a file");
    let free_address = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let address = free_address.expect("a free port");
    let config = service_config(folder.path(), address, Some("l"));
    std::thread::spawn(move || {
        let tasks = Rc::new(LocalExecutor::new());
        block_on(tasks.run(control_service::serve(tasks.clone(), config, Box::new(|_| {}))))
            .expect("it serves");
    });
    let mut node = ClientConnection::connect(address);
    node.send(
        "{\"jsonrpc\":\"2.0\",\"method\":\"subscribe\",\"params\":{\"node\":\"n1\",\"program\":\"p\"}}\n",
    );
    let text = "\\n[use_case.a]\\ncut_off_ms = 9000\\ngoal_ms = 101\\n";
    let version = format!(r#"{{"digest":"{D}","number":1}}"#);
    let offer = format!(
        r#"{{"id":1,"jsonrpc":"2.0","method":"offer","params":{{"lineage":"l","version":{version},"whole":"{text}"}}}}"#
    );
    assert_eq!(node.receive(), offer + "\n");
    node.send(&format!(
        "{{\"id\":1,\"jsonrpc\":\"2.0\",\"result\":{{\"staged\":[\"limits.memory_mb\"],\"trial\":true,\"version\":{version}}}}}\n"
    ));
    let mut other = ClientConnection::connect(address);
    other.send(
        "{\"jsonrpc\":\"2.0\",\"method\":\"subscribe\",\"params\":{\"node\":\"n2\",\"program\":\"p\"}}\n",
    );
    other.receive();
    other.send(&format!(
        "{{\"id\":2,\"jsonrpc\":\"2.0\",\"error\":{{\"message\":\"no\",\"data\":{{\"version\":{version},\"why\":\"not-kept\"}}}}}}\n"
    ));
    // The control service handles the lines of a connection in order: once it has answered these requests, it has
    // handled the answers that were sent before them.
    for peer in [&mut node, &mut other] {
        peer.send("{\"id\":8,\"jsonrpc\":\"2.0\",\"method\":\"status\"}\n");
        peer.receive();
    }
    let shown = format!("1 ({})", &D[..8]);
    let n1 = format!(
        r#"{{"connected":true,"has":"{shown}","name":"n1","of":"{shown}","program":"p","staged":["limits.memory_mb"],"standing":"on trial","why":null}}"#
    );
    let n2 = format!(
        r#"{{"connected":true,"has":null,"name":"n2","of":"{shown}","program":"p","staged":null,"standing":"turned down","why":"no"}}"#
    );
    let identity = folder.path().join("identity.toml").display().to_string();
    let budgets = r#"{"folder":null,"lineage":"l","nodes":[],"version":null}"#;
    let faults = [
        "x: there is no such field",
        "audience: is missing",
        "key: expected at least one key that is not revoked",
    ];
    let fault = faults.map(|fault| format!("{identity}:1:1: field {fault}")).join("\\n");
    let identity = format!(r#"{{"folder":"{fault}","lineage":"l","nodes":[],"version":null}}"#);
    let status = format!(
        r#"{{"id":9,"jsonrpc":"2.0","result":{{"budgets":{budgets},"folder":null,"identity":{identity},"lineage":"l","nodes":[{n1},{n2}],"version":"{shown}"}}}}"#
    );
    node.send("{\"id\":9,\"jsonrpc\":\"2.0\",\"method\":\"status\"}\n");
    assert_eq!(node.receive(), status + "\n");
    node.send("{\"id\":10,\"jsonrpc\":\"2.0\",\"method\":\"budget\",\"params\":\"show\"}\n");
    let error = r#"{"error":{"code":-32011,"message":"no budgets are kept here"},"id":10,"jsonrpc":"2.0"}"#;
    assert_eq!(node.receive(), error.to_owned() + "\n");
}
