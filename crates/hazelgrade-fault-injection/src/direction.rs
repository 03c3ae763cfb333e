//! One direction of a link, as a state machine: bytes or datagrams and the time go in, what is to be forwarded comes out.
//!
//! A stream that is cut is held, as its sender's system would keep and retransmit it: no byte is lost. A datagram may be
//! lost, duplicated, or reordered.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use std::collections::VecDeque;

/// Bytes that are queued; past that the source isn't read, as with a full TCP window.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Datagrams that are queued; past that they are lost.
const MAX_QUEUED_DATAGRAMS: usize = 1024;
/// A datagram that is reordered is forwarded this many milliseconds late.
const REORDERED_MS: f64 = 20.0;

/// What happens to traffic in a direction. The default forwards all of it at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// By how much each byte or datagram is late.
    pub delay: Span,
    /// Bytes a second; without a limit if none.
    pub bytes_per_s: Option<f64>,
    /// Nothing is forwarded until this ends.
    pub held: bool,
    /// The connection is reset once exactly so many bytes were forwarded in this direction.
    pub reset_after: Option<u64>,
    /// The ratio of datagrams that are lost, from 0 to 1.
    pub lost: f64,
    /// The ratio of datagrams that are duplicated, from 0 to 1.
    pub duplicated: f64,
    /// The ratio of datagrams that are reordered, from 0 to 1.
    pub reordered: f64,
}

/// What is to be done now.
#[derive(Debug, PartialEq)]
pub enum Delivery {
    /// Forward these bytes.
    Pass(Vec<u8>),
    /// Reset the connection.
    Reset,
    /// Nothing before this time, or before something comes or changes.
    Wait(Option<Time>),
}

/// One direction of a connection.
#[derive(Debug, Default)]
pub struct Stream {
    queue: VecDeque<(Time, Vec<u8>)>,
    bytes: usize,
    free_at: Option<Time>,
    forwarded_bytes: u64,
}

impl Stream {
    /// Whether the source may be read.
    pub fn has_room(&self) -> bool {
        self.bytes < MAX_QUEUED_BYTES
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Queues bytes that were read.
    pub fn put(&mut self, now: Time, conditions: &LinkConditions, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.bytes += bytes.len();
            self.queue.push_back((now + conditions.delay, bytes.to_vec()));
        }
    }

    /// What is to be done now under these conditions.
    pub fn next(&mut self, now: Time, conditions: &LinkConditions) -> Delivery {
        if conditions.reset_after.is_some_and(|after| self.forwarded_bytes >= after) {
            return Delivery::Reset;
        }
        let Some((due, bytes)) = self.queue.front_mut().filter(|_| !conditions.held) else {
            return Delivery::Wait(None);
        };
        let due = (*due).max(self.free_at.unwrap_or(*due));
        if due > now {
            return Delivery::Wait(Some(due));
        }
        let left = conditions.reset_after.map_or(usize::MAX, |after| (after - self.forwarded_bytes) as usize);
        // At a rate, in chunks of what passes in ten milliseconds.
        let chunk = conditions.bytes_per_s.map_or(usize::MAX, |rate| (rate / 100.0).max(1.0) as usize);
        let count = bytes.len().min(left).min(chunk);
        let rest = bytes.split_off(count);
        let forwarded = std::mem::replace(bytes, rest);
        if bytes.is_empty() {
            self.queue.pop_front();
        }
        self.bytes -= forwarded.len();
        self.forwarded_bytes += forwarded.len() as u64;
        self.free_at = conditions
            .bytes_per_s
            .map(|rate| now + Span::from_ms(forwarded.len() as f64 * 1000.0 / rate.max(1.0)));
        Delivery::Pass(forwarded)
    }
}

/// One direction for datagrams.
#[derive(Debug)]
pub struct Datagrams {
    queue: Vec<(Time, u64, Vec<u8>)>,
    count: u64,
    random: MultiplyWithCarry,
}

impl Datagrams {
    /// `seed` draws which datagrams are lost, duplicated or reordered.
    pub fn new(seed: u64) -> Datagrams {
        Datagrams { queue: Vec::new(), count: 0, random: MultiplyWithCarry::new(seed) }
    }

    /// Queues a datagram that was received, once, twice or not at all.
    pub fn put(&mut self, now: Time, conditions: &LinkConditions, datagram: &[u8]) {
        let draws = [self.random.next_f64(), self.random.next_f64(), self.random.next_f64()];
        if conditions.held || draws[0] < conditions.lost || self.queue.len() >= MAX_QUEUED_DATAGRAMS {
            return;
        }
        let late = if draws[1] < conditions.reordered { Span::from_ms(REORDERED_MS) } else { Span::ZERO };
        for _ in 0..if draws[2] < conditions.duplicated { 2 } else { 1 } {
            self.count += 1;
            self.queue.push((now + conditions.delay + late, self.count, datagram.to_vec()));
        }
    }

    /// What is to be done now.
    pub fn next(&mut self, now: Time) -> Delivery {
        let Some(first) =
            (0..self.queue.len()).min_by_key(|index| (self.queue[*index].0, self.queue[*index].1))
        else {
            return Delivery::Wait(None);
        };
        if self.queue[first].0 > now {
            Delivery::Wait(Some(self.queue[first].0))
        } else {
            Delivery::Pass(self.queue.swap_remove(first).2)
        }
    }
}
