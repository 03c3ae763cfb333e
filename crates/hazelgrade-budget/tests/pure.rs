//! Division, buckets, holders and owners by themselves: generated inputs against plain rules.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::bucket::Bucket;
use hazelgrade_budget::divide::{Claim, Turn, divide};
use hazelgrade_budget::holder::{Holder, Use};
use hazelgrade_budget::keeper::{self, Book, Event, Keeper};
use hazelgrade_budget::message::{Ask, Given, Grant, Line};
use hazelgrade_budget::parts::{Action, Ledger, Owner};
use hazelgrade_budget::terms::{self, Measure, Terms};
use hazelgrade_config::{Document, Kind};
use quickcheck::quickcheck;
use std::collections::BTreeMap;

fn claims(of: &[(u8, u8, u8, u8)]) -> Vec<Claim> {
    let claim = |(floor, weight, demand, has): &(u8, u8, u8, u8)| Claim {
        floor: u32::from(*floor % 3),
        weight: u32::from(*weight % 4) + 1,
        demand: u32::from(*demand % 40),
        has: u32::from(*has % 40),
        turn: Turn::Any,
    };
    of.iter().map(claim).collect()
}

quickcheck! {
    /// All of the whole and no more; and whoever wants more than it has stands behind nobody who could spare a unit.
    fn a_division_is_whole_and_fair(of: Vec<(u8, u8, u8, u8)>, whole: u8) -> bool {
        let (claims, whole) = (claims(&of), u32::from(whole));
        let given = divide(whole, &claims);
        let sum: u32 = given.iter().sum();
        let all = if claims.is_empty() { sum == 0 } else { sum == whole };
        let wants = |at: usize| given[at] < claims[at].demand;
        let fair = (0..claims.len()).filter(|at| wants(*at)).all(|poor| {
            (0..claims.len()).all(|rich| {
                let (units, weight) = (u64::from(given[rich]), u64::from(claims[rich].weight));
                let least = claims[rich].floor.max(claims[poor].floor.min(given[poor]));
                // One unit less would still be no less for its weight than what the other has.
                given[rich] <= least
                    || (given[rich] <= claims[rich].demand
                        && (units - 1) * u64::from(claims[poor].weight) <= u64::from(given[poor]) * weight)
            })
        });
        all && fair
    }

    /// Nobody gets more by wanting more than its share.
    fn a_lie_gets_no_more_than_its_share(others: u8, lie: u16) -> bool {
        let others = usize::from(others % 9) + 1;
        let claim = |demand| Claim { floor: 1, weight: 1, demand, has: 0, turn: Turn::Any };
        let mut claims = vec![claim(100); others];
        claims.push(claim(u32::from(lie) + 100));
        let given = divide(60, &claims);
        given[others] <= 60 / (others as u32 + 1) + 1
    }

    /// Parts that move between buckets never let through more than one bucket of the whole's size would.
    fn buckets_together_are_no_more_than_one(moves: Vec<(u8, u8, u8)>) -> bool {
        let (whole, burst) = (40, 12);
        let measure = Measure::Rate { burst };
        let at = Time::from_ms;
        let mut buckets: Vec<Bucket> = (0..3).map(|_| Bucket::new(at(0.0), measure, whole)).collect();
        let mut parts = [whole, 0, 0];
        let (mut now, mut taken) = (0.0, Vec::new());
        for (to, units, ms) in moves {
            now += f64::from(ms);
            let (from, to) = (parts.iter().position(|part| *part > 0).unwrap_or(0), usize::from(to % 3));
            let units = u32::from(units).min(parts[from]);
            parts[from] -= units;
            // Given back before it is given.
            buckets[from].revise(at(now), measure, whole, parts[from]);
            parts[to] += units;
            buckets[to].revise(at(now), measure, whole, parts[to]);
            for bucket in &mut buckets {
                while bucket.take(at(now)).is_ok() {
                    taken.push(now);
                }
            }
        }
        taken.iter().enumerate().all(|(first, from)| {
            taken.iter().enumerate().skip(first).all(|(last, to)| {
                (last - first + 1) as f64 <= f64::from(burst) + f64::from(whole) * (to - from) / 1000.0 + 1e-6
            })
        })
    }
}

