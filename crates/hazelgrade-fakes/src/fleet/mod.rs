//! A fleet that shares a budget of calls, in simulated time: the real lease holders, lessors and ownership of the
//! budget package on clocks that drift, with messages that are late, lost or doubled, processes that die, pause and
//! come back, and stores that are old copies. What is in use is counted where it takes effect, by the simulated
//! clock alone.

mod config;
mod events;
mod fault;
mod network;
mod node;
mod observations;
mod site;

pub use config::{DivisionPolicy, FleetConfig};
pub use fault::{Fault, RestartStore};
pub use observations::{Excess, Observations};

use events::Event;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::lessor::GrantsBlocked;
use hazelgrade_budget::terms::{BudgetTerms, Measure};
use node::Node;
use site::Site;
use std::collections::BTreeMap;

/// Name of the budget that the fleet shares.
pub const BUDGET: &str = "calls";

/// The fleet, its dependency and its network.
pub struct Fleet {
    config: FleetConfig,
    /// Milliseconds since the start.
    now_ms: f64,
    /// The last number that was drawn: for events, incarnations and calls.
    last_number: u64,
    /// Events to come, by microseconds since the start and number.
    events: BTreeMap<(u64, u64), Event>,
    random: MultiplyWithCarry,
    nodes: Vec<Node>,
    sites: Vec<Site>,
    sites_cut: bool,
    /// No message is late for long.
    calm: bool,
    /// Calls in flight at the dependency, by number, and whose they are.
    in_flight: BTreeMap<u64, usize>,
    terms: BudgetTerms,
    document_version: u64,
    /// The total in effect: the greater of two until the smaller one is.
    limit: u32,
    /// What was seen so far.
    pub observations: Observations,
}

/// A time on a clock that runs at `rate`.
fn local_time(ms: f64, rate: f64) -> Time {
    Time::from_ms(ms * rate)
}

impl Fleet {
    /// A fleet whose sites and nodes have just started.
    pub fn new(config: FleetConfig) -> Fleet {
        let mut random = MultiplyWithCarry::new(config.seed);
        let mut clock_rate = || 1.0 + config.clock_drift * (2.0 * random.next_f64() - 1.0) / 2.0;
        let sites = (0..config.sites).map(|site| Site::new(site, clock_rate())).collect();
        let nodes = (0..config.nodes).map(|node| Node::new(&config, node, clock_rate())).collect();
        let mut fleet = Fleet {
            now_ms: 0.0,
            last_number: 0,
            events: BTreeMap::new(),
            random,
            nodes,
            sites,
            sites_cut: false,
            calm: false,
            in_flight: BTreeMap::new(),
            terms: terms(&config, config.total),
            document_version: 1,
            limit: config.total,
            observations: Observations::default(),
            config,
        };
        (0..config.sites).for_each(|site| fleet.start_site(site));
        (0..config.nodes).for_each(|node| fleet.start_node(node));
        fleet
    }

    fn draw(&mut self) -> f64 {
        self.random.next_f64()
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule(&mut self, after_ms: f64, event: Event) {
        let number = self.next_number();
        let at_us = ((self.now_ms + after_ms.max(0.0)) * 1000.0).ceil() as u64;
        self.events.insert((at_us, number), event);
    }

    /// Goes on for so many milliseconds.
    pub fn run(&mut self, ms: f64) {
        let until_ms = self.now_ms + ms;
        while let Some(next) = self.events.first_entry() {
            let at_ms = next.key().0 as f64 / 1000.0;
            if at_ms > until_ms {
                break;
            }
            let event = next.remove();
            self.advance_to(self.now_ms.max(at_ms));
            self.handle(event);
        }
        self.advance_to(until_ms);
    }

    fn advance_to(&mut self, now_ms: f64) {
        let elapsed_ms = now_ms - self.now_ms;
        self.observations.used_unit_ms += elapsed_ms * self.in_flight.len() as f64;
        self.observations.usable_unit_ms += elapsed_ms * f64::from(self.limit);
        self.now_ms = now_ms;
    }

    /// From now on messages arrive in time, once.
    pub fn calm_network(&mut self) {
        self.calm = true;
        self.config.loss_ratio = 0.0;
        self.config.duplication_ratio = 0.0;
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> f64 {
        self.now_ms
    }

    /// Units that each node may use now.
    pub fn shares(&self) -> Vec<u32> {
        let share = |node: usize| if self.nodes[node].up { self.usable_units(node) } else { 0 };
        (0..self.nodes.len()).map(share).collect()
    }

    /// Units that each site owns.
    pub fn owned_by_site(&self) -> Vec<u32> {
        self.sites.iter().map(|site| site.ownership.owned(BUDGET)).collect()
    }

    /// What the fleet is like, as changed since.
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Units that may be in use together now.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Calls in flight at the dependency.
    pub fn calls_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Why a site grants nothing new, if so.
    pub fn grants_blocked(&self, site: usize) -> Option<GrantsBlocked> {
        self.sites[site].lessor.grants_blocked(self.site_time(site))
    }

    /// State of a site's lessor and its ledger, as JSON.
    pub fn site_report(&self, site: usize) -> String {
        let report = self.sites[site].lessor.report(self.site_time(site));
        let report = serde_json::to_string(&report).unwrap_or_default();
        let ledger = serde_json::to_string(self.sites[site].ownership.ledger()).unwrap_or_default();
        format!("{report} {ledger}")
    }

    /// Has an operator reopen a site's lessor.
    pub fn reopen(&mut self, site: usize) {
        let now = self.site_time(site);
        self.sites[site].lessor.reopen(now);
        self.sites[site].ownership.confirm_all();
        self.carry_out_ownership(site, Vec::new());
    }

    /// Whether a node's process runs.
    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].up
    }
}

fn terms(config: &FleetConfig, total: u32) -> BudgetTerms {
    let sites = config.sites as u32;
    let share = |site: u32| total / sites + u32::from(site < total % sites);
    BudgetTerms {
        measure: Measure::ConcurrentCalls,
        total,
        site_shares: (0..sites).map(|site| (site::name(site as usize), share(site))).collect(),
        set_aside: config.set_aside,
        min_share: 1,
        lease: Span::from_ms(config.lease_ms),
        max_use_time: Span::from_ms(config.max_use_ms),
        tenant: None,
    }
}
