//! Tests of a node that crashes, fails a write or finds its disk full at each operation of its store, and restarts from
//! what the disk then holds.

#![allow(clippy::expect_used)]

mod common;

use common::*;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::{Kind, Version};
use hazelgrade_store::Store;
use hazelgrade_store::simulated_disk::{FaultPlan, SimulatedDisk};
use hazelgrade_stream::protocol::SubscriberMessage;
use hazelgrade_stream::stored::{self, StoredState};
use hazelgrade_stream::subscriber::{Action, Event, InEffect, Subscriber};

/// The versions that the node reported before it crashed.
#[derive(Default)]
struct Reported {
    /// Versions whose trial was reported as passed.
    good: Vec<Version>,
    /// Versions that were reported as in effect, on trial.
    acknowledged: Vec<Version>,
}

/// A subscriber with a store on a simulated disk.
struct SimulatedNode {
    subscriber: Subscriber,
    store: Store,
    now: Time,
    reported: Reported,
}

impl SimulatedNode {
    /// Starts the node and connects it. Returns `None` if the store can't be opened or the disk crashes.
    fn start(disk: &SimulatedDisk) -> Option<SimulatedNode> {
        let storage = disk.clone();
        let mut store = Store::open_on(move || storage.clone(), "n").ok()?;
        let bytes = store.get(stored::store_key(Kind::Serving)).ok()?;
        let stored = bytes.map_or_else(StoredState::default, |bytes| {
            StoredState::decode(Kind::Serving, &bytes).expect("the stored state should be readable")
        });
        let now = at(1_000_000.0);
        let (subscriber, initial_actions) = start(now, stored, Some(document(0)));
        let mut node = SimulatedNode { subscriber, store, now, reported: Reported::default() };
        node.perform(initial_actions, disk)?;
        node.handle_event(Event::Connected, disk)?;
        Some(node)
    }

    /// Passes an event to the subscriber and performs the resulting actions. Returns `None` if the disk crashed.
    fn handle_event(&mut self, event: Event, disk: &SimulatedDisk) -> Option<()> {
        let actions = handle(&mut self.subscriber, self.now, event);
        self.perform(actions, disk)
    }

    /// Performs actions and records the reports among them. Returns `None` if the disk crashed.
    fn perform(&mut self, actions: Vec<Action>, disk: &SimulatedDisk) -> Option<()> {
        for action in actions {
            match action {
                Action::Store { ticket, state } => {
                    let written =
                        self.store.commit(&[(stored::store_key(Kind::Serving), Some(&state.encode()))]);
                    if disk.has_crashed() {
                        return None;
                    }
                    let result = written.map_err(|error| error.to_string());
                    self.handle_event(Event::Stored { ticket, result }, disk)?;
                }
                Action::Apply { .. } => self.handle_event(Event::Applied(Ok(())), disk)?,
                Action::Send(SubscriberMessage::TrialEnded { version, failure: None }) => {
                    self.reported.good.push(version)
                }
                Action::Send(SubscriberMessage::Acknowledged { version, .. }) => {
                    self.reported.acknowledged.push(version)
                }
                _ => {}
            }
        }
        Some(())
    }

    /// Offers a good version, a failing version, two good versions, and a version whose trial is interrupted by a
    /// drain. Returns `None` if the disk crashed.
    fn run_scenario(&mut self, disk: &SimulatedDisk) -> Option<()> {
        for (number, passes) in [(1, true), (2, false), (3, true), (4, true)] {
            self.handle_event(full_offer(number, number, number), disk)?;
            if passes {
                self.now = self.now + Span::from_ms(1001.0);
                self.handle_event(sampled(0.0, 1.0), disk)?;
            } else {
                for _ in 0..4 {
                    self.handle_event(Event::Sampled(hazelgrade_stream::trial::Sample::default()), disk)?;
                }
            }
            self.handle_event(sampled(50.0, 1.0), disk)?;
        }
        self.handle_event(full_offer(9, 5, 5), disk)?;
        self.handle_event(Event::DrainStarted, disk)
    }
}

