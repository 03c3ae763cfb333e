//! All states, within bounds, of a keeper and two holders over a channel that loses, doubles and reorders messages, while
//! the keeper is killed and comes back, holders die and come back, and calls go on past what they were begun under. Time
//! goes on in steps, for each at the rate of its own clock.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::holder::{Holder, Use};
use hazelgrade_budget::keeper::{Action, Book, Event, Keeper};
use hazelgrade_budget::message::{Ask, Grant};
use hazelgrade_budget::terms::{Measure, Terms};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

const BUDGET: &str = "calls";
const WHOLE: u32 = 2;
const LEASE: u64 = 4;
const LONGEST_USE: u64 = 2;
/// A step of time, in milliseconds: far above what asks are apart at least.
const STEP: f64 = 100.0;
const IN_FLIGHT: usize = 3;

#[derive(Clone, Debug, PartialEq)]
enum Message {
    Ask(usize, Ask),
    Grant(usize, Grant),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    time: u64,
    losses: u8,
    doubles: u8,
    starts: u8,
    deaths: u8,
}

#[derive(Clone, Debug)]
struct World {
    t: u64,
    keeper: Keeper,
    /// When the keeper's clock began.
    began: u64,
    book: Book,
    holders: Vec<Holder>,
    runs: u64,
    /// Calls below: of which holder, of which run, since when.
    calls: Vec<(usize, u64, u64)>,
    net: Vec<Message>,
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
    Ask(usize),
    Deliver(usize),
    Lose(usize),
    Double(usize),
    Begin(usize),
    End(usize),
    KeeperStarts,
    HolderStarts(usize),
}

fn terms() -> BTreeMap<String, Terms> {
    let terms = Terms {
        measure: Measure::InHand,
        whole: WHOLE,
        sites: [("a".to_owned(), WHOLE)].into(),
        set_aside: 0,
        floor: 1,
        lease: Span::from_ms(LEASE as f64 * STEP),
        longest_use: Span::from_ms(LONGEST_USE as f64 * STEP),
        tenant: None,
    };
    [(BUDGET.to_owned(), terms)].into()
}

fn holder(t: u64, place: usize, run: u64) -> Holder {
    let mut holder =
        Holder::new(slow(t), &format!("n{place}"), run, &BTreeMap::new(), MultiplyWithCarry::new(1));
    holder.bind(slow(t), &[BUDGET.to_owned()]);
    holder
}

/// Holders' clocks are slow and the keeper's is fast: the worst for leases, 200 parts in a million each.
fn slow(t: u64) -> Time {
    Time::from_ms(t as f64 * STEP * 0.9998)
}

impl World {
    fn keyed(mut self) -> World {
        self.key = format!(
            "{:?}{:?}{:?}{:?}{:?}",
            self.t,
            self.keeper,
            self.holders,
            self.calls,
            (&self.net, self.left, self.began)
        );
        self
    }

    fn keeper_now(&self) -> Time {
        Time::from_ms((self.t - self.began) as f64 * STEP * 1.0002)
    }

    fn tell(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            let now = self.keeper_now();
            self.keeper.take(now, event, &mut out);
            for action in out {
                match action {
                    Action::Grant(to, grant) if self.net.len() < IN_FLIGHT => {
                        self.net.push(Message::Grant(to as usize, grant));
                    }
                    Action::Keep(book) => {
                        self.book = book;
                        events.push(Event::Kept(Ok(())));
                    }
                    _ => {}
                }
            }
        }
    }

    fn start_keeper(&mut self) {
        let (keeper, first) = Keeper::new(Time::from_ms(0.0), self.book.clone());
        (self.keeper, self.began) = (keeper, self.t);
        if let Action::Keep(book) = first {
            self.book = book;
        }
        self.tell(Event::Kept(Ok(())));
        self.tell(Event::Terms(terms(), [(BUDGET.to_owned(), WHOLE)].into()));
    }

    fn used(&self, place: usize) -> u32 {
        let run = self.holders[place].run();
        self.calls.iter().filter(|(of, by, _)| *of == place && *by == run).count() as u32
    }

    fn may_begin(&self, place: usize) -> bool {
        self.used(place) < self.holders[place].allowed(slow(self.t), BUDGET).units
    }
}

