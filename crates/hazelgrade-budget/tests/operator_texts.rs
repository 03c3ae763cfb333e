//! Texts that operators read and search for. They must not change.

use hazelgrade::time::Span;
use hazelgrade_budget::lessor::{GrantsBlocked, StaleStore};
use hazelgrade_budget::ownership::{CommandError, CommandOutcome, TakenOver, UnconfirmedSites};
use hazelgrade_budget::terms::Measure;

#[test]
fn texts_of_measures() {
    assert_eq!(Measure::ConcurrentCalls.to_string(), "InHand");
    assert_eq!(Measure::Rate { burst: 12 }.to_string(), "Rate { burst: 12 }");
    assert_eq!(Measure::Retries { per_mille: 200 }.to_string(), "Tries { per_mille: 200 }");
}

#[test]
fn texts_of_blocked_grants() {
    let stale = GrantsBlocked::StaleStore(StaleStore { witness: "n0".into() });
    assert_eq!(stale.to_string(), "n0 knows a later start of this keeper: its store is an old copy");
    let recovering = GrantsBlocked::Recovering { left: Span::from_ms(1200.25) };
    assert_eq!(recovering.to_string(), "leases of the start before may be in use for 1201 ms more");
    let unconfirmed = GrantsBlocked::Unconfirmed(UnconfirmedSites { sites: vec!["b".into(), "c".into()] });
    assert_eq!(unconfirmed.to_string(), "not heard of since the start: b, c");
    let json = serde_json::to_string(&Some(unconfirmed)).expect("the reason can be encoded");
    assert_eq!(json, r#""not heard of since the start: b, c""#);
}

#[test]
fn texts_of_command_outcomes() {
    let text = |outcome: CommandOutcome| outcome.to_string();
    assert_eq!(text(CommandOutcome::AlreadyDone { id: "m1".into() }), "m1 was done before");
    let sent = CommandOutcome::Sent { units: 3, budget: "calls".into(), to: "b".into() };
    assert_eq!(text(sent), "3 of calls are on their way to b");
    assert_eq!(text(CommandOutcome::AlreadyRetired { site: "b".into() }), "b was declared lost before");
    let taken_over = TakenOver([("calls".to_owned(), 4), ("tries".to_owned(), 2)].into());
    let retired = CommandOutcome::Retired { site: "b".into(), taken_over: Some(taken_over) };
    assert_eq!(text(retired), "b is declared lost: 4 of calls, 2 of tries are owned here now");
    let waiting = CommandOutcome::Retired { site: "b".into(), taken_over: None };
    assert_eq!(text(waiting), "b is declared lost; what it owned comes here when all other sites have heard");
}

#[test]
fn texts_of_command_errors() {
    let unknown = CommandError::UnknownBudget { budget: "calls".into() };
    assert_eq!(unknown.to_string(), "there is no budget calls");
    let invalid_receiver = CommandError::InvalidReceiver { site: "c".into() };
    assert_eq!(invalid_receiver.to_string(), "c is no other site of this budget");
    let insufficient = CommandError::InsufficientFreeUnits { units: 9, budget: "calls".into(), free: 2 };
    assert_eq!(insufficient.to_string(), "9 of calls are not free here: 2 are");
    assert_eq!(CommandError::UnknownSite { site: "c".into() }.to_string(), "c is no other site");
    let early = CommandError::TooEarly { site: "b".into(), wait: Span::from_ms(1200.25) };
    assert_eq!(early.to_string(), "what b granted may be in use for 1201 ms more: say it again then");
}
