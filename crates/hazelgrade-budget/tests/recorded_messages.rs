//! Recorded JSON of every message and every stored record. Names, numbers and the order of fields must stay byte for
//! byte.

#![allow(clippy::expect_used)]

use hazelgrade_budget::lessor::{BudgetReport, LeaseReport};
use hazelgrade_budget::protocol::{
    GrantLine, KnownLessor, LeaseGrant, LeaseRequest, OperatorCommand, RequestLine, SiteReport,
    SiteReportLine,
};
use hazelgrade_budget::stored::{LessorRecord, RetiredSite, SiteLedger, TransferTotals};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Asserts that the value is encoded as exactly this text, and that the text is decoded to the same value.
fn assert_recorded<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("it can be encoded"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("it can be read"), value);
}

fn retired() -> RetiredSite {
    RetiredSite {
        times: 2,
        successor: "a".into(),
        transfers: [("calls".to_owned(), TransferTotals { sent: 7, received: 4 })].into(),
        taken_over: Some([("calls".to_owned(), 9)].into()),
        readmitted: true,
    }
}

const RETIRED: &str =
    r#"{"times":2,"by":"a","totals":{"calls":{"sent":7,"seen":4}},"taken":{"calls":9},"back":true}"#;

#[test]
fn requests_of_lease_holders() {
    let line = RequestLine { budget: "calls".into(), held: 5, in_use: 4, wanted: 6, unleased: 1 };
    let request = LeaseRequest {
        holder: "n0".into(),
        incarnation: 17,
        sequence: 3,
        last_accepted: 2,
        known_lessor: Some(KnownLessor { site: "a".into(), generation: 8 }),
        draining: true,
        lines: vec![line],
    };
    let text = concat!(
        r#"{"holder":"n0","run":17,"count":3,"taken":2,"known":["a",8],"leaving":true,"#,
        r#""of":[{"budget":"calls","holds":5,"used":4,"wants":6,"alone":1}]}"#
    );
    assert_recorded(&request, text);
    let first = LeaseRequest { known_lessor: None, draining: false, lines: Vec::new(), ..request };
    let text = r#"{"holder":"n0","run":17,"count":3,"taken":2,"known":null,"leaving":false,"of":[]}"#;
    assert_recorded(&first, text);
}

#[test]
fn grants_of_lessors() {
    let line = GrantLine {
        budget: "calls".into(),
        units: 6,
        lease_ms: 2000.0,
        max_use_ms: 1000.5,
        retry_after_ms: Some(400.0),
    };
    let unknown_budget =
        GrantLine { budget: "more".into(), units: 0, lease_ms: 0.0, max_use_ms: 0.0, retry_after_ms: None };
    let grant = LeaseGrant {
        lessor: "a".into(),
        generation: 8,
        sequence: 3,
        renew_within_ms: 400.0,
        lines: vec![line, unknown_budget],
    };
    let text = concat!(
        r#"{"keeper":"a","generation":8,"count":3,"again_ms":400.0,"of":["#,
        r#"{"budget":"calls","units":6,"lease_ms":2000.0,"longest_use_ms":1000.5,"more_in_ms":400.0},"#,
        r#"{"budget":"more","units":0,"lease_ms":0.0,"longest_use_ms":0.0,"more_in_ms":null}]}"#
    );
    assert_recorded(&grant, text);
}

