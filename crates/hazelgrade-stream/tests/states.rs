//! Model check of a publisher and a node: explores every reachable state within bounds on the number of faults.
//! Messages are lost and reordered, connections break, both sides restart, and the node's writes fail. Guards against
//! interleavings in which a node puts a version into effect that is neither good nor stored as on trial.

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

/// How many more events of each kind may occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RemainingEvents {
    publishes: u64,
    disconnections: u8,
    message_losses: u8,
    node_crashes: u8,
    publisher_restarts: u8,
    write_failures: u8,
    trial_ends: u8,
}

#[derive(Clone, Debug)]
struct System {
    node: Subscriber,
    publisher: Publisher,
    /// The state on the node's disk.
    stored: StoredState,
    /// The counter on the publisher's disk.
    counter: Counter,
    /// The node's write in progress.
    write_in_flight: Option<(u64, StoredState)>,
    connection: u64,
    connected: bool,
    to_node: Vec<PublisherMessage>,
    to_publisher: Vec<SubscriberMessage>,
    remaining: RemainingEvents,
    now: Time,
    /// The digest of the document in effect on the node.
    digest_in_effect: Option<Digest>,
    acknowledged: Vec<Digest>,
    /// The documents that the node reported as good.
    reported_good: Vec<Digest>,
    /// The documents that the node reported as failed.
    reported_failed: Vec<Digest>,
    /// The violated rule, if any.
    violation: Option<String>,
    /// Identifies the state: the Debug text of all its parts except times and random numbers.
    key: String,
}

impl PartialEq for System {
    fn eq(&self, other: &System) -> bool {
        self.key == other.key
    }
}

impl Eq for System {}

impl Hash for System {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Publish,
    DeliverToNode(usize),
    DeliverToPublisher(usize),
    LoseMessageToNode(usize),
    LoseMessageToPublisher(usize),
    Disconnect,
    Connect,
    WriteSucceeds,
    WriteFails,
    NodeCrashes { write_completes: bool },
    PublisherRestarts { loses_counter: bool },
    TrialEnds { passes: bool },
}

/// Removes times and random numbers from a Debug text, as states that differ only in these count as the same state.
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

impl System {
    fn with_key(mut self) -> System {
        self.key.clear();
        let System {
            node,
            publisher,
            stored,
            counter,
            write_in_flight,
            to_node,
            to_publisher,
            remaining,
            ..
        } = &self;
        let parts = (node, publisher, stored, counter, write_in_flight);
        let rest = (
            to_node,
            to_publisher,
            remaining,
            self.connected,
            &self.reported_good,
            &self.reported_failed,
            &self.acknowledged,
        );
        self.key = without_time(&format!("{parts:?}{rest:?}{:?}{:?}", self.digest_in_effect, self.violation));
        self
    }

