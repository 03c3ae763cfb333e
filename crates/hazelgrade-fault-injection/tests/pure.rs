//! What decides in fault injection, without processes: a way's order and timing, plans, the shrinker, and the checkers, each with
//! a history that breaks its rule.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_fakes::callers::JobOutcome;
use hazelgrade_fault_injection::direction::{Datagrams, Delivery, LinkConditions, Stream};
use hazelgrade_fault_injection::history::{FaultKind, History, Job, NodeObservation};
use hazelgrade_fault_injection::plan::{Directions, Fault, FaultPlan, Link, SharedBudgetPlan, Step, Trigger};
use hazelgrade_fault_injection::shrink::shrink;
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

fn at(ms: f64) -> Time {
    Time::from_ms(ms)
}

fn ms(ms: f64) -> Span {
    Span::from_ms(ms)
}

/// Whatever the rules are and however they change, all bytes come through in order, none before its delay or faster than
/// the rate; held, none; and a reset comes after exactly so many.
#[test]
fn a_stream_keeps_every_byte_in_order_under_any_rules() {
    fn keeps(seed: u64) -> Result<(), String> {
        let mut chance = MultiplyWithCarry::new(seed);
        let (mut lane, mut rules, mut now) = (Stream::default(), LinkConditions::default(), 0.0);
        let (mut sent, mut got, mut paced) = (Vec::new(), Vec::new(), (0.0, 0usize));
        let resets_at = (chance.next_f64() < 0.3).then(|| (chance.next_f64() * 3000.0) as u64);
        for _ in 0..400 {
            now += chance.next_f64() * 20.0;
            if chance.next_f64() < 0.1 {
                rules.held = chance.next_f64() < 0.3;
                rules.delay = ms(chance.next_f64() * 30.0);
                rules.bytes_per_s = (chance.next_f64() < 0.5).then(|| 1000.0 + chance.next_f64() * 100_000.0);
                rules.reset_after = resets_at;
                paced = (now, 0);
            }
            if chance.next_f64() < 0.4 && lane.has_room() {
                let bytes: Vec<u8> =
                    (0..1 + (chance.next_f64() * 300.0) as usize).map(|n| (sent.len() + n) as u8).collect();
                lane.put(at(now), &rules, &bytes);
                sent.extend(bytes);
            }
            loop {
                match lane.next(at(now), &rules) {
                    Delivery::Pass(bytes) => {
                        if rules.held {
                            return Err("passed while held".into());
                        }
                        paced.1 += bytes.len();
                        got.extend(bytes);
                    }
                    Delivery::Reset => {
                        let after = resets_at.ok_or("reset without an order")?;
                        return if got.len() as u64 >= after {
                            Ok(())
                        } else {
                            Err("reset too early".into())
                        };
                    }
                    Delivery::Wait(Some(due)) if due <= at(now) => {
                        return Err("waits for what is over".into());
                    }
                    Delivery::Wait(_) => break,
                }
            }
            // A piece of ten milliseconds may have passed just before.
            let most =
                rules.bytes_per_s.map_or(f64::INFINITY, |rate| rate * (now - paced.0 + 21.0) / 1000.0 + 2.0);
            if paced.1 as f64 > most {
                return Err(format!("{} bytes in {} ms, {most} at most", paced.1, now - paced.0));
            }
        }
        (rules, now) = (LinkConditions::default(), now + 10_000.0);
        while let Delivery::Pass(bytes) = lane.next(at(now), &rules) {
            got.extend(bytes);
        }
        if got == sent { Ok(()) } else { Err(format!("{} of {} bytes", got.len(), sent.len())) }
    }
    let fixed = Gen::from_size_and_seed(100, 20_261_201);
    QuickCheck::new().rng(fixed).tests(300).quickcheck(keeps as fn(u64) -> Result<(), String>);
}

#[test]
fn a_stream_passes_exactly_as_many_bytes_as_its_reset_allows() {
    let rules = LinkConditions { reset_after: Some(5), ..LinkConditions::default() };
    let mut lane = Stream::default();
    lane.put(at(0.0), &rules, b"0123456789");
    assert_eq!(lane.next(at(0.0), &rules), Delivery::Pass(b"01234".to_vec()));
    assert_eq!(lane.next(at(0.0), &rules), Delivery::Reset);
}

