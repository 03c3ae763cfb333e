//! A store on a disk that dies, tears, fails and fills up: what was kept is kept, and changes are made whole or not.

use hazelgrade_store::disk::{Disk, Plan};
use hazelgrade_store::{FORM, Fault, Store};

fn open(disk: &Disk) -> Result<Store, Fault> {
    let disk = disk.clone();
    Store::open_on(move || disk.clone(), "n1")
}

/// Two values that belong together, one of them long enough for several pages.
fn pair(number: u8) -> [Vec<u8>; 2] {
    [vec![number; 10], vec![number; 9000 + 500 * usize::from(number)]]
}

fn keep(store: &mut Store, number: u8) -> Result<(), Fault> {
    let [small, large] = pair(number);
    store.keep(&[("small", Some(&small)), ("large", Some(&large))])
}

/// The number that was kept, if the two belong together.
fn found(store: &mut Store) -> Option<u8> {
    let (small, large) = (store.get("small").expect("a value"), store.get("large").expect("a value"));
    let number = small.as_ref().and_then(|small| small.first().copied());
    match number {
        Some(number) => {
            assert_eq!([small.unwrap_or_default(), large.unwrap_or_default()], pair(number), "a mixture")
        }
        None => assert_eq!(large, None),
    }
    number
}

#[test]
fn a_death_at_each_write_leaves_what_was_kept_or_what_was_being_kept() {
    // A new store is made beside its place and moved there whole; from then on it must live through anything.
    let made = Disk::default();
    drop(open(&made).expect("a new store"));
    let whole = made.after_crash(|| 1.0);
    let mut store = open(&whole).expect("its store");
    (1..=6).for_each(|number| keep(&mut store, number).expect("it is kept"));
    let writes = whole.count();
    drop(store);
    let mut torn = 0;
    for dies_at in 0..writes {
        for seed in 0..8u64 {
            let disk = made.after_crash(|| 1.0);
            disk.plan(Plan { dies_at: Some(dies_at), ..Plan::default() });
            let mut last = None;
            if let Ok(mut store) = open(&disk) {
                last = (1..=6).take_while(|number| keep(&mut store, *number).is_ok()).last();
            }
            let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ dies_at;
            let after = disk.after_crash(|| {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                match seed {
                    0 => 0.0,
                    1 => 1.0,
                    // Whole, lost, or torn somewhere.
                    _ => match state >> 62 {
                        0 => 0.0,
                        1 => 1.0,
                        _ => (state >> 11) as f64 / (1u64 << 53) as f64,
                    },
                }
            });
            torn += u32::from(seed > 1);
            let mut store =
                open(&after).unwrap_or_else(|fault| panic!("death at {dies_at}, {seed}: {fault}"));
            let number = found(&mut store);
            let may = [last, Some(last.map_or(1, |last| last + 1))];
            assert!(may.contains(&number), "death at {dies_at}, {seed}: {number:?} after {last:?}");
            // And it goes on from there.
            keep(&mut store, 9).expect("it is kept");
            assert_eq!(found(&mut store), Some(9));
        }
    }
    assert!(writes > 30 && torn > 100, "{writes} writes, {torn} times torn");
}

#[test]
fn a_disk_that_lies_about_syncs_shows_that_the_test_can_fail() {
    let disk = Disk::default();
    let mut store = open(&disk).expect("a new store");
    keep(&mut store, 1).expect("it is kept");
    disk.plan(Plan { lies: true, ..Plan::default() });
    keep(&mut store, 2).expect("as far as it knows");
    drop(store);
    let mut after = open(&disk.after_crash(|| 0.0)).expect("it is found");
    assert_eq!(found(&mut after), Some(1), "what was said to be kept is lost: only syncs keep it");
}

#[test]
fn a_failed_write_or_a_full_disk_is_told_and_changes_nothing_and_the_store_goes_on_after() {
    let writes = {
        let disk = Disk::default();
        let mut store = open(&disk).expect("a new store");
        disk.plan(Plan::default());
        keep(&mut store, 1).expect("it is kept");
        disk.count()
    };
    for at in 0..writes {
        for full in [false, true] {
            let disk = Disk::default();
            let mut store = open(&disk).expect("a new store");
            keep(&mut store, 1).expect("it is kept");
            let at = Some(at);
            disk.plan(if full {
                Plan { full_at: at, ..Plan::default() }
            } else {
                Plan { fails_at: at, ..Plan::default() }
            });
            let kept = keep(&mut store, 9);
            if full && let Err(fault) = &kept {
                assert_eq!(*fault, Fault::Full);
            }
            disk.plan(Plan::default());
            let number = found(&mut store);
            assert!(
                number == Some(9) || (kept.is_err() && number == Some(1)),
                "{at:?}: {number:?}, {kept:?}"
            );
            keep(&mut store, 2).expect("it goes on");
            assert_eq!(found(&mut store), Some(2));
        }
    }
}

#[test]
fn a_store_of_another_or_that_is_none_is_refused_with_its_reason_and_left_as_it_is() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("store");
    {
        let mut store = Store::open(&path, "n1").expect("a new store");
        keep(&mut store, 1).expect("it is kept");
        assert_eq!(Store::open(&path, "n1").err(), Some(Fault::InUse));
    }
    assert_eq!(Store::open(&path, "n2").err(), Some(Fault::Other { found: "n1".into() }));
    let mut store = Store::open(&path, "n1").expect("its own");
    assert_eq!(found(&mut store), Some(1));
    let long = vec![0; hazelgrade_store::LONGEST_VALUE + 1];
    assert_eq!(store.keep(&[("long", Some(&long))]), Err(Fault::TooLong { bytes: long.len() }));
    store.keep(&[("small", None), ("large", None)]).expect("nothing is kept");
    assert_eq!(found(&mut store), None);
    drop(store);
    let none = folder.path().join("none");
    std::fs::write(&none, b"no store at all, but some text that is long enough to be looked at")
        .expect("a file");
    assert!(Store::open(&none, "n1").is_err());
    assert!(std::fs::read(&none).expect("still there").starts_with(b"no store at all"));
    assert_eq!(FORM, 1, "a new form needs a test that the old one is read");
}