#[test]
fn commands_of_operators() {
    assert_recorded(&OperatorCommand::Show, r#""show""#);
    assert_recorded(&OperatorCommand::History, r#""history""#);
    assert_recorded(&OperatorCommand::Open, r#""open""#);
    let move_units =
        OperatorCommand::Move { id: "m1".into(), to: "b".into(), budget: "calls".into(), units: 3 };
    assert_recorded(&move_units, r#"{"move":{"id":"m1","to":"b","budget":"calls","units":3}}"#);
    let retire = OperatorCommand::Retire { id: "r1".into(), site: "b".into() };
    assert_recorded(&retire, r#"{"retire":{"id":"r1","site":"b"}}"#);
}

#[test]
fn reports_between_sites() {
    let line = SiteReportLine { budget: "calls".into(), sent: 7, received: 4, shortfall: 2, recalled: 1 };
    let report = SiteReport {
        from: "a".into(),
        to: "b".into(),
        generation: 8,
        known_generation: 5,
        document_digest: "d1".into(),
        within_share: true,
        lines: vec![line],
        surrendered: 1,
        retired: [("c".to_owned(), retired())].into(),
    };
    let text = concat!(
        r#"{"from":"a","to":"b","generation":8,"known":5,"version":"d1","settled":true,"#,
        r#""of":[{"budget":"calls","sent":7,"seen":4,"short":2,"recalls":1}],"gave_up":1,"retired":{"c":"#
    );
    assert_recorded(&report, &format!("{text}{RETIRED}}}}}"));
}

#[test]
fn the_stored_record_of_a_lessor() {
    let record = LessorRecord { site: "a".into(), generation: 8, granted: true, max_grant_ms: 4004.0 };
    assert_recorded(&record, r#"{"site":"a","generation":8,"granted":true,"longest_ms":4004.0}"#);
    assert_recorded(
        &LessorRecord::default(),
        r#"{"site":"","generation":0,"granted":false,"longest_ms":0.0}"#,
    );
}

#[test]
fn the_stored_ledger_of_a_site() {
    assert_recorded(&retired(), RETIRED);
    let before = RetiredSite { taken_over: None, readmitted: false, ..RetiredSite::default() };
    assert_recorded(&before, r#"{"times":0,"by":"","totals":{},"taken":null,"back":false}"#);
    let ledger = SiteLedger {
        transfers: [("b".to_owned(), [("calls".to_owned(), TransferTotals { sent: 1, received: 2 })].into())]
            .into(),
        shares: [("calls".to_owned(), 10)].into(),
        carried_over: [("calls".to_owned(), -3)].into(),
        peer_generations: [("b".to_owned(), 6)].into(),
        retired: [("c".to_owned(), retired())].into(),
        surrendered: 1,
        completed_commands: vec!["m1".into(), "r1".into()],
    };
    let text = concat!(
        r#"{"totals":{"b":{"calls":{"sent":1,"seen":2}}},"parts":{"calls":10},"beside":{"calls":-3},"#,
        r#""starts":{"b":6},"retired":{"c":"#
    );
    assert_recorded(&ledger, &format!(r#"{text}{RETIRED}}},"gave_up":1,"words":["m1","r1"]}}"#));
    let empty = r#"{"totals":{},"parts":{},"beside":{},"starts":{},"retired":{},"gave_up":0,"words":[]}"#;
    assert_recorded(&SiteLedger::default(), empty);
}

#[test]
fn reports_to_operators() {
    let lease = LeaseReport {
        holder: "n0".into(),
        incarnation: "0000000000000011".into(),
        granted: 6,
        booked: 7,
        in_use: 4,
        wanted: 5,
        target: 8,
        unleased: 1,
        connected: true,
        last_request_ms_ago: 12.5,
        expires_in_ms: 3000.0,
        known_for_ms: 9000.0,
    };
    let report = BudgetReport {
        total: 20,
        owned: 12,
        set_aside: 2,
        granted: 6,
        in_use: 4,
        wanted: 5,
        unreturned: 1,
        free: 3,
        leases: vec![lease],
    };
    let text = concat!(
        r#"{"whole":20,"owned":12,"set_aside":2,"granted":6,"used":4,"wanted":5,"in_doubt":1,"free":3,"#,
        r#""holders":[{"holder":"n0","run":"0000000000000011","granted":6,"most":7,"used":4,"wants":5,"#,
        r#""target":8,"alone":1,"connected":true,"heard_ms_ago":12.5,"back_in_ms":3000.0,"since_ms":9000.0}]}"#
    );
    assert_recorded(&report, text);
}
