//! Bounded model check of a lessor and two lease holders over a channel that loses, duplicates and reorders messages.
//! The lessor and the holders are killed and restarted, and calls continue past the lease under which they started.
//! Time advances in steps, and each process has a clock with its own rate.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::lease_holder::{LeaseHolder, Usage};
use hazelgrade_budget::lessor::{Action, Event, Lessor};
use hazelgrade_budget::protocol::{LeaseGrant, LeaseRequest};
use hazelgrade_budget::stored::LessorRecord;
use hazelgrade_budget::terms::{BudgetTerms, Measure};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

const BUDGET: &str = "calls";
const TOTAL: u32 = 2;
/// Length of a lease, in steps.
const LEASE: u64 = 4;
/// Longest use time, in steps.
const MAX_USE: u64 = 2;
/// Length of a step, in milliseconds: far above the minimum time between requests.
const STEP_MS: f64 = 100.0;
/// Limit of messages in transit at once.
const MAX_MESSAGES: usize = 3;

#[derive(Clone, Debug, PartialEq)]
enum Message {
    Request(usize, LeaseRequest),
    Grant(usize, LeaseGrant),
}

/// Numbers of time steps, faults and restarts that the model may still take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Remaining {
    time: u64,
    losses: u8,
    duplications: u8,
    lessor_restarts: u8,
    holder_restarts: u8,
}

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    holder: usize,
    incarnation: u64,
    started_at: u64,
}

#[derive(Clone, Debug)]
struct ModelState {
    /// Steps since the start.
    time: u64,
    lessor: Lessor,
    /// Step at which the lessor last started, when its clock began at zero.
    lessor_started_at: u64,
    stored: LessorRecord,
    holders: Vec<LeaseHolder>,
    last_incarnation: u64,
    calls: Vec<Call>,
    messages: Vec<Message>,
    remaining: Remaining,
    key: String,
}

impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        self.key == other.key
    }
}

impl Eq for ModelState {}

impl Hash for ModelState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    AdvanceTime,
    Request(usize),
    Deliver(usize),
    LoseMessage(usize),
    Duplicate(usize),
    StartCall(usize),
    EndCall(usize),
    RestartLessor,
    RestartHolder(usize),
}

fn terms() -> BTreeMap<String, BudgetTerms> {
    let terms = BudgetTerms {
        measure: Measure::ConcurrentCalls,
        total: TOTAL,
        site_shares: [("a".to_owned(), TOTAL)].into(),
        set_aside: 0,
        min_share: 1,
        lease: Span::from_ms(LEASE as f64 * STEP_MS),
        max_use_time: Span::from_ms(MAX_USE as f64 * STEP_MS),
        tenant: None,
    };
    [(BUDGET.to_owned(), terms)].into()
}

fn holder(time: u64, index: usize, incarnation: u64) -> LeaseHolder {
    let mut holder = LeaseHolder::new(
        holder_time(time),
        &format!("n{index}"),
        incarnation,
        &BTreeMap::new(),
        MultiplyWithCarry::new(1),
    );
    holder.bind(holder_time(time), &[BUDGET.to_owned()]);
    holder
}

/// Returns the time by a holder's clock. Holders' clocks are slow and the lessor's clock is fast, by 200 parts per
/// million each: the worst case for leases.
fn holder_time(time: u64) -> Time {
    Time::from_ms(time as f64 * STEP_MS * 0.9998)
}

impl ModelState {
    fn with_key(mut self) -> ModelState {
        self.key = format!(
            "{:?}{:?}{:?}{:?}{:?}",
            self.time,
            self.lessor,
            self.holders,
            self.calls,
            (&self.messages, self.remaining, self.lessor_started_at)
        );
        self
    }

    fn lessor_time(&self) -> Time {
        Time::from_ms((self.time - self.lessor_started_at) as f64 * STEP_MS * 1.0002)
    }

    fn handle_event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            let now = self.lessor_time();
            self.lessor.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Grant(to, grant) if self.messages.len() < MAX_MESSAGES => {
                        self.messages.push(Message::Grant(to as usize, grant));
                    }
                    Action::Store(record) => {
                        self.stored = record;
                        events.push(Event::Stored(Ok(())));
                    }
                    _ => {}
                }
            }
        }
    }

    fn start_lessor(&mut self) {
        let (lessor, first) = Lessor::new(Time::from_ms(0.0), self.stored.clone());
        self.lessor = lessor;
        self.lessor_started_at = self.time;
        if let Action::Store(record) = first {
            self.stored = record;
        }
        self.handle_event(Event::Stored(Ok(())));
        let owned = [(BUDGET.to_owned(), TOTAL)].into();
        self.handle_event(Event::TermsChanged { terms: terms(), owned });
    }

    fn in_use(&self, index: usize) -> u32 {
        let incarnation = self.holders[index].incarnation();
        let is_own = |call: &&Call| call.holder == index && call.incarnation == incarnation;
        self.calls.iter().filter(is_own).count() as u32
    }

    fn may_start_call(&self, index: usize) -> bool {
        self.in_use(index) < self.holders[index].entitlement(holder_time(self.time), BUDGET).units
    }
}

struct BoundedModel(Remaining);

