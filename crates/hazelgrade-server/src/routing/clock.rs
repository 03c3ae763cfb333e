//! The clocks of this process, and the age of what bears a time stamp of the Unix clock.
//!
//! All spans (deadlines, windows, waits) are measured by the monotonic clock. The Unix clock may be stepped at any time,
//! by any amount, in both directions. It is read only to tell how old a time stamp is, and whether a signed document is
//! valid. After a step, a stamp is read by the offset between the clocks under which its age is possible: a stamp that
//! was made since the step can't be older than the step.

use hazelgrade::time::{Span, Time};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A change of the offset between the clocks above this is a step. Smaller changes are drift, which is followed.
const MIN_STEP_MS: f64 = 20.0;
/// Longest time between two readings of the monotonic clock, within which the Unix clock is read, in milliseconds. With
/// a longer one the process was suspended in between, and the offset would be wrong.
const MAX_READING_MS: f64 = 5.0;
/// Number of steps that are remembered.
const MAX_STEPS: usize = 8;
/// How far an age may lie outside of what is possible, in milliseconds: stamps are whole milliseconds, and a step is
/// noticed a little later than it happens.
const AGE_TOLERANCE_MS: f64 = 20.0;
/// How far a time stamp may lie in the future, in milliseconds.
const MAX_FUTURE_MS: f64 = 1000.0;

/// A source of time.
type Source = fn() -> Time;

/// The offset of the Unix clock to this process's clock during some time.
#[derive(Clone, Copy, Debug)]
struct UnixOffset {
    /// The Unix clock has had this offset since this time at the earliest; `None` for the time before the first step.
    since: Option<Time>,
    offset_ms: f64,
}

/// The monotonic clock of this process, and its offset to the Unix clock.
///
/// The clock starts with the Unix time at which it is created, and then advances with the monotonic clock of the system.
pub struct Clock {
    monotonic: Source,
    unix: Source,
    monotonic_start: Time,
    unix_start: Time,
    /// Offsets of the Unix clock, the latest last. Never empty.
    offsets: RefCell<VecDeque<UnixOffset>>,
    /// When the offset was last observed.
    observed_at: Cell<Time>,
    /// An injected clock fault; set only in tests.
    fault: Cell<ClockFault>,
}

/// An injected fault: the Unix clock is off, and both clocks run at a wrong rate.
#[derive(Clone, Copy)]
struct ClockFault {
    offset_ms: f64,
    rate: f64,
}

fn monotonic() -> Time {
    static START: OnceLock<Instant> = OnceLock::new();
    Time::from_ms(START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0)
}

fn unix() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time::from_ms(since.as_secs_f64() * 1000.0)
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new(monotonic, unix)
    }
}

impl Clock {
    /// Creates a clock from these sources.
    pub fn new(monotonic: Source, unix: Source) -> Clock {
        let unix_start = unix();
        let first = UnixOffset { since: None, offset_ms: 0.0 };
        Clock {
            monotonic,
            unix,
            monotonic_start: monotonic(),
            unix_start,
            offsets: RefCell::new(VecDeque::from([first])),
            observed_at: Cell::new(unix_start),
            fault: Cell::new(ClockFault { offset_ms: 0.0, rate: 1.0 }),
        }
    }

    /// Injects a clock fault in tests: the Unix clock is off by `offset_ms` milliseconds, and both clocks run `rate` times
    /// as fast.
    pub fn skew(&self, offset_ms: f64, rate: f64) {
        self.fault.set(ClockFault { offset_ms, rate });
    }

    /// Returns the current time. It never goes backwards and is not affected by steps of the Unix clock.
    pub fn now(&self) -> Time {
        let elapsed = (self.monotonic)().since(self.monotonic_start);
        self.unix_start + elapsed * self.fault.get().rate
    }

    /// Returns how far the Unix clock is ahead of this clock, in milliseconds; negative if it is behind.
    pub fn unix_offset_ms(&self) -> f64 {
        self.observe();
        self.offsets.borrow().back().map_or(0.0, |latest| latest.offset_ms)
    }

    /// Returns the time of a past event that bears a time stamp of the Unix clock; `None` if the stamp lies in the future.
    pub fn time_of_stamp(&self, unix_stamp: Time) -> Option<Time> {
        self.observe();
        let now = self.now();
        let offsets = self.offsets.borrow();
        let age_ms = |offset: &UnixOffset| now.as_ms() + offset.offset_ms - unix_stamp.as_ms();
        let is_possible = |offset: &&UnixOffset| {
            let max_age_ms = offset.since.map_or(f64::INFINITY, |since| now.since(since).as_ms());
            (-AGE_TOLERANCE_MS..=max_age_ms + AGE_TOLERANCE_MS).contains(&age_ms(offset))
        };
        let possible = offsets.iter().rev().find(is_possible).map(age_ms);
        let nearly_now =
            || offsets.back().map(age_ms).filter(|age_ms| (-MAX_FUTURE_MS..0.0).contains(age_ms));
        possible.or_else(nearly_now).map(|age_ms| now - Span::from_ms(age_ms))
    }

    /// Observes the offset of the Unix clock, and records a step. The more often this is called, the more exactly the time
    /// of a step is known.
    pub fn observe(&self) {
        let before = self.now();
        let unix = self.read_unix();
        let now = self.now();
        if now.since(before) > Span::from_ms(MAX_READING_MS) {
            return;
        }
        let offset_ms = unix - now.as_ms();
        let observed_at = self.observed_at.replace(now);
        let mut offsets = self.offsets.borrow_mut();
        let Some(latest) = offsets.back_mut() else { return };
        let change_ms = offset_ms - latest.offset_ms;
        if change_ms.abs() <= MIN_STEP_MS {
            latest.offset_ms = offset_ms;
            return;
        }
        tracing::info!(
            step_ms = change_ms.round(),
            "Unix clock was stepped; deadlines and windows are not affected"
        );
        offsets.push_back(UnixOffset { since: Some(observed_at), offset_ms });
        if offsets.len() > MAX_STEPS {
            offsets.pop_front();
        }
    }

    /// Returns the time of the Unix clock with the injected fault applied, in milliseconds.
    fn read_unix(&self) -> f64 {
        let ClockFault { offset_ms, rate } = self.fault.get();
        let unix_start_ms = self.unix_start.as_ms();
        unix_start_ms + ((self.unix)().as_ms() - unix_start_ms) * rate + offset_ms
    }
}