struct Bounds(Left);

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let book = Book { site: "a".into(), ..Book::default() };
        let (keeper, _) = Keeper::new(Time::from_ms(0.0), book.clone());
        let mut world = World {
            t: 0,
            keeper,
            began: 0,
            book,
            holders: vec![holder(0, 0, 1), holder(0, 1, 2)],
            runs: 2,
            calls: Vec::new(),
            net: Vec::new(),
            left: self.0,
            key: String::new(),
        };
        world.start_keeper();
        vec![world.keyed()]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        let left = world.left;
        // Calls end when their longest use is over; time does not go on past that.
        if left.time > 0 && world.calls.iter().all(|(.., since)| world.t < since + LONGEST_USE) {
            actions.push(Step::Time);
        }
        for place in 0..world.holders.len() {
            if world.holders[place].next() <= slow(world.t) && world.net.len() < IN_FLIGHT {
                actions.push(Step::Ask(place));
            }
            if world.may_begin(place) {
                actions.push(Step::Begin(place));
            }
            if left.deaths > 0 {
                actions.push(Step::HolderStarts(place));
            }
        }
        for place in 0..world.net.len() {
            actions.push(Step::Deliver(place));
            if left.losses > 0 {
                actions.push(Step::Lose(place));
            }
            if left.doubles > 0 && world.net.len() < IN_FLIGHT {
                actions.push(Step::Double(place));
            }
        }
        actions.extend((0..world.calls.len()).map(Step::End));
        if left.starts > 0 {
            actions.push(Step::KeeperStarts);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Time => {
                next.t += 1;
                next.left.time -= 1;
                next.tell(Event::Woke);
            }
            Step::Ask(place) => {
                let (used, now) = (next.used(place), slow(next.t));
                // It always wants more: what it is granted it may use at any moment.
                next.holders[place].uses(now, BUDGET, Use { used, wants: used.max(WHOLE) });
                let ask = next.holders[place].ask(now)?;
                next.net.push(Message::Ask(place, ask));
            }
            Step::Deliver(at) => match next.net.remove(at) {
                Message::Ask(place, ask) => next.tell(Event::Asked(place as u64, ask)),
                Message::Grant(place, grant) => {
                    let now = slow(next.t);
                    next.holders[place].granted(now, &grant);
                }
            },
            Step::Lose(at) => {
                next.net.remove(at);
                next.left.losses -= 1;
            }
            Step::Double(at) => {
                let message = next.net[at].clone();
                next.net.push(message);
                next.left.doubles -= 1;
            }
            Step::Begin(place) => {
                let run = next.holders[place].run();
                next.calls.push((place, run, next.t));
                next.calls.sort_unstable();
            }
            Step::End(at) => {
                next.calls.remove(at);
            }
            Step::KeeperStarts => {
                next.left.starts -= 1;
                next.start_keeper();
            }
            Step::HolderStarts(place) => {
                next.left.deaths -= 1;
                next.runs += 1;
                next.holders[place] = holder(next.t, place, next.runs);
            }
        }
        Some(next.keyed())
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always("never more than the whole", |_: &Bounds, world: &World| {
                world.calls.len() <= WHOLE as usize
            }),
            Property::sometimes("the whole is used by one", |_, world: &World| {
                (0..2).any(|place| world.used(place) == WHOLE)
            }),
            Property::sometimes("the whole is used by both", |_, world: &World| {
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
    let found = checker.discovery("never more than the whole");
    assert!(found.is_none(), "{:?}", found.map(|path| path.into_actions()));
    println!("{} states, {} deep at most", checker.unique_state_count(), checker.max_depth());
}

#[test]
fn with_messages_lost_doubled_and_out_of_order() {
    explored(Left { time: 8, losses: 1, doubles: 1, starts: 0, deaths: 0 }, 22, 120_000);
}

#[test]
fn with_a_keeper_that_dies_and_holders_that_come_anew() {
    explored(Left { time: 9, losses: 0, doubles: 1, starts: 1, deaths: 1 }, 22, 120_000);
}
