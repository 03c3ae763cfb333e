//! The controller's clock. The clock follows the Unix clock but never goes backwards.

use hazelgrade::time::{Span, Time};
use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

/// A monotonic clock that follows the Unix clock.
pub struct Clock {
    last: Cell<Time>,
    /// Sum of all steps by which the Unix clock was set back since the start.
    offset: Cell<Span>,
    unix: fn() -> Time,
    /// An injected clock fault; set only in tests.
    fault: Cell<Option<ClockFault>>,
}

/// An injected fault of the Unix clock: an offset and a wrong rate.
#[derive(Clone, Copy)]
struct ClockFault {
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
    /// Creates a clock that follows `unix`.
    pub fn new(unix: fn() -> Time) -> Clock {
        Clock { last: Cell::new(unix()), offset: Cell::default(), unix, fault: Cell::default() }
    }

    /// Injects a clock fault in tests: from now on the Unix clock appears to be off by `offset_ms` milliseconds and to
    /// run `rate` times as fast.
    pub fn skew(&self, offset_ms: f64, rate: f64) {
        self.fault.set(Some(ClockFault { since: (self.unix)(), offset_ms, rate }));
    }

    /// Returns the time of the Unix clock, with the injected fault applied.
    fn read(&self) -> Time {
        let unix = (self.unix)();
        self.fault.get().map_or(unix, |ClockFault { since, offset_ms, rate }| {
            Time::from_ms(since.as_ms() + (unix.as_ms() - since.as_ms()) * rate + offset_ms)
        })
    }

    /// Returns the current time. When the Unix clock is set back, this clock continues from the last time that it
    /// returned: otherwise jobs in flight would appear younger than they are.
    pub fn now(&self) -> Time {
        let now = self.read() + self.offset.get();
        self.offset.set(self.offset.get() + self.last.get().since(now));
        self.last.set(self.last.get().max(now));
        self.last.get()
    }

    /// Converts the Unix time of a past event to this clock. The result is never later than the current time.
    pub fn to_monotonic(&self, unix: Time) -> Time {
        (unix + self.offset.get()).min(self.now())
    }
}
