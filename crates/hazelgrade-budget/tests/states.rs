//! All states, within bounds, of a lessor and two lease holders over a channel that loses, doubles and reorders
//! messages, while the lessor is killed and comes back, holders die and come back, and calls go on past the lease
//! under which they were begun. Time goes on in steps, for each at the rate of its own clock.

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
/// Longest use, in steps.
const MAX_USE: u64 = 2;
/// A step of time, in milliseconds: far above the least time between requests.
const STEP_MS: f64 = 100.0;
/// Most messages under way at once.
const MAX_MESSAGES: usize = 3;

#[derive(Clone, Debug, PartialEq)]
enum Message {
    Request(usize, LeaseRequest),
    Grant(usize, LeaseGrant),
}

/// What may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    time: u64,
    losses: u8,
    doubles: u8,
    lessor_starts: u8,
    holder_starts: u8,
}

/// A call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    holder: usize,
    incarnation: u64,
    since: u64,
}

#[derive(Clone, Debug)]
struct World {
    /// Steps since the start.
    time: u64,
    lessor: Lessor,
    /// When the lessor's clock began.
    lessor_started_at: u64,
    stored: LessorRecord,
    holders: Vec<LeaseHolder>,
    incarnations: u64,
    calls: Vec<Call>,
    messages: Vec<Message>,
    left: Left,
    key: String,
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.key == other.key
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Time,
    Request(usize),
    Deliver(usize),
    Lose(usize),
    Double(usize),
    Begin(usize),
    End(usize),
    LessorStarts,
    HolderStarts(usize),
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

fn holder(time: u64, place: usize, incarnation: u64) -> LeaseHolder {
    let mut holder = LeaseHolder::new(
        holder_time(time),
        &format!("n{place}"),
        incarnation,
        &BTreeMap::new(),
        MultiplyWithCarry::new(1),
    );
    holder.bind(holder_time(time), &[BUDGET.to_owned()]);
    holder
}

/// Holders' clocks are slow and the lessor's is fast: the worst for leases, 200 parts in a million each.
fn holder_time(time: u64) -> Time {
    Time::from_ms(time as f64 * STEP_MS * 0.9998)
}

impl World {
    fn keyed(mut self) -> World {
        self.key = format!(
            "{:?}{:?}{:?}{:?}{:?}",
            self.time,
            self.lessor,
            self.holders,
            self.calls,
            (&self.messages, self.left, self.lessor_started_at)
        );
        self
    }

    fn lessor_time(&self) -> Time {
        Time::from_ms((self.time - self.lessor_started_at) as f64 * STEP_MS * 1.0002)
    }

    fn tell(&mut self, event: Event) {
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
        self.tell(Event::Stored(Ok(())));
        let owned = [(BUDGET.to_owned(), TOTAL)].into();
        self.tell(Event::TermsChanged { terms: terms(), owned });
    }

    fn used(&self, place: usize) -> u32 {
        let incarnation = self.holders[place].incarnation();
        let is_own = |call: &&Call| call.holder == place && call.incarnation == incarnation;
        self.calls.iter().filter(is_own).count() as u32
    }

