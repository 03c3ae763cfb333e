//! Documents are read with all their errors, compared, and written again.

#![allow(clippy::expect_used)]

use hazelgrade_config::schema::{Applies, LOG_LEVELS, RETRY_MODES, SERVING_FIELDS, ValueType};
use hazelgrade_config::{Difference, Document, Fields, Kind, OperatorConfig, Scalar};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::path::PathBuf;

const VALID: &str = "[use_case.a]\ngoal_ms = 10\ncut_off_ms = 20\n";

/// The first error of a text that must be wrong, as it is shown.
fn first_error(text: &str) -> String {
    Document::read(text, "f.toml").expect_err("it is wrong")[0].to_string()
}

#[test]
fn each_error_names_file_line_column_and_field() {
    let wrong = [
        ("goal_ms", "f.toml:1:8"),
        ("[use_case.a]\ngoal_ms = 10\n", "f.toml:2:1: field use_case.a.cut_off_ms: is missing"),
        ("[use_case.a]\n", "f.toml:1:11: field use_case.a: expected at least goal_ms and cut_off_ms"),
        (
            "log = 5\n[use_case.a]\ngoal_ms = 1\ncut_off_ms = 2\n",
            "f.toml:1:1: field log: expected one of off, error",
        ),
        (
            "[use_case.a]\ngoal_ms = 30\ncut_off_ms = 20\n",
            "f.toml:2:1: field use_case.a.goal_ms: expected the goal time",
        ),
        (
            "[use_case.a]\ngoal_ms = -1\ncut_off_ms = 20\n",
            "f.toml:2:1: field use_case.a.goal_ms: expected a number from",
        ),
        ("[use_case.a]\ngoal_ms = nan\ncut_off_ms = 20\n", "f.toml:2:1: field use_case.a.goal_ms: expected"),
        (
            "[use_case.a]\ngoal_ms = [1]\ncut_off_ms = 20\n",
            "f.toml:2:1: field use_case.a.goal_ms: expected one value",
        ),
        (
            "[use_case.a]\ngoal = 1\ngoal_ms = 10\ncut_off_ms = 20\n",
            "f.toml:2:1: field use_case.a.goal: there is no such field",
        ),
        ("[use_case.a]\ngoal_ms = 10\ngoal_ms = 11\ncut_off_ms = 20\n", "f.toml:3:1: duplicate key"),
        (
            "[use_case.\"a/b\"]\ngoal_ms = 10\ncut_off_ms = 20\n",
            "f.toml:1:11: field use_case: expected a name without '/'",
        ),
        (
            "[use_case.a]\ngoal_ms = 1\ncut_off_ms = 2\n[use_cases.a]\ngoal_ms = 10\n",
            "f.toml:5:1: field use_cases.a.goal_ms: there is no such field",
        ),
        ("[customer.a]\nquota_per_s = 1\n", "f.toml:1:1: field use_case: expected at least one use case"),
        ("", "f.toml:1:1: field use_case: expected at least one use case"),
    ];
    for (text, expected) in wrong {
        let shown = first_error(text);
        assert!(shown.starts_with(expected), "{text:?}: {shown}");
    }
    let with = |rest: &str| first_error(&format!("{VALID}{rest}"));
    assert!(with("earnings = 0\n").contains("expected at least one use case that earns something"));
    assert!(with("repeats = \"numbered\"\n").contains("field use_case.a.window_ms: expected more than 0"));
    assert!(with("[addresses]\nexecutor = \"localhost\"\n").contains("f.toml:5:1: field addresses.executor"));
    assert!(with("[limits]\nsockets = 32.5\n").contains("field limits.sockets: expected a whole number"));
    let long = format!("{VALID}# {}", "x".repeat(hazelgrade_config::MAX_DOCUMENT_BYTES));
    assert!(first_error(&long).contains("bytes at most"));
    let many: String =
        (0..65).map(|case| format!("[use_case.c{case}]\ngoal_ms = 10\ncut_off_ms = 20\n")).collect();
    assert!(first_error(&many).contains("field use_case: expected 64 at most, not 65"));
    let several = "log = 1\n[use_case.a]\ngoal_ms = 5\ncut_off_ms = 2\nwindow = 1\n";
    assert_eq!(
        Document::read(several, "f.toml").expect_err("wrong").len(),
        3,
        "all that is wrong, in one go"
    );
}

