//! Tests of the publisher: version numbers, differences, rejections, admission, and two publishers of one lineage that
//! disagree. Also tests of the backoff, the trial and the decoding of messages.

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

/// A publisher with the offers that it sent, the lines that it logged, and a simulated store of its counter.
struct PublisherHarness {
    publisher: Publisher,
    /// The stored counter.
    counter: Counter,
    /// Whether storing the counter fails.
    disk_fails: bool,
    /// The sent offers, each with its connection.
    offers: Vec<(u64, Offer)>,
    log_lines: Vec<String>,
}

impl PublisherHarness {
    fn new(last: Option<Version>) -> PublisherHarness {
        let counter = Counter { lineage: LINEAGE.into(), last };
        let publisher = Publisher::new(counter.clone(), Admission::new(1000.0, 1000.0));
        PublisherHarness { publisher, counter, disk_fails: false, offers: Vec::new(), log_lines: Vec::new() }
    }

    /// Passes an event to the publisher and performs the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.publisher.handle(at(1000.0), event, &mut actions);
        for action in actions {
            match action {
                Action::Send { connection, message: PublisherMessage::Offer(offer) } => {
                    self.offers.push((connection, offer));
                }
                Action::StoreCounter(counter) => {
                    let result = if self.disk_fails { Err("full".to_owned()) } else { Ok(()) };
                    if result.is_ok() {
                        self.counter = counter;
                    }
                    self.handle(Event::CounterStored(result));
                }
                Action::Log(line) => self.log_lines.push(line),
                _ => {}
            }
        }
    }

    /// Connects and subscribes a node that has the version `in_effect`.
    fn subscribe(&mut self, connection: u64, in_effect: Option<Version>) {
        self.handle(Event::Connected { connection });
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
        self.handle(Event::Received { connection, message });
    }

    fn last_offer(&self) -> &Offer {
        &self.offers.last().expect("an offer should have been sent").1
    }

    /// Acknowledges the last offer on a connection; returns the offered version.
    fn acknowledge(&mut self, connection: u64) -> Version {
        let Offer { nonce, version, .. } = self.last_offer().clone();
        let message = SubscriberMessage::Acknowledged { nonce, version, on_trial: true, staged: vec![] };
        self.handle(Event::Received { connection, message });
        version
    }

    /// Rejects the last offer on a connection.
    fn reject(&mut self, connection: u64, rejection: Rejection) {
        let Offer { nonce, version, .. } = self.last_offer().clone();
        let message = SubscriberMessage::Rejected { nonce, version, rejection };
        self.handle(Event::Received { connection, message });
    }

    /// Returns the status of the first node.
    fn status(&self) -> NodeStatus {
        self.publisher.nodes().next().expect("the publisher should know a node").status.clone()
    }
}

/// Returns a document so long that a difference is shorter than the full text; documents differ by `number`.
fn large_document(number: u64) -> Document {
    let mut text = format!("[use_case.a]\ngoal_ms = {}\ncut_off_ms = 9000\n", 100 + number);
    (0..50).for_each(|tenant| text.push_str(&format!("[customer.c{tenant}]\nquota_per_s = 5\n")));
    Document::read(&text, "a test").expect("the document should be valid")
}

#[test]
fn a_version_is_offered_once_in_full_or_as_a_difference_from_the_previous_version() {
    let mut harness = PublisherHarness::new(None);
    harness.handle(Event::DocumentChanged(large_document(1)));
    harness.subscribe(1, None);
    assert!(matches!(harness.last_offer().content, Content::Full(_)));
    let first = harness.acknowledge(1);
    assert_eq!((first.number, harness.counter.last), (1, Some(first)));
    harness.handle(Event::DocumentChanged(large_document(1)));
    assert_eq!(harness.offers.len(), 1, "an unchanged document is not offered again");
    harness.handle(Event::DocumentChanged(large_document(2)));
    let Content::Delta { base, difference } = &harness.last_offer().content else {
        panic!("the offer should be a difference")
    };
    assert_eq!((*base, difference.count()), (first, 1));
    // After the rejection of a difference that a node can't apply, the full document is offered once.
    harness.reject(1, Rejection::UnknownBase);
    assert!(matches!(harness.last_offer().content, Content::Full(_)));
    harness.reject(1, Rejection::Invalid("no".into()));
    assert_eq!(harness.offers.len(), 3, "a rejected full document is not offered again");
    assert!(matches!(harness.status(), NodeStatus::Rejected(Rejection::Invalid(_))));
    harness.handle(Event::DocumentChanged(large_document(3)));
    assert_eq!(harness.offers.len(), 4, "the next version is offered after a rejection");
}