    fn handle_at_node(&mut self, event: Event) {
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
                            self.reported_good.push(version.digest)
                        }
                        SubscriberMessage::TrialEnded { version, failure: Some(_) } => {
                            self.reported_failed.push(version.digest)
                        }
                        _ => {}
                    }
                    self.to_publisher.push(message);
                }
                Action::Store { ticket, state } => self.write_in_flight = Some((ticket, state)),
                Action::Apply { document, .. } => {
                    self.digest_in_effect = document.map(|document| document.digest());
                    self.handle_at_node(Event::Applied(Ok(())));
                }
                Action::Disconnect => {
                    self.connected = false;
                    self.handle_at_node(Event::Disconnected);
                }
                Action::Connect { .. } | Action::Log(_) => {}
            }
        }
    }

    fn handle_at_publisher(&mut self, event: publisher::Event) {
        let mut actions = Vec::new();
        self.publisher.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                publisher::Action::Send { connection, message }
                    if connection == self.connection && self.connected =>
                {
                    self.to_node.push(message);
                }
                publisher::Action::StoreCounter(counter) => {
                    // The counter is stored before the publisher continues, so that no number is used for two
                    // documents.
                    self.counter = counter;
                    self.handle_at_publisher(publisher::Event::CounterStored(Ok(())));
                }
                _ => {}
            }
        }
    }

    fn connect(&mut self) {
        self.connection += 1;
        self.connected = true;
        (self.to_node, self.to_publisher) = (Vec::new(), Vec::new());
        self.handle_at_publisher(publisher::Event::Connected { connection: self.connection });
        self.handle_at_node(Event::Connected);
    }

    fn disconnect(&mut self) {
        self.connected = false;
        (self.to_node, self.to_publisher) = (Vec::new(), Vec::new());
        self.handle_at_publisher(publisher::Event::Disconnected { connection: self.connection });
    }

    fn restart_node(&mut self) {
        self.write_in_flight = None;
        let (node, actions) = start(self.now, self.stored.clone(), Some(document(0)));
        self.node = node;
        self.perform(actions);
        self.handle_at_node(sampled(100.0, 1.0));
    }

    fn check(&mut self) {
        let local_digest = document(0).digest();
        let is_allowed = match self.node.in_effect() {
            InEffect::Nothing => self.digest_in_effect.is_none(),
            InEffect::LocalDocument => self.digest_in_effect == Some(local_digest),
            // A good version may be known only from the disk, if the node crashed before it could report the version.
            InEffect::Good(version) => {
                let known =
                    self.stored.last_good.as_ref().is_some_and(|good| good.version.digest == version.digest)
                        || self.reported_good.contains(&version.digest);
                known && self.digest_in_effect == Some(version.digest)
            }
            InEffect::OnTrial(version) => {
                self.digest_in_effect == Some(version.digest)
                    && self.stored.on_trial.as_ref().is_some_and(|on_trial| on_trial.version == version)
                    || self.stored.last_good.as_ref().is_some_and(|good| good.version == version)
            }
        };
        if !is_allowed {
            self.violation = Some(format!(
                "the node reports {:?} in effect, but {:?} was applied",
                self.node.in_effect(),
                self.digest_in_effect
            ));
        }
        if !self.reported_good.is_empty() && self.stored.last_good.is_none() {
            self.violation = Some("a version was reported as good, but no good version is stored".into());
        }
    }
}

struct BoundedModel(RemainingEvents);

impl Model for BoundedModel {
    type State = System;
    type Action = Step;

    fn init_states(&self) -> Vec<System> {
        let now = at(1_000_000.0);
        let (node, actions) = start(now, StoredState::default(), Some(document(0)));
        let counter = Counter { lineage: LINEAGE.into(), last: None };
        let publisher = Publisher::new(counter.clone(), Admission::new(1000.0, 1000.0));
        let mut system = System {
            node,
            publisher,
            stored: StoredState::default(),
            counter,
            write_in_flight: None,
            connection: 0,
            connected: false,
            to_node: Vec::new(),
            to_publisher: Vec::new(),
            remaining: self.0,
            now,
            digest_in_effect: None,
            acknowledged: Vec::new(),
            reported_good: Vec::new(),
            reported_failed: Vec::new(),
            violation: None,
            key: String::new(),
        };
        system.perform(actions);
        system.handle_at_node(sampled(100.0, 1.0));
        system.handle_at_publisher(publisher::Event::DocumentChanged(document(1)));
        system.connect();
        vec![system.with_key()]
    }

    fn actions(&self, system: &System, steps: &mut Vec<Step>) {
        let remaining = &system.remaining;
        if remaining.publishes > 0 {
            steps.push(Step::Publish);
        }
        if system.connected {
            steps.extend((0..system.to_node.len()).map(Step::DeliverToNode));
            steps.extend((0..system.to_publisher.len()).map(Step::DeliverToPublisher));
            if remaining.message_losses > 0 {
                steps.extend((0..system.to_node.len()).map(Step::LoseMessageToNode));
                steps.extend((0..system.to_publisher.len()).map(Step::LoseMessageToPublisher));
            }
            if remaining.disconnections > 0 {
                steps.push(Step::Disconnect);
            }
        } else {
            steps.push(Step::Connect);
        }
        if system.write_in_flight.is_some() {
            steps.push(Step::WriteSucceeds);
            if remaining.write_failures > 0 {
                steps.push(Step::WriteFails);
            }
        }
        if remaining.node_crashes > 0 {
            steps.push(Step::NodeCrashes { write_completes: false });
            if system.write_in_flight.is_some() {
                steps.push(Step::NodeCrashes { write_completes: true });
            }
        }
        if remaining.publisher_restarts > 0 {
            steps.extend([false, true].map(|loses_counter| Step::PublisherRestarts { loses_counter }));
        }
        if remaining.trial_ends > 0 && matches!(system.node.in_effect(), InEffect::OnTrial(_)) {
            steps.extend([false, true].map(|passes| Step::TrialEnds { passes }));
        }
    }

