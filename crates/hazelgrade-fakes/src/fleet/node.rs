//! A node of a simulated fleet: its jobs, its calls and its lease holder.

use super::events::Event;
use super::network::Message;
use super::{BUDGET, DivisionPolicy, Excess, Fleet, FleetConfig, local_time};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::statistics::DecayingSum;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::lease_holder::{LeaseHolder, Usage};
use hazelgrade_budget::lessor::Connection;
use std::collections::BTreeMap;

/// Rejected jobs are counted over this time, in milliseconds.
const REJECTED_OVER_MS: f64 = 500.0;
/// A node gives up a call after this ratio of the longest use, by its own clock.
const CALL_TIMEOUT_RATIO: f64 = 0.9;
/// So long after it is due a request is sent, in milliseconds: past what clocks round.
const TIMER_SLACK_MS: f64 = 0.001;

pub(super) struct Node {
    pub(super) holder: LeaseHolder,
    pub(super) incarnation: u64,
    pub(super) site: usize,
    clock_rate: f64,
    pub(super) up: bool,
    pub(super) paused: bool,
    pub(super) draining: bool,
    /// What it sends is lost.
    pub(super) requests_cut: bool,
    /// What is sent to it is lost.
    pub(super) grants_cut: bool,
    /// Calls that it would have in flight in the mean.
    pub(super) demand: f64,
    /// Units that it claims to want beyond what it does.
    pub(super) overstated: u32,
    /// Calls that it knows to be in flight.
    pub(super) calls: u32,
    rejected: DecayingSum,
    /// What happened while it was paused.
    pub(super) deferred: Vec<Event>,
}

impl Node {
    pub(super) fn new(config: &FleetConfig, place: usize, clock_rate: f64) -> Node {
        let unused = LeaseHolder::new(Time::from_ms(0.0), "", 0, &BTreeMap::new(), MultiplyWithCarry::new(0));
        Node {
            holder: unused,
            incarnation: 0,
            site: place % config.sites,
            clock_rate,
            up: false,
            paused: false,
            draining: false,
            requests_cut: false,
            grants_cut: false,
            demand: f64::from(config.total) / config.nodes as f64,
            overstated: 0,
            calls: 0,
            rejected: DecayingSum::new(Span::from_ms(REJECTED_OVER_MS)),
            deferred: Vec::new(),
        }
    }
}

/// The number of a node's connection to its lessor. Incarnations here are below 2^32.
pub(super) fn connection(node: usize, incarnation: u64) -> Connection {
    (node as u64) << 32 | (incarnation & 0xffff_ffff)
}

/// The node and the incarnation of a connection.
pub(super) fn of_connection(connection: Connection) -> (usize, u64) {
    ((connection >> 32) as usize, connection & 0xffff_ffff)
}

impl Fleet {
    pub(super) fn node_time(&self, node: usize) -> Time {
        local_time(self.now_ms, self.nodes[node].clock_rate)
    }

    pub(super) fn start_node(&mut self, place: usize) {
        let incarnation = self.next_number();
        let unleased = [(BUDGET.to_owned(), self.config.unleased)].into();
        let now = self.node_time(place);
        let random = MultiplyWithCarry::new(incarnation);
        let node = &mut self.nodes[place];
        node.holder = LeaseHolder::new(now, &format!("n{place}"), incarnation, &unleased, random);
        node.holder.bind(now, &[BUDGET.to_owned()]);
        node.incarnation = incarnation;
        node.up = true;
        node.paused = false;
        node.draining = false;
        node.calls = 0;
        node.rejected = DecayingSum::new(Span::from_ms(REJECTED_OVER_MS));
        node.deferred.clear();
        self.schedule_job(place);
        self.send_request(place);
    }

    pub(super) fn schedule_job(&mut self, place: usize) {
        let demand = self.nodes[place].demand;
        let incarnation = self.nodes[place].incarnation;
        if demand > 0.0 {
            let gap_ms = -(1.0 - self.draw()).ln() * self.config.call_ms / demand;
            self.schedule(gap_ms, Event::JobArrives { node: place, incarnation });
        }
    }

    /// Calls that a node may have in flight now.
    pub(super) fn usable_units(&self, place: usize) -> u32 {
        let node = &self.nodes[place];
        match self.config.policy {
            DivisionPolicy::Leases => node.holder.entitlement(self.node_time(place), BUDGET).units,
            DivisionPolicy::Static => self.config.total / self.config.nodes as u32,
            DivisionPolicy::Oracle => {
                node.calls + self.config.total.saturating_sub(self.in_flight.len() as u32)
            }
        }
    }

    /// Tells the lease holder what is in use and wanted.
    pub(super) fn record_usage(&mut self, place: usize) {
        if self.config.policy != DivisionPolicy::Leases {
            return;
        }
        let now = self.node_time(place);
        let call_ms = self.config.call_ms;
        let node = &mut self.nodes[place];
        // The calls that were rejected would have been so many at once.
        let rejected = (node.rejected.value(now) * call_ms / REJECTED_OVER_MS).round() as u32;
        let usage = Usage { in_use: node.calls, wanted: node.calls + rejected + node.overstated };
        node.holder.record_usage(now, BUDGET, usage);
        self.send_request(place);
    }

    /// Sends the request that is due, if one is, and looks again when the next one will be.
    pub(super) fn send_request(&mut self, place: usize) {
        if self.config.policy != DivisionPolicy::Leases {
            return;
        }
        let now = self.node_time(place);
        let node = &mut self.nodes[place];
        let incarnation = node.incarnation;
        let site = node.site;
        if let Some(request) = node.holder.take_request(now) {
            self.send(Message::Request { node: place, site, request });
        }
        let node = &self.nodes[place];
        let after_ms = node.holder.next_request_at().since(now).as_ms() / node.clock_rate + TIMER_SLACK_MS;
        self.schedule(after_ms, Event::RequestDue { node: place, incarnation });
    }

    pub(super) fn on_request_due(&mut self, place: usize) {
        if self.nodes[place].holder.next_request_at() <= self.node_time(place) {
            self.record_usage(place);
            self.send_request(place);
        }
    }

    pub(super) fn on_job(&mut self, place: usize) {
        if self.nodes[place].draining {
            return;
        }
        self.schedule_job(place);
        if self.nodes[place].calls >= self.usable_units(place) {
            self.observations.rejected += 1;
            let now = self.node_time(place);
            self.nodes[place].rejected.add(now, 1.0);
            return self.record_usage(place);
        }
        self.begin_call(place);
        self.record_usage(place);
    }

    fn begin_call(&mut self, place: usize) {
        let call = self.next_number();
        let incarnation = self.nodes[place].incarnation;
        self.in_flight.insert(call, place);
        self.nodes[place].calls += 1;
        let in_flight = self.in_flight.len() as u32;
        self.observations.calls += 1;
        self.observations.max_in_flight = self.observations.max_in_flight.max(in_flight);
        if in_flight > self.limit {
            let excess = Excess { at_ms: self.now_ms, units: in_flight - self.limit };
            self.observations.excesses.push(excess);
        }
        let call_ms = -(1.0 - self.draw()).ln() * self.config.call_ms;
        let max_call_ms = self.config.max_use_ms * CALL_TIMEOUT_RATIO;
        self.schedule(call_ms.min(max_call_ms), Event::CallEnds { node: place, incarnation, call });
    }
}
