//! The publisher: numbers, differences, rejections, admission, and two publishers that disagree.

#![allow(clippy::expect_used)]

mod common;

use common::*;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::{Document, Kind, Version};
use hazelgrade_stream::admission::Admission;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::protocol::{Content, Offer, PublisherMessage, Rejection, SubscriberMessage};
use hazelgrade_stream::publisher::{Action, Counter, Event, NodeStatus, Publisher};
use hazelgrade_stream::trial::{Baseline, SAMPLES_PER_SPAN, Sample, Trial, Verdict};
use quickcheck::{Gen, QuickCheck};

struct Service {
    publisher: Publisher,
    /// The stored counter; storing it fails while the disk is broken.
    counter: Counter,
    broken: bool,
    offers: Vec<(u64, Offer)>,
    log: Vec<String>,
}

impl Service {
    fn new(last: Option<Version>) -> Service {
        let counter = Counter { lineage: LINEAGE.into(), last };
        let publisher = Publisher::new(counter.clone(), Admission::new(1000.0, 1000.0));
        Service { publisher, counter, broken: false, offers: Vec::new(), log: Vec::new() }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.publisher.handle(at(1000.0), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { connection, message: PublisherMessage::Offer(offer) } => {
                    self.offers.push((connection, offer));
                }
                Action::StoreCounter(counter) => {
                    let result = if self.broken { Err("full".to_owned()) } else { Ok(()) };
                    if result.is_ok() {
                        self.counter = counter;
                    }
                    self.tell(Event::CounterStored(result));
                }
                Action::Log(line) => self.log.push(line),
                _ => {}
            }
        }
    }

    fn subscribe(&mut self, connection: u64, in_effect: Option<Version>) {
        self.tell(Event::Connected { connection });
        let (node, program) = (format!("n{connection}"), "p".to_owned());
        let message = SubscriberMessage::Subscribe {
            node,
            program,
            kind: Kind::Serving,
            lineage: None,
            in_effect,
            on_trial: false,
            latest_known: in_effect,
        };
        self.tell(Event::Received { connection, message });
    }

    fn last_offer(&self) -> &Offer {
        &self.offers.last().expect("an offer").1
    }

    fn acknowledge(&mut self, connection: u64) -> Version {
        let Offer { nonce, version, .. } = self.last_offer().clone();
        let message = SubscriberMessage::Acknowledged { nonce, version, on_trial: true, staged: vec![] };
        self.tell(Event::Received { connection, message });
        version
    }

    fn reject(&mut self, connection: u64, rejection: Rejection) {
        let Offer { nonce, version, .. } = self.last_offer().clone();
        let message = SubscriberMessage::Rejected { nonce, version, rejection };
        self.tell(Event::Received { connection, message });
    }

    fn status(&self) -> NodeStatus {
        self.publisher.nodes().next().expect("a node").status.clone()
    }
}

fn large(number: u64) -> Document {
    let mut text = format!("[use_case.a]\ngoal_ms = {}\ncut_off_ms = 9000\n", 100 + number);
    (0..50).for_each(|tenant| text.push_str(&format!("[customer.c{tenant}]\nquota_per_s = 5\n")));
    Document::read(&text, "a test").expect("it is right")
}

#[test]
fn a_version_is_offered_once_in_full_or_as_a_difference_against_the_one_before() {
    let mut service = Service::new(None);
    service.tell(Event::DocumentChanged(large(1)));
    service.subscribe(1, None);
    assert!(matches!(service.last_offer().content, Content::Full(_)));
    let first = service.acknowledge(1);
    assert_eq!((first.number, service.counter.last), (1, Some(first)));
    service.tell(Event::DocumentChanged(large(1)));
    assert_eq!(service.offers.len(), 1, "nothing changed");
    service.tell(Event::DocumentChanged(large(2)));
    let Content::Delta { base, difference } = &service.last_offer().content else { panic!("a whole one") };
    assert_eq!((*base, difference.count()), (first, 1));
    // A difference that can't be applied is followed by the full document, once.
    service.reject(1, Rejection::UnknownBase);
    assert!(matches!(service.last_offer().content, Content::Full(_)));
    service.reject(1, Rejection::Invalid("no".into()));
    assert_eq!(service.offers.len(), 3, "what is turned down is not pressed");
    assert!(matches!(service.status(), NodeStatus::Rejected(Rejection::Invalid(_))));
    service.tell(Event::DocumentChanged(large(3)));
    assert_eq!(service.offers.len(), 4, "the next version is another matter");
}

#[test]
fn a_number_is_stored_before_it_is_offered_and_stays_with_its_document_over_restarts() {
    let mut service = Service::new(None);
    service.subscribe(1, None);
    service.broken = true;
    service.tell(Event::DocumentChanged(document(1)));
    assert!(service.offers.is_empty(), "what can't be counted is not offered");
    service.broken = false;
    service.tell(Event::DocumentChanged(document(1)));
    let version = service.acknowledge(1);
    let mut again = Service::new(service.counter.last);
    again.tell(Event::DocumentChanged(document(1)));
    assert_eq!(again.publisher.current_version(), Some(version));
    let mut changed = Service::new(service.counter.last);
    changed.tell(Event::DocumentChanged(document(2)));
    assert_eq!(changed.publisher.current_version().map(|version| version.number), Some(version.number + 1));
}

