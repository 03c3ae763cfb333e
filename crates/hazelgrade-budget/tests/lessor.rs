//! A site's lessor by itself.

use hazelgrade::time::{Span, Time};
use hazelgrade_budget::lessor::{Action, Event, Lessor};
use hazelgrade_budget::protocol::{LeaseRequest, RequestLine};
use hazelgrade_budget::stored::LessorRecord;
use hazelgrade_budget::terms::{BudgetTerms, Measure};

fn request(holder: &str, incarnation: u64, sequence: u64, held: u32) -> LeaseRequest {
    let line = RequestLine { budget: "calls".into(), held, in_use: held, wanted: 10, unleased: 0 };
    LeaseRequest {
        holder: holder.into(),
        incarnation,
        sequence,
        last_accepted: 0,
        known_lessor: None,
        draining: false,
        lines: vec![line],
    }
}

/// A request that comes after a later one of the same holder says what was, and is not answered: by it the book
/// would say less than the holder has.
#[test]
fn a_lessor_ignores_requests_that_a_later_one_overtook() {
    let record = LessorRecord { site: "a".into(), ..LessorRecord::default() };
    let (mut lessor, _) = Lessor::new(Time::from_ms(0.0), record);
    let mut tell = |ms: f64, event| {
        let mut actions = Vec::new();
        lessor.handle(Time::from_ms(ms), event, &mut actions);
        let grants = actions.iter().filter_map(|action| match action {
            Action::Grant(_, grant) => Some(grant.lines[0].units),
            _ => None,
        });
        let grants: Vec<u32> = grants.collect();
        let stores = actions.iter().any(|action| matches!(action, Action::Store(_)));
        (grants, stores)
    };
    let terms = BudgetTerms {
        measure: Measure::ConcurrentCalls,
        total: 6,
        site_shares: [("a".to_owned(), 6)].into(),
        set_aside: 0,
        min_share: 1,
        lease: Span::from_ms(1000.0),
        max_use_time: Span::from_ms(1000.0),
        tenant: None,
    };
    tell(0.0, Event::Stored(Ok(())));
    let terms = [("calls".to_owned(), terms)].into();
    tell(1.0, Event::TermsChanged { terms, owned: [("calls".to_owned(), 6)].into() });
    tell(1.0, Event::Stored(Ok(())));
    // Nothing is granted before the disk has it that something is.
    assert_eq!(tell(202.0, Event::Requested(1, request("n0", 7, 2, 0))), (vec![], true));
    assert_eq!(tell(203.0, Event::Stored(Ok(()))), (vec![6], false));
    assert_eq!(tell(204.0, Event::Requested(1, request("n0", 7, 1, 0))).0, Vec::<u32>::new());
    assert_eq!(tell(204.0, Event::Requested(1, request("n0", 7, 2, 0))).0, Vec::<u32>::new());
    // All of it is with n0 until that says otherwise.
    assert_eq!(tell(500.0, Event::Requested(2, request("n1", 8, 1, 0))).0, vec![0]);
    assert_eq!(tell(600.0, Event::Requested(1, request("n0", 7, 3, 6))).0, vec![3]);
    let unconfirmed = tell(700.0, Event::Requested(2, request("n1", 8, 2, 0)));
    assert_eq!(unconfirmed.0, vec![0], "n0 has not confirmed yet");
    assert_eq!(tell(800.0, Event::Requested(1, request("n0", 7, 4, 3))).0, vec![3]);
    assert_eq!(tell(900.0, Event::Requested(2, request("n1", 8, 3, 0))).0, vec![3]);
}
