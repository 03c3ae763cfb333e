//! Generated histories of a node, against a plain model of what it may serve and what it must answer.

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

/// What happens to a node.
#[derive(Clone, Debug)]
enum Step {
    /// A version of this number with this document, announced with the digest of that one.
    Offer {
        number: u64,
        says: u64,
        announced: u64,
    },
    Invalid {
        number: u64,
    },
    Delta {
        number: u64,
        base: u64,
        says: u64,
    },
    OtherLineage {
        number: u64,
    },
    Sampled {
        well: bool,
    },
    Later,
    LinkBreaks,
    /// The next write fails.
    DiskFails,
    /// The next document can't be applied on this node.
    NotApplicable,
    Crashes,
    /// Drains, and starts again.
    Drains,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let mut small = |most: u64| u64::arbitrary(g) % most;
        let (number, says, other) = (1 + small(8), 1 + small(5), 1 + small(5));
        match small(20) {
            0..7 => Step::Offer { number, says, announced: says },
            7 => Step::Offer { number, says, announced: other },
            8 => Step::Invalid { number },
            9..11 => Step::Delta { number, base: other, says },
            11 => Step::OtherLineage { number },
            12..14 => Step::Sampled { well: true },
            14 => Step::Sampled { well: false },
            15 => Step::Later,
            16 => Step::LinkBreaks,
            17 => {
                if small(2) == 0 {
                    Step::DiskFails
                } else {
                    Step::NotApplicable
                }
            }
            18 => Step::Crashes,
            _ => Step::Drains,
        }
    }
}

/// The reference model: what the node reported decides what it may serve.
#[derive(Default)]
struct Plain {
    disk: StoredState,
    /// Ever reported as good.
    good: BTreeSet<Version>,
    acknowledged: BTreeSet<Version>,
    /// Acknowledged, its trial not yet ended.
    trying: Option<Version>,
    /// The last that was reported as good.
    last: Option<Version>,
    deaths: Vec<(Version, u32)>,
}

fn local_document_digest() -> hazelgrade_config::Digest {
    document(0).digest()
}

struct World {
    node: Subscriber,
    plain: Plain,
    now: Time,
    up: bool,
    nonce: u64,
    disk_fails: bool,
    not_applicable: bool,
    /// The contents in effect.
    effect: Option<hazelgrade_config::Digest>,
    said: Vec<SubscriberMessage>,
    todo: VecDeque<Action>,
    busy: bool,
}

impl World {
    fn new() -> World {
        let now = at(1_000_000.0);
        let (node, first) = start(now, StoredState::default(), Some(document(0)));
        let mut world = World {
            node,
            plain: Plain::default(),
            now,
            up: false,
            nonce: 0,
            disk_fails: false,
            not_applicable: false,
            effect: None,
            said: Vec::new(),
            todo: VecDeque::new(),
            busy: false,
        };
        world.perform(first);
        world
    }

    /// Performs the actions and all that follows, writes included, before anything else happens.
    fn perform(&mut self, actions: Vec<Action>) {
        self.todo.extend(actions);
        if std::mem::replace(&mut self.busy, true) {
            return;
        }
        while let Some(action) = self.todo.pop_front() {
            match action {
                Action::Connect { at, .. } => {
                    assert!(at.since(self.now) <= Span::from_ms(5_000.0), "it stays away too long");
                    self.now = self.now.max(at);
                    self.up = true;
                    self.tell(Event::Connected);
                }
                Action::Disconnect => {
                    self.up = false;
                    self.tell(Event::Disconnected);
                }
                Action::Store { ticket, state } => {
                    let result =
                        if std::mem::take(&mut self.disk_fails) { Err("full".to_owned()) } else { Ok(()) };
                    if result.is_ok() {
                        self.plain.disk = StoredState::decode(Kind::Serving, &state.encode())
                            .expect("it reads what it wrote");
                        assert_eq!(self.plain.disk, state);
                    }
                    self.tell(Event::Stored { ticket, result });
                }
                Action::Apply { document, .. } => {
                    // What was in effect before can always be applied.
                    let good = self.plain.disk.last_good.as_ref().map(|good| good.version.digest);
                    let digest = document.as_ref().map(|document| document.digest());
                    let before = [good, Some(local_document_digest())].contains(&digest);
                    let fails = !before && std::mem::take(&mut self.not_applicable);
                    if !fails {
                        self.effect = document.map(|document| document.digest());
                    }
                    self.tell(Event::Applied(if fails { Err("no".into()) } else { Ok(()) }));
                }
                Action::Send(said) => {
                    assert!(self.up, "said on no connection");
                    self.hear(&said);
                    self.said.push(said);
                }
                Action::Log(_) => {}
            }
        }
        self.busy = false;
    }

