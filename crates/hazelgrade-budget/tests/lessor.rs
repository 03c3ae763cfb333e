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

/// Terms of one budget of calls with leases and uses of this length.
fn terms_with(lease_ms: f64, max_use_ms: f64) -> Event {
    let terms = BudgetTerms {
        measure: Measure::ConcurrentCalls,
        total: 6,
        site_shares: [("a".to_owned(), 6)].into(),
        set_aside: 0,
        min_share: 1,
        lease: Span::from_ms(lease_ms),
        max_use_time: Span::from_ms(max_use_ms),
        tenant: None,
    };
    Event::TermsChanged {
        terms: [("calls".to_owned(), terms)].into(),
        owned: [("calls".to_owned(), 6)].into(),
    }
}

/// A lessor with a disk that always works.
struct Stored {
    lessor: Lessor,
    record: LessorRecord,
}

impl Stored {
    fn start(ms: f64, record: LessorRecord) -> Stored {
        let (lessor, first) = Lessor::new(Time::from_ms(ms), record.clone());
        let mut stored = Stored { lessor, record };
        stored.perform(ms, vec![first]);
        stored
    }

    fn handle(&mut self, ms: f64, event: Event) {
        let mut actions = Vec::new();
        self.lessor.handle(Time::from_ms(ms), event, &mut actions);
        self.perform(ms, actions);
    }

    fn perform(&mut self, ms: f64, actions: Vec<Action>) {
        for action in actions {
            if let Action::Store(record) = action {
                self.record = record;
                self.handle(ms, Event::Stored(Ok(())));
            }
        }
    }

    /// Handles its own timers up to this time.
    fn run_until(&mut self, from_ms: f64, to_ms: f64) {
        let mut now = Time::from_ms(from_ms);
        while let Some(at) = self.lessor.wakes_at(now).filter(|at| *at <= Time::from_ms(to_ms)) {
            now = at.max(now + Span::from_ms(1.0));
            self.handle(now.since(Time::from_ms(0.0)).as_ms(), Event::Timer);
        }
    }

    fn is_blocked(&self, ms: f64) -> bool {
        self.lessor.grants_blocked(Time::from_ms(ms)).is_some()
    }
}

/// After a lost store every later start waited for the longest lease of any document, 70 s, although all leases of that
/// time were long over: callers of a site were rejected at each restart.
#[test]
fn a_start_after_a_lost_stores_wait_is_over_waits_for_the_present_leases_only() {
    let lost = LessorRecord { site: "a".into(), generation: 5, granted: true, max_grant_ms: 70_000.0 };
    let mut first = Stored::start(0.0, lost);
    first.handle(1.0, terms_with(600.0, 600.0));
    first.run_until(1.0, 70_000.0);
    assert!(first.is_blocked(70_000.0), "leases of the lost store may be in use");
    let again = Stored::start(70_000.0, first.record.clone());
    assert!(again.is_blocked(139_000.0), "a start during the wait knows no better");
    first.run_until(70_000.0, 70_200.0);
    assert!(!first.is_blocked(70_200.0));
    first.handle(70_300.0, Event::Requested(1, request("n0", 7, 1, 0)));
    let next = Stored::start(71_000.0, first.record);
    assert!(next.is_blocked(72_200.0), "leases of the start before may be in use");
    assert!(!next.is_blocked(72_300.0));
}

/// A start must not come too early either: leases by longer terms than the present ones may still be in use.
#[test]
fn a_start_waits_for_leases_by_longer_terms_until_they_are_over() {
    let mut first = Stored::start(0.0, LessorRecord { site: "a".into(), ..LessorRecord::default() });
    first.handle(1.0, terms_with(5000.0, 5000.0));
    first.handle(100.0, Event::Requested(1, request("n0", 7, 1, 0)));
    first.handle(200.0, terms_with(600.0, 600.0));
    first.run_until(200.0, 10_000.0);
    let early = Stored::start(10_000.0, first.record.clone());
    assert!(early.is_blocked(19_900.0), "the lease of n0 and its use end at 10,100");
    first.run_until(10_000.0, 10_300.0);
    let late = Stored::start(10_300.0, first.record);
    assert!(!late.is_blocked(11_600.0));
}

/// A copy of the store from a time of shorter leases says less than the document by which the latest ones were granted.
#[test]
fn a_start_with_a_copy_from_a_time_of_shorter_leases_waits_for_those_of_the_document() {
    let copy = LessorRecord { site: "a".into(), generation: 5, granted: true, max_grant_ms: 1201.2 };
    let mut lessor = Stored::start(0.0, copy);
    lessor.handle(1.0, terms_with(5000.0, 5000.0));
    assert!(lessor.is_blocked(9_900.0));
    assert!(!lessor.is_blocked(10_100.0));
}
