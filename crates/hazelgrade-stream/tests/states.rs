//! All states, within bounds, of a publisher and a node over a channel that loses, doubles and reorders messages, while
//! connections break, both sides crash and start again, and writes fail.

#![allow(clippy::expect_used, clippy::too_many_lines)]

mod common;

use common::*;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::Digest;
use hazelgrade_stream::admission::Admission;
use hazelgrade_stream::protocol::{PublisherMessage, SubscriberMessage};
use hazelgrade_stream::publisher::{self, Counter, Publisher};
use hazelgrade_stream::stored::StoredState;
use hazelgrade_stream::subscriber::{Action, Event, InEffect, Subscriber};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

/// How often each kind of fault may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    publishes: u64,
    breaks: u8,
    losses: u8,
    deaths: u8,
    restarts: u8,
    disk_faults: u8,
    trials: u8,
}

#[derive(Clone, Debug)]
struct World {
    node: Subscriber,
    publisher: Publisher,
    /// What each side has on its disk.
    stored: StoredState,
    counter: Counter,
    /// A write of the node that is under way.
    writing: Option<(u64, StoredState)>,
    connection: u64,
    up: bool,
    to_node: Vec<PublisherMessage>,
    to_publisher: Vec<SubscriberMessage>,
    left: Left,
    now: Time,
    effect: Option<Digest>,
    acknowledged: Vec<Digest>,
    /// Reported as good, and as failed.
    good: Vec<Digest>,
    failed: Vec<Digest>,
    broken: Option<String>,
    /// What tells this state from others: all of it but times and random numbers.
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
    Publish,
    ToNode(usize),
    ToPublisher(usize),
    LoseToNode(usize),
    LoseToPublisher(usize),
    Break,
    Connect,
    Written,
    WriteFails,
    NodeCrashes { written: bool },
    PublisherRestarts { forgets: bool },
    TrialEnds { well: bool },
}

/// A text without what differs between states that are the same.
fn without_time(text: &str) -> String {
    let mut rest = text;
    let mut key = String::new();
    while let Some((before, after)) = ["Time(", "Span(", "MultiplyWithCarry {"]
        .iter()
        .filter_map(|word| rest.find(word).map(|at| (at, word.len())))
        .min()
        .map(|(at, length)| (&rest[..at], &rest[at + length..]))
    {
        key.push_str(before);
        rest = after.split_once([')', '}']).map_or("", |(_, rest)| rest);
    }
    key + rest
}