    fn tell(&mut self, event: Event) {
        let actions = handle(&mut self.node, self.now, event);
        self.perform(actions);
    }

    fn hear(&mut self, said: &SubscriberMessage) {
        let text = said.encode();
        assert_eq!(SubscriberMessage::decode(text.as_bytes()).as_ref(), Ok(said), "{text}");
        match said {
            SubscriberMessage::Acknowledged { version, on_trial, .. } => {
                self.plain.acknowledged.insert(*version);
                if *on_trial {
                    self.plain.trying = Some(*version);
                } else {
                    self.plain.good.insert(*version);
                    self.plain.last = Some(*version);
                }
            }
            SubscriberMessage::TrialEnded { version, failure: None } => {
                assert_eq!(self.plain.trying.take(), Some(*version), "good without a trial");
                self.plain.good.insert(*version);
                self.plain.last = Some(*version);
            }
            SubscriberMessage::TrialEnded { failure: Some(_), .. } => self.plain.trying = None,
            _ => {}
        }
    }

    /// Crashes, or drains and stops; then starts from what is on the disk.
    fn restart(&mut self, crashed: bool) {
        let stored = self.plain.disk.clone();
        if let Some(version) = self.plain.trying.filter(|_| crashed) {
            let of = self.plain.deaths.iter_mut().find(|(of, _)| of.digest == version.digest);
            match of {
                Some((_, count)) => *count += 1,
                None => self.plain.deaths.push((version, 1)),
            }
        }
        self.plain.trying = None;
        self.up = false;
        let (node, first) = start(self.now, stored, Some(document(0)));
        self.node = node;
        self.perform(first);
        // A good version that the disk has is served from the first moment on, before any control service is connected.
        let good = self.plain.disk.last_good.as_ref().map(|good: &StoredVersion| good.version);
        assert_eq!(self.node.in_effect(), good.map_or(InEffect::LocalDocument, InEffect::Good));
    }

    fn step(&mut self, step: &Step) {
        self.nonce += 1;
        let (nonce, before, said) = (self.nonce, self.node.in_effect(), self.said.len());
        let offer = |number, says, lineage: &str, content| {
            let version = version(number, says);
            Event::Received(PublisherMessage::Offer(Offer {
                nonce,
                lineage: lineage.into(),
                version,
                content,
            }))
        };
        match step {
            Step::Offer { number, says, announced } => {
                let content = Content::Full(document(*says).to_toml());
                self.tell(offer(*number, *announced, LINEAGE, content));
                if says != announced {
                    self.assert_rejected(&before, said);
                }
            }
            Step::Invalid { number } => {
                let content = Content::Full("[use_case.a]\ngoal_ms = \"soon\"".into());
                self.tell(offer(*number, 9, LINEAGE, content));
                self.assert_rejected(&before, said);
            }
            Step::Delta { number, base, says } => {
                let difference = document(*base).fields().difference(document(*says).fields());
                let content = Content::Delta { base: version(*base, *base), difference };
                self.tell(offer(*number, *says, LINEAGE, content));
            }
            Step::OtherLineage { number } => {
                let known = self.plain.disk.lineage.is_some();
                if known {
                    let content = Content::Full(document(1).to_toml());
                    self.tell(offer(*number, 1, "other", content));
                    self.assert_rejected(&before, said);
                }
            }
            Step::Sampled { well } => {
                for _ in 0..3 {
                    self.now = self.now + Span::from_ms(100.0);
                    self.tell(sampled(20.0, if *well { 1.0 } else { 0.1 }));
                }
            }
            Step::Later => {
                self.now = self.now + Span::from_ms(1001.0);
                self.tell(sampled(0.0, 1.0));
            }
            Step::LinkBreaks => {
                self.up = false;
                self.tell(Event::Disconnected);
            }
            Step::DiskFails => self.disk_fails = true,
            Step::NotApplicable => self.not_applicable = true,
            Step::Crashes => self.restart(true),
            Step::Drains => {
                self.tell(Event::DrainStarted);
                let (before, said) = (self.node.in_effect(), self.said.len());
                self.tell(offer(20, 4, LINEAGE, Content::Full(document(4).to_toml())));
                self.assert_rejected(&before, said);
                assert!(matches!(
                    self.said.last(),
                    Some(SubscriberMessage::Rejected { rejection: Rejection::Draining, .. })
                ));
                // A write that failed is retried after its delay: the drain lasts longer here.
                self.now = self.now + Span::from_ms(60_000.0);
                self.tell(Event::TimerFired);
                self.restart(false);
            }
        }
        self.check();
    }

