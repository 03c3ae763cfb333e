//! Detects pauses of the process. Messages that arrived during a pause are read late, so they are older than they
//! appear.

use crate::transport::log_limit::LineLimit;
use hazelgrade::time::{Span, Time};
use std::cell::Cell;
use std::time::Instant;

/// Longest gap between two records that does not count as a pause, in milliseconds. Heartbeats record four times per
/// second that the process is running.
const MAX_GAP_MS: f64 = 300.0;
/// How long after a pause the messages that arrived during the pause may still be unread, in milliseconds. The order in
/// which tasks run right after a pause is undefined.
const CATCH_UP_MS: f64 = 50.0;

/// A pause of the process.
#[derive(Clone, Copy)]
struct Pause {
    from: Time,
    to: Time,
}

impl Pause {
    /// Returns when the messages that arrived during the pause have been read.
    fn caught_up_at(self) -> Time {
        self.to + Span::from_ms(CATCH_UP_MS)
    }
}

/// Detects pauses of the process.
pub struct Liveness {
    last_seen: Cell<Time>,
    last_pause: Cell<Pause>,
    log_limit: LineLimit,
}

impl Liveness {
    /// Creates a detector that starts at `now` without an earlier pause.
    pub fn new(now: Time) -> Liveness {
        let no_pause = Pause { from: now, to: Time::from_ms(0.0) };
        Liveness {
            last_seen: Cell::new(now),
            last_pause: Cell::new(no_pause),
            log_limit: LineLimit::default(),
        }
    }

    /// Records that the process is running at `now`. Returns when the process was last seen running; shortly after a
    /// pause, returns when that pause began.
    pub fn record(&self, now: Time) -> Time {
        let previous = self.last_seen.replace(now);
        if now.since(previous) > Span::from_ms(MAX_GAP_MS) {
            if let Some(left_out) = self.log_limit.permit(Instant::now()) {
                tracing::info!(paused_ms = now.since(previous).as_ms(), left_out, "process was paused");
            }
            self.last_pause.set(Pause { from: previous, to: now });
        }
        let pause = self.last_pause.get();
        if now < pause.caught_up_at() { pause.from } else { previous }
    }
}