impl World {
    fn keyed(mut self) -> World {
        self.key.clear();
        let World { node, publisher, stored, counter, writing, to_node, to_publisher, left, .. } = &self;
        let parts = (node, publisher, stored, counter, writing);
        let rest = (to_node, to_publisher, left, self.up, &self.good, &self.failed, &self.acknowledged);
        self.key = without_time(&format!("{parts:?}{rest:?}{:?}{:?}", self.effect, self.broken));
        self
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => {
                    match &message {
                        SubscriberMessage::Acknowledged { version, .. } => {
                            self.acknowledged.push(version.digest)
                        }
                        SubscriberMessage::TrialEnded { version, failure: None } => {
                            self.good.push(version.digest)
                        }
                        SubscriberMessage::TrialEnded { version, failure: Some(_) } => {
                            self.failed.push(version.digest)
                        }
                        _ => {}
                    }
                    self.to_publisher.push(message);
                }
                Action::Store { ticket, state } => self.writing = Some((ticket, state)),
                Action::Apply { document, .. } => {
                    self.effect = document.map(|document| document.digest());
                    self.tell(Event::Applied(Ok(())));
                }
                Action::Disconnect => {
                    self.up = false;
                    self.tell(Event::Disconnected);
                }
                Action::Connect { .. } | Action::Log(_) => {}
            }
        }
    }

    fn publisher(&mut self, event: publisher::Event) {
        let mut actions = Vec::new();
        self.publisher.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                publisher::Action::Send { connection, message }
                    if connection == self.connection && self.up =>
                {
                    self.to_node.push(message);
                }
                publisher::Action::StoreCounter(counter) => {
                    // No number stands for two documents, whatever was lost.
                    self.counter = counter;
                    self.publisher(publisher::Event::CounterStored(Ok(())));
                }
                _ => {}
            }
        }
    }

    fn connect(&mut self) {
        self.connection += 1;
        self.up = true;
        (self.to_node, self.to_publisher) = (Vec::new(), Vec::new());
        self.publisher(publisher::Event::Connected { connection: self.connection });
        self.tell(Event::Connected);
    }

    fn disconnect(&mut self) {
        self.up = false;
        (self.to_node, self.to_publisher) = (Vec::new(), Vec::new());
        self.publisher(publisher::Event::Disconnected { connection: self.connection });
    }

    fn restart_node(&mut self) {
        self.writing = None;
        let (node, first) = start(self.now, self.stored.clone(), Some(document(0)));
        self.node = node;
        self.perform(first);
        self.tell(sampled(100.0, 1.0));
    }

    fn check(&mut self) {
        let file = document(0).digest();
        let serves = match self.node.in_effect() {
            InEffect::Nothing => self.effect.is_none(),
            InEffect::LocalDocument => self.effect == Some(file),
            // Good versions may be known only to the disk: the node crashed before it could report them.
            InEffect::Good(version) => {
                let known =
                    self.stored.last_good.as_ref().is_some_and(|good| good.version.digest == version.digest)
                        || self.good.contains(&version.digest);
                known && self.effect == Some(version.digest)
            }
            InEffect::OnTrial(version) => {
                self.effect == Some(version.digest)
                    && self.stored.on_trial.as_ref().is_some_and(|on_trial| on_trial.version == version)
                    || self.stored.last_good.as_ref().is_some_and(|good| good.version == version)
            }
        };
        if !serves {
            self.broken =
                Some(format!("serves {:?} with {:?} in effect", self.node.in_effect(), self.effect));
        }
        if !self.good.is_empty() && self.stored.last_good.is_none() {
            self.broken = Some("what was said to be good is not stored".into());
        }
    }
}