#[test]
fn further_tries_are_a_part_of_first_tries() {
    let mut bucket = Bucket::new(Time::from_ms(0.0), Measure::Tries { per_mille: 200 }, 10);
    bucket.revise(Time::from_ms(0.0), Measure::Tries { per_mille: 200 }, 10, 4);
    assert!(bucket.take(Time::from_ms(1.0)).is_err(), "nothing was earned yet");
    (0..100).for_each(|_| bucket.earn());
    let taken = (0..100).filter(|_| bucket.take(Time::from_ms(2.0)).is_ok()).count();
    assert_eq!(taken, 4, "a part of what may come together, whatever was earned");
    (0..5).for_each(|_| bucket.earn());
    assert!(bucket.take(Time::from_ms(3.0)).is_ok() && bucket.take(Time::from_ms(3.0)).is_err());
}

fn grant(count: u64, generation: u64, units: u32) -> Grant {
    let given =
        Given { budget: "calls".into(), units, lease_ms: 1000.0, longest_use_ms: 500.0, more_in_ms: None };
    Grant { keeper: "a".into(), generation, count, again_ms: 200.0, of: vec![given] }
}

#[test]
fn a_holder_takes_the_answer_to_its_latest_ask_only() {
    let at = Time::from_ms;
    let mut holder =
        Holder::new(at(0.0), "n0", 7, &[("calls".to_owned(), 1)].into(), MultiplyWithCarry::new(1));
    holder.bind(at(0.0), &["calls".to_owned()]);
    assert_eq!(holder.allowed(at(0.0), "calls").units, 1, "what it may use alone");
    assert_eq!(holder.ask(at(0.0)).map(|ask| ask.count), Some(1));
    assert!(holder.granted(at(900.0), &grant(1, 5, 4)));
    // The lease counts from the ask, and ends a little early.
    assert_eq!(holder.allowed(at(998.0), "calls").units, 5);
    assert_eq!(holder.allowed(at(999.1), "calls").units, 1);
    assert!(!holder.granted(at(950.0), &grant(1, 5, 9)), "twice");
    let ask = holder.ask(at(2000.0)).expect("it is due");
    assert_eq!((ask.count, ask.taken, ask.of[0].holds), (2, 1, 0));
    assert!(!holder.granted(at(2001.0), &grant(1, 5, 9)), "late");
    assert!(!holder.granted(at(2001.0), &grant(2, 4, 9)), "of an earlier start of the keeper");
    assert!(holder.granted(at(2001.0), &grant(2, 6, 3)));
    // What is in hand beyond what it may use counts as held until it is over.
    holder.uses(at(2002.0), "calls", Use { used: 4, wants: 4 });
    let lapsed = holder.ask(at(4000.0)).expect("it is due");
    assert_eq!(lapsed.of[0].holds, 3, "four in hand, one of them its own");
    // Whoever leaves keeps only what it uses.
    assert!(holder.granted(at(4001.0), &grant(3, 6, 5)));
    holder.uses(at(4002.0), "calls", Use { used: 2, wants: 2 });
    holder.leave(at(4003.0));
    let leaving = holder.ask(at(4003.0)).expect("at once");
    assert!(leaving.leaving && leaving.of[0].holds == 1);
    assert_eq!(holder.allowed(at(4004.0), "calls").units, 2);
}

fn ask(holder: &str, run: u64, count: u64, holds: u32) -> Ask {
    let line = Line { budget: "calls".into(), holds, used: holds, wants: 10, alone: 0 };
    Ask { holder: holder.into(), run, count, taken: 0, known: None, leaving: false, of: vec![line] }
}

