//! Generated histories of a subscriber's events, compared with a reference model of which document may be in effect and
//! which answers are required.

#![allow(clippy::expect_used, clippy::too_many_lines)]

mod common;

use common::*;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::{Kind, Version};
use hazelgrade_stream::protocol::{Content, Offer, PublisherMessage, Rejection, SubscriberMessage};
use hazelgrade_stream::stored::{StoredState, StoredVersion};
use hazelgrade_stream::subscriber::{Action, Event, InEffect, Subscriber};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeSet, VecDeque};

/// An event in the history of a node.
#[derive(Clone, Debug)]
enum Step {
    /// An offer of the document `document_number` that states the digest of the document `announced_document`.
    Offer {
        number: u64,
        document_number: u64,
        announced_document: u64,
    },
    Invalid {
        number: u64,
    },
    Delta {
        number: u64,
        base: u64,
        document_number: u64,
    },
    OtherLineage {
        number: u64,
    },
    Sampled {
        succeeds: bool,
    },
    TrialSpanPasses,
    Disconnects,
    /// The next write fails.
    NextWriteFails,
    /// The next document can't be applied on this node.
    NextApplyFails,
    Crashes,
    /// The node drains, and then starts again.
    Drains,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let mut below = |bound: u64| u64::arbitrary(g) % bound;
        let (number, document_number, other) = (1 + below(8), 1 + below(5), 1 + below(5));
        match below(20) {
            0..7 => Step::Offer { number, document_number, announced_document: document_number },
            7 => Step::Offer { number, document_number, announced_document: other },
            8 => Step::Invalid { number },
            9..11 => Step::Delta { number, base: other, document_number },
            11 => Step::OtherLineage { number },
            12..14 => Step::Sampled { succeeds: true },
            14 => Step::Sampled { succeeds: false },
            15 => Step::TrialSpanPasses,
            16 => Step::Disconnects,
            17 => {
                if below(2) == 0 {
                    Step::NextWriteFails
                } else {
                    Step::NextApplyFails
                }
            }
            18 => Step::Crashes,
            _ => Step::Drains,
        }
    }
}

/// The reference model, which derives from the node's messages what may be in effect.
#[derive(Default)]
struct ReferenceModel {
    /// The state on the node's disk.
    stored: StoredState,
    /// The versions that were ever reported as good.
    reported_good: BTreeSet<Version>,
    acknowledged: BTreeSet<Version>,
    /// The version that was acknowledged and whose trial has not ended.
    on_trial_version: Option<Version>,
    /// The version that was reported as good last.
    last_reported_good: Option<Version>,
    /// The crashes on trial of each document, under the version that crashed first.
    crashes: Vec<(Version, u32)>,
}

fn local_document_digest() -> hazelgrade_config::Digest {
    document(0).digest()
}

struct System {
    node: Subscriber,
    model: ReferenceModel,
    now: Time,
    connected: bool,
    nonce: u64,
    next_write_fails: bool,
    next_apply_fails: bool,
    /// The digest of the document in effect.
    digest_in_effect: Option<hazelgrade_config::Digest>,
    sent: Vec<SubscriberMessage>,
    pending_actions: VecDeque<Action>,
    performing: bool,
}

impl System {
    fn new() -> System {
        let now = at(1_000_000.0);
        let (node, actions) = start(now, StoredState::default(), Some(document(0)));
        let mut system = System {
            node,
            model: ReferenceModel::default(),
            now,
            connected: false,
            nonce: 0,
            next_write_fails: false,
            next_apply_fails: false,
            digest_in_effect: None,
            sent: Vec::new(),
            pending_actions: VecDeque::new(),
            performing: false,
        };
        system.perform(actions);
        system
    }

