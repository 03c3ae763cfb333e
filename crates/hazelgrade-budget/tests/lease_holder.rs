//! A node's lease holder: which grants it accepts, and when it sends requests.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Time;
use hazelgrade_budget::lease_holder::{LeaseHolder, Usage};
use hazelgrade_budget::protocol::{GrantLine, LeaseGrant};
use std::collections::BTreeMap;

fn grant(sequence: u64, generation: u64, units: u32) -> LeaseGrant {
    let line = GrantLine {
        budget: "calls".into(),
        units,
        lease_ms: 1000.0,
        max_use_ms: 500.0,
        retry_after_ms: None,
    };
    LeaseGrant { lessor: "a".into(), generation, sequence, renew_within_ms: 200.0, lines: vec![line] }
}

#[test]
fn a_holder_accepts_the_answer_to_its_latest_request_only() {
    let at = Time::from_ms;
    let mut holder =
        LeaseHolder::new(at(0.0), "n0", 7, &[("calls".to_owned(), 1)].into(), MultiplyWithCarry::new(1));
    holder.bind(at(0.0), &["calls".to_owned()]);
    assert_eq!(holder.entitlement(at(0.0), "calls").units, 1, "one unit may be used without a lease");
    assert_eq!(holder.take_request(at(0.0)).map(|request| request.sequence), Some(1));
    assert!(holder.on_grant(at(900.0), &grant(1, 5, 4)));
    // The lease counts from the time of the request, and ends early by the possible clock drift.
    assert_eq!(holder.entitlement(at(998.0), "calls").units, 5);
    assert_eq!(holder.entitlement(at(999.1), "calls").units, 1);
    assert!(!holder.on_grant(at(950.0), &grant(1, 5, 9)), "a duplicate grant is ignored");
    let request = holder.take_request(at(2000.0)).expect("a request is due");
    assert_eq!((request.sequence, request.last_accepted, request.lines[0].held), (2, 1, 0));
    assert!(!holder.on_grant(at(2001.0), &grant(1, 5, 9)), "a late grant is ignored");
    assert!(!holder.on_grant(at(2001.0), &grant(2, 4, 9)), "a grant of an earlier generation is ignored");
    assert!(holder.on_grant(at(2001.0), &grant(2, 6, 3)));
    // Units in use beyond the entitlement count as held until the work ends.
    holder.record_usage(at(2002.0), "calls", Usage { in_use: 4, wanted: 4 });
    let lapsed = holder.take_request(at(4000.0)).expect("a request is due");
    assert_eq!(lapsed.lines[0].held, 3, "four units in use, one of them unleased");
    // A draining holder keeps only the units that it uses.
    assert!(holder.on_grant(at(4001.0), &grant(3, 6, 5)));
    holder.record_usage(at(4002.0), "calls", Usage { in_use: 2, wanted: 2 });
    holder.start_drain(at(4003.0));
    let draining = holder.take_request(at(4003.0)).expect("a drain makes a request due at once");
    assert!(draining.draining && draining.lines[0].held == 1);
    assert_eq!(holder.entitlement(at(4004.0), "calls").units, 2);
}

#[test]
fn a_holder_awaits_one_answer_at_a_time() {
    let at = Time::from_ms;
    let mut holder = LeaseHolder::new(at(0.0), "n0", 7, &BTreeMap::new(), MultiplyWithCarry::new(1));
    holder.bind(at(0.0), &["calls".to_owned()]);
    assert!(holder.take_request(at(0.0)).is_some());
    for ms in 1..100u32 {
        holder.record_usage(at(f64::from(ms)), "calls", Usage { in_use: 0, wanted: ms * 2 });
        holder.on_nudge(at(f64::from(ms)));
        assert!(holder.take_request(at(f64::from(ms))).is_none(), "the first request is not answered yet");
    }
    // The answer is accepted, and the changed usage is sent at once in the next request.
    assert!(holder.on_grant(at(100.0), &grant(1, 5, 4)));
    assert!(holder.take_request(at(100.0)).is_some());
    // A request whose answer was lost is abandoned, and another one is sent.
    assert!(holder.take_request(at(180.0)).is_none() && holder.take_request(at(400.0)).is_some());
}