#[test]
fn datagrams_are_lost_doubled_and_overtaken_as_often_as_is_asked() {
    let rules = LinkConditions { lost: 0.3, duplicated: 0.2, reordered: 0.1, ..LinkConditions::default() };
    let mut lane = Datagrams::new(1);
    let mut got = Vec::new();
    for number in 0..1000u32 {
        lane.put(at(f64::from(number)), &rules, &number.to_be_bytes());
        while let Delivery::Pass(bytes) = lane.next(at(f64::from(number))) {
            got.push(u32::from_be_bytes(bytes.try_into().expect("four")));
        }
    }
    let twice = got.iter().filter(|one| got.iter().filter(|other| other == one).count() > 1).count() / 2;
    let late = got.windows(2).filter(|pair| pair[0] > pair[1]).count();
    let lost = 1000 - (got.len() - twice);
    assert!((250..350).contains(&lost), "{lost} lost");
    assert!((100..180).contains(&twice), "{twice} doubled");
    assert!((40..140).contains(&late), "{late} overtaken");
}

#[test]
fn plans_are_the_same_for_a_seed_and_come_back_from_what_is_written() {
    for seed in 0..200_u64 {
        let plan = FaultPlan::draw(seed, 5, 14);
        assert_eq!(plan, FaultPlan::draw(seed, 5, 14));
        assert_eq!(FaultPlan::read(&plan.to_toml()), Ok(plan));
    }
    assert_ne!(FaultPlan::draw(1, 5, 14).steps, FaultPlan::draw(2, 5, 14).steps);
    let wrong = |text: &str| FaultPlan::read(text).expect_err("it is wrong").to_string();
    assert!(
        wrong("seed = 1\nnodes = 2\nrate = 9.0\n[[step]]\ncue = \"now\"\nfault = { kill = { node = 2 } }\n")
            .contains("node 2")
    );
    assert!(
        wrong("seed = 1\nnodes = 2\nrate = 9.0\n[[step]]\ncue = \"soon\"\nfault = \"kill_control\"\n")
            .contains("soon")
    );
    assert!(wrong("seed = 1\nnodes = 0\nrate = 9.0\n").contains("nodes"));
    assert!(wrong("seed = 1\nnodes = 1\nrate = 0.0\n").contains("rate"));
}

#[test]
fn plans_keep_their_keys_in_toml() {
    let steps = [
        "{ cut_keepers = { ways = \"to\" } }",
        "{ garble = { node = 0, lost = 1, doubled = 2, overtaken = 3 } }",
        "{ whole = { units = 5 } }",
        "{ cut = { node = 1, link = \"callers\", ways = \"back\" } }",
    ];
    let mut text = "seed = 1\nnodes = 2\nrate = 9.0\n[shared]\nsites = 2\nwhole = 12\n".to_owned();
    steps
        .iter()
        .for_each(|fault| text.push_str(&format!("[[step]]\ncue = {{ answers = 3 }}\nfault = {fault}\n")));
    let plan = FaultPlan::read(&text).expect("it is right");
    assert_eq!(
        plan.steps.iter().map(|step| step.fault).collect::<Vec<_>>(),
        [
            Fault::CutKeepers { directions: Directions::To },
            Fault::DegradeDatagrams { node: 0, lost: 1, duplicated: 2, reordered: 3 },
            Fault::SetBudgetTotal { units: 5 },
            Fault::Cut { node: 1, link: Link::Callers, directions: Directions::Back },
        ]
    );
    assert_eq!(plan.shared, Some(SharedBudgetPlan { sites: 2, total: 12 }));
    let written: toml::Table = toml::from_str(&plan.to_toml()).expect("it is TOML");
    assert_eq!(written, toml::from_str(&text).expect("it is TOML"));
}

#[test]
fn shrinking_leaves_just_the_steps_that_fail_together() {
    let plan = FaultPlan::draw(7, 5, 20);
    let (one, other) = (plan.steps[3], plan.steps[plan.steps.len() - 2]);
    let needs = |plan: &FaultPlan| plan.steps.contains(&one) && plan.steps.contains(&other);
    let least = shrink(&plan, 1000, needs);
    assert_eq!(least.steps, vec![one, other]);
    // With few plays it says what it has, which still fails.
    assert!(needs(&shrink(&plan, 3, needs)));
    let step = Step { trigger: Trigger::Now, fault: Fault::KillControl };
    assert_eq!(shrink(&FaultPlan { steps: vec![step], ..plan }, 9, |_| false).steps.len(), 1);
}

fn job(node: usize, id: &str, sent: f64, after: f64, fate: JobOutcome) -> Job {
    Job { node, id: id.into(), sent: at(sent), latency: ms(after), outcome: fate }
}