    /// Performs the actions and all actions that result from them, writes included, before the next event.
    fn perform(&mut self, actions: Vec<Action>) {
        self.pending_actions.extend(actions);
        if std::mem::replace(&mut self.performing, true) {
            return;
        }
        while let Some(action) = self.pending_actions.pop_front() {
            match action {
                Action::Connect { at, .. } => {
                    assert!(
                        at.since(self.now) <= Span::from_ms(5_000.0),
                        "the delay before the next attempt to connect is too long"
                    );
                    self.now = self.now.max(at);
                    self.connected = true;
                    self.handle_event(Event::Connected);
                }
                Action::Disconnect => {
                    self.connected = false;
                    self.handle_event(Event::Disconnected);
                }
                Action::Store { ticket, state } => {
                    let result = if std::mem::take(&mut self.next_write_fails) {
                        Err("full".to_owned())
                    } else {
                        Ok(())
                    };
                    if result.is_ok() {
                        self.model.stored = StoredState::decode(Kind::Serving, &state.encode())
                            .expect("it reads what it wrote");
                        assert_eq!(self.model.stored, state);
                    }
                    self.handle_event(Event::Stored { ticket, result });
                }
                Action::Apply { document, .. } => {
                    // The local document and the last good one were in effect before, so they can always be applied.
                    let good = self.model.stored.last_good.as_ref().map(|good| good.version.digest);
                    let digest = document.as_ref().map(|document| document.digest());
                    let was_in_effect = [good, Some(local_document_digest())].contains(&digest);
                    let fails = !was_in_effect && std::mem::take(&mut self.next_apply_fails);
                    if !fails {
                        self.digest_in_effect = document.map(|document| document.digest());
                    }
                    self.handle_event(Event::Applied(if fails { Err("no".into()) } else { Ok(()) }));
                }
                Action::Send(message) => {
                    assert!(self.connected, "a message was sent without a connection");
                    self.record_sent(&message);
                    self.sent.push(message);
                }
                Action::Log(_) => {}
            }
        }
        self.performing = false;
    }

    fn handle_event(&mut self, event: Event) {
        let actions = handle(&mut self.node, self.now, event);
        self.perform(actions);
    }

    fn record_sent(&mut self, message: &SubscriberMessage) {
        let text = message.encode();
        assert_eq!(SubscriberMessage::decode(text.as_bytes()).as_ref(), Ok(message), "{text}");
        match message {
            SubscriberMessage::Acknowledged { version, on_trial, .. } => {
                self.model.acknowledged.insert(*version);
                if *on_trial {
                    self.model.on_trial_version = Some(*version);
                } else {
                    self.model.reported_good.insert(*version);
                    self.model.last_reported_good = Some(*version);
                }
            }
            SubscriberMessage::TrialEnded { version, failure: None } => {
                assert_eq!(
                    self.model.on_trial_version.take(),
                    Some(*version),
                    "reported as good without a trial"
                );
                self.model.reported_good.insert(*version);
                self.model.last_reported_good = Some(*version);
            }
            SubscriberMessage::TrialEnded { failure: Some(_), .. } => self.model.on_trial_version = None,
            _ => {}
        }
    }

    /// Restarts the node from the state on its disk, after a crash or after a drain.
    fn restart(&mut self, crashed: bool) {
        let stored = self.model.stored.clone();
        if let Some(version) = self.model.on_trial_version.filter(|_| crashed) {
            let recorded =
                self.model.crashes.iter_mut().find(|(candidate, _)| candidate.digest == version.digest);
            match recorded {
                Some((_, count)) => *count += 1,
                None => self.model.crashes.push((version, 1)),
            }
        }
        self.model.on_trial_version = None;
        self.connected = false;
        let (node, actions) = start(self.now, stored, Some(document(0)));
        self.node = node;
        self.perform(actions);
        // A good version on the disk is in effect from the start, before the node is connected to a control service.
        let good = self.model.stored.last_good.as_ref().map(|good: &StoredVersion| good.version);
        assert_eq!(self.node.in_effect(), good.map_or(InEffect::LocalDocument, InEffect::Good));
    }

