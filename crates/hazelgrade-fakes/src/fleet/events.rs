//! Events of a simulated fleet, and whom they reach.

use super::network::Message;
use super::{Fleet, node};
use hazelgrade_budget::lessor;
use hazelgrade_budget::ownership::REPORT_INTERVAL_MS;

#[derive(Clone, Debug)]
pub(super) enum Event {
    Delivered(Message),
    /// A node's next job.
    JobArrives {
        node: usize,
        incarnation: u64,
    },
    /// A call is over at the dependency, whether its node lives or not.
    CallEnds {
        node: usize,
        incarnation: u64,
        call: u64,
    },
    /// A node sees that its call is over.
    CallEndSeen {
        node: usize,
        incarnation: u64,
    },
    RequestDue {
        node: usize,
        incarnation: u64,
    },
    /// A draining node ends.
    DrainEnds {
        node: usize,
        incarnation: u64,
    },
    LessorTimer {
        site: usize,
        start: u64,
    },
    ReportRound {
        site: usize,
        start: u64,
    },
}

/// The process that an event is for.
enum Addressee {
    Node {
        node: usize,
        incarnation: u64,
    },
    /// Of one start, or of any.
    Site {
        site: usize,
        start: Option<u64>,
    },
    Dependency,
}

impl Event {
    fn addressee(&self) -> Addressee {
        match *self {
            Event::JobArrives { node, incarnation }
            | Event::CallEndSeen { node, incarnation }
            | Event::RequestDue { node, incarnation }
            | Event::DrainEnds { node, incarnation }
            | Event::Delivered(
                Message::Grant { node, incarnation, .. } | Message::Nudge { node, incarnation },
            ) => Addressee::Node { node, incarnation },
            Event::LessorTimer { site, start } | Event::ReportRound { site, start } => {
                Addressee::Site { site, start: Some(start) }
            }
            Event::Delivered(Message::Request { site, .. } | Message::Report { site, .. }) => {
                Addressee::Site { site, start: None }
            }
            Event::CallEnds { .. } => Addressee::Dependency,
        }
    }
}

impl Fleet {
    /// Has an event happen if its process runs; a paused one gets it when it is resumed.
    pub(super) fn handle(&mut self, event: Event) {
        match event.addressee() {
            Addressee::Node { node, incarnation } => {
                let node = &mut self.nodes[node];
                if !node.up || node.incarnation != incarnation {
                    return;
                }
                if node.paused {
                    return node.deferred.push(event);
                }
            }
            Addressee::Site { site, start } => {
                let site = &mut self.sites[site];
                if !site.up || start.is_some_and(|start| start != site.start) {
                    return;
                }
                if site.paused {
                    return site.deferred.push(event);
                }
            }
            Addressee::Dependency => {}
        }
        self.happen(event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Delivered(message) => self.receive(message),
            Event::JobArrives { node, .. } => self.on_job(node),
            Event::CallEnds { node, incarnation, call } => {
                self.in_flight.remove(&call);
                self.handle(Event::CallEndSeen { node, incarnation });
            }
            Event::CallEndSeen { node, .. } => {
                self.nodes[node].calls = self.nodes[node].calls.saturating_sub(1);
                self.record_usage(node);
            }
            Event::RequestDue { node, .. } => self.on_request_due(node),
            Event::DrainEnds { node, .. } => self.nodes[node].up = false,
            Event::LessorTimer { site, .. } => {
                self.sites[site].timer_at_ms = f64::MAX;
                self.tell_lessor(site, lessor::Event::Timer);
                self.lower_limit();
            }
            Event::ReportRound { site, start } => {
                self.schedule(REPORT_INTERVAL_MS, Event::ReportRound { site, start });
                self.report_round(site);
            }
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Request { node, site, request } => {
                let connection = node::connection(node, request.incarnation);
                self.tell_lessor(site, lessor::Event::Requested(connection, request));
                self.lower_limit();
            }
            Message::Grant { node, grant, .. } => {
                let now = self.node_time(node);
                self.nodes[node].holder.on_grant(now, &grant);
                self.send_request(node);
            }
            Message::Nudge { node, .. } => {
                let now = self.node_time(node);
                self.nodes[node].holder.on_nudge(now);
                self.record_usage(node);
                self.send_request(node);
            }
            Message::Report { site, report } => {
                let now = self.site_time(site);
                let mut actions = Vec::new();
                self.sites[site].ownership.on_report(now, &report, &mut actions);
                self.carry_out_ownership(site, actions);
            }
        }
    }
}