    /// An offer that can't be taken up is rejected, and what is in effect stays.
    fn assert_rejected(&self, before: &InEffect, said: usize) {
        assert_eq!(self.node.in_effect(), *before);
        let answer =
            self.said[said..].iter().find(|said| !matches!(said, SubscriberMessage::TrialEnded { .. }));
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
                // It is stored before it is reported, and there may be no connection to report it on.
                let stored = self.plain.disk.last_good.as_ref().is_some_and(|good| good.version == version);
                let known = stored && self.plain.acknowledged.contains(&version);
                assert!(known || self.plain.good.contains(&version), "{version} was never good");
                Some(version.digest)
            }
            InEffect::OnTrial(version) => {
                assert_eq!(self.plain.trying, Some(version), "in effect without having been acknowledged");
                Some(version.digest)
            }
        };
        assert_eq!(self.effect, digest, "what is in effect is not what it says");
        // Once something was good there is always something good to start by.
        if self.plain.last.is_some() {
            assert!(self.plain.disk.last_good.is_some(), "the last good version is lost");
        }
        for (version, deaths) in &self.plain.deaths {
            let in_effect = self.effect == Some(version.digest);
            assert!(
                *deaths < 2 || !in_effect || self.plain.good.iter().any(|good| good.digest == version.digest)
            );
        }
    }
}

#[test]
fn a_node_serves_by_its_local_document_a_good_version_or_one_that_it_acknowledged() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(step));
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 16))
        .tests(2000)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn during_a_trial_the_latest_version_waits_and_the_good_document_rolls_back_at_once() {
    let mut world = World::new();
    let offer = |world: &mut World, number, says| world.step(&Step::Offer { number, says, announced: says });
    offer(&mut world, 1, 1);
    world.step(&Step::Later);
    assert_eq!(world.node.in_effect(), InEffect::Good(version(1, 1)));
    offer(&mut world, 2, 2);
    offer(&mut world, 3, 3);
    offer(&mut world, 4, 4);
    assert_eq!(world.node.in_effect(), InEffect::OnTrial(version(2, 2)));
    let superseded = Rejection::Superseded { by: version(4, 4) };
    assert!(world.said.iter().any(
        |said| matches!(said, SubscriberMessage::Rejected { rejection, .. } if *rejection == superseded)
    ));
    world.step(&Step::Later);
    assert_eq!(world.node.in_effect(), InEffect::OnTrial(version(4, 4)));
    // What was good before the trial, published anew, is in effect at once.
    offer(&mut world, 5, 2);
    assert_eq!(world.node.in_effect(), InEffect::Good(version(5, 2)));
}

#[test]
fn a_difference_with_another_digest_than_announced_is_rejected() {
    let mut world = World::new();
    world.step(&Step::Offer { number: 1, says: 1, announced: 1 });
    world.step(&Step::Later);
    let difference = document(1).fields().difference(document(2).fields());
    let content = Content::Delta { base: version(1, 1), difference };
    let offer = Offer { nonce: 99, lineage: LINEAGE.into(), version: version(2, 3), content };
    world.tell(Event::Received(PublisherMessage::Offer(offer)));
    assert!(matches!(
        world.said.last(),
        Some(SubscriberMessage::Rejected { rejection: Rejection::DigestMismatch, .. })
    ));
    assert_eq!(world.node.in_effect(), InEffect::Good(version(1, 1)));
}

#[test]
fn a_silent_control_service_is_replaced_by_the_next_and_retry_after_is_respected() {
    let (mut node, first) = start(at(0.0), StoredState::default(), None);
    assert!(first.contains(&Action::Apply { document: None, is_rollback: false }), "nothing to serve by");
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