fn history(jobs: Vec<Job>) -> History {
    History {
        deadline: ms(3000.0),
        grace: ms(100.0),
        jobs,
        runs: vec![BTreeMap::new(); 2],
        ..History::default()
    }
}

fn rules(history: &History) -> Vec<&'static str> {
    history.violations().into_iter().map(|broken| broken.rule).collect()
}

#[test]
fn lost_and_late_jobs_are_breaks_unless_something_done_to_that_node_then_excuses_them() {
    let lost = || history(vec![job(0, "a", 10_000.0, 800.0, JobOutcome::Lost)]);
    assert_eq!(rules(&lost()), ["no job lost"]);
    for (fault_kind, node, from, to, excused) in [
        (FaultKind::Killed, 0, 10_200.0, Some(10_500.0), true),
        (FaultKind::Killed, 1, 10_200.0, Some(10_500.0), false),
        (FaultKind::Killed, 0, 2000.0, Some(9000.0), false),
        (FaultKind::Killed, 0, 12_000.0, None, false),
        (FaultKind::CallersReset, 0, 9000.0, None, true),
        (FaultKind::CallersHeld, 0, 9000.0, Some(11_000.0), true),
        (FaultKind::Stopped, 0, 9000.0, Some(11_000.0), false),
        (FaultKind::Gone, 0, 9000.0, None, true),
    ] {
        let mut history = lost();
        history.fault_begins(node, fault_kind, at(from));
        to.into_iter().for_each(|to| history.fault_ends(node, fault_kind, at(to)));
        assert_eq!(rules(&history).is_empty(), excused, "{fault_kind:?} of {node} from {from} to {to:?}");
    }
    // What ran is not refused by a node that has left.
    let mut ran = lost();
    ran.fault_begins(0, FaultKind::Gone, at(9000.0));
    ran.runs[0].insert("a".into(), 1);
    assert_eq!(rules(&ran), ["no job lost"]);
    let late = || history(vec![job(0, "a", 10_000.0, 3200.0, JobOutcome::Succeeded)]);
    assert_eq!(rules(&late()), ["no job late"]);
    let mut stopped = late();
    stopped.fault_begins(0, FaultKind::Stopped, at(11_000.0));
    stopped.fault_ends(0, FaultKind::Stopped, at(12_000.0));
    assert!(rules(&stopped).is_empty());
    assert!(rules(&history(vec![job(0, "a", 0.0, 3050.0, JobOutcome::Rejected)])).is_empty());
    assert!(rules(&history(vec![job(0, "a", 0.0, 9000.0, JobOutcome::Crossed)])).is_empty());
}

#[test]
fn effects_and_answers_come_once_over_the_whole_group() {
    let mut twice = history(vec![]);
    twice.runs[0].insert("a".into(), 2);
    assert_eq!(rules(&twice), ["no effect twice"]);
    let mut elsewhere = history(vec![]);
    elsewhere.runs = vec![BTreeMap::from([("a".to_owned(), 1)]); 2];
    assert_eq!(rules(&elsewhere), ["no effect twice"]);
    assert_eq!(rules(&History { unmatched_answers: 1, ..history(vec![]) }), ["one answer"]);
    assert_eq!(
        rules(&History { unexpected_exits: vec![(0, "ended".into())], ..history(vec![]) }),
        ["safe drain"]
    );
    assert_eq!(
        rules(&History { unmet_expectations: vec!["x".into()], ..history(vec![]) }),
        ["all is well again"]
    );
}

