//! Slots of names that come and go.

use hazelgrade::time::{Span, Time};
use hazelgrade_settings::slots::{NameRequest, SlotName, Slots};

fn at(ms: f64) -> Time {
    Time::from_ms(ms)
}

fn requests<'a>(names: &[&'a str]) -> Vec<NameRequest<'a>> {
    names.iter().map(|&name| NameRequest { name, quarantine: Span::from_ms(100.0) }).collect()
}

#[test]
fn a_name_keeps_its_slot_and_a_removed_one_keeps_it_until_nothing_can_refer_to_it() {
    let idle = |_| false;
    let first = Slots::default().assign(at(0.0), &requests(&["a", "b"]), 3, idle).expect("room");
    assert_eq!((first.slot_of_name.as_slice(), first.reused.as_slice()), ([0, 1].as_slice(), [].as_slice()));
    let second = first.slots.assign(at(10.0), &requests(&["b", "c"]), 3, idle).expect("room");
    assert_eq!(second.slot_of_name, [1, 2]);
    assert_eq!(second.slots.name(0), Some(SlotName { name: "a", in_use: false }));
    // All slots are in use or in quarantine.
    assert!(second.slots.assign(at(20.0), &requests(&["b", "c", "d"]), 3, idle).is_err());
    // Back in time, it has its slot again; no slot has another name.
    let back = second.slots.assign(at(50.0), &requests(&["a", "b"]), 3, idle).expect("room");
    assert_eq!((back.slot_of_name, back.reused), (vec![0, 1], vec![]));
    // After the quarantine, but a job in flight refers to it.
    assert!(second.slots.assign(at(200.0), &requests(&["b", "c", "d"]), 3, |slot| slot == 0).is_err());
    let reused = second.slots.assign(at(200.0), &requests(&["b", "c", "d"]), 3, idle).expect("room");
    assert_eq!((reused.slot_of_name, reused.reused), (vec![1, 2, 0], vec![0]));
}

#[test]
fn the_error_says_how_many_slots_are_needed() {
    let error = Slots::default().assign(at(0.0), &requests(&["a", "b"]), 1, |_| false).expect_err("no room");
    assert_eq!(
        error.to_string(),
        "2 places are needed, there are 1; names that were taken away and may still be named take up room: try again later"
    );
}