/// Any fields that pass the checks.
#[derive(Clone, Debug)]
struct ValidFields(Fields);

impl Arbitrary for ValidFields {
    fn arbitrary(g: &mut Gen) -> ValidFields {
        let mut fields = Fields::default();
        let names = ["a", "b-c", "d.e", "f\"g", "ü"].map(|name| name.replace('ü', "u"));
        for (which, field) in SERVING_FIELDS.iter().enumerate() {
            for name in names.iter().take(if field.path.contains('*') { 1 + which % 5 } else { 1 }) {
                if !field.required && bool::arbitrary(g) {
                    continue;
                }
                let part = f64::from(u16::arbitrary(g)) / 65536.0;
                let value = match field.value_type {
                    ValueType::Bool => Scalar::Bool(field.path.ends_with('/') || bool::arbitrary(g)),
                    ValueType::Number(least, most) => Scalar::Number(least + (most - least) * part),
                    ValueType::Integer(least, most) => {
                        Scalar::Number((least + (most - least) * part).floor())
                    }
                    ValueType::OneOf(words) => {
                        Scalar::Text(words[u8::arbitrary(g) as usize % words.len()].into())
                    }
                    ValueType::Text(_) => Scalar::Text("text".into()),
                    ValueType::TextList(_) => Scalar::TextList(vec!["one".into(), "two,3".into()]),
                    ValueType::Address => Scalar::Text(format!("127.0.0.1:{}", 1 + u16::arbitrary(g) / 2)),
                };
                fields.0.insert(field.path.replace('*', name), value);
            }
        }
        // Fields that depend on each other.
        for name in &names {
            let at = |field: &str| format!("use_case/{name}/{field}");
            let has_fields = fields.0.keys().any(|path| path.starts_with(&at("")));
            if has_fields {
                let (goal, more) = (1.0 + f64::from(u16::arbitrary(g)), f64::from(u8::arbitrary(g)));
                fields.0.insert(at("goal_ms"), Scalar::Number(goal));
                fields.0.insert(at("cut_off_ms"), Scalar::Number(goal + more));
                fields.0.insert(at("window_ms"), Scalar::Number(1.0 + more));
                fields.0.insert(at("earnings"), Scalar::Number(1.0));
            }
            if fields.0.contains_key(&format!("customer/{name}/quota_per_s")) {
                fields.0.insert(format!("customer/{name}/"), Scalar::Bool(true));
            }
        }
        ValidFields(fields)
    }
}

#[test]
fn a_document_is_the_same_after_writing_and_reading_and_after_its_difference_is_applied() {
    fn holds(ValidFields(one): ValidFields, ValidFields(other): ValidFields) -> bool {
        let document = Document::from_fields(Kind::Serving, one.clone(), "one").expect("it is right");
        let again = Document::read(&document.to_toml(), "again").expect("what it writes is right");
        let difference = one.difference(&other);
        let on_wire = Difference::from_json(&difference.to_json()).expect("it reads what it wrote");
        again == document
            && again.digest() == document.digest()
            && on_wire == difference
            && one.apply(&on_wire).as_ref() == Some(&other)
            && (one == other) == (one.digest() == other.digest())
            && (one == other) == (difference.count() == 0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 16))
        .tests(300)
        .quickcheck(holds as fn(ValidFields, ValidFields) -> bool);
}

