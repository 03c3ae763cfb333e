//! The recorded form of every message and every stored record: names, order of fields and numbers stay byte for byte.

use hazelgrade_budget::keeper::{Book, Figures, HolderFigures};
use hazelgrade_budget::message::{Ask, Given, Grant, Line, Moved, Parts, Word};
use hazelgrade_budget::parts::{Ledger, Retired, Totals};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Encodes to exactly this text, and reads back from it.
fn assert_recorded<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("it can be encoded"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("it can be read"), value);
}

fn retired() -> Retired {
    Retired {
        times: 2,
        by: "a".into(),
        totals: [("calls".to_owned(), Totals { sent: 7, seen: 4 })].into(),
        taken: Some([("calls".to_owned(), 9)].into()),
        back: true,
    }
}

const RETIRED: &str =
    r#"{"times":2,"by":"a","totals":{"calls":{"sent":7,"seen":4}},"taken":{"calls":9},"back":true}"#;

#[test]
fn requests_of_lease_holders() {
    let line = Line { budget: "calls".into(), holds: 5, used: 4, wants: 6, alone: 1 };
    let ask = Ask {
        holder: "n0".into(),
        run: 17,
        count: 3,
        taken: 2,
        known: Some(("a".into(), 8)),
        leaving: true,
        of: vec![line],
    };
    let text = concat!(
        r#"{"holder":"n0","run":17,"count":3,"taken":2,"known":["a",8],"leaving":true,"#,
        r#""of":[{"budget":"calls","holds":5,"used":4,"wants":6,"alone":1}]}"#
    );
    assert_recorded(&ask, text);
    let first = Ask { known: None, leaving: false, of: Vec::new(), ..ask };
    let text = r#"{"holder":"n0","run":17,"count":3,"taken":2,"known":null,"leaving":false,"of":[]}"#;
    assert_recorded(&first, text);
}

#[test]
fn grants_of_lessors() {
    let given = Given {
        budget: "calls".into(),
        units: 6,
        lease_ms: 2000.0,
        longest_use_ms: 1000.5,
        more_in_ms: Some(400.0),
    };
    let none =
        Given { budget: "more".into(), units: 0, lease_ms: 0.0, longest_use_ms: 0.0, more_in_ms: None };
    let grant = Grant { keeper: "a".into(), generation: 8, count: 3, again_ms: 400.0, of: vec![given, none] };
    let text = concat!(
        r#"{"keeper":"a","generation":8,"count":3,"again_ms":400.0,"of":["#,
        r#"{"budget":"calls","units":6,"lease_ms":2000.0,"longest_use_ms":1000.5,"more_in_ms":400.0},"#,
        r#"{"budget":"more","units":0,"lease_ms":0.0,"longest_use_ms":0.0,"more_in_ms":null}]}"#
    );
    assert_recorded(&grant, text);
}

#[test]
fn commands_of_operators() {
    assert_recorded(&Word::Show, r#""show""#);
    assert_recorded(&Word::History, r#""history""#);
    assert_recorded(&Word::Open, r#""open""#);
    let moved = Word::Move { id: "m1".into(), to: "b".into(), budget: "calls".into(), units: 3 };
    assert_recorded(&moved, r#"{"move":{"id":"m1","to":"b","budget":"calls","units":3}}"#);
    let retire = Word::Retire { id: "r1".into(), site: "b".into() };
    assert_recorded(&retire, r#"{"retire":{"id":"r1","site":"b"}}"#);
}

#[test]
fn reports_between_sites() {
    let moved = Moved { budget: "calls".into(), sent: 7, seen: 4, short: 2, recalls: 1 };
    let parts = Parts {
        from: "a".into(),
        to: "b".into(),
        generation: 8,
        known: 5,
        version: "d1".into(),
        settled: true,
        of: vec![moved],
        gave_up: 1,
        retired: [("c".to_owned(), retired())].into(),
    };
    let text = concat!(
        r#"{"from":"a","to":"b","generation":8,"known":5,"version":"d1","settled":true,"#,
        r#""of":[{"budget":"calls","sent":7,"seen":4,"short":2,"recalls":1}],"gave_up":1,"retired":{"c":"#
    );
    assert_recorded(&parts, &format!("{text}{RETIRED}}}}}"));
}

#[test]
fn the_stored_record_of_a_lessor() {
    let book = Book { site: "a".into(), generation: 8, granted: true, longest_ms: 4004.0 };
    assert_recorded(&book, r#"{"site":"a","generation":8,"granted":true,"longest_ms":4004.0}"#);
    assert_recorded(&Book::default(), r#"{"site":"","generation":0,"granted":false,"longest_ms":0.0}"#);
}

#[test]
fn the_stored_ledger_of_a_site() {
    assert_recorded(&retired(), RETIRED);
    let before = Retired { taken: None, back: false, ..Retired::default() };
    assert_recorded(&before, r#"{"times":0,"by":"","totals":{},"taken":null,"back":false}"#);
    let ledger = Ledger {
        totals: [("b".to_owned(), [("calls".to_owned(), Totals { sent: 1, seen: 2 })].into())].into(),
        parts: [("calls".to_owned(), 10)].into(),
        beside: [("calls".to_owned(), -3)].into(),
        starts: [("b".to_owned(), 6)].into(),
        retired: [("c".to_owned(), retired())].into(),
        gave_up: 1,
        words: vec!["m1".into(), "r1".into()],
    };
    let text = concat!(
        r#"{"totals":{"b":{"calls":{"sent":1,"seen":2}}},"parts":{"calls":10},"beside":{"calls":-3},"#,
        r#""starts":{"b":6},"retired":{"c":"#
    );
    assert_recorded(&ledger, &format!(r#"{text}{RETIRED}}},"gave_up":1,"words":["m1","r1"]}}"#));
    let empty = r#"{"totals":{},"parts":{},"beside":{},"starts":{},"retired":{},"gave_up":0,"words":[]}"#;
    assert_recorded(&Ledger::default(), empty);
}

#[test]
fn figures_that_operators_read() {
    let holder = HolderFigures {
        holder: "n0".into(),
        run: "0000000000000011".into(),
        granted: 6,
        most: 7,
        used: 4,
        wants: 5,
        target: 8,
        alone: 1,
        connected: true,
        heard_ms_ago: 12.5,
        back_in_ms: 3000.0,
        since_ms: 9000.0,
    };
    let figures = Figures {
        whole: 20,
        owned: 12,
        set_aside: 2,
        granted: 6,
        used: 4,
        wanted: 5,
        in_doubt: 1,
        free: 3,
        holders: vec![holder],
    };
    let text = concat!(
        r#"{"whole":20,"owned":12,"set_aside":2,"granted":6,"used":4,"wanted":5,"in_doubt":1,"free":3,"#,
        r#""holders":[{"holder":"n0","run":"0000000000000011","granted":6,"most":7,"used":4,"wants":5,"#,
        r#""target":8,"alone":1,"connected":true,"heard_ms_ago":12.5,"back_in_ms":3000.0,"since_ms":9000.0}]}"#
    );
    assert_recorded(&figures, text);
}
