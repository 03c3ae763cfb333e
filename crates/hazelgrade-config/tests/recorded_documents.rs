//! The shipped documents are read, and wrong ones give the recorded messages, character by character.

#![allow(clippy::expect_used)]

use hazelgrade_config::{Difference, Document, Kind, OperatorConfig};
use serde_json::json;
use std::fmt::Write;

const IDENTITY: &str = "audience = \"agenda\"\n[key.k1]\nalgorithm = \"EdDSA\"\nx = \"AAAA\"\nactive_from_s = 0\n\
    signs_until_s = 100000\nvalid_until_s = 200000\n[caller.front]\nuse_cases = [\"*\"]\ncustomers = [\"north\"]\n";

/// Texts with one kind of document each; every check of fields and of documents as a whole is met once.
const WRONG_DOCUMENTS: [(Kind, &str); 36] = [
    (Kind::Serving, ""),
    (Kind::Serving, "goal_ms"),
    (Kind::Serving, "a = 1\na = 2\n"),
    (Kind::Serving, "[use_case.a]\n"),
    (Kind::Serving, "[use_case]\n"),
    (Kind::Serving, "[use_cases]\n"),
    (Kind::Serving, "[use_case.a]\ngoal_ms = 10\n"),
    (Kind::Serving, "log = 5\n[use_case.a]\ngoal_ms = 1\ncut_off_ms = 2\n"),
    (Kind::Serving, "[use_case.a]\ngoal_ms = 30\ncut_off_ms = 20\n"),
    (Kind::Serving, "[use_case.a]\ngoal_ms = [1]\ncut_off_ms = -1\nearnings = 2020-01-01\n"),
    (
        Kind::Serving,
        "[use_case.a]\ngoal_ms = 1\ncut_off_ms = 2\nearnings = [[1]]\ncalls = 3\nrepeats = \"often\"\n",
    ),
    (Kind::Serving, "[use_case.\"a/b\"]\ngoal_ms = 10\ncut_off_ms = 20\n"),
    (Kind::Serving, "[use_case.a]\ngoal_ms = 10\ncut_off_ms = 20\nearnings = 0\n"),
    (Kind::Serving, "[use_case.a]\ngoal_ms = 10\ncut_off_ms = 20\nrepeats = \"numbered\"\n"),
    (Kind::Serving, "[use_case.a]\ngoal_ms = 10\ncut_off_ms = 20\n[limits]\nsockets = 32.5\nmemory_mb = 0\n"),
    (Kind::Serving, "[use_case.a]\ngoal_ms = 10\ncut_off_ms = 20\n[addresses]\nexecutor = \"localhost\"\n"),
    (
        Kind::Serving,
        "[use_case.a]\ngoal = 1\ngoal_ms = 10\ncut_off_ms = 20\n[customer.x]\nquota_per_s = -1\n",
    ),
    (Kind::Identity, ""),
    (Kind::Identity, "audience = \"with space\"\n"),
    (Kind::Identity, "audience = \"a\"\n[key.k1]\nalgorithm = \"RS256\"\n"),
    (
        Kind::Identity,
        "audience = \"a\"\n[key.k1]\nalgorithm = \"ES256\"\nx = \"A\"\nactive_from_s = 0\nvalid_until_s = 9000\n",
    ),
    (
        Kind::Identity,
        "audience = \"a\"\n[key.k1]\nalgorithm = \"EdDSA\"\nx = \"A\"\ny = \"B\"\nactive_from_s = 0\nvalid_until_s = 9000\n",
    ),
    (
        Kind::Identity,
        "audience = \"a\"\n[key.k1]\nalgorithm = \"EdDSA\"\nx = \"A\"\nactive_from_s = 9000\nvalid_until_s = 9000\n",
    ),
    (
        Kind::Identity,
        "audience = \"a\"\n[key.k1]\nalgorithm = \"EdDSA\"\nx = \"A\"\nactive_from_s = 0\nsigns_until_s = 8000\nvalid_until_s = 9000\n",
    ),
    (
        Kind::Identity,
        "audience = \"a\"\n[key.k1]\nalgorithm = \"EdDSA\"\nx = \"A\"\nactive_from_s = 0\nvalid_until_s = 9000\nrevoked = true\n",
    ),
    (
        Kind::Identity,
        "audience = \"a\"\n[key.k1]\nalgorithm = \"EdDSA\"\nx = \"A\"\nactive_from_s = 0\nvalid_until_s = 9000\n\
        [key.k2]\nalgorithm = \"EdDSA\"\nx = \"A\"\nactive_from_s = 8000\nvalid_until_s = 19000\n",
    ),
    (
        Kind::Identity,
        "audience = \"a\"\n[key.k1]\nalgorithm = \"EdDSA\"\nx = \"A\"\nactive_from_s = 0\nvalid_until_s = 9000\n\
        [caller.c]\nuse_cases = \"a\"\n",
    ),
    (
        Kind::Identity,
        "audience = \"a\"\n[key.k1]\nalgorithm = \"EdDSA\"\nx = \"A\"\nactive_from_s = 0\nvalid_until_s = 9000\n\
        [caller.c]\nuse_cases = [\"a\"]\ncustomers = [\"b\"]\nnetworks = [\"10.0.0.0/33\"]\n",
    ),
    (
        Kind::Identity,
        "audience = \"a\"\n[key.k1]\nalgorithm = \"EdDSA\"\nx = \"A\"\nactive_from_s = 0\nvalid_until_s = 9000\n\
        [caller.c]\nuse_cases = [\"a b\", 3]\ncustomers = [\"b\"]\n",
    ),
    (Kind::Budgets, ""),
    (Kind::Budgets, "[budget.calls]\n"),
    (Kind::Budgets, "[budget.calls]\nmeasure = \"in-hand\"\nwhole = 5\nsite = { a = 4, b = 3 }\n"),
    (
        Kind::Budgets,
        "[budget.calls]\nmeasure = \"in-hand\"\nwhole = 5\nburst = 2\nset_aside = 2\nsite = { a = 4, b = 1 }\n",
    ),
    (Kind::Budgets, "[budget.a]\nmeasure = \"rate\"\nwhole = 5\npart = 0.5\nsite = { a = 5 }\n"),
    (
        Kind::Budgets,
        "[budget.a]\nmeasure = \"rate\"\nwhole = 5\ncustomer = \"n\"\nsite = { a = 5 }\n\
        [budget.b]\nmeasure = \"rate\"\nwhole = 5\ncustomer = \"n\"\nsite = { a = 5 }\n",
    ),
    (
        Kind::Budgets,
        "[budget.a]\nmeasure = \"tries\"\nwhole = 5\nsite = { a = 5 }\n\
        [budget.b]\nmeasure = \"tries\"\nwhole = 5\nlease_ms = 1\nsite = { a = 5 }\n",
    ),
];

