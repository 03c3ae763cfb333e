//! The clock that the module goes by: the Unix clock, but never backwards.

use hazelgrade::time::{Span, Time};
use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

pub struct Clock {
    last: Cell<Time>,
    /// What the Unix clock was set back by since the start.
    ahead: Cell<Span>,
    unix: fn() -> Time,
    /// For tests: since when, how far it is off in milliseconds, and how fast it runs.
    skew: Cell<Option<(Time, f64, f64)>>,
}

fn unix() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time::from_ms(since.as_secs_f64() * 1000.0)
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::of(unix)
    }
}

impl Clock {
    pub fn of(unix: fn() -> Time) -> Clock {
        Clock { last: Cell::new(unix()), ahead: Cell::default(), unix, skew: Cell::default() }
    }

    /// For tests: off by so many milliseconds from now on, and so much faster.
    pub fn skew(&self, off_ms: f64, rate: f64) {
        self.skew.set(Some(((self.unix)(), off_ms, rate)));
    }

    fn read(&self) -> Time {
        let unix = (self.unix)();
        self.skew.get().map_or(unix, |(since, off, rate)| {
            Time::from_ms(since.as_ms() + (unix.as_ms() - since.as_ms()) * rate + off)
        })
    }

    /// A clock that was set back would make everything in hand look young for as long; so it goes on from
    /// where it was, and what is stamped by the Unix clock is moved along.
    pub fn now(&self) -> Time {
        let now = self.read() + self.ahead.get();
        self.ahead.set(self.ahead.get() + self.last.get().since(now));
        self.last.set(self.last.get().max(now));
        self.last.get()
    }

    /// A point on the Unix clock, of something that has happened.
    pub fn past(&self, stamped: Time) -> Time {
        (stamped + self.ahead.get()).min(self.now())
    }
}
