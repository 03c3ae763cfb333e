//! Wrong settings give the recorded messages, character by character; right ones give what the host goes by.

use hazelgrade::api::Idempotency;
use hazelgrade_settings::{JobClassSlot, decode};
use serde_json::{Value, json};

fn message(settings: &Value) -> String {
    match decode(settings, 1) {
        Ok(_) => "no error".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn wrong_settings_give_the_recorded_messages() {
    let wrong = [
        (json!([]), "field settings: expected a JSON object"),
        (json!({"specifics": {"below": 1}, "classes": 1}), "field settings.specifics.below: expected a word"),
        (json!({"classes": {}}), "field settings.classes: expected a list"),
        (json!({"classes": [{"giveUp": -1}]}), "field settings.classes.giveUp: expected a number from 0 up"),
        (json!({"classes": [{"aim": "x"}]}), "field settings.classes.aim: expected a number from 0 up"),
        (
            json!({"classes": [{"idempotency": "often", "window": []}]}),
            "field settings.classes.idempotency: expected safe, keyed or unsafe",
        ),
        (json!({"classes": [{"name": 5}]}), "field settings.classes.name: expected a word"),
        (json!({"customers": 4}), "field settings.customers: expected a list"),
        (
            json!({"customers": [{"quotaPerS": true}]}),
            "field settings.customers.quotaPerS: expected a number from 0 up",
        ),
        (
            json!({"specifics": {"halt": "now"}}),
            "field settings.specifics.halt: expected silent, drop or pause",
        ),
        (json!({"specifics": {"cold": 1}}), "field settings.specifics.cold: expected true or false"),
        (json!({"quantum": -1}), "field settings..quantum: expected a number from 0 up"),
        (
            json!({"guarantees": {"warmUp": "1"}}),
            "field settings.guarantees.warmUp: expected a number from 0 up",
        ),
        (
            json!({"specifics": {"callsOut": -1}}),
            "field settings.specifics.callsOut: expected a number from 0 up",
        ),
        (
            json!({"specifics": {"signal": "loud"}}),
            "field settings.specifics.signal: expected silent, level, credit or weight",
        ),
        (
            json!({"ceilings": {"retryAfter": 3}}),
            "field settings.ceilings.retryAfter: expected true or false",
        ),
        (json!({"clients": {"marksRetry": 3}}), "field settings.clients.marksRetry: expected true or false"),
        (json!({"specifics": {"ownStats": 3}}), "field settings.ownStats: expected a list"),
        (
            json!({"specifics": {"readiness": 3}}),
            "field settings.specifics.readiness: expected true or false",
        ),
    ];
    for (settings, expected) in wrong {
        assert_eq!(message(&settings), expected, "{settings}");
    }
}

#[test]
fn right_settings_give_what_the_host_goes_by() {
    let settings = json!({
        "quantum": 2,
        "classes": [
            {"name": "a", "giveUp": 20, "aim": 10, "idempotency": "keyed", "window": 5},
            {"name": "b", "giveUp": 30}
        ],
        "customers": [{"name": "north", "quotaPerS": 4}, {"name": null}],
        "guarantees": {"answerSlack": 3, "drainGrace": 7},
        "specifics": {
            "below": "db", "ownStats": ["cpu", 1, "memory"], "readiness": true, "shareFor": 6, "linger": 8
        }
    });
    let host = decode(&settings, 1).expect("they are right").host;
    let classes: Vec<_> = host
        .job_classes
        .iter()
        .map(|class| (class.name.as_str(), class.idempotency, class.deadline.as_ms(), class.in_use))
        .collect();
    assert_eq!(classes, [("a", Idempotency::Keyed, 20.0, true), ("b", Idempotency::Idempotent, 30.0, true)]);
    assert_eq!(host.tenants, [Some("north".to_owned()), Some(String::new())]);
    assert_eq!((host.limits.answer_slack.as_ms(), host.limits.drain_grace.as_ms()), (3.0, 7.0));
    assert_eq!(host.gauge_names, ["cpu", "memory"]);
    assert!(host.calls_dependency && host.readiness_follows_health && !host.authenticates_callers);
    assert_eq!((host.tick.as_ms(), host.result_sharing.as_ms(), host.linger.as_ms()), (2.0, 6.0, 8.0));
    assert_eq!(host.job_class("b"), Some(JobClassSlot { slot: 1, in_use: true }));
    assert_eq!((host.job_class("c"), host.serves()), (None, true));
}
