//! Steps of the Unix clock, forward and back, by fractions of a second and by an hour.

use hazelgrade::time::{Span, Time};
use hazelgrade_server::routing::clock::Clock;
use std::cell::Cell;

const HOUR_MS: f64 = 3_600_000.0;

thread_local! {
    static MONOTONIC: Cell<f64> = const { Cell::new(0.0) };
    static UNIX: Cell<f64> = const { Cell::new(1e12) };
}

fn clock() -> Clock {
    Clock::new(|| Time::from_ms(MONOTONIC.get()), || Time::from_ms(UNIX.get()))
}

/// Lets real time pass.
fn advance(ms: f64) {
    MONOTONIC.set(MONOTONIC.get() + ms);
    UNIX.set(UNIX.get() + ms);
}

fn step(ms: f64) {
    UNIX.set(UNIX.get() + ms);
}

/// Returns the age of a time stamp by the clock, in milliseconds.
fn age_ms(clock: &Clock, stamp: f64) -> Option<f64> {
    clock.time_of_stamp(Time::from_ms(stamp)).map(|time| clock.now().since(time).as_ms())
}

/// Guards against deadlines, windows and waits that jump with the Unix clock: jobs in flight ended early, and keyed jobs
/// ran twice inside their window.
#[test]
fn a_step_of_the_unix_clock_changes_no_span() {
    let clock = clock();
    let start = clock.now();
    for step_ms in [HOUR_MS, -2.0 * HOUR_MS, 20_000.0, -500.0, 30.0] {
        step(step_ms);
        advance(100.0);
        assert_eq!(age_ms(&clock, UNIX.get()), Some(0.0));
    }
    assert_eq!(clock.now().since(start), Span::from_ms(500.0));
}

/// Guards against taking a stamp of before a step for too old or too new, and a stamp of after it for one of before.
#[test]
fn stamps_of_before_and_after_a_step_have_their_true_age() {
    for step_ms in [HOUR_MS, -HOUR_MS, 20_000.0, -20_000.0, 700.0, -700.0] {
        let clock = clock();
        advance(10_000.0);
        assert_eq!(age_ms(&clock, UNIX.get() - 40.0), Some(40.0));
        let before = UNIX.get();
        advance(5.0);
        step(step_ms);
        advance(20.0);
        assert_eq!(age_ms(&clock, before), Some(25.0), "step of {step_ms} ms, stamp of before");
        let after = UNIX.get();
        advance(60.0);
        assert_eq!(age_ms(&clock, after), Some(60.0), "step of {step_ms} ms, stamp of after");
        // Back again: stamps of all three times are told apart.
        step(-step_ms);
        advance(10.0);
        assert_eq!(age_ms(&clock, after), Some(70.0), "step back, stamp of between");
        assert_eq!(age_ms(&clock, UNIX.get() - 3.0), Some(3.0), "step back, stamp of after");
    }
}

/// Guards against stamps of a clock that is off by a known step and was never set right, such as on a machine whose
/// clock was set after the process had started.
#[test]
fn a_stamp_by_a_clock_that_was_not_stepped_keeps_its_age() {
    let clock = clock();
    let stamp_offset = UNIX.get() - MONOTONIC.get();
    step(-HOUR_MS);
    for _ in 0..50 {
        advance(1000.0);
        assert_eq!(age_ms(&clock, stamp_offset + MONOTONIC.get() - 15.0), Some(15.0));
    }
}

/// Guards against a stamp of the future that is taken for one of now, beyond the tolerated second.
#[test]
fn a_stamp_in_the_future_has_no_age() {
    let clock = clock();
    assert_eq!(age_ms(&clock, UNIX.get() + 900.0), Some(0.0));
    assert_eq!(age_ms(&clock, UNIX.get() + 60_000.0), None);
    // Drift is followed: a stamp stays readable after a slow change by more than a second.
    for _ in 0..200 {
        advance(1000.0);
        step(10.0);
        assert_eq!(age_ms(&clock, UNIX.get() - 8.0), Some(8.0));
    }
}