#[test]
fn a_publisher_without_its_counter_goes_past_known_numbers_but_not_past_another_publisher() {
    let known = version(40, 7);
    let mut service = Service::new(None);
    service.tell(Event::DocumentChanged(document(1)));
    service.subscribe(1, Some(known));
    service.reject(1, Rejection::Outdated { known });
    assert_eq!(service.last_offer().version, version(41, 1));
    service.acknowledge(1);
    // Now a node comes that knows a later version: another publisher has published it.
    let other = version(90, 8);
    service.subscribe(2, Some(other));
    let offers = service.offers.len();
    service.reject(2, Rejection::Outdated { known: other });
    assert_eq!(service.offers.len(), offers, "two that disagree don't outbid each other");
    assert!(service.log.iter().any(|line| line.contains("another control service")), "{:?}", service.log);
}

#[test]
fn a_thousand_subscribers_at_once_are_admitted_at_the_rate_and_come_back_spread_out() {
    let mut admission = Admission::new(200.0, 50.0);
    let mut random = MultiplyWithCarry::new(3);
    let mut due: Vec<(Time, Backoff)> = (0..1000).map(|_| (at(0.0), Backoff::default())).collect();
    let mut taken = Vec::new();
    while let Some(first) = (0..due.len()).min_by_key(|place| due[*place].0) {
        let (now, mut backoff) = due.swap_remove(first);
        match admission.admit(now) {
            Ok(()) => taken.push(now),
            Err(after) => due.push((now + backoff.next_delay(&mut random, Some(after)), backoff)),
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
fn full_jitter_spreads_attempts_that_coincide_without_jitter() {
    let peak = |backoff: &dyn Fn() -> Backoff| {
        let attempts = (0..1000).flat_map(|node| {
            let (mut random, mut backoff, mut now) = (MultiplyWithCarry::new(node * 7919), backoff(), 0.0);
            std::iter::from_fn(move || {
                now += backoff.next_delay(&mut random, None).as_ms();
                (now < 30_000.0).then_some((now / 100.0) as usize)
            })
        });
        let mut tenths = vec![0; 301];
        attempts.for_each(|tenth| tenths[tenth] += 1);
        // The first attempts follow the broken connections themselves.
        tenths[4..].iter().copied().max().unwrap_or(0)
    };
    let (jitter, plain) = (peak(&Backoff::default), peak(&Backoff::without_jitter));
    assert!(plain >= 1000 && jitter * 3 < plain, "{jitter} of {plain} in the worst tenth of a second");
}

#[test]
fn a_trial_fails_by_a_significant_fall_and_never_by_chance() {
    for seed in 0..2000 {
        let mut random = MultiplyWithCarry::new(seed * 7919);
        let (part, jobs) = (0.3 + 0.7 * random.next_f64(), (200.0 * random.next_f64()) as u8);
        let mut sample = |part: f64| {
            let succeeded = (0..jobs).filter(|_| random.next_f64() < part).count() as f64;
            Sample { answered: f64::from(jobs), succeeded, executor_connected: true }
        };
        let mut baseline = Baseline::new(rules().span);
        (0..20).for_each(|tick| baseline.record(at(50.0 * f64::from(tick)), sample(part)));
        let mut run = |after: f64| {
            let mut trial = Trial::start(rules(), at(1000.0), &baseline);
            (1..=20)
                .map(|tick| trial.record(at(1000.0 + 50.0 * f64::from(tick)), &sample(after)))
                .find(|verdict| *verdict != Verdict::Undecided)
        };
        let (same, worse) = (run(part), run(part * 0.4));
        assert_eq!(same, Some(Verdict::Passed), "seed {seed}: {part} of {jobs} a sample");
        let told = f64::from(jobs) * SAMPLES_PER_SPAN >= 600.0;
        assert!(!told || matches!(worse, Some(Verdict::Failed(_))), "seed {seed}: {part} of {jobs} a sample");
    }
}

#[test]
fn any_bytes_are_decoded_or_rejected_and_offers_read_back_the_same() {
    fn any(text: Vec<u8>) -> bool {
        // Whatever it is, it is decoded or rejected; it never panics.
        let _ = (SubscriberMessage::decode(&text), PublisherMessage::decode(&text));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 16))
        .tests(2000)
        .quickcheck(any as fn(Vec<u8>) -> bool);
    let difference = document(1).fields().difference(document(2).fields());
    let change = Content::Delta { base: version(1, 1), difference };
    for content in [Content::Full(document(3).to_toml()), change] {
        let offer = PublisherMessage::Offer(Offer {
            nonce: 5,
            lineage: LINEAGE.into(),
            version: version(2, 2),
            content,
        });
        let text = offer.encode();
        assert_eq!(PublisherMessage::decode(text.as_bytes()), Ok(offer));
        // Every cut of it is an error, and so is every single byte turned to another that matters.
        (0..text.len() - 1)
            .for_each(|cut| assert!(PublisherMessage::decode(&text.as_bytes()[..cut]).is_err(), "{cut}"));
    }
}
