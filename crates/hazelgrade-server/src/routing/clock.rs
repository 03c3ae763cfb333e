//! The controller's clock: follows the Unix clock, but never goes backwards.

use hazelgrade::time::{Span, Time};
use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

/// A monotonic clock that follows the Unix clock.
pub struct Clock {
    last: Cell<Time>,
    /// By how much the Unix clock was set back since the start.
    offset: Cell<Span>,
    unix: fn() -> Time,
    /// Set by fault injection in tests only.
    skew: Cell<Option<Skew>>,
}

/// A Unix clock that is wrong.
#[derive(Clone, Copy)]
struct Skew {
    since: Time,
    offset_ms: f64,
    rate: f64,
}

fn unix() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time::from_ms(since.as_secs_f64() * 1000.0)
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new(unix)
    }
}

impl Clock {
    /// A clock that follows `unix`.
    pub fn new(unix: fn() -> Time) -> Clock {
        Clock { last: Cell::new(unix()), offset: Cell::default(), unix, skew: Cell::default() }
    }

    /// For tests: from now on the Unix clock is off by `offset_ms` milliseconds and runs `rate` times as fast.
    pub fn skew(&self, offset_ms: f64, rate: f64) {
        self.skew.set(Some(Skew { since: (self.unix)(), offset_ms, rate }));
    }

    /// The Unix clock, with the skew applied.
    fn read(&self) -> Time {
        let unix = (self.unix)();
        self.skew.get().map_or(unix, |Skew { since, offset_ms, rate }| {
            Time::from_ms(since.as_ms() + (unix.as_ms() - since.as_ms()) * rate + offset_ms)
        })
    }

    /// The time now. When the Unix clock is set back, this clock continues from its last time. Otherwise jobs in flight
    /// would appear younger than they are.
    pub fn now(&self) -> Time {
        let now = self.read() + self.offset.get();
        self.offset.set(self.offset.get() + self.last.get().since(now));
        self.last.set(self.last.get().max(now));
        self.last.get()
    }

    /// Converts a time of the Unix clock at which something has happened; never later than now.
    pub fn to_monotonic(&self, unix: Time) -> Time {
        (unix + self.offset.get()).min(self.now())
    }
}
