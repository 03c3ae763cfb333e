//! One way of an edge, as a state machine: bytes or datagrams and the time go in, what is to be passed on comes out.
//!
//! A stream that is cut is held, as its sender's system would keep it and send it again: nothing of it may go missing.
//! A datagram may be lost, doubled, or overtaken.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use std::collections::VecDeque;

/// Bytes that wait on a way; past that its source isn't read, as a full window would have it.
const ROOM: usize = 256 * 1024;
/// Datagrams that wait; past that they are lost.
const DATAGRAMS: usize = 1024;
/// A datagram that is overtaken comes this many milliseconds late.
const OVERTAKEN_MS: f64 = 20.0;

/// What a way does to what is sent on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    pub delay: Span,
    /// Bytes a second; as fast as may be without it.
    pub bytes_per_s: Option<f64>,
    /// Nothing comes through until it is let go.
    pub held: bool,
    /// The connection is reset once exactly so many bytes have passed on this way.
    pub reset_after: Option<u64>,
    /// Parts of the datagrams, from 0 to 1.
    pub lost: f64,
    pub duplicated: f64,
    pub reordered: f64,
}

/// What is to be done now.
#[derive(Debug, PartialEq)]
pub enum Delivery {
    Pass(Vec<u8>),
    Reset,
    /// Nothing before then, or before something comes or changes.
    Wait(Option<Time>),
}

/// A stream's way.
#[derive(Debug, Default)]
pub struct Stream {
    waiting: VecDeque<(Time, Vec<u8>)>,
    bytes: usize,
    free_at: Option<Time>,
    passed: u64,
}

impl Stream {
    pub fn has_room(&self) -> bool {
        self.bytes < ROOM
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn put(&mut self, now: Time, rules: &LinkConditions, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.bytes += bytes.len();
            self.waiting.push_back((now + rules.delay, bytes.to_vec()));
        }
    }

    pub fn next(&mut self, now: Time, rules: &LinkConditions) -> Delivery {
        if rules.reset_after.is_some_and(|after| self.passed >= after) {
            return Delivery::Reset;
        }
        let Some((due, bytes)) = self.waiting.front_mut().filter(|_| !rules.held) else {
            return Delivery::Wait(None);
        };
        let due = (*due).max(self.free_at.unwrap_or(*due));
        if due > now {
            return Delivery::Wait(Some(due));
        }
        let left = rules.reset_after.map_or(usize::MAX, |after| (after - self.passed) as usize);
        // At a rate, in pieces of what passes in ten milliseconds.
        let piece = rules.bytes_per_s.map_or(usize::MAX, |rate| (rate / 100.0).max(1.0) as usize);
        let count = bytes.len().min(left).min(piece);
        let rest = bytes.split_off(count);
        let out = std::mem::replace(bytes, rest);
        if bytes.is_empty() {
            self.waiting.pop_front();
        }
        self.bytes -= out.len();
        self.passed += out.len() as u64;
        self.free_at =
            rules.bytes_per_s.map(|rate| now + Span::from_ms(out.len() as f64 * 1000.0 / rate.max(1.0)));
        Delivery::Pass(out)
    }
}

/// A way for datagrams.
#[derive(Debug)]
pub struct Datagrams {
    waiting: Vec<(Time, u64, Vec<u8>)>,
    count: u64,
    chance: MultiplyWithCarry,
}

impl Datagrams {
    pub fn new(seed: u64) -> Datagrams {
        Datagrams { waiting: Vec::new(), count: 0, chance: MultiplyWithCarry::new(seed) }
    }

    pub fn put(&mut self, now: Time, rules: &LinkConditions, datagram: &[u8]) {
        let draws = [self.chance.next_f64(), self.chance.next_f64(), self.chance.next_f64()];
        if rules.held || draws[0] < rules.lost || self.waiting.len() >= DATAGRAMS {
            return;
        }
        let late = if draws[1] < rules.reordered { Span::from_ms(OVERTAKEN_MS) } else { Span::ZERO };
        for _ in 0..if draws[2] < rules.duplicated { 2 } else { 1 } {
            self.count += 1;
            self.waiting.push((now + rules.delay + late, self.count, datagram.to_vec()));
        }
    }

    pub fn next(&mut self, now: Time) -> Delivery {
        let Some(first) =
            (0..self.waiting.len()).min_by_key(|place| (self.waiting[*place].0, self.waiting[*place].1))
        else {
            return Delivery::Wait(None);
        };
        if self.waiting[first].0 > now {
            Delivery::Wait(Some(self.waiting[first].0))
        } else {
            Delivery::Pass(self.waiting.swap_remove(first).2)
        }
    }
}
