//! What becomes of the retry of a keyed job that has run when the rights of its caller have changed since.

use super::*;

/// The class "book" with keyed jobs.
const KEYED_BOOK: &str =
    "[use_case.book]\ngoal_ms = 1000\ncut_off_ms = 3000\nrepeats = \"numbered\"\nwindow_ms = 60000\n";
/// JSON-RPC error code of a failure, which does not say that the job never ran.
const FAILED: i64 = -32000;

/// The caller `desk`, which sends one keyed job at a time with its token.
struct Desk {
    connection: Connection,
    token: String,
    last_call: u64,
}

impl Desk {
    fn connect(setup: &TestSetup, node: &NodeProcess) -> Desk {
        Desk { connection: Connection::connect(node), token: setup.token("desk", "50"), last_call: 0 }
    }

    /// Sends a job of the class "book" for this tenant under this key, and returns its answer.
    fn book(&mut self, owner: Option<&str>, key: &str) -> Value {
        self.last_call += 1;
        self.connection.request(&json!({"jsonrpc": "2.0", "id": self.last_call, "method": "book", "params": {
            "req": format!("b{}", self.last_call), "ts": unix_ms(), "via": 1, "owner": owner, "opkey": key,
            "resent": 1, "need": 12.5, "level": 0.5, "body": "aGVsbG8=", "token": self.token}}))
    }

    /// Sends new jobs until one of them is denied, or no longer, as `denied` says.
    fn wait_until_denied(&mut self, owner: Option<&str>, denied: bool) {
        let mut tries = 0;
        let is_as_wanted = || {
            tries += 1;
            let answer = self.book(owner, &format!("other{tries}"));
            (answer["error"]["data"]["denied"] == 1) == denied
        };
        assert!(wait_until(WAIT_TIMEOUT, is_as_wanted), "denied: {denied}");
    }
}

/// A setup with keyed jobs of the class "book".
fn keyed_setup() -> TestSetup {
    let setup = TestSetup::new();
    let serving = document(&[READ], 2, KEYED_BOOK).expect("valid document");
    std::fs::write(setup.documents.join(control_service::SERVING_DOCUMENT_FILE), serving.to_toml())
        .expect("file operation");
    setup
}

/// Guards against telling a caller whose right was taken away that a job never ran which has run for it: the caller may
/// send such a job to another node.
#[test]
fn a_keyed_job_that_has_run_is_not_denied_as_never_run_when_its_caller_loses_the_right() {
    let setup = keyed_setup();
    let node = setup.node("[identity]\nstreamed = true\n");
    let mut desk = Desk::connect(&setup, &node);
    let owner = Some("c0");
    desk.wait_until_denied(owner, false);
    let first = desk.book(owner, "k1");
    assert!(first["result"].is_object(), "{first}");
    let run_id = format!("b{}", desk.last_call);
    setup.edit_document(|text| text.replace("[\"read\", \"book\"]", "[\"read\", ]"));
    desk.wait_until_denied(owner, true);
    let retry = desk.book(owner, "k1");
    assert_eq!(retry["error"]["code"], FAILED, "{retry}");
    let retry_id = format!("b{}", desk.last_call);
    let runs = setup.environment.executor.runs();
    assert!(runs.contains_key(&run_id) && !runs.contains_key(&retry_id));
}

/// Guards against a second run of a keyed job whose caller has been mapped to another tenant since: the request names no
/// tenant, so the caller's rights determine another one for the retry.
#[test]
fn a_keyed_job_that_has_run_does_not_run_again_when_its_caller_is_mapped_to_another_tenant() {
    let setup = keyed_setup();
    let node = setup.node("[identity]\nstreamed = true\n");
    let mut desk = Desk::connect(&setup, &node);
    desk.wait_until_denied(None, false);
    // The first try is the first request with its token.
    desk.token = setup.token("desk", "40");
    let first = desk.book(None, "k1");
    assert!(first["result"].is_object(), "{first}");
    setup.edit_document(|text| {
        let (front, desk) = text.split_once("[caller.desk]").expect("the document has the caller");
        format!("{front}[caller.desk]{}", desk.replacen("\"c0\"", "\"c1\"", 1))
    });
    desk.wait_until_denied(Some("c0"), true);
    let retry = desk.book(None, "k1");
    assert!(retry["result"].is_object(), "{retry}");
    let retry_id = format!("b{}", desk.last_call);
    assert!(!setup.environment.executor.runs().contains_key(&retry_id));
    // Without any right left, the retry is failed and not denied.
    setup.edit_document(|text| text.replace("[\"read\", \"book\"]", "[\"read\", ]"));
    desk.wait_until_denied(None, true);
    let denied = desk.book(None, "k1");
    assert_eq!(denied["error"]["code"], FAILED, "{denied}");
}
