//! A store on a disk that crashes, tears writes, fails and fills up: what was committed stays, and commits are atomic.

#![allow(clippy::expect_used)]

use hazelgrade_store::simulated_disk::{FaultPlan, SimulatedDisk};
use hazelgrade_store::{FORMAT_VERSION, Store, StoreError};

fn open(disk: &SimulatedDisk) -> Result<Store, StoreError> {
    let disk = disk.clone();
    Store::open_on(move || disk.clone(), "n1")
}

/// Two values that belong together, one of them long enough for several pages.
fn pair(number: u8) -> [Vec<u8>; 2] {
    [vec![number; 10], vec![number; 9000 + 500 * usize::from(number)]]
}

fn commit_pair(store: &mut Store, number: u8) -> Result<(), StoreError> {
    let [small, large] = pair(number);
    store.commit(&[("small", Some(&small)), ("large", Some(&large))])
}

/// The number that was committed; fails if the two values do not belong together.
fn committed_number(store: &mut Store) -> Option<u8> {
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
fn a_crash_at_each_operation_leaves_the_values_from_before_or_after_a_commit() {
    // A new store is made beside its place and renamed; from then on it must survive any crash.
    let made = SimulatedDisk::default();
    drop(open(&made).expect("a new store"));
    let complete = made.after_crash(|| 1.0);
    let mut store = open(&complete).expect("its store");
    (1..=6).for_each(|number| commit_pair(&mut store, number).expect("it is committed"));
    let writes = complete.operations();
    drop(store);
    let mut torn = 0;
    for crash_at in 0..writes {
        for seed in 0..8u64 {
            let disk = made.after_crash(|| 1.0);
            disk.set_plan(FaultPlan { crash_at: Some(crash_at), ..FaultPlan::default() });
            let mut last = None;
            if let Ok(mut store) = open(&disk) {
                last = (1..=6).take_while(|number| commit_pair(&mut store, *number).is_ok()).last();
            }
            let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ crash_at;
            let after = disk.after_crash(|| {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                match seed {
                    0 => 0.0,
                    1 => 1.0,
                    // Complete, lost, or torn somewhere.
                    _ => match state >> 62 {
                        0 => 0.0,
                        1 => 1.0,
                        _ => (state >> 11) as f64 / (1u64 << 53) as f64,
                    },
                }
            });
            torn += u32::from(seed > 1);
            let mut store =
                open(&after).unwrap_or_else(|error| panic!("crash at {crash_at}, {seed}: {error}"));
            let number = committed_number(&mut store);
            let may = [last, Some(last.map_or(1, |last| last + 1))];
            assert!(may.contains(&number), "crash at {crash_at}, {seed}: {number:?} after {last:?}");
            // And it goes on from there.
            commit_pair(&mut store, 9).expect("it is committed");
            assert_eq!(committed_number(&mut store), Some(9));
        }
    }
    assert!(writes > 30 && torn > 100, "{writes} writes, {torn} times torn");
}

#[test]
fn a_disk_that_ignores_syncs_loses_a_commit_so_the_crash_test_can_fail() {
    let disk = SimulatedDisk::default();
    let mut store = open(&disk).expect("a new store");
    commit_pair(&mut store, 1).expect("it is committed");
    disk.set_plan(FaultPlan { ignore_syncs: true, ..FaultPlan::default() });
    commit_pair(&mut store, 2).expect("as far as it knows");
    drop(store);
    let mut after = open(&disk.after_crash(|| 0.0)).expect("it is found");
    assert_eq!(
        committed_number(&mut after),
        Some(1),
        "what was reported as committed is lost: only syncs keep it"
    );
}

#[test]
fn a_failed_write_or_a_full_disk_is_an_error_that_changes_nothing_and_the_store_works_after_it() {
    let writes = {
        let disk = SimulatedDisk::default();
        let mut store = open(&disk).expect("a new store");
        disk.set_plan(FaultPlan::default());
        commit_pair(&mut store, 1).expect("it is committed");
        disk.operations()
    };
    for at in 0..writes {
        for full in [false, true] {
            let disk = SimulatedDisk::default();
            let mut store = open(&disk).expect("a new store");
            commit_pair(&mut store, 1).expect("it is committed");
            let at = Some(at);
            disk.set_plan(if full {
                FaultPlan { full_at: at, ..FaultPlan::default() }
            } else {
                FaultPlan { fail_at: at, ..FaultPlan::default() }
            });
            let committed = commit_pair(&mut store, 9);
            if full && let Err(error) = &committed {
                assert_eq!(*error, StoreError::DiskFull);
            }
            disk.set_plan(FaultPlan::default());
            let number = committed_number(&mut store);
            assert!(
                number == Some(9) || (committed.is_err() && number == Some(1)),
                "{at:?}: {number:?}, {committed:?}"
            );
            commit_pair(&mut store, 2).expect("it goes on");
            assert_eq!(committed_number(&mut store), Some(2));
        }
    }
}

#[test]
fn a_store_of_another_owner_or_a_file_that_is_none_is_an_error_and_stays_as_it_is() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("store");
    {
        let mut store = Store::open(&path, "n1").expect("a new store");
        commit_pair(&mut store, 1).expect("it is committed");
        assert_eq!(Store::open(&path, "n1").err(), Some(StoreError::InUse));
    }
    assert_eq!(Store::open(&path, "n2").err(), Some(StoreError::OtherOwner { found: "n1".into() }));
    let mut store = Store::open(&path, "n1").expect("its own");
    assert_eq!(committed_number(&mut store), Some(1));
    let long = vec![0; hazelgrade_store::MAX_VALUE_BYTES + 1];
    assert_eq!(store.commit(&[("long", Some(&long))]), Err(StoreError::ValueTooLong { bytes: long.len() }));
    store.commit(&[("small", None), ("large", None)]).expect("they are removed");
    assert_eq!(committed_number(&mut store), None);
    drop(store);
    let none = folder.path().join("none");
    std::fs::write(&none, b"no store at all, but some text that is long enough to be looked at")
        .expect("a file");
    assert!(Store::open(&none, "n1").is_err());
    assert!(std::fs::read(&none).expect("still there").starts_with(b"no store at all"));
    assert_eq!(FORMAT_VERSION, 1, "a new form needs a test that the old one is read");
}
