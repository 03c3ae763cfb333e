//! Units that sites own, transfers between sites, and retirement of sites.

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
    stored_ledgers: Vec<SiteLedger>,
    generations: [u64; 3],
}

impl Sites {
    fn store(&mut self, site: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::Store(ledger) = action {
                self.stored_ledgers[site] = ledger;
            }
        }
    }

    fn start(&mut self, site: usize) {
        self.generations[site] += 1;
        self.ownerships[site] =
            Ownership::new(SITES[site], self.generations[site], self.stored_ledgers[site].clone());
        let mut actions = Vec::new();
        let terms = terms(&[("a", 10), ("b", 6), ("c", 4)]);
        self.ownerships[site].set_terms("d".into(), terms, &mut actions);
        self.store(site, actions);
    }

    fn owned(&self) -> u32 {
        self.ownerships.iter().map(|ownership| ownership.owned("calls")).sum()
    }
}

/// Guards against units that are owned twice or lost, when three sites restart, lend, recall and retire, and their
/// reports are lost, duplicated and late.
#[test]
fn sites_own_no_more_than_the_total_together_and_lose_nothing() {
    for seed in 0..400 {
        let mut random = MultiplyWithCarry::new(seed);
        let mut pick = |count: usize| ((random.next_f64() * count as f64) as usize).min(count - 1);
        let ownerships = SITES.iter().map(|name| Ownership::new(name, 0, SiteLedger::default())).collect();
        let mut sites =
            Sites { ownerships, stored_ledgers: vec![SiteLedger::default(); 3], generations: [0; 3] };
        (0..3).for_each(|site| sites.start(site));
        let mut network = Vec::new();
        let mut retired = None;
        for turn in 0..200 {
            let (site, to) = (pick(3), pick(3));
            let mut actions = Vec::new();
            match pick(8) {
                0 => sites.start(site),
                1..=3 if site != to => {
                    let shortfalls = [("calls".to_owned(), [0, 0, 5, 50][pick(4)])].into();
                    network.push((to, sites.ownerships[site].report_to(SITES[to], false, &shortfalls)));
                }
                4 if !network.is_empty() => {
                    network.swap_remove(pick(network.len()));
                }
                5 => {
                    let free = pick(1 + sites.ownerships[site].owned("calls") as usize) as u32;
                    let free = [("calls".to_owned(), free)].into();
                    let not_overcommitted = if pick(2) == 0 { vec!["calls".to_owned()] } else { Vec::new() };
                    sites.ownerships[site].send_units(&free, &not_overcommitted, &mut actions);
                }
                6 if turn > 120 && retired.is_none() => {
                    // The retired site is down: it handles no further reports until the end of the history.
                    let outcome = sites.ownerships[site].retire(
                        "r",
                        Time::from_ms(9e9),
                        SITES[(site + 1) % 3],
                        Time::from_ms(0.0),
                        &mut actions,
                    );
                    assert!(outcome.is_ok(), "{outcome:?}");
                    retired = Some((site + 1) % 3);
                }
                _ if !network.is_empty() => {
                    let index = pick(network.len());
                    // The report is delivered, and some reports are delivered once more later.
                    let (to, report) =
                        if pick(4) == 0 { network[index].clone() } else { network.swap_remove(index) };
                    if retired != Some(to) {
                        let now = Time::from_ms(f64::from(turn));
                        sites.ownerships[to].on_report(now, &report, &mut actions);
                        sites.store(to, actions);
                    }
                    continue;
                }
                _ => {}
            }
            sites.store(site, actions);
            let retired_units = retired.map_or(0, |site| sites.ownerships[site].owned("calls"));
            assert!(
                sites.owned() - retired_units <= 20,
                "seed {seed}, turn {turn}: {} units owned",
                sites.owned()
            );
        }
        // All sites have restarted and reports are exchanged: no units are lost.
        (0..3).for_each(|site| sites.start(site));
        for _ in 0..12 {
            for site in 0..3 {
                for to in (0..3).filter(|to| *to != site) {
                    let report = sites.ownerships[site].report_to(SITES[to], false, &BTreeMap::new());
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

/// Guards against telling an operator that a site was declared lost although it was not, when the id of the command
/// had been used before for another command.
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