    fn step(&mut self, step: &Step) {
        self.nonce += 1;
        let (nonce, before, sent_before) = (self.nonce, self.node.in_effect(), self.sent.len());
        let offer = |number, document_number, lineage: &str, content| {
            let version = version(number, document_number);
            Event::Received(PublisherMessage::Offer(Offer {
                nonce,
                lineage: lineage.into(),
                version,
                content,
            }))
        };
        match step {
            Step::Offer { number, document_number, announced_document } => {
                let content = Content::Full(document(*document_number).to_toml());
                self.handle_event(offer(*number, *announced_document, LINEAGE, content));
                if document_number != announced_document {
                    self.assert_not_applied(&before, sent_before);
                }
            }
            Step::Invalid { number } => {
                let content = Content::Full("[use_case.a]\ngoal_ms = \"soon\"".into());
                self.handle_event(offer(*number, 9, LINEAGE, content));
                self.assert_not_applied(&before, sent_before);
            }
            Step::Delta { number, base, document_number } => {
                let difference = document(*base).fields().difference(document(*document_number).fields());
                let content = Content::Delta { base: version(*base, *base), difference };
                self.handle_event(offer(*number, *document_number, LINEAGE, content));
            }
            Step::OtherLineage { number } => {
                let known = self.model.stored.lineage.is_some();
                if known {
                    let content = Content::Full(document(1).to_toml());
                    self.handle_event(offer(*number, 1, "other", content));
                    self.assert_not_applied(&before, sent_before);
                }
            }
            Step::Sampled { succeeds } => {
                for _ in 0..3 {
                    self.now = self.now + Span::from_ms(100.0);
                    self.handle_event(sampled(20.0, if *succeeds { 1.0 } else { 0.1 }));
                }
            }
            Step::TrialSpanPasses => {
                self.now = self.now + Span::from_ms(1001.0);
                self.handle_event(sampled(0.0, 1.0));
            }
            Step::Disconnects => {
                self.connected = false;
                self.handle_event(Event::Disconnected);
            }
            Step::NextWriteFails => self.next_write_fails = true,
            Step::NextApplyFails => self.next_apply_fails = true,
            Step::Crashes => self.restart(true),
            Step::Drains => {
                self.handle_event(Event::DrainStarted);
                let (before, sent_before) = (self.node.in_effect(), self.sent.len());
                self.handle_event(offer(20, 4, LINEAGE, Content::Full(document(4).to_toml())));
                self.assert_not_applied(&before, sent_before);
                assert!(matches!(
                    self.sent.last(),
                    Some(SubscriberMessage::Rejected { rejection: Rejection::Draining, .. })
                ));
                // Lets a failed write be retried: here the drain lasts longer than the longest delay of a retry.
                self.now = self.now + Span::from_ms(60_000.0);
                self.handle_event(Event::TimerFired);
                self.restart(false);
            }
        }
        self.check();
    }

    /// Asserts that the offer was answered, and that the configuration in effect has not changed.
    fn assert_not_applied(&self, before: &InEffect, sent_before: usize) {
        assert_eq!(self.node.in_effect(), *before);
        let answer = self.sent[sent_before..]
            .iter()
            .find(|sent| !matches!(sent, SubscriberMessage::TrialEnded { .. }));
        assert!(
            matches!(
                answer,
                Some(SubscriberMessage::Rejected { .. } | SubscriberMessage::Acknowledged { .. })
            ),
            "{answer:?}"
        );
    }

    fn check(&self) {
        let serving = self.node.in_effect();
        let digest = match serving {
            InEffect::Nothing => None,
            InEffect::LocalDocument => Some(document(0).digest()),
            InEffect::Good(version) => {
                // A version is stored as good before it is reported, and there may be no connection for the report.
                let stored = self.model.stored.last_good.as_ref().is_some_and(|good| good.version == version);
                let known = stored && self.model.acknowledged.contains(&version);
                assert!(known || self.model.reported_good.contains(&version), "{version} was never good");
                Some(version.digest)
            }
            InEffect::OnTrial(version) => {
                assert_eq!(
                    self.model.on_trial_version,
                    Some(version),
                    "in effect without having been acknowledged"
                );
                Some(version.digest)
            }
        };
        assert_eq!(
            self.digest_in_effect, digest,
            "the node reports another document in effect than was applied"
        );
        // Once a version was good, the disk always has a good version to start with.
        if self.model.last_reported_good.is_some() {
            assert!(self.model.stored.last_good.is_some(), "the last good version is lost");
        }
        for (version, crashes) in &self.model.crashes {
            let in_effect = self.digest_in_effect == Some(version.digest);
            assert!(
                *crashes < 2
                    || !in_effect
                    || self.model.reported_good.iter().any(|good| good.digest == version.digest)
            );
        }
    }
}