/// An ask that comes after a later one of the same holder says what was, and is not answered: by it the books would say less
/// than the holder has.
#[test]
fn a_keeper_hears_no_ask_that_a_later_one_overtook() {
    let book = Book { site: "a".into(), ..Book::default() };
    let (mut keeper, _) = Keeper::new(Time::from_ms(0.0), book);
    let mut tell = |ms: f64, event| {
        let mut out = Vec::new();
        keeper.take(Time::from_ms(ms), event, &mut out);
        let grants = out.iter().filter_map(|action| match action {
            keeper::Action::Grant(_, grant) => Some(grant.of[0].units),
            _ => None,
        });
        let grants: Vec<u32> = grants.collect();
        let keeps = out.iter().any(|action| matches!(action, keeper::Action::Keep(_)));
        (grants, keeps)
    };
    tell(0.0, Event::Kept(Ok(())));
    tell(1.0, Event::Terms(of_sites(&[("a", 6)]), [("calls".to_owned(), 6)].into()));
    tell(1.0, Event::Kept(Ok(())));
    // Nothing is granted before the disk has it that something is.
    assert_eq!(tell(202.0, Event::Asked(1, ask("n0", 7, 2, 0))), (vec![], true));
    assert_eq!(tell(203.0, Event::Kept(Ok(()))), (vec![6], false));
    assert_eq!(tell(204.0, Event::Asked(1, ask("n0", 7, 1, 0))).0, Vec::<u32>::new());
    assert_eq!(tell(204.0, Event::Asked(1, ask("n0", 7, 2, 0))).0, Vec::<u32>::new());
    // All of it is with n0 until that says otherwise.
    assert_eq!(tell(500.0, Event::Asked(2, ask("n1", 8, 1, 0))).0, vec![0]);
    assert_eq!(tell(600.0, Event::Asked(1, ask("n0", 7, 3, 6))).0, vec![3]);
    assert_eq!(tell(700.0, Event::Asked(2, ask("n1", 8, 2, 0))).0, vec![0], "n0 has not confirmed yet");
    assert_eq!(tell(800.0, Event::Asked(1, ask("n0", 7, 4, 3))).0, vec![3]);
    assert_eq!(tell(900.0, Event::Asked(2, ask("n1", 8, 3, 0))).0, vec![3]);
}

#[test]
fn a_holder_has_one_ask_out_at_a_time() {
    let at = Time::from_ms;
    let mut holder = Holder::new(at(0.0), "n0", 7, &BTreeMap::new(), MultiplyWithCarry::new(1));
    holder.bind(at(0.0), &["calls".to_owned()]);
    assert!(holder.ask(at(0.0)).is_some());
    for ms in 1..100u32 {
        holder.uses(at(f64::from(ms)), "calls", Use { used: 0, wants: ms * 2 });
        holder.nudged(at(f64::from(ms)));
        assert!(holder.ask(at(f64::from(ms))).is_none(), "the first is not answered yet");
    }
    // Its answer is taken, and what there is to say is said at once.
    assert!(holder.granted(at(100.0), &grant(1, 5, 4)));
    assert!(holder.ask(at(100.0)).is_some());
    // One that was lost is given up, in good time.
    assert!(holder.ask(at(180.0)).is_none() && holder.ask(at(400.0)).is_some());
}

fn of_sites(parts: &[(&str, u32)]) -> BTreeMap<String, Terms> {
    let terms = Terms {
        measure: Measure::InHand,
        whole: parts.iter().map(|(_, part)| part).sum(),
        sites: parts.iter().map(|(site, part)| ((*site).to_owned(), *part)).collect(),
        set_aside: 0,
        floor: 1,
        lease: Span::from_ms(1000.0),
        longest_use: Span::from_ms(1000.0),
        tenant: None,
    };
    [("calls".to_owned(), terms)].into()
}

const SITES: [&str; 3] = ["a", "b", "c"];

struct Keepers {
    owners: Vec<Owner>,
    disks: Vec<Ledger>,
    starts: [u64; 3],
}

impl Keepers {
    fn carry(&mut self, at: usize, out: Vec<Action>) {
        for action in out {
            if let Action::Keep(ledger) = action {
                self.disks[at] = ledger;
            }
        }
    }

    fn start(&mut self, at: usize) {
        self.starts[at] += 1;
        self.owners[at] = Owner::new(SITES[at], self.starts[at], self.disks[at].clone());
        let mut out = Vec::new();
        self.owners[at].terms("d".into(), of_sites(&[("a", 10), ("b", 6), ("c", 4)]), &mut out);
        self.carry(at, out);
    }

