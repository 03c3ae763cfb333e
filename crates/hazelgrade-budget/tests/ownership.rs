//! What sites own, and how it moves between them.

#![allow(clippy::too_many_lines)]

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::ownership::{Action, CommandOutcome, Ownership};
use hazelgrade_budget::stored::SiteLedger;
use hazelgrade_budget::terms::{BudgetTerms, Measure};
use std::collections::BTreeMap;

fn terms(shares: &[(&str, u32)]) -> BTreeMap<String, BudgetTerms> {
    let terms = BudgetTerms {
        measure: Measure::ConcurrentCalls,
        total: shares.iter().map(|(_, share)| share).sum(),
        site_shares: shares.iter().map(|(site, share)| ((*site).to_owned(), *share)).collect(),
        set_aside: 0,
        min_share: 1,
        lease: Span::from_ms(1000.0),
        max_use_time: Span::from_ms(1000.0),
        tenant: None,
    };
    [("calls".to_owned(), terms)].into()
}

const SITES: [&str; 3] = ["a", "b", "c"];

struct Sites {
    ownerships: Vec<Ownership>,
    disks: Vec<SiteLedger>,
    starts: [u64; 3],
}

impl Sites {
    fn store(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::Store(ledger) = action {
                self.disks[at] = ledger;
            }
        }
    }

    fn start(&mut self, at: usize) {
        self.starts[at] += 1;
        self.ownerships[at] = Ownership::new(SITES[at], self.starts[at], self.disks[at].clone());
        let mut actions = Vec::new();
        let terms = terms(&[("a", 10), ("b", 6), ("c", 4)]);
        self.ownerships[at].set_terms("d".into(), terms, &mut actions);
        self.store(at, actions);
    }

    fn owned(&self) -> u32 {
        self.ownerships.iter().map(|ownership| ownership.owned("calls")).sum()
    }
}

/// Three sites whose reports are lost, doubled and late, that die and come back, that lend and recall.
#[test]
fn sites_own_no_more_than_the_total_together_and_lose_nothing() {
    for seed in 0..400 {
        let mut random = MultiplyWithCarry::new(seed);
        let mut pick = |of: usize| ((random.next_f64() * of as f64) as usize).min(of - 1);
        let ownerships = SITES.iter().map(|site| Ownership::new(site, 0, SiteLedger::default())).collect();
        let mut sites = Sites { ownerships, disks: vec![SiteLedger::default(); 3], starts: [0; 3] };
        (0..3).for_each(|at| sites.start(at));
        let mut net = Vec::new();
        let mut retired = None;
        for turn in 0..200 {
            let (at, to) = (pick(3), pick(3));
            let mut actions = Vec::new();
            match pick(8) {
                0 => sites.start(at),
                1..=3 if at != to => {
                    let shortfalls = [("calls".to_owned(), [0, 0, 5, 50][pick(4)])].into();
                    net.push((to, sites.ownerships[at].report_to(SITES[to], false, &shortfalls)));
                }
                4 if !net.is_empty() => {
                    net.swap_remove(pick(net.len()));
                }
                5 => {
                    let free = pick(1 + sites.ownerships[at].owned("calls") as usize) as u32;
                    let free = [("calls".to_owned(), free)].into();
                    let within = if pick(2) == 0 { vec!["calls".to_owned()] } else { Vec::new() };
                    sites.ownerships[at].send_units(&free, &within, &mut actions);
                }
                6 if turn > 120 && retired.is_none() => {
                    // Lost for good as its operator knows: it is down.
                    let outcome = sites.ownerships[at].retire(
                        "r",
                        Time::from_ms(9e9),
                        SITES[(at + 1) % 3],
                        Time::from_ms(0.0),
                        &mut actions,
                    );
                    assert!(outcome.is_ok(), "{outcome:?}");
                    retired = Some((at + 1) % 3);
                }
                _ if !net.is_empty() => {
                    let place = pick(net.len());
                    // Delivered, and maybe once more later.
                    let (to, report) = if pick(4) == 0 { net[place].clone() } else { net.swap_remove(place) };
                    if retired != Some(to) {
                        let now = Time::from_ms(f64::from(turn));
                        sites.ownerships[to].on_report(now, &report, &mut actions);
                        sites.store(to, actions);
                    }
                    continue;
                }
                _ => {}
            }
            sites.store(at, actions);
            let gone = retired.map_or(0, |at| sites.ownerships[at].owned("calls"));
            assert!(sites.owned() - gone <= 20, "seed {seed}, turn {turn}: {}", sites.owned());
        }
        // All are back, all is reported: nothing is lost.
        (0..3).for_each(|at| sites.start(at));
        for _ in 0..12 {
            for at in 0..3 {
                for to in (0..3).filter(|to| *to != at) {
                    let report = sites.ownerships[at].report_to(SITES[to], false, &BTreeMap::new());
                    let mut actions = Vec::new();
                    sites.ownerships[to].on_report(Time::from_ms(1e6), &report, &mut actions);
                    sites.ownerships[to].send_units(&BTreeMap::new(), &["calls".to_owned()], &mut actions);
                    sites.store(to, actions);
                }
            }
        }
        assert_eq!(sites.owned(), 20, "seed {seed}");
    }
}

/// Guards against an operator who is told that a site was declared lost because the id of the command was used before,
/// for another one.
#[test]
fn a_used_command_id_does_not_say_that_a_site_is_lost() {
    let mut ownership = Ownership::new("a", 1, SiteLedger::default());
    let mut actions = Vec::new();
    ownership.set_terms("d".into(), terms(&[("a", 10), ("b", 6), ("c", 4)]), &mut actions);
    let now = Time::from_ms(0.0);
    let moved = ownership.move_units("w1", "b", "calls", 2, 10, &mut actions);
    assert!(matches!(moved, Ok(CommandOutcome::Sent { .. })), "{moved:?}");
    let used = ownership.retire("w1", now, "c", now, &mut actions);
    assert_eq!(used, Ok(CommandOutcome::AlreadyDone { id: "w1".into() }));
    assert!(!ownership.ledger().is_retired("c"));
    let retired = ownership.retire("w2", now, "c", now, &mut actions);
    assert!(matches!(retired, Ok(CommandOutcome::Retired { .. })), "{retired:?}");
    let again = ownership.retire("w2", now, "c", now, &mut actions);
    assert_eq!(again, Ok(CommandOutcome::AlreadyRetired { site: "c".into() }));
}
