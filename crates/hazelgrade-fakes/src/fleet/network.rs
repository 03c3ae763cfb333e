//! Messages of a simulated fleet: late, lost or doubled.

use super::Fleet;
use super::events::Event;
use hazelgrade_budget::protocol::{LeaseGrant, LeaseRequest, SiteReport};

/// Bytes that frame each message.
const FRAME_BYTES: u64 = 50;
/// Bytes of a nudge.
const NUDGE_BYTES: usize = 40;
/// Ratio of messages that take many times the usual latency.
const SLOW_RATIO: f64 = 0.02;
/// How many times the usual latency those take.
const SLOW_FACTOR: f64 = 50.0;

#[derive(Clone, Debug)]
pub(super) enum Message {
    Request { node: usize, site: usize, request: LeaseRequest },
    Grant { node: usize, incarnation: u64, grant: LeaseGrant },
    Nudge { node: usize, incarnation: u64 },
    Report { site: usize, report: SiteReport },
}

fn byte_count(json: Result<String, serde_json::Error>) -> usize {
    json.map_or(0, |json| json.len())
}

impl Fleet {
    /// Puts a message on its way.
    pub(super) fn send(&mut self, message: Message) {
        let is_cut = self.count_sent(&message);
        if is_cut || self.draw() < self.config.loss_ratio {
            return;
        }
        let copies = if self.draw() < self.config.duplication_ratio { 2 } else { 1 };
        for _ in 0..copies {
            let is_slow = self.draw() < SLOW_RATIO && !self.calm;
            let factor = if is_slow { SLOW_FACTOR } else { 1.0 };
            let after_ms = self.config.latency_ms * (0.5 + self.draw()) * factor;
            self.schedule(after_ms, Event::Delivered(message.clone()));
        }
    }

    /// Counts a message; gives whether its way is cut.
    fn count_sent(&mut self, message: &Message) -> bool {
        let (bytes, is_cut) = match message {
            Message::Request { node, request, .. } => {
                self.observations.requests += 1;
                (byte_count(serde_json::to_string(request)), self.nodes[*node].requests_cut)
            }
            Message::Grant { node, grant, .. } => {
                self.observations.grants += 1;
                (byte_count(serde_json::to_string(grant)), self.nodes[*node].grants_cut)
            }
            Message::Nudge { node, .. } => {
                self.observations.nudges += 1;
                (NUDGE_BYTES, self.nodes[*node].grants_cut)
            }
            Message::Report { report, .. } => {
                self.observations.site_reports += 1;
                (byte_count(serde_json::to_string(report)), self.sites_cut)
            }
        };
        self.observations.bytes += bytes as u64 + FRAME_BYTES;
        is_cut
    }
}