#[test]
fn the_digest_depends_on_the_fields_and_not_on_their_layout() {
    let one = Document::read(VALID, "one").expect("right");
    let other = "# the same\n[use_case]\n[use_case.'a']\ncut_off_ms = 2e1\n  goal_ms = 10.0";
    assert_eq!(Document::read(other, "other").expect("right").digest(), one.digest());
    let more = Document::read(&format!("{VALID}earnings = 1\n"), "more").expect("right");
    assert_ne!(more.digest(), one.digest(), "a value that is said is not one that is left open");
    assert_eq!(one.fields().difference(more.fields()).count(), 1);
    assert_eq!(
        one.fields().apply(&more.fields().difference(one.fields())),
        None,
        "it takes away what isn't there"
    );
}

#[test]
fn changed_fields_that_apply_at_a_start_are_staged() {
    let staged: Vec<&str> = SERVING_FIELDS
        .iter()
        .filter(|field| field.applies == Applies::AtStart)
        .map(|field| field.path)
        .collect();
    assert_eq!(staged, ["limits/sockets", "limits/memory_mb"]);
    let one = Document::read(VALID, "one").expect("right");
    let two = format!("log = \"debug\"\n{VALID}late_part = 0.5\n[limits]\nmemory_mb = 64\n");
    let two = Document::read(&two, "two").expect("right");
    assert_eq!(one.fields().difference(two.fields()).staged(), ["limits.memory_mb"]);
    assert_eq!((LOG_LEVELS.len(), RETRY_MODES.len()), (6, 3));
}

#[test]
fn a_nodes_own_addresses_take_precedence() {
    let text = format!(
        "{VALID}[addresses]\nexecutor = \"127.0.0.1:1\"\nregistry = \"127.0.0.1:2\"\n[node.n1]\nexecutor = \"127.0.0.1:3\"\n"
    );
    let document = Document::read(&text, "two").expect("right");
    let port = |address: Option<std::net::SocketAddr>| address.map(|address| address.port());
    let (own, other) = (document.addresses_for("n1"), document.addresses_for("n2"));
    assert_eq!((port(own.executor), port(own.registry), port(own.database)), (Some(3), Some(2), None));
    assert_eq!(port(other.executor), Some(1));
}

#[test]
fn the_operators_file_is_read_or_its_errors_name_the_field() {
    let text = "[stream]\ncontrol = [\"127.0.0.1:7400\", \"127.0.0.2:7400\"]\nstore = \"s\"\n[stream.trial]\nspan_ms = 500\n";
    let stream = OperatorConfig::read(text, "o.toml").expect("right").stream.expect("switched on");
    assert_eq!(
        (stream.control_services.len(), stream.store, stream.trial.span.as_ms()),
        (2, PathBuf::from("s"), 500.0)
    );
    assert_eq!(OperatorConfig::read("", "o.toml").expect("right").stream, None);
    let shown = |text: &str| {
        let errors = OperatorConfig::read(text, "o.toml").expect_err("it is wrong");
        errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    };
    assert!(shown("[stream]\nstore = \"s\"\n").contains("field stream.control: is missing"));
    assert!(shown("[stream]\ncontrol = \"127.0.0.1:1\"\n").contains("field stream.store: is missing"));
    assert!(
        shown("[streams]\nstore = \"s\"\n")
            .contains("o.toml:2:1: field streams.store: there is no such field")
    );
    let trial = shown("[stream]\ncontrol = \"127.0.0.1:1\"\nstore = \"s\"\n[stream.trial]\nfall = 2\n");
    assert!(
        trial.contains("o.toml:5:1: field stream.trial.fall: expected a number from 0.01 to 1"),
        "{trial}"
    );
}

#[test]
fn budgets_by_site_are_read_again_from_their_own_toml() {
    let text =
        "[budget.calls]\nmeasure = \"in-hand\"\nwhole = 40\nset_aside = 8\nsite = { a = 24, b = 16 }\n";
    let document = Document::read_as(Kind::Budgets, text, "budgets.toml").expect("it is right");
    let written = document.to_toml();
    let read = Document::read_as(Kind::Budgets, &written, "written");
    assert_eq!(read.map(|document| document.digest()), Ok(document.digest()), "{written}");
}
