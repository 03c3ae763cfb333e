//! A site's lessor: outdated requests, and the time for which a restarted lessor grants nothing new.

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

/// Guards against booking too few units for a holder: a request that arrives after a later request of the same holder
/// states what was held earlier, so the lessor must not answer it.
#[test]
fn a_lessor_ignores_requests_older_than_the_latest() {
    let record = LessorRecord { site: "a".into(), ..LessorRecord::default() };
    let (mut lessor, _) = Lessor::new(Time::from_ms(0.0), record);
    let mut handle = |ms: f64, event| {
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
    handle(0.0, Event::Stored(Ok(())));
    let terms = [("calls".to_owned(), terms)].into();
    handle(1.0, Event::TermsChanged { terms, owned: [("calls".to_owned(), 6)].into() });
    handle(1.0, Event::Stored(Ok(())));
    // No units are granted before the store contains the record of a grant.
    assert_eq!(handle(202.0, Event::Requested(1, request("n0", 7, 2, 0))), (vec![], true));
    assert_eq!(handle(203.0, Event::Stored(Ok(()))), (vec![6], false));
    assert_eq!(handle(204.0, Event::Requested(1, request("n0", 7, 1, 0))).0, Vec::<u32>::new());
    assert_eq!(handle(204.0, Event::Requested(1, request("n0", 7, 2, 0))).0, Vec::<u32>::new());
    // All units are booked for n0 until a request of n0 states fewer held units.
    assert_eq!(handle(500.0, Event::Requested(2, request("n1", 8, 1, 0))).0, vec![0]);
    assert_eq!(handle(600.0, Event::Requested(1, request("n0", 7, 3, 6))).0, vec![3]);
    let unconfirmed = handle(700.0, Event::Requested(2, request("n1", 8, 2, 0)));
    assert_eq!(unconfirmed.0, vec![0], "n0 has not confirmed the smaller grant yet");
    assert_eq!(handle(800.0, Event::Requested(1, request("n0", 7, 4, 3))).0, vec![3]);
    assert_eq!(handle(900.0, Event::Requested(2, request("n1", 8, 3, 0))).0, vec![3]);
}

/// Terms of one budget of concurrent calls with these lengths of a lease and of the longest use.
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

/// A lessor whose store never fails.
struct StoredLessor {
    lessor: Lessor,
    record: LessorRecord,
}

impl StoredLessor {
    fn start(ms: f64, record: LessorRecord) -> StoredLessor {
        let (lessor, first) = Lessor::new(Time::from_ms(ms), record.clone());
        let mut stored = StoredLessor { lessor, record };
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

    /// Handles the lessor's timers that are due up to `to_ms`.
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

/// Guards against rejecting a site's callers at each restart after a lost store: every later start waited for the
/// longest lease that any document may state, 70 s, although the leases from before the loss were long over.
#[test]
fn a_start_after_the_wait_for_a_lost_store_waits_for_present_leases_only() {
    let lost = LessorRecord { site: "a".into(), generation: 5, granted: true, max_grant_ms: 70_000.0 };
    let mut first = StoredLessor::start(0.0, lost);
    first.handle(1.0, terms_with(600.0, 600.0));
    first.run_until(1.0, 70_000.0);
    assert!(first.is_blocked(70_000.0), "leases that the lost store recorded may be in use");
    let during_wait = StoredLessor::start(70_000.0, first.record.clone());
    assert!(during_wait.is_blocked(139_000.0), "a start during the wait has to wait for as long");
    first.run_until(70_000.0, 70_200.0);
    assert!(!first.is_blocked(70_200.0));
    first.handle(70_300.0, Event::Requested(1, request("n0", 7, 1, 0)));
    let next = StoredLessor::start(71_000.0, first.record);
    assert!(next.is_blocked(72_200.0), "leases of the previous start may be in use");
    assert!(!next.is_blocked(72_300.0));
}

/// Guards against a restart that grants too early: leases under longer terms than the present ones may be in use.
#[test]
fn a_start_waits_for_leases_by_longer_terms_until_they_are_over() {
    let mut first = StoredLessor::start(0.0, LessorRecord { site: "a".into(), ..LessorRecord::default() });
    first.handle(1.0, terms_with(5000.0, 5000.0));
    first.handle(100.0, Event::Requested(1, request("n0", 7, 1, 0)));
    first.handle(200.0, terms_with(600.0, 600.0));
    first.run_until(200.0, 10_000.0);
    let early = StoredLessor::start(10_000.0, first.record.clone());
    assert!(early.is_blocked(19_900.0), "the lease of n0 and the longest use end at 10,100 ms");
    first.run_until(10_000.0, 10_300.0);
    let late = StoredLessor::start(10_300.0, first.record);
    assert!(!late.is_blocked(11_600.0));
}

/// Guards against a wait that is too short after a restart with an old copy of the store: the copy states a shorter
/// longest lease than the document under which the latest leases were granted.
#[test]
fn a_start_with_an_old_store_of_shorter_leases_waits_for_leases_of_the_document() {
    let copy = LessorRecord { site: "a".into(), generation: 5, granted: true, max_grant_ms: 1201.2 };
    let mut lessor = StoredLessor::start(0.0, copy);
    lessor.handle(1.0, terms_with(5000.0, 5000.0));
    assert!(lessor.is_blocked(9_900.0));
    assert!(!lessor.is_blocked(10_100.0));
}
