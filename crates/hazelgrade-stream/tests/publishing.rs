//! The control service's side: numbers, differences, refusals, who is taken on, and two that disagree.

mod common;

use common::*;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::{Document, Kind, Version};
use hazelgrade_stream::admission::Admission;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::protocol::{Content, Offer, Published, Refusal, Said};
use hazelgrade_stream::publisher::{Action, Counter, Event, Publisher, Standing};
use hazelgrade_stream::trial::{SAMPLES, Sample, Service, Trial, Verdict};
use quickcheck::{Gen, QuickCheck};

struct Desk {
    publisher: Publisher,
    /// What the folder has of the counter; counting fails while it is broken.
    counter: Counter,
    broken: bool,
    offers: Vec<(u64, Offer)>,
    notes: Vec<String>,
}

impl Desk {
    fn new(last: Option<Version>) -> Desk {
        let counter = Counter { lineage: LINEAGE.into(), last };
        let publisher = Publisher::new(counter.clone(), Admission::new(1000.0, 1000.0));
        Desk { publisher, counter, broken: false, offers: Vec::new(), notes: Vec::new() }
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.publisher.take(at(1000.0), event, &mut out);
        for action in out {
            match action {
                Action::Say(connection, Published::Offer(offer)) => self.offers.push((connection, offer)),
                Action::Count(counter) => {
                    let done = if self.broken { Err("full".to_owned()) } else { Ok(()) };
                    if done.is_ok() {
                        self.counter = counter;
                    }
                    self.tell(Event::Counted(done));
                }
                Action::Note(note) => self.notes.push(note),
                _ => {}
            }
        }
    }

    fn subscribe(&mut self, connection: u64, have: Option<Version>) {
        self.tell(Event::Came(connection));
        let (node, program) = (format!("n{connection}"), "p".to_owned());
        let subscribe = Said::Subscribe {
            node,
            program,
            kind: Kind::Serving,
            lineage: None,
            have,
            trial: false,
            known: have,
        };
        self.tell(Event::Heard(connection, subscribe));
    }

    fn last_offer(&self) -> &Offer {
        &self.offers.last().expect("an offer").1
    }

    fn acknowledge(&mut self, connection: u64) -> Version {
        let Offer { nonce, version, .. } = self.last_offer().clone();
        self.tell(Event::Heard(
            connection,
            Said::Acknowledged { nonce, version, trial: true, staged: vec![] },
        ));
        version
    }

    fn turn_down(&mut self, connection: u64, refusal: Refusal) {
        let Offer { nonce, version, .. } = self.last_offer().clone();
        self.tell(Event::Heard(connection, Said::TurnedDown { nonce, version, refusal }));
    }

    fn standing(&self) -> Standing {
        self.publisher.nodes().next().expect("a node").standing.clone()
    }
}

fn large(number: u64) -> Document {
    let mut text = format!("[use_case.a]\ngoal_ms = {}\ncut_off_ms = 9000\n", 100 + number);
    (0..50).for_each(|tenant| text.push_str(&format!("[customer.c{tenant}]\nquota_per_s = 5\n")));
    Document::read(&text, "a test").expect("it is right")
}

#[test]
fn a_version_goes_out_once_whole_to_who_has_nothing_and_as_a_difference_to_who_has_the_one_before() {
    let mut desk = Desk::new(None);
    desk.tell(Event::Changed(large(1)));
    desk.subscribe(1, None);
    assert!(matches!(desk.last_offer().content, Content::Whole(_)));
    let first = desk.acknowledge(1);
    assert_eq!((first.number, desk.counter.last), (1, Some(first)));
    desk.tell(Event::Changed(large(1)));
    assert_eq!(desk.offers.len(), 1, "nothing changed");
    desk.tell(Event::Changed(large(2)));
    let Content::Change { base, difference } = &desk.last_offer().content else { panic!("a whole one") };
    assert_eq!((*base, difference.count()), (first, 1));
    // A difference that can't be made is followed by the whole, once.
    desk.turn_down(1, Refusal::UnknownBase);
    assert!(matches!(desk.last_offer().content, Content::Whole(_)));
    desk.turn_down(1, Refusal::Malformed("no".into()));
    assert_eq!(desk.offers.len(), 3, "what is turned down is not pressed");
    assert!(matches!(desk.standing(), Standing::TurnedDown(Refusal::Malformed(_))));
    desk.tell(Event::Changed(large(3)));
    assert_eq!(desk.offers.len(), 4, "the next version is another matter");
}

#[test]
fn a_number_is_kept_before_it_is_heard_of_and_stays_with_its_contents_over_restarts() {
    let mut desk = Desk::new(None);
    desk.subscribe(1, None);
    desk.broken = true;
    desk.tell(Event::Changed(document(1)));
    assert!(desk.offers.is_empty(), "what can't be counted is not offered");
    desk.broken = false;
    desk.tell(Event::Changed(document(1)));
    let version = desk.acknowledge(1);
    let mut again = Desk::new(desk.counter.last);
    again.tell(Event::Changed(document(1)));
    assert_eq!(again.publisher.current(), Some(version));
    let mut changed = Desk::new(desk.counter.last);
    changed.tell(Event::Changed(document(2)));
    assert_eq!(changed.publisher.current().map(|version| version.number), Some(version.number + 1));
}