#[test]
fn a_node_restarts_with_its_last_good_version_after_a_crash_at_any_disk_operation() {
    let initial_disk = SimulatedDisk::default();
    drop(SimulatedNode::start(&initial_disk).expect("a node should start on a new disk"));
    let complete_disk = initial_disk.after_crash(|| 1.0);
    let mut node = SimulatedNode::start(&complete_disk).expect("the store should open");
    node.run_scenario(&complete_disk).expect("the disk should not crash");
    let (operations, good_versions) = (complete_disk.operations(), node.reported.good.clone());
    assert_eq!(good_versions.iter().map(|version| version.number).collect::<Vec<_>>(), [1, 3, 4]);
    drop(node);
    let mut crashes = 0;
    for crash_at in 0..operations {
        for seed in 0..4 {
            let disk = initial_disk.after_crash(|| 1.0);
            disk.set_plan(FaultPlan { crash_at: Some(crash_at), ..FaultPlan::default() });
            let reported = match SimulatedNode::start(&disk) {
                Some(mut node) => {
                    let _ = node.run_scenario(&disk);
                    node.reported
                }
                None => Reported::default(),
            };
            crashes += 1;
            // With seed 0 the crash loses all unsynced changes, with seed 1 none, with the other seeds a
            // random part of each.
            let mut random = MultiplyWithCarry::new(seed * 1000 + crash_at);
            let disk_after_crash = disk.after_crash(|| match seed {
                0 => 0.0,
                1 => 1.0,
                _ => random.next_f64(),
            });
            let node = SimulatedNode::start(&disk_after_crash)
                .unwrap_or_else(|| panic!("no start after a crash at operation {crash_at}, seed {seed}"));
            let position = |of: Version| good_versions.iter().position(|version| *version == of);
            match (node.subscriber.in_effect(), reported.good.last()) {
                (InEffect::LocalDocument, None) => {}
                (InEffect::Good(version), last) => {
                    // The node may have crashed after it stored a version as good and before it reported the version.
                    let reported_count =
                        last.map_or(0, |last| position(*last).expect("the version should be a good one") + 1);
                    let stored_count = position(version).expect("the version should be a good one") + 1;
                    assert!(
                        (reported_count..=reported_count + 1).contains(&stored_count),
                        "operation {crash_at}, seed {seed}: {version} is in effect, {last:?} was reported"
                    );
                }
                (in_effect, last) => {
                    panic!("operation {crash_at}, seed {seed}: {in_effect:?}, {last:?} was reported")
                }
            }
        }
    }
    println!("{crashes} crashes at {operations} disk operations, no good version lost");
    assert!(operations > 40, "the scenario made only {operations} disk operations");
}

#[test]
fn a_failed_write_rejects_the_version_or_is_retried() {
    let operations = {
        let disk = SimulatedDisk::default();
        let mut node = SimulatedNode::start(&disk).expect("a node should start on a new disk");
        node.run_scenario(&disk).expect("the disk should not crash");
        disk.operations()
    };
    for fail_at in 0..operations {
        let disk = SimulatedDisk::default();
        let Some(mut node) = SimulatedNode::start(&disk) else { panic!("a node should start on a new disk") };
        disk.set_plan(FaultPlan { fail_at: Some(fail_at), ..FaultPlan::default() });
        node.run_scenario(&disk).expect("the disk should not crash");
        // A minute later the retry of the failed write is due.
        node.now = node.now + Span::from_ms(60_000.0);
        node.handle_event(Event::TimerFired, &disk).expect("the disk should not crash");
        let (in_effect, good) = (node.subscriber.in_effect(), node.reported.good.clone());
        drop(node);
        let restarted = SimulatedNode::start(&disk.after_crash(|| 1.0)).expect("the node should restart");
        if let Some(last) = good.last() {
            // A version that was stored late may not have been reported.
            let InEffect::Good(found) = restarted.subscriber.in_effect() else {
                panic!("operation {fail_at}: {:?}", restarted.subscriber.in_effect())
            };
            assert!(
                found.number >= last.number
                    && matches!(
                        in_effect,
                        InEffect::Good(of) | InEffect::OnTrial(of) if of.number >= found.number
                    ),
                "operation {fail_at}: {found} after the restart, {in_effect:?} before"
            );
        }
    }
}

#[test]
fn a_full_disk_preserves_the_last_good_version() {
    for full_at in 0..60 {
        let disk = SimulatedDisk::default();
        let Some(mut node) = SimulatedNode::start(&disk) else { panic!("a node should start on a new disk") };
        node.handle_event(full_offer(1, 1, 1), &disk);
        node.now = node.now + Span::from_ms(1001.0);
        node.handle_event(sampled(0.0, 1.0), &disk);
        assert_eq!(node.subscriber.in_effect(), InEffect::Good(version(1, 1)));
        disk.set_plan(FaultPlan { full_at: Some(full_at), ..FaultPlan::default() });
        let _ = node.run_scenario(&disk);
        let last_reported = node.reported.good.last().copied().unwrap_or(version(1, 1));
        drop(node);
        let restarted = SimulatedNode::start(&disk.after_crash(|| 1.0)).expect("the node should restart");
        let InEffect::Good(found) = restarted.subscriber.in_effect() else {
            panic!("{:?}", restarted.subscriber.in_effect())
        };
        assert!(
            found.number >= last_reported.number,
            "{found} is in effect after the restart, {last_reported} was reported"
        );
    }
}
