//! Budget documents: the reasons for which they are rejected, and the terms that are read from them.

use hazelgrade_budget::terms::{self, Measure};
use hazelgrade_config::{Document, Kind};

#[test]
fn a_wrong_document_is_rejected_with_a_plain_reason() {
    let faults = |text: &str| match Document::read_as(Kind::Budgets, text, "b.toml") {
        Ok(_) => String::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
    };
    let calls = "[budget.calls]\nmeasure = \"in-hand\"\nwhole = 10\n";
    for (text, expected) in [
        ("", "field budget: expected at least one budget"),
        (calls, "field budget.calls.site: is missing"),
        (
            &format!("{calls}site = {{ a = 4, b = 5 }}\n"),
            "expected the parts of all sites to be 10 together, not 9",
        ),
        (
            &format!("{calls}set_aside = 6\nsite = {{ a = 5, b = 5 }}\n"),
            "b.toml:4:1: field budget.calls.set_aside",
        ),
        (&format!("{calls}burst = 6\nsite = {{ a = 10 }}\n"), "belongs to a budget with measure = \"rate\""),
        (&format!("{calls}lease_ms = 20\nsite = {{ a = 10 }}\n"), "expected a number from 200 to 10000"),
        (&format!("{calls}whole_ = 20\nsite = {{ a = 10 }}\n"), "there is no such field"),
        (
            &format!("{calls}site = {{ a = 10 }}\n{}site = {{ a = 10 }}\n", calls.replace("calls", "more")),
            "would not count",
        ),
        (
            "[budget.x]\nmeasure = \"rate\"\nwhole = 3\nsite = { a = 3 }\n",
            "field budget.x.customer: is missing",
        ),
        (
            "[budget.x]\nmeasure = \"calls\"\nwhole = 3\nsite = { a = 3 }\n",
            "expected one of in-hand, rate, tries",
        ),
    ] {
        let reported = faults(text);
        assert!(reported.contains(expected), "{text}\nreported {reported:?}, expected {expected:?}");
    }
    let shipped = include_str!("../../../deploy/budgets.toml");
    let document = Document::read_as(Kind::Budgets, shipped, "deploy/budgets.toml")
        .expect("the shipped document is valid");
    let budgets = terms::read_all(&document);
    assert_eq!(budgets["calls"].site_shares["b"], 16);
    assert_eq!(budgets["tries"].measure, Measure::Retries { per_mille: 200 });
}