#[test]
fn a_version_number_is_stored_before_its_offer_and_kept_for_the_document_over_restarts() {
    let mut harness = PublisherHarness::new(None);
    harness.subscribe(1, None);
    harness.disk_fails = true;
    harness.handle(Event::DocumentChanged(document(1)));
    assert!(harness.offers.is_empty(), "a version whose number is not stored is not offered");
    harness.disk_fails = false;
    harness.handle(Event::DocumentChanged(document(1)));
    let version = harness.acknowledge(1);
    let mut restarted = PublisherHarness::new(harness.counter.last);
    restarted.handle(Event::DocumentChanged(document(1)));
    assert_eq!(restarted.publisher.current_version(), Some(version));
    let mut restarted_with_change = PublisherHarness::new(harness.counter.last);
    restarted_with_change.handle(Event::DocumentChanged(document(2)));
    assert_eq!(
        restarted_with_change.publisher.current_version().map(|version| version.number),
        Some(version.number + 1)
    );
}

#[test]
fn a_publisher_without_its_counter_exceeds_known_numbers_but_does_not_outbid_another_publisher() {
    let known = version(40, 7);
    let mut harness = PublisherHarness::new(None);
    harness.handle(Event::DocumentChanged(document(1)));
    harness.subscribe(1, Some(known));
    harness.reject(1, Rejection::Outdated { known });
    assert_eq!(harness.last_offer().version, version(41, 1));
    harness.acknowledge(1);
    // A node subscribes that knows a later version than this publisher's: another publisher published that version.
    let other = version(90, 8);
    harness.subscribe(2, Some(other));
    let offers = harness.offers.len();
    harness.reject(2, Rejection::Outdated { known: other });
    assert_eq!(harness.offers.len(), offers, "publishers that disagree don't outbid each other");
    assert!(
        harness.log_lines.iter().any(|line| line.contains("another control service")),
        "{:?}",
        harness.log_lines
    );
}

#[test]
fn a_thousand_simultaneous_subscribers_are_admitted_at_the_configured_rate() {
    let mut admission = Admission::new(200.0, 50.0);
    let mut random = MultiplyWithCarry::new(3);
    let mut pending: Vec<(Time, Backoff)> = (0..1000).map(|_| (at(0.0), Backoff::default())).collect();
    let mut admitted_at = Vec::new();
    while let Some(first) = (0..pending.len()).min_by_key(|index| pending[*index].0) {
        let (now, mut backoff) = pending.swap_remove(first);
        match admission.admit(now) {
            Ok(()) => admitted_at.push(now),
            Err(retry_after) => {
                pending.push((now + backoff.next_delay(&mut random, Some(retry_after)), backoff));
            }
        }
    }
    let admitted_per_second = admitted_at.iter().map(|from| {
        admitted_at.iter().filter(|at| **at >= *from && **at < *from + Span::from_ms(1000.0)).count()
    });
    assert!(admitted_per_second.max() <= Some(250), "no second exceeds the sum of the rate and the burst");
    let last = admitted_at.iter().max().expect("subscribers should be admitted").as_ms();
    assert!(last < 9000.0, "the last subscriber was admitted after {last} ms");
}