impl Model for BoundedModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let stored = LessorRecord { site: "a".into(), ..LessorRecord::default() };
        let (lessor, _) = Lessor::new(Time::from_ms(0.0), stored.clone());
        let mut state = ModelState {
            time: 0,
            lessor,
            lessor_started_at: 0,
            stored,
            holders: vec![holder(0, 0, 1), holder(0, 1, 2)],
            last_incarnation: 2,
            calls: Vec::new(),
            messages: Vec::new(),
            remaining: self.0,
            key: String::new(),
        };
        state.start_lessor();
        vec![state.with_key()]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Step>) {
        let remaining = state.remaining;
        // A call ends at the latest after the longest use time, so time does not advance beyond that while a call is
        // in flight.
        if remaining.time > 0 && state.calls.iter().all(|call| state.time < call.started_at + MAX_USE) {
            actions.push(Step::AdvanceTime);
        }
        for index in 0..state.holders.len() {
            if state.holders[index].next_request_at() <= holder_time(state.time)
                && state.messages.len() < MAX_MESSAGES
            {
                actions.push(Step::Request(index));
            }
            if state.may_start_call(index) {
                actions.push(Step::StartCall(index));
            }
            if remaining.holder_restarts > 0 {
                actions.push(Step::RestartHolder(index));
            }
        }
        for index in 0..state.messages.len() {
            actions.push(Step::Deliver(index));
            if remaining.losses > 0 {
                actions.push(Step::LoseMessage(index));
            }
            if remaining.duplications > 0 && state.messages.len() < MAX_MESSAGES {
                actions.push(Step::Duplicate(index));
            }
        }
        actions.extend((0..state.calls.len()).map(Step::EndCall));
        if remaining.lessor_restarts > 0 {
            actions.push(Step::RestartLessor);
        }
    }

    fn next_state(&self, state: &ModelState, step: Step) -> Option<ModelState> {
        let mut next = state.clone();
        match step {
            Step::AdvanceTime => {
                next.time += 1;
                next.remaining.time -= 1;
                next.handle_event(Event::Timer);
            }
            Step::Request(index) => {
                let (in_use, now) = (next.in_use(index), holder_time(next.time));
                // A holder always wants the total, and may use its granted units at any moment.
                let usage = Usage { in_use, wanted: in_use.max(TOTAL) };
                next.holders[index].record_usage(now, BUDGET, usage);
                let request = next.holders[index].take_request(now)?;
                next.messages.push(Message::Request(index, request));
            }
            Step::Deliver(at) => match next.messages.remove(at) {
                Message::Request(index, request) => {
                    next.handle_event(Event::Requested(index as u64, request))
                }
                Message::Grant(index, grant) => {
                    let now = holder_time(next.time);
                    next.holders[index].on_grant(now, &grant);
                }
            },
            Step::LoseMessage(at) => {
                next.messages.remove(at);
                next.remaining.losses -= 1;
            }
            Step::Duplicate(at) => {
                let message = next.messages[at].clone();
                next.messages.push(message);
                next.remaining.duplications -= 1;
            }
            Step::StartCall(index) => {
                let incarnation = next.holders[index].incarnation();
                next.calls.push(Call { holder: index, incarnation, started_at: next.time });
                next.calls.sort_unstable();
            }
            Step::EndCall(at) => {
                next.calls.remove(at);
            }
            Step::RestartLessor => {
                next.remaining.lessor_restarts -= 1;
                next.start_lessor();
            }
            Step::RestartHolder(index) => {
                next.remaining.holder_restarts -= 1;
                next.last_incarnation += 1;
                next.holders[index] = holder(next.time, index, next.last_incarnation);
            }
        }
        Some(next.with_key())
    }

    fn properties(&self) -> Vec<Property<BoundedModel>> {
        vec![
            Property::always("never more than the total", |_: &BoundedModel, state: &ModelState| {
                state.calls.len() <= TOTAL as usize
            }),
            Property::sometimes("the total is used by one", |_, state: &ModelState| {
                (0..2).any(|index| state.in_use(index) == TOTAL)
            }),
            Property::sometimes("the total is used by both", |_, state: &ModelState| {
                (0..2).all(|index| state.in_use(index) == 1)
            }),
        ]
    }
}

fn check_states(remaining: Remaining, max_depth: usize, max_states: usize) {
    let checker = BoundedModel(remaining)
        .checker()
        .threads(4)
        .target_max_depth(max_depth)
        .target_state_count(max_states)
        .spawn_bfs()
        .join();
    let found = checker.discovery("never more than the total");
    assert!(found.is_none(), "{:?}", found.map(|path| path.into_actions()));
    println!("{} unique states, maximum depth {}", checker.unique_state_count(), checker.max_depth());
}

#[test]
fn messages_lost_duplicated_and_out_of_order_never_exceed_the_total() {
    check_states(
        Remaining { time: 8, losses: 1, duplications: 1, lessor_restarts: 0, holder_restarts: 0 },
        22,
        120_000,
    );
}

#[test]
fn a_lessor_and_holders_that_die_and_restart_never_exceed_the_total() {
    check_states(
        Remaining { time: 9, losses: 0, duplications: 1, lessor_restarts: 1, holder_restarts: 1 },
        22,
        120_000,
    );
}