const WRONG_OPERATOR_FILES: [&str; 14] = [
    "[stream]\n",
    "[stream]\nstore = \"s\"\n",
    "[stream]\ncontrol = []\nstore = 5\n",
    "[stream]\ncontrol = \"localhost\"\nstore = \"s\"\ndocument = \"\"\n",
    "[stream]\ncontrol = [\"127.0.0.1:1\", 2]\nstore = [\"s\"]\n",
    "[streams]\nstore = \"s\"\n",
    "[stream]\ncontrol = \"127.0.0.1:1\"\nstore = \"s\"\n[stream.trial]\nspan_ms = 5\nfall = 2\nleast_jobs = 1.5\n",
    "[identity]\n",
    "[identity]\nstreamed = true\n",
    "[identity]\nstreamed = 1\ntrial_ms = 1\ndocument = \"d\"\n",
    "[budgets]\nin_hand = 4\n[budgets.alone]\ncalls = 2.5\n",
    "[tls]\n",
    "[tls]\ncertificate = \"c\"\nkey = \"k\"\nrevoked = \"r\"\n",
    "[for_tests_only]\nstore_dies_at = -1\nclock_off_ms = \"x\"\nclock_rate = 100\n",
];

fn record<Error: ToString>(record: &mut String, title: &str, text: &str, errors: &[Error]) {
    writeln!(record, "== {title} {text:?}").expect("a string takes it");
    for error in errors {
        writeln!(record, "{}", error.to_string()).expect("a string takes it");
    }
}

#[test]
fn wrong_documents_give_the_recorded_messages() {
    let mut messages = String::new();
    for (kind, text) in WRONG_DOCUMENTS {
        let errors = Document::read_as(kind, text, "document.toml").expect_err(text);
        record(&mut messages, &format!("{kind:?}"), text, &errors);
    }
    for text in WRONG_OPERATOR_FILES {
        let errors = OperatorConfig::read(text, "operator.toml").expect_err(text);
        record(&mut messages, "operator", text, &errors);
    }
    let wrong_differences = [
        json!({}),
        json!({"set": 1, "gone": []}),
        json!({"set": {}}),
        json!({"set": {"use_case/a/goal_ms": {}}, "gone": []}),
        json!({"set": {}, "gone": [1]}),
    ];
    for value in wrong_differences {
        let error = Difference::from_json(&value).expect_err("it is wrong");
        record(&mut messages, "difference", &value.to_string(), &[error]);
    }
    let bare =
        Document::from_fields(Kind::Serving, Default::default(), "version 7").expect_err("it is empty");
    record(&mut messages, "fields", "", &bare);
    assert_eq!(messages, include_str!("recorded_messages.txt"), "{messages}");
}

#[test]
fn shipped_documents_have_the_recorded_digests_and_contents() {
    let mut contents = String::new();
    let documents = [
        (Kind::Serving, include_str!("../../../deploy/serving.toml")),
        (Kind::Budgets, include_str!("../../../deploy/budgets.toml")),
        (Kind::Identity, IDENTITY),
    ];
    for (kind, text) in documents {
        let document = Document::read_as(kind, text, "document.toml").expect("it is right");
        writeln!(contents, "== {kind:?} {}\n{}", document.digest(), document.to_toml())
            .expect("a string takes it");
    }
    assert_eq!(contents, include_str!("recorded_contents.txt"), "{contents}");
}

#[test]
fn the_shipped_operator_file_switches_streaming_on_and_nothing_else() {
    let operator = OperatorConfig::read(include_str!("../../../deploy/operator.toml"), "operator.toml")
        .expect("it is right");
    let stream = operator.stream.expect("streaming is on");
    assert_eq!(stream.control_services, ["127.0.0.1:7400".parse().expect("an address")]);
    assert_eq!(stream.store.to_str(), Some("/var/lib/hazelgrade/n1.store"));
    assert_eq!(stream.document.as_deref().and_then(|path| path.to_str()), Some("deploy/serving.toml"));
    assert_eq!(stream.lineage, None);
    assert_eq!(
        (stream.trial.span.as_ms(), stream.trial.max_success_drop_ratio, stream.trial.min_jobs),
        (10_000.0, 0.2, 50.0)
    );
    assert!(operator.identity.is_none() && operator.budgets.is_none());
    assert!(operator.tls.is_none() && operator.test_faults.is_none());
}