#[test]
fn full_jitter_spreads_attempts_that_coincide_without_jitter() {
    let peak_attempts = |backoff: &dyn Fn() -> Backoff| {
        let attempts = (0..1000).flat_map(|node| {
            let (mut random, mut backoff, mut now) = (MultiplyWithCarry::new(node * 7919), backoff(), 0.0);
            std::iter::from_fn(move || {
                now += backoff.next_delay(&mut random, None).as_ms();
                (now < 30_000.0).then_some((now / 100.0) as usize)
            })
        });
        let mut attempts_per_100_ms = vec![0; 301];
        attempts.for_each(|interval| attempts_per_100_ms[interval] += 1);
        // The first 400 ms are left out: their attempts coincide because the connections broke at the same time.
        attempts_per_100_ms[4..].iter().copied().max().unwrap_or(0)
    };
    let (with_jitter, without_jitter) =
        (peak_attempts(&Backoff::default), peak_attempts(&Backoff::without_jitter));
    assert!(
        without_jitter >= 1000 && with_jitter * 3 < without_jitter,
        "{with_jitter} attempts in the busiest 100 ms, {without_jitter} without jitter"
    );
}

#[test]
fn a_trial_fails_on_a_significant_drop_of_the_success_ratio_and_not_by_chance() {
    for seed in 0..2000 {
        let mut random = MultiplyWithCarry::new(seed * 7919);
        let (success_ratio, jobs) = (0.3 + 0.7 * random.next_f64(), (200.0 * random.next_f64()) as u8);
        let mut sample = |success_ratio: f64| {
            let succeeded = (0..jobs).filter(|_| random.next_f64() < success_ratio).count() as f64;
            Sample { answered: f64::from(jobs), succeeded, executor_connected: true }
        };
        let mut baseline = Baseline::new(rules().span);
        (0..20).for_each(|tick| baseline.record(at(50.0 * f64::from(tick)), sample(success_ratio)));
        let mut run_trial = |trial_success_ratio: f64| {
            let mut trial = Trial::start(rules(), at(1000.0), &baseline);
            (1..=20)
                .map(|tick| trial.record(at(1000.0 + 50.0 * f64::from(tick)), &sample(trial_success_ratio)))
                .find(|verdict| *verdict != Verdict::Undecided)
        };
        let (unchanged, degraded) = (run_trial(success_ratio), run_trial(success_ratio * 0.4));
        assert_eq!(
            unchanged,
            Some(Verdict::Passed),
            "seed {seed}: {success_ratio} of {jobs} jobs per sample succeed"
        );
        // With fewer jobs, the drop may be too small to be significant.
        let is_detectable = f64::from(jobs) * SAMPLES_PER_SPAN >= 600.0;
        assert!(
            !is_detectable || matches!(degraded, Some(Verdict::Failed(_))),
            "seed {seed}: {success_ratio} of {jobs} jobs per sample succeed"
        );
    }
}

#[test]
fn any_bytes_are_decoded_or_rejected_without_a_panic_and_offers_survive_a_round_trip() {
    fn decodes_without_panic(text: Vec<u8>) -> bool {
        // The results don't matter; the decoders must not panic on any input.
        let _ = (SubscriberMessage::decode(&text), PublisherMessage::decode(&text));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 16))
        .tests(2000)
        .quickcheck(decodes_without_panic as fn(Vec<u8>) -> bool);
    let difference = document(1).fields().difference(document(2).fields());
    let delta = Content::Delta { base: version(1, 1), difference };
    for content in [Content::Full(document(3).to_toml()), delta] {
        let offer = PublisherMessage::Offer(Offer {
            nonce: 5,
            lineage: LINEAGE.into(),
            version: version(2, 2),
            content,
        });
        let text = offer.encode();
        assert_eq!(PublisherMessage::decode(text.as_bytes()), Ok(offer));
        // Every truncation of the encoded offer is an error.
        (0..text.len() - 1)
            .for_each(|cut| assert!(PublisherMessage::decode(&text.as_bytes()[..cut]).is_err(), "{cut}"));
    }
}