    fn owned(&self) -> u32 {
        self.owners.iter().map(|owner| owner.owned("calls")).sum()
    }
}

/// Three keepers whose messages are lost, doubled and late, that die and come back, that lend and recall.
#[test]
fn sites_own_no_more_than_the_whole_together_and_lose_nothing() {
    for seed in 0..400 {
        let mut chance = MultiplyWithCarry::new(seed);
        let mut pick = |of: usize| ((chance.next_f64() * of as f64) as usize).min(of - 1);
        let owners = SITES.iter().map(|site| Owner::new(site, 0, Ledger::default())).collect();
        let mut keepers = Keepers { owners, disks: vec![Ledger::default(); 3], starts: [0; 3] };
        (0..3).for_each(|at| keepers.start(at));
        let mut net = Vec::new();
        let mut retired = None;
        for turn in 0..200 {
            let (at, to) = (pick(3), pick(3));
            let mut out = Vec::new();
            match pick(8) {
                0 => keepers.start(at),
                1..=3 if at != to => {
                    let short = [("calls".to_owned(), [0, 0, 5, 50][pick(4)])].into();
                    net.push((to, keepers.owners[at].tell(SITES[to], false, &short)));
                }
                4 if !net.is_empty() => {
                    net.swap_remove(pick(net.len()));
                }
                5 => {
                    let free =
                        [("calls".to_owned(), pick(1 + keepers.owners[at].owned("calls") as usize) as u32)]
                            .into();
                    let within = if pick(2) == 0 { vec!["calls".to_owned()] } else { Vec::new() };
                    keepers.owners[at].spare(&free, &within, &mut out);
                }
                6 if turn > 120 && retired.is_none() => {
                    // Lost for good as its operator knows: it is down.
                    let told = keepers.owners[at].retire(
                        "r",
                        Time::from_ms(9e9),
                        SITES[(at + 1) % 3],
                        Time::from_ms(0.0),
                        &mut out,
                    );
                    assert!(told.is_ok(), "{told:?}");
                    retired = Some((at + 1) % 3);
                }
                _ if !net.is_empty() => {
                    let place = pick(net.len());
                    // Delivered, and maybe once more later.
                    let (to, parts) = if pick(4) == 0 { net[place].clone() } else { net.swap_remove(place) };
                    if retired != Some(to) {
                        keepers.owners[to].heard(Time::from_ms(f64::from(turn)), &parts, &mut out);
                        keepers.carry(to, out);
                    }
                    continue;
                }
                _ => {}
            }
            keepers.carry(at, out);
            let gone = retired.map_or(0, |at| keepers.owners[at].owned("calls"));
            assert!(keepers.owned() - gone <= 20, "seed {seed}, turn {turn}: {}", keepers.owned());
        }
        // All are back, all is told: nothing is lost.
        (0..3).for_each(|at| keepers.start(at));
        for _ in 0..12 {
            for at in 0..3 {
                for to in (0..3).filter(|to| *to != at) {
                    let parts = keepers.owners[at].tell(SITES[to], false, &BTreeMap::new());
                    let mut out = Vec::new();
                    keepers.owners[to].heard(Time::from_ms(1e6), &parts, &mut out);
                    keepers.owners[to].spare(&BTreeMap::new(), &["calls".to_owned()], &mut out);
                    keepers.carry(to, out);
                }
            }
        }
        assert_eq!(keepers.owned(), 20, "seed {seed}");
    }
}

#[test]
fn a_wrong_document_is_turned_down_with_a_plain_reason() {
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
        let said = faults(text);
        assert!(said.contains(expected), "{text}\nsaid {said:?}, expected {expected:?}");
    }
    let shipped = include_str!("../../../deploy/budgets.toml");
    let document = Document::read_as(Kind::Budgets, shipped, "deploy/budgets.toml").expect("it is right");
    let budgets = terms::read(&document);
    assert_eq!(budgets["calls"].sites["b"], 16);
    assert_eq!(budgets["tries"].measure, Measure::Tries { per_mille: 200 });
}
