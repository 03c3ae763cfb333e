//! How many connections may be shaking hands: past the bound the one that has been at it longest makes room, so that a
//! flood of half handshakes costs a fixed amount and keeps nobody out who shakes hands at an ordinary pace.

use hazelgrade::time::{Span, Time};
use std::collections::BTreeMap;

/// Together: a fleet's callers that come back at once, at some 50 KB each.
pub const MOST: usize = 128;

#[derive(Debug)]
pub struct Handshakes {
    most: usize,
    within: Span,
    numbers: u64,
    under_way: BTreeMap<u64, Time>,
    /// Ended for taking too long, or to make room.
    pub ended: u64,
}

impl Handshakes {
    pub fn new(most: usize, within: Span) -> Handshakes {
        Handshakes { most: most.max(1), within, numbers: 0, under_way: BTreeMap::new(), ended: 0 }
    }

    /// One begins: its number, until when it must be done, and the number of the one that makes room for it.
    pub fn begin(&mut self, now: Time) -> (u64, Time, Option<u64>) {
        let gone = if self.under_way.len() >= self.most { self.under_way.pop_first() } else { None };
        self.ended += u64::from(gone.is_some());
        self.numbers += 1;
        self.under_way.insert(self.numbers, now);
        (self.numbers, now + self.within, gone.map(|(number, _)| number))
    }

    /// It is over, done or not; `false` if it was ended before.
    pub fn over(&mut self, number: u64, done: bool) -> bool {
        let was = self.under_way.remove(&number).is_some();
        self.ended += u64::from(was && !done);
        was
    }

    pub fn count(&self) -> usize {
        self.under_way.len()
    }
}