    fn next_state(&self, previous: &System, step: Step) -> Option<System> {
        let mut system = previous.clone();
        match step {
            Step::Publish => {
                system.remaining.publishes -= 1;
                let document_number = 1 + self.0.publishes - system.remaining.publishes;
                system.handle_at_publisher(publisher::Event::DocumentChanged(document(document_number)));
            }
            Step::DeliverToNode(index) => {
                let message = system.to_node.remove(index);
                system.handle_at_node(Event::Received(message));
            }
            Step::DeliverToPublisher(index) => {
                let message = system.to_publisher.remove(index);
                let connection = system.connection;
                system.handle_at_publisher(publisher::Event::Received { connection, message });
            }
            Step::LoseMessageToNode(index) => {
                system.remaining.message_losses -= 1;
                system.to_node.remove(index);
            }
            Step::LoseMessageToPublisher(index) => {
                system.remaining.message_losses -= 1;
                system.to_publisher.remove(index);
            }
            Step::Disconnect => {
                system.remaining.disconnections -= 1;
                system.disconnect();
                system.handle_at_node(Event::Disconnected);
            }
            Step::Connect => system.connect(),
            Step::WriteSucceeds => {
                let (ticket, state) = system.write_in_flight.take()?;
                system.stored = state;
                system.handle_at_node(Event::Stored { ticket, result: Ok(()) });
            }
            Step::WriteFails => {
                system.remaining.write_failures -= 1;
                let (ticket, _) = system.write_in_flight.take()?;
                system.handle_at_node(Event::Stored { ticket, result: Err("full".into()) });
                // The longest delay before the write is retried.
                system.now = system.now + Span::from_ms(60_000.0);
                system.handle_at_node(Event::TimerFired);
            }
            Step::NodeCrashes { write_completes } => {
                system.remaining.node_crashes -= 1;
                if let Some((_, state)) = system.write_in_flight.take().filter(|_| write_completes) {
                    system.stored = state;
                }
                system.disconnect();
                system.restart_node();
            }
            Step::PublisherRestarts { loses_counter } => {
                system.remaining.publisher_restarts -= 1;
                system.disconnect();
                if loses_counter {
                    system.counter.last = None;
                }
                system.publisher = Publisher::new(system.counter.clone(), Admission::new(1000.0, 1000.0));
                let document_number = 1 + self.0.publishes - system.remaining.publishes;
                system.handle_at_publisher(publisher::Event::DocumentChanged(document(document_number)));
                system.handle_at_node(Event::Disconnected);
            }
            Step::TrialEnds { passes } => {
                system.remaining.trial_ends -= 1;
                if passes {
                    system.now = system.now + Span::from_ms(1001.0);
                    system.handle_at_node(sampled(0.0, 1.0));
                } else {
                    system.handle_at_node(sampled(100.0, 0.0));
                }
                system.handle_at_node(sampled(100.0, 1.0));
            }
        }
        system.check();
        Some(system.with_key())
    }

    fn properties(&self) -> Vec<Property<BoundedModel>> {
        vec![
            Property::always(
                "the document in effect is the local one, good or stored as on trial",
                |_, system: &System| system.violation.is_none(),
            ),
            Property::sometimes(
                "the version published last becomes good",
                |model: &BoundedModel, system: &System| {
                    let last = document(1 + model.0.publishes).digest();
                    system.reported_good.contains(&last)
                },
            ),
            Property::sometimes("a version fails", |_, system: &System| !system.reported_failed.is_empty()),
        ]
    }
}

fn explore(remaining: RemainingEvents) -> usize {
    let checker = BoundedModel(remaining).checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn in_no_state_a_node_serves_by_a_version_that_is_neither_good_nor_acknowledged() {
    let without_faults = RemainingEvents {
        publishes: 1,
        disconnections: 0,
        message_losses: 0,
        node_crashes: 0,
        publisher_restarts: 0,
        write_failures: 0,
        trial_ends: 2,
    };
    let faults = [
        RemainingEvents { node_crashes: 2, ..without_faults },
        RemainingEvents { node_crashes: 1, disconnections: 1, ..without_faults },
        RemainingEvents { publisher_restarts: 2, ..without_faults },
        RemainingEvents { message_losses: 1, disconnections: 1, publisher_restarts: 1, ..without_faults },
        RemainingEvents { write_failures: 2, node_crashes: 1, ..without_faults },
    ];
    for remaining in faults {
        let states = explore(remaining);
        println!("{remaining:?}: {states} states");
        assert!(states > 100, "only {states} states were explored");
    }
}
