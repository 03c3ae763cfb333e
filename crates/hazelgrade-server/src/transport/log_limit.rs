//! Bounds the number of log lines about events of one kind.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The period over which lines are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of lines of one kind in a [`WINDOW`].
const MAX_LINES: u32 = 20;
/// Bounds the number of lines of one kind.
#[derive(Default)]
pub struct LineLimit {
    window_started: Cell<Option<Instant>>,
    lines: Cell<u32>,
    left_out: Cell<u64>,
}

impl LineLimit {
    /// Returns how many events were left out since the last line if a line may be written at `now`; `None` if this
    /// event is left out too.
    pub fn permit(&self, now: Instant) -> Option<u64> {
        let started = self.window_started.get().filter(|started| now.duration_since(*started) < WINDOW);
        if started.is_none() {
            self.window_started.set(Some(now));
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.left_out.take())
    }
}