    fn may_begin(&self, place: usize) -> bool {
        self.used(place) < self.holders[place].entitlement(holder_time(self.time), BUDGET).units
    }
}

struct Bounds(Left);

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let stored = LessorRecord { site: "a".into(), ..LessorRecord::default() };
        let (lessor, _) = Lessor::new(Time::from_ms(0.0), stored.clone());
        let mut world = World {
            time: 0,
            lessor,
            lessor_started_at: 0,
            stored,
            holders: vec![holder(0, 0, 1), holder(0, 1, 2)],
            incarnations: 2,
            calls: Vec::new(),
            messages: Vec::new(),
            left: self.0,
            key: String::new(),
        };
        world.start_lessor();
        vec![world.keyed()]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        let left = world.left;
        // Calls end when their longest use is over; time does not go on past that.
        if left.time > 0 && world.calls.iter().all(|call| world.time < call.since + MAX_USE) {
            actions.push(Step::Time);
        }
        for place in 0..world.holders.len() {
            if world.holders[place].next_request_at() <= holder_time(world.time)
                && world.messages.len() < MAX_MESSAGES
            {
                actions.push(Step::Request(place));
            }
            if world.may_begin(place) {
                actions.push(Step::Begin(place));
            }
            if left.holder_starts > 0 {
                actions.push(Step::HolderStarts(place));
            }
        }
        for place in 0..world.messages.len() {
            actions.push(Step::Deliver(place));
            if left.losses > 0 {
                actions.push(Step::Lose(place));
            }
            if left.doubles > 0 && world.messages.len() < MAX_MESSAGES {
                actions.push(Step::Double(place));
            }
        }
        actions.extend((0..world.calls.len()).map(Step::End));
        if left.lessor_starts > 0 {
            actions.push(Step::LessorStarts);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Time => {
                next.time += 1;
                next.left.time -= 1;
                next.tell(Event::Timer);
            }
            Step::Request(place) => {
                let (used, now) = (next.used(place), holder_time(next.time));
                // It always wants more: what it is granted it may use at any moment.
                let usage = Usage { in_use: used, wanted: used.max(TOTAL) };
                next.holders[place].record_usage(now, BUDGET, usage);
                let request = next.holders[place].take_request(now)?;
                next.messages.push(Message::Request(place, request));
            }
            Step::Deliver(at) => match next.messages.remove(at) {
                Message::Request(place, request) => next.tell(Event::Requested(place as u64, request)),
                Message::Grant(place, grant) => {
                    let now = holder_time(next.time);
                    next.holders[place].on_grant(now, &grant);
                }
            },
            Step::Lose(at) => {
                next.messages.remove(at);
                next.left.losses -= 1;
            }
            Step::Double(at) => {
                let message = next.messages[at].clone();
                next.messages.push(message);
                next.left.doubles -= 1;
            }
            Step::Begin(place) => {
                let incarnation = next.holders[place].incarnation();
                next.calls.push(Call { holder: place, incarnation, since: next.time });
                next.calls.sort_unstable();
            }
            Step::End(at) => {
                next.calls.remove(at);
            }
            Step::LessorStarts => {
                next.left.lessor_starts -= 1;
                next.start_lessor();
            }
            Step::HolderStarts(place) => {
                next.left.holder_starts -= 1;
                next.incarnations += 1;
                next.holders[place] = holder(next.time, place, next.incarnations);
            }
        }
        Some(next.keyed())
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always("never more than the total", |_: &Bounds, world: &World| {
                world.calls.len() <= TOTAL as usize
            }),
            Property::sometimes("the total is used by one", |_, world: &World| {
                (0..2).any(|place| world.used(place) == TOTAL)
            }),
            Property::sometimes("the total is used by both", |_, world: &World| {
                (0..2).all(|place| world.used(place) == 1)
            }),
        ]
    }
}

fn explored(left: Left, depth: usize, states: usize) {
    let checker = Bounds(left)
        .checker()
        .threads(4)
        .target_max_depth(depth)
        .target_state_count(states)
        .spawn_bfs()
        .join();
    let found = checker.discovery("never more than the total");
    assert!(found.is_none(), "{:?}", found.map(|path| path.into_actions()));
    println!("{} states, {} deep at most", checker.unique_state_count(), checker.max_depth());
}

#[test]
fn messages_lost_doubled_and_out_of_order_never_exceed_the_total() {
    explored(Left { time: 8, losses: 1, doubles: 1, lessor_starts: 0, holder_starts: 0 }, 22, 120_000);
}

#[test]
fn a_lessor_and_holders_that_die_and_restart_never_exceed_the_total() {
    explored(Left { time: 9, losses: 0, doubles: 1, lessor_starts: 1, holder_starts: 1 }, 22, 120_000);
}
