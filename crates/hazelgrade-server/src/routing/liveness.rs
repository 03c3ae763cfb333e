//! Detects pauses of the process: after one, messages that came meanwhile are older than they appear.

use hazelgrade::time::{Span, Time};
use std::cell::Cell;

/// A longer gap counts as a pause, in milliseconds. Heartbeats record four times a second that the process runs.
const MIN_PAUSE_MS: f64 = 300.0;
/// How long after a pause messages that came meanwhile are still being read, in milliseconds. The order in which tasks
/// run then is undefined.
const CATCH_UP_MS: f64 = 50.0;

#[derive(Clone, Copy)]
struct Pause {
    from: Time,
    to: Time,
}

impl Pause {
    /// When messages that came meanwhile have been read.
    fn caught_up_at(self) -> Time {
        self.to + Span::from_ms(CATCH_UP_MS)
    }
}

/// Detects pauses of the process.
pub struct Liveness {
    last_seen: Cell<Time>,
    last_pause: Cell<Pause>,
}

impl Liveness {
    /// Starts at `now`, with no pause before.
    pub fn new(now: Time) -> Liveness {
        let no_pause = Pause { from: now, to: Time::from_ms(0.0) };
        Liveness { last_seen: Cell::new(now), last_pause: Cell::new(no_pause) }
    }

    /// Records that the process is running at `now`. Returns when it was last seen running; shortly after a pause, when
    /// that began.
    pub fn record(&self, now: Time) -> Time {
        let previous = self.last_seen.replace(now);
        if now.since(previous) > Span::from_ms(MIN_PAUSE_MS) {
            self.last_pause.set(Pause { from: previous, to: now });
        }
        let pause = self.last_pause.get();
        if now < pause.caught_up_at() { pause.from } else { previous }
    }

    /// Records that the process is running at `now`. Returns whether `at` is within the last pause, or so shortly after
    /// it that messages that came meanwhile were still being read.
    pub fn was_paused_at(&self, now: Time, at: Time) -> bool {
        self.record(now);
        let pause = self.last_pause.get();
        at >= pause.from && at < pause.caught_up_at()
    }
}
