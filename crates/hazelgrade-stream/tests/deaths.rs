//! A node that crashes at each single write of its store, and starts again from what the disk has then.

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

/// What the node reported before it crashed.
#[derive(Default)]
struct Run {
    good: Vec<Version>,
    /// In effect, on trial.
    acknowledged: Vec<Version>,
}

struct World {
    node: Subscriber,
    store: Store,
    now: Time,
    run: Run,
}

impl World {
    /// None once the disk is dead.
    fn start(disk: &SimulatedDisk) -> Option<World> {
        let storage = disk.clone();
        let mut store = Store::open_on(move || storage.clone(), "n").ok()?;
        let bytes = store.get(stored::store_key(Kind::Serving)).ok()?;
        let stored = bytes.map_or_else(StoredState::default, |bytes| {
            StoredState::decode(Kind::Serving, &bytes).expect("what is stored can be read")
        });
        let now = at(1_000_000.0);
        let (node, first) = start(now, stored, Some(document(0)));
        let mut world = World { node, store, now, run: Run::default() };
        world.perform(first, disk)?;
        world.tell(Event::Connected, disk)?;
        Some(world)
    }

    fn tell(&mut self, event: Event, disk: &SimulatedDisk) -> Option<()> {
        let actions = handle(&mut self.node, self.now, event);
        self.perform(actions, disk)
    }

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
                    self.tell(Event::Stored { ticket, result }, disk)?;
                }
                Action::Apply { .. } => self.tell(Event::Applied(Ok(())), disk)?,
                Action::Send(SubscriberMessage::TrialEnded { version, failure: None }) => {
                    self.run.good.push(version)
                }
                Action::Send(SubscriberMessage::Acknowledged { version, .. }) => {
                    self.run.acknowledged.push(version)
                }
                _ => {}
            }
        }
        Some(())
    }

    /// A good version, one that fails, a good one, and a clean stop in a trial.
    fn play(&mut self, disk: &SimulatedDisk) -> Option<()> {
        for (number, well) in [(1, true), (2, false), (3, true), (4, true)] {
            self.tell(full_offer(number, number, number), disk)?;
            if well {
                self.now = self.now + Span::from_ms(1001.0);
                self.tell(sampled(0.0, 1.0), disk)?;
            } else {
                for _ in 0..4 {
                    self.tell(Event::Sampled(hazelgrade_stream::trial::Sample::default()), disk)?;
                }
            }
            self.tell(sampled(50.0, 1.0), disk)?;
        }
        self.tell(full_offer(9, 5, 5), disk)?;
        self.tell(Event::DrainStarted, disk)
    }
}

#[test]
fn after_a_crash_at_any_write_a_node_starts_by_its_last_good_version() {
    let made = SimulatedDisk::default();
    drop(World::start(&made).expect("a new disk"));
    let whole_run = made.after_crash(|| 1.0);
    let mut world = World::start(&whole_run).expect("a store");
    world.play(&whole_run).expect("nothing dies");
    let (writes, all) = (whole_run.operations(), world.run.good.clone());
    assert_eq!(all.iter().map(|version| version.number).collect::<Vec<_>>(), [1, 3, 4]);
    drop(world);
    let mut kills = 0;
    for dies_at in 0..writes {
        for seed in 0..4 {
            let disk = made.after_crash(|| 1.0);
            disk.set_plan(FaultPlan { crash_at: Some(dies_at), ..FaultPlan::default() });
            let run = match World::start(&disk) {
                Some(mut world) => {
                    let _ = world.play(&disk);
                    world.run
                }
                None => Run::default(),
            };
            kills += 1;
            // Seed 0 loses all that was not synced, seed 1 nothing, the others at random.
            let mut random = MultiplyWithCarry::new(seed * 1000 + dies_at);
            let after = disk.after_crash(|| match seed {
                0 => 0.0,
                1 => 1.0,
                _ => random.next_f64(),
            });
            let world =
                World::start(&after).unwrap_or_else(|| panic!("no start after death at {dies_at}, {seed}"));
            let place = |of: Version| all.iter().position(|version| *version == of);
            match (world.node.in_effect(), run.good.last()) {
                (InEffect::LocalDocument, None) => {}
                (InEffect::Good(version), last) => {
                    // It may have crashed between storing it and reporting it.
                    let least = last.map_or(0, |last| place(*last).expect("one of them") + 1);
                    let now = place(version).expect("a good version") + 1;
                    assert!(
                        (least..=least + 1).contains(&now),
                        "at {dies_at}, {seed}: {version} after {last:?}"
                    );
                }
                (serving, last) => panic!("at {dies_at}, {seed}: {serving:?} after {last:?}"),
            }
        }
    }
    println!("{kills} deaths at {writes} writes, no good version lost");
    assert!(writes > 40, "{writes} writes are fewer than the store makes");
}

#[test]
fn a_failed_write_rejects_the_version_or_is_retried() {
    let writes = {
        let disk = SimulatedDisk::default();
        let mut world = World::start(&disk).expect("a new disk");
        world.play(&disk).expect("nothing dies");
        disk.operations()
    };
    for fails_at in 0..writes {
        let disk = SimulatedDisk::default();
        let Some(mut world) = World::start(&disk) else { panic!("a new disk") };
        disk.set_plan(FaultPlan { fail_at: Some(fails_at), ..FaultPlan::default() });
        world.play(&disk).expect("nothing dies");
        // After the delay the write is retried.
        world.now = world.now + Span::from_ms(60_000.0);
        world.tell(Event::TimerFired, &disk).expect("nothing dies");
        let (serving, good) = (world.node.in_effect(), world.run.good.clone());
        drop(world);
        let again = World::start(&disk.after_crash(|| 1.0)).expect("a start");
        if let Some(last) = good.last() {
            // What was stored late may not have been reported.
            let InEffect::Good(found) = again.node.in_effect() else {
                panic!("{fails_at}: {:?}", again.node.in_effect())
            };
            assert!(
                found.number >= last.number
                    && matches!(serving, InEffect::Good(of) | InEffect::OnTrial(of) if of.number >= found.number),
                "{fails_at}: {found}, {serving:?}"
            );
        }
    }
}

#[test]
fn a_full_disk_leaves_the_last_good_version() {
    for full_at in 0..60 {
        let disk = SimulatedDisk::default();
        let Some(mut world) = World::start(&disk) else { panic!("a new disk") };
        world.tell(full_offer(1, 1, 1), &disk);
        world.now = world.now + Span::from_ms(1001.0);
        world.tell(sampled(0.0, 1.0), &disk);
        assert_eq!(world.node.in_effect(), InEffect::Good(version(1, 1)));
        disk.set_plan(FaultPlan { full_at: Some(full_at), ..FaultPlan::default() });
        let _ = world.play(&disk);
        let said = world.run.good.last().copied().unwrap_or(version(1, 1));
        drop(world);
        let again = World::start(&disk.after_crash(|| 1.0)).expect("a start");
        let InEffect::Good(found) = again.node.in_effect() else { panic!("{:?}", again.node.in_effect()) };
        assert!(found.number >= said.number, "{found} after {said}");
    }
}