struct Bounds(Left);

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let now = at(1_000_000.0);
        let (node, first) = start(now, StoredState::default(), Some(document(0)));
        let counter = Counter { lineage: LINEAGE.into(), last: None };
        let publisher = Publisher::new(counter.clone(), Admission::new(1000.0, 1000.0));
        let mut world = World {
            node,
            publisher,
            stored: StoredState::default(),
            counter,
            writing: None,
            connection: 0,
            up: false,
            to_node: Vec::new(),
            to_publisher: Vec::new(),
            left: self.0,
            now,
            effect: None,
            acknowledged: Vec::new(),
            good: Vec::new(),
            failed: Vec::new(),
            broken: None,
            key: String::new(),
        };
        world.perform(first);
        world.tell(sampled(100.0, 1.0));
        world.publisher(publisher::Event::DocumentChanged(document(1)));
        world.connect();
        vec![world.keyed()]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let left = &world.left;
        if left.publishes > 0 {
            steps.push(Step::Publish);
        }
        if world.up {
            steps.extend((0..world.to_node.len()).map(Step::ToNode));
            steps.extend((0..world.to_publisher.len()).map(Step::ToPublisher));
            if left.losses > 0 {
                steps.extend((0..world.to_node.len()).map(Step::LoseToNode));
                steps.extend((0..world.to_publisher.len()).map(Step::LoseToPublisher));
            }
            if left.breaks > 0 {
                steps.push(Step::Break);
            }
        } else {
            steps.push(Step::Connect);
        }
        if world.writing.is_some() {
            steps.push(Step::Written);
            if left.disk_faults > 0 {
                steps.push(Step::WriteFails);
            }
        }
        if left.deaths > 0 {
            steps.push(Step::NodeCrashes { written: false });
            if world.writing.is_some() {
                steps.push(Step::NodeCrashes { written: true });
            }
        }
        if left.restarts > 0 {
            steps.extend([false, true].map(|forgets| Step::PublisherRestarts { forgets }));
        }
        if left.trials > 0 && matches!(world.node.in_effect(), InEffect::OnTrial(_)) {
            steps.extend([false, true].map(|well| Step::TrialEnds { well }));
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Publish => {
                world.left.publishes -= 1;
                let says = 1 + self.0.publishes - world.left.publishes;
                world.publisher(publisher::Event::DocumentChanged(document(says)));
            }
            Step::ToNode(place) => {
                let message = world.to_node.remove(place);
                world.tell(Event::Received(message));
            }
            Step::ToPublisher(place) => {
                let message = world.to_publisher.remove(place);
                let connection = world.connection;
                world.publisher(publisher::Event::Received { connection, message });
            }
            Step::LoseToNode(place) => {
                world.left.losses -= 1;
                world.to_node.remove(place);
            }
            Step::LoseToPublisher(place) => {
                world.left.losses -= 1;
                world.to_publisher.remove(place);
            }
            Step::Break => {
                world.left.breaks -= 1;
                world.disconnect();
                world.tell(Event::Disconnected);
            }
            Step::Connect => world.connect(),
            Step::Written => {
                let (ticket, state) = world.writing.take()?;
                world.stored = state;
                world.tell(Event::Stored { ticket, result: Ok(()) });
            }
            Step::WriteFails => {
                world.left.disk_faults -= 1;
                let (ticket, _) = world.writing.take()?;
                world.tell(Event::Stored { ticket, result: Err("full".into()) });
                // And the delay until it is retried.
                world.now = world.now + Span::from_ms(60_000.0);
                world.tell(Event::TimerFired);
            }
            Step::NodeCrashes { written } => {
                world.left.deaths -= 1;
                if let Some((_, state)) = world.writing.take().filter(|_| written) {
                    world.stored = state;
                }
                world.disconnect();
                world.restart_node();
            }
            Step::PublisherRestarts { forgets } => {
                world.left.restarts -= 1;
                world.disconnect();
                if forgets {
                    world.counter.last = None;
                }
                world.publisher = Publisher::new(world.counter.clone(), Admission::new(1000.0, 1000.0));
                let says = 1 + self.0.publishes - world.left.publishes;
                world.publisher(publisher::Event::DocumentChanged(document(says)));
                world.tell(Event::Disconnected);
            }
            Step::TrialEnds { well } => {
                world.left.trials -= 1;
                if well {
                    world.now = world.now + Span::from_ms(1001.0);
                    world.tell(sampled(0.0, 1.0));
                } else {
                    world.tell(sampled(100.0, 0.0));
                }
                world.tell(sampled(100.0, 1.0));
            }
        }
        world.check();
        Some(world.keyed())
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always("serves what is good, acknowledged or its file", |_, world: &World| {
                world.broken.is_none()
            }),
            Property::sometimes("the last one published becomes good", |model: &Bounds, world: &World| {
                let last = document(1 + model.0.publishes).digest();
                world.good.contains(&last)
            }),
            Property::sometimes("a version fails", |_, world: &World| !world.failed.is_empty()),
        ]
    }
}

fn explore(left: Left) -> usize {
    let checker = Bounds(left).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn in_no_state_a_node_serves_by_a_version_that_is_neither_good_nor_acknowledged() {
    let calm = Left { publishes: 1, breaks: 0, losses: 0, deaths: 0, restarts: 0, disk_faults: 0, trials: 2 };
    let faults = [
        Left { deaths: 2, ..calm },
        Left { deaths: 1, breaks: 1, ..calm },
        Left { restarts: 2, ..calm },
        Left { losses: 1, breaks: 1, restarts: 1, ..calm },
        Left { disk_faults: 2, deaths: 1, ..calm },
    ];
    for left in faults {
        let states = explore(left);
        println!("{left:?}: {states} states");
        assert!(states > 100, "{states} states are too few to have been through it");
    }
}
