//! A node that dies at each single write of its store, and starts again from what the disk has then.

mod common;

use common::*;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::{Kind, Version};
use hazelgrade_store::Store;
use hazelgrade_store::simulated_disk::{FaultPlan, SimulatedDisk};
use hazelgrade_stream::kept::{self, Kept};
use hazelgrade_stream::protocol::Said;
use hazelgrade_stream::subscriber::{Action, Event, Serving, Subscriber};

/// What the node said before it died.
#[derive(Default)]
struct Run {
    good: Vec<Version>,
    /// Kept as on trial when it died, as far as the store said.
    acknowledged: Vec<Version>,
}

struct World {
    node: Subscriber,
    store: Store,
    now: Time,
    run: Run,
}

impl World {
    /// `None` once the disk is dead.
    fn start(disk: &SimulatedDisk) -> Option<World> {
        let storage = disk.clone();
        let mut store = Store::open_on(move || storage.clone(), "n").ok()?;
        let kept = store.get(kept::name(Kind::Serving)).ok()?;
        let kept = kept.map_or_else(Kept::default, |kept| {
            Kept::decode(Kind::Serving, &kept).expect("what is kept can be read")
        });
        let now = at(1_000_000.0);
        let (node, first) = start(now, kept, Some(document(0)));
        let mut world = World { node, store, now, run: Run::default() };
        world.carry_out(first, disk)?;
        world.tell(Event::Up, disk)?;
        Some(world)
    }

    fn tell(&mut self, event: Event, disk: &SimulatedDisk) -> Option<()> {
        let actions = take(&mut self.node, self.now, event);
        self.carry_out(actions, disk)
    }

    fn carry_out(&mut self, actions: Vec<Action>, disk: &SimulatedDisk) -> Option<()> {
        for action in actions {
            match action {
                Action::Keep { ticket, kept } => {
                    let done = self.store.commit(&[(kept::name(Kind::Serving), Some(&kept.encode()))]);
                    if disk.has_crashed() {
                        return None;
                    }
                    let done = done.map_err(|fault| fault.to_string());
                    self.tell(Event::Stored { ticket, done }, disk)?;
                }
                Action::TakeEffect { .. } => self.tell(Event::TookEffect(Ok(())), disk)?,
                Action::Say(Said::Settled { version, failed: None }) => self.run.good.push(version),
                Action::Say(Said::Acknowledged { version, .. }) => self.run.acknowledged.push(version),
                _ => {}
            }
        }
        Some(())
    }

    /// A good version, one that fails, a good one, and a clean stop in a trial.
    fn play(&mut self, disk: &SimulatedDisk) -> Option<()> {
        for (number, well) in [(1, true), (2, false), (3, true), (4, true)] {
            self.tell(whole(number, number, number), disk)?;
            if well {
                self.now = self.now + Span::from_ms(1001.0);
                self.tell(served(0.0, 1.0), disk)?;
            } else {
                for _ in 0..4 {
                    self.tell(Event::Served(hazelgrade_stream::trial::Sample::default()), disk)?;
                }
            }
            self.tell(served(50.0, 1.0), disk)?;
        }
        self.tell(whole(9, 5, 5), disk)?;
        self.tell(Event::Leaving, disk)
    }
}

#[test]
fn wherever_it_dies_it_starts_by_the_last_good_version_and_knows_what_was_on_trial() {
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
            // Seed 0 loses all that was not synced, seed 1 nothing, the others as chance has it.
            let mut chance = MultiplyWithCarry::new(seed * 1000 + dies_at);
            let after = disk.after_crash(|| match seed {
                0 => 0.0,
                1 => 1.0,
                _ => chance.next_f64(),
            });
            let world =
                World::start(&after).unwrap_or_else(|| panic!("no start after death at {dies_at}, {seed}"));
            let place = |of: Version| all.iter().position(|version| *version == of);
            match (world.node.serving(), run.good.last()) {
                (Serving::File, None) => {}
                (Serving::Good(version), last) => {
                    // It may have died between keeping it and saying so.
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
fn a_write_that_fails_at_any_point_turns_the_version_down_or_is_made_up_for() {
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
        // After a pause what could not be kept is kept.
        world.now = world.now + Span::from_ms(60_000.0);
        world.tell(Event::Woke, &disk).expect("nothing dies");
        let (serving, good) = (world.node.serving(), world.run.good.clone());
        drop(world);
        let again = World::start(&disk.after_crash(|| 1.0)).expect("a start");
        if let Some(last) = good.last() {
            // What was kept late may not have been said.
            let Serving::Good(found) = again.node.serving() else {
                panic!("{fails_at}: {:?}", again.node.serving())
            };
            assert!(
                found.number >= last.number
                    && matches!(serving, Serving::Good(of) | Serving::OnTrial(of) if of.number >= found.number),
                "{fails_at}: {found}, {serving:?}"
            );
        }
    }
}

#[test]
fn on_a_disk_that_fills_up_the_last_good_version_stays() {
    for full_at in 0..60 {
        let disk = SimulatedDisk::default();
        let Some(mut world) = World::start(&disk) else { panic!("a new disk") };
        world.tell(whole(1, 1, 1), &disk);
        world.now = world.now + Span::from_ms(1001.0);
        world.tell(served(0.0, 1.0), &disk);
        assert_eq!(world.node.serving(), Serving::Good(version(1, 1)));
        disk.set_plan(FaultPlan { full_at: Some(full_at), ..FaultPlan::default() });
        let _ = world.play(&disk);
        let said = world.run.good.last().copied().unwrap_or(version(1, 1));
        drop(world);
        let again = World::start(&disk.after_crash(|| 1.0)).expect("a start");
        let Serving::Good(found) = again.node.serving() else { panic!("{:?}", again.node.serving()) };
        assert!(found.number >= said.number, "{found} after {said}");
    }
}
