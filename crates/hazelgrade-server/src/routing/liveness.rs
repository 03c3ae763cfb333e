//! When the process was last seen to run: it may be suspended, and what came meanwhile is older than it looks.

use hazelgrade::time::{Span, Time};
use std::cell::Cell;

/// Heartbeats show four times a second that the process runs: after a longer gap it was suspended. In milliseconds.
const MIN_PAUSE_MS: f64 = 300.0;
/// What came during a pause is read within this time after it; in which order tasks run then is undefined. In
/// milliseconds.
const CATCH_UP_MS: f64 = 50.0;

#[derive(Clone, Copy)]
struct Pause {
    from: Time,
    to: Time,
}

/// Detects pauses of the process.
pub struct Liveness {
    last_seen: Cell<Time>,
    last_pause: Cell<Pause>,
}

impl Liveness {
    /// Seen to run at `now`, with no pause before.
    pub fn new(now: Time) -> Liveness {
        let no_pause = Pause { from: now, to: Time::from_ms(0.0) };
        Liveness { last_seen: Cell::new(now), last_pause: Cell::new(no_pause) }
    }

    /// Records that the process runs at `now`. Gives when it was last seen to run; shortly after a pause, when that
    /// began.
    pub fn record(&self, now: Time) -> Time {
        let before = self.last_seen.replace(now);
        if now.since(before) > Span::from_ms(MIN_PAUSE_MS) {
            self.last_pause.set(Pause { from: before, to: now });
        }
        let pause = self.last_pause.get();
        if now.since(pause.to) < Span::from_ms(CATCH_UP_MS) { pause.from } else { before }
    }
}