#[test]
fn versions_have_one_document_each_go_on_and_do_no_harm_for_good() {
    let seen = |node, disk, number, digest: &str, standing: &str| NodeObservation {
        node,
        at: at(0.0),
        since: at(0.0),
        disk,
        number,
        digest: digest.into(),
        standing: standing.into(),
    };
    let of = |seen: Vec<NodeObservation>| {
        let mut history = History { harmful: vec!["(bad)".into()], ..history(vec![]) };
        seen.into_iter().for_each(|one| history.record_observation(one));
        history
    };
    let conflict = || vec![seen(0, 0, 5, "(a)", "good"), seen(1, 0, 5, "(b)", "on trial")];
    assert_eq!(rules(&of(conflict())), ["one document a number"]);
    assert!(rules(&History { version_numbers_reused: true, ..of(conflict()) }).is_empty());
    let second = of(vec![seen(0, 0, 5, "(a)", "good"), seen(0, 0, 6, "(c)", ""), seen(0, 0, 5, "(b)", "")]);
    assert!(rules(&History { version_numbers_reused: true, ..second }).contains(&"one document a number"));
    assert_eq!(rules(&of(vec![seen(0, 0, 5, "(bad)", "good")])), ["no harm stays"]);
    assert!(rules(&of(vec![seen(0, 0, 5, "(bad)", "on trial")])).is_empty());
    let mut hampered = of(vec![seen(0, 0, 5, "(bad)", "good")]);
    hampered.fault_begins(0, FaultKind::Hampered, at(0.0));
    assert!(rules(&hampered).is_empty(), "there was nothing to judge it by");
    let back = |disk, standing: &str| of(vec![seen(0, 0, 5, "(a)", standing), seen(0, disk, 4, "(b)", "")]);
    assert_eq!(rules(&back(0, "good")), ["versions go on"]);
    assert!(rules(&back(1, "good")).is_empty(), "it was given an old disk");
    assert!(rules(&back(0, "on trial")).is_empty(), "its trial failed");
}

#[test]
fn the_part_served_counts_what_was_sent_then_and_answered_in_its_goal_time() {
    let jobs = vec![
        job(0, "a", 100.0, 50.0, JobOutcome::Succeeded),
        job(0, "b", 200.0, 900.0, JobOutcome::Succeeded),
        job(0, "c", 300.0, 10.0, JobOutcome::Rejected),
        job(0, "d", 400.0, 10.0, JobOutcome::Crossed),
        job(0, "e", 2000.0, 10.0, JobOutcome::Rejected),
        job(1, "f", 100.0, 10.0, JobOutcome::Rejected),
    ];
    let part = history(jobs).served_ratio(0, at(0.0), at(1000.0), ms(500.0));
    assert_eq!(part, Some(1.0 / 3.0));
    assert_eq!(history(vec![]).served_ratio(0, at(0.0), at(1.0), ms(1.0)), None);
}

/// A soak's plans are the same by the same seed, are read again from their TOML, and kill no node that stands still.
#[test]
fn plans_of_a_soak_are_drawn_by_seed_and_read_again() {
    let mut drains = 0;
    for seed in 0..200_u64 {
        let shared = seed.is_multiple_of(2).then_some((2, 12));
        let plan = FaultPlan::draw_soak(seed, 4, 14, shared);
        assert_eq!(plan, FaultPlan::draw_soak(seed, 4, 14, shared));
        assert_eq!(FaultPlan::read(&plan.to_toml()), Ok(plan.clone()));
        let soak = plan.soak.expect("it is a soak");
        assert!((1000..=4900).contains(&soak.stop_ms), "{soak:?}");
        let mut draining: Vec<usize> = vec![];
        for step in &plan.steps {
            match step.fault {
                Fault::TermThenKill { node } => draining.push(node),
                Fault::Start { node, .. } => draining.retain(|other| *other != node),
                Fault::Stall { .. } => assert!(draining.is_empty(), "seed {seed}"),
                Fault::Term { node } => assert!(draining.contains(&node), "seed {seed}: without its kill"),
                _ => {}
            }
        }
        drains += plan.steps.iter().filter(|step| matches!(step.fault, Fault::TermThenKill { .. })).count();
    }
    assert!(drains > 100, "{drains}");
}

/// A harmful version that is taken as good counts, but not while the node's lessor is out: no lease, no service to judge by.
#[test]
fn a_harmful_version_is_excused_only_by_what_was_done_to_its_node() {
    let mut history = History { harmful: vec!["bad".into()], ..History::default() };
    let seen = |at_ms: f64| NodeObservation {
        node: 0,
        at: at(at_ms),
        since: at(at_ms - 40.0),
        disk: 0,
        number: 4,
        digest: "bad".into(),
        standing: "good".into(),
    };
    history.observations.push(seen(20_000.0));
    let broken =
        |history: &History| history.violations().iter().filter(|one| one.rule == "no harm stays").count();
    assert_eq!(broken(&history), 1);
    history.fault_begins(1, FaultKind::LessorOut, at(19_000.0));
    history.fault_begins(0, FaultKind::LessorOut, at(10_000.0));
    history.fault_ends(0, FaultKind::LessorOut, at(15_000.0));
    assert_eq!(broken(&history), 1, "another node's, and long over");
    history.fault_begins(0, FaultKind::LessorOut, at(19_000.0));
    assert_eq!(broken(&history), 0);
}