#[test]
fn a_node_serves_by_its_local_document_a_good_version_or_one_that_it_acknowledged() {
    fn satisfies_model(steps: Vec<Step>) -> bool {
        let mut system = System::new();
        steps.iter().for_each(|step| system.step(step));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 16))
        .tests(2000)
        .quickcheck(satisfies_model as fn(Vec<Step>) -> bool);
}

#[test]
fn during_a_trial_the_latest_version_waits_and_the_good_document_rolls_back_at_once() {
    let mut system = System::new();
    let offer = |system: &mut System, number, document_number| {
        system.step(&Step::Offer { number, document_number, announced_document: document_number })
    };
    offer(&mut system, 1, 1);
    system.step(&Step::TrialSpanPasses);
    assert_eq!(system.node.in_effect(), InEffect::Good(version(1, 1)));
    offer(&mut system, 2, 2);
    offer(&mut system, 3, 3);
    offer(&mut system, 4, 4);
    assert_eq!(system.node.in_effect(), InEffect::OnTrial(version(2, 2)));
    let superseded = Rejection::Superseded { by: version(4, 4) };
    assert!(system.sent.iter().any(
        |sent| matches!(sent, SubscriberMessage::Rejected { rejection, .. } if *rejection == superseded)
    ));
    system.step(&Step::TrialSpanPasses);
    assert_eq!(system.node.in_effect(), InEffect::OnTrial(version(4, 4)));
    // The document that was good before the trial is published again and takes effect at once.
    offer(&mut system, 5, 2);
    assert_eq!(system.node.in_effect(), InEffect::Good(version(5, 2)));
}

#[test]
fn a_difference_with_another_digest_than_announced_is_rejected() {
    let mut system = System::new();
    system.step(&Step::Offer { number: 1, document_number: 1, announced_document: 1 });
    system.step(&Step::TrialSpanPasses);
    let difference = document(1).fields().difference(document(2).fields());
    let content = Content::Delta { base: version(1, 1), difference };
    let offer = Offer { nonce: 99, lineage: LINEAGE.into(), version: version(2, 3), content };
    system.handle_event(Event::Received(PublisherMessage::Offer(offer)));
    assert!(matches!(
        system.sent.last(),
        Some(SubscriberMessage::Rejected { rejection: Rejection::DigestMismatch, .. })
    ));
    assert_eq!(system.node.in_effect(), InEffect::Good(version(1, 1)));
}

#[test]
fn a_silent_control_service_is_replaced_by_the_next_and_retry_after_is_respected() {
    let (mut node, actions) = start(at(0.0), StoredState::default(), None);
    assert!(actions.contains(&Action::Apply { document: None, is_rollback: false }), "nothing to serve by");
    handle(&mut node, at(10.0), Event::Connected);
    let next_timer = node.next_timer().expect("it has a timer");
    assert!(!handle(&mut node, at(11.0), Event::TimerFired).contains(&Action::Disconnect));
    assert!(handle(&mut node, next_timer, Event::TimerFired).contains(&Action::Disconnect));
    let [Action::Connect { control_service: 1, .. }] = handle(&mut node, next_timer, Event::Disconnected)[..]
    else {
        panic!("not the next")
    };
    handle(&mut node, next_timer, Event::Connected);
    let retry = Event::Received(PublisherMessage::RetryAfter(Span::from_ms(5000.0)));
    assert!(handle(&mut node, next_timer, retry).contains(&Action::Disconnect));
    let [Action::Connect { control_service: 1, at }] = handle(&mut node, next_timer, Event::Disconnected)[..]
    else {
        panic!("not the same")
    };
    let away = at.since(next_timer);
    assert!(away >= Span::from_ms(5000.0) && away <= Span::from_ms(5500.0), "{away:?}");
}