#[test]
fn a_publisher_that_lost_its_counter_goes_past_what_nodes_know_but_not_past_another_publisher() {
    let known = version(40, 7);
    let mut desk = Desk::new(None);
    desk.tell(Event::Changed(document(1)));
    desk.subscribe(1, Some(known));
    desk.turn_down(1, Refusal::Behind { known });
    assert_eq!(desk.last_offer().version, version(41, 1));
    desk.acknowledge(1);
    // Now a node comes that knows a later one: that is not from here.
    let other = version(90, 8);
    desk.subscribe(2, Some(other));
    let offers = desk.offers.len();
    desk.turn_down(2, Refusal::Behind { known: other });
    assert_eq!(desk.offers.len(), offers, "two that disagree don't outbid each other");
    assert!(desk.notes.iter().any(|note| note.contains("another control service")), "{:?}", desk.notes);
}

#[test]
fn a_thousand_that_come_at_once_are_taken_on_at_the_pace_and_come_back_spread_out() {
    let mut admission = Admission::new(200.0, 50.0);
    let mut chance = MultiplyWithCarry::new(3);
    let mut due: Vec<(Time, Backoff)> = (0..1000).map(|_| (at(0.0), Backoff::default())).collect();
    let mut taken = Vec::new();
    while let Some(first) = (0..due.len()).min_by_key(|place| due[*place].0) {
        let (now, mut backoff) = due.swap_remove(first);
        match admission.ask(now) {
            Ok(()) => taken.push(now),
            Err(after) => due.push((now + backoff.next(&mut chance, Some(after)), backoff)),
        }
    }
    let most = taken
        .iter()
        .map(|from| taken.iter().filter(|at| **at >= *from && **at < *from + Span::from_ms(1000.0)).count());
    assert!(most.max() <= Some(250), "in no second more than the pace and what may come together");
    let last = taken.iter().max().expect("some").as_ms();
    assert!(last < 9000.0, "all are back after {last} ms");
}

#[test]
fn full_jitter_spreads_what_plain_doubling_brings_together() {
    let peak = |backoff: &dyn Fn() -> Backoff| {
        let attempts = (0..1000).flat_map(|node| {
            let (mut chance, mut backoff, mut now) = (MultiplyWithCarry::new(node * 7919), backoff(), 0.0);
            std::iter::from_fn(move || {
                now += backoff.next(&mut chance, None).as_ms();
                (now < 30_000.0).then_some((now / 100.0) as usize)
            })
        });
        let mut tenths = vec![0; 301];
        attempts.for_each(|tenth| tenths[tenth] += 1);
        // The first attempts of all are the break itself.
        tenths[4..].iter().copied().max().unwrap_or(0)
    };
    let (jitter, plain) = (peak(&Backoff::default), peak(&Backoff::plain));
    assert!(plain >= 1000 && jitter * 3 < plain, "{jitter} of {plain} in the worst tenth of a second");
}

#[test]
fn a_trial_fails_by_a_fall_past_chance_and_never_by_chance() {
    for seed in 0..2000 {
        let mut chance = MultiplyWithCarry::new(seed * 7919);
        let (part, jobs) = (0.3 + 0.7 * chance.next_f64(), (200.0 * chance.next_f64()) as u8);
        let mut sample = |part: f64| {
            let succeeded = (0..jobs).filter(|_| chance.next_f64() < part).count() as f64;
            Sample { answered: f64::from(jobs), succeeded, linked: true }
        };
        let mut service = Service::new(rules().span);
        (0..20).for_each(|tick| service.served(at(50.0 * f64::from(tick)), sample(part)));
        let mut run = |after: f64| {
            let mut trial = Trial::begin(rules(), at(1000.0), &service);
            (1..=20)
                .map(|tick| trial.served(at(1000.0 + 50.0 * f64::from(tick)), &sample(after)))
                .find(|verdict| *verdict != Verdict::Undecided)
        };
        let (same, worse) = (run(part), run(part * 0.4));
        assert_eq!(same, Some(Verdict::Good), "seed {seed}: {part} of {jobs} a sample");
        let told = f64::from(jobs) * SAMPLES >= 600.0;
        assert!(!told || matches!(worse, Some(Verdict::Bad(_))), "seed {seed}: {part} of {jobs} a sample");
    }
}

#[test]
fn what_is_no_message_is_an_error_and_what_is_one_reads_back_the_same() {
    fn any(text: Vec<u8>) -> bool {
        // Whatever it is, it is decoded or rejected; it never panics.
        let _ = (Said::decode(&text), Published::decode(&text));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 16))
        .tests(2000)
        .quickcheck(any as fn(Vec<u8>) -> bool);
    let difference = document(1).fields().difference(document(2).fields());
    let change = Content::Change { base: version(1, 1), difference };
    for content in [Content::Whole(document(3).to_toml()), change] {
        let offer =
            Published::Offer(Offer { nonce: 5, lineage: LINEAGE.into(), version: version(2, 2), content });
        let text = offer.encode();
        assert_eq!(Published::decode(text.as_bytes()), Ok(offer));
        // Every cut of it is an error, and so is every single byte turned to another that matters.
        (0..text.len() - 1)
            .for_each(|cut| assert!(Published::decode(&text.as_bytes()[..cut]).is_err(), "{cut}"));
    }
}
