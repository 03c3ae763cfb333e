//! Faults of a simulated fleet.

use super::events::Event;
use super::{Fleet, node, terms};
use hazelgrade_budget::lessor;

/// Time from the start of a drain to the end of a node's process, in milliseconds.
const DRAIN_MS: f64 = 1000.0;
/// How often a lessor sees at once that the connection of a killed node ended.
const DISCONNECT_SEEN_RATIO: f64 = 0.5;

/// The store with which a site starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RestartStore {
    /// Its own.
    Own,
    /// A copy of the time of the last [`Fault::CopyStores`].
    OldCopy,
}

/// What happens to a node or a site from outside. Nodes and sites are named by their place, from 0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A node's process ends at once.
    KillNode(usize),
    /// A node's process starts, if it does not run.
    StartNode(usize),
    /// A node's process stands still.
    PauseNode(usize),
    /// It goes on, and sees all that happened meanwhile.
    ResumeNode(usize),
    /// A node returns what it can, and ends a second later.
    DrainNode(usize),
    /// What a node sends is lost, what is sent to it, or both.
    CutNode {
        /// The node.
        node: usize,
        /// What it sends is lost.
        requests: bool,
        /// What is sent to it is lost.
        grants: bool,
    },
    /// Nothing of a node is cut any more.
    HealNode(usize),
    /// A site's process ends at once.
    KillSite(usize),
    /// A site's process starts, if it does not run.
    StartSite(usize, RestartStore),
    /// A site's process stands still.
    PauseSite(usize),
    /// It goes on, and sees all that happened meanwhile.
    ResumeSite(usize),
    /// Reports between sites are lost.
    CutSites,
    /// They arrive again.
    HealSites,
    /// The document changes its total.
    SetTotal(u32),
    /// All sites' stores are copied.
    CopyStores,
    /// Calls that a node would have in flight in the mean.
    SetDemand(usize, f64),
    /// A node claims to want so many units more than it does.
    OverstateDemand(usize, u32),
}

impl Fleet {
    /// Brings a fault about.
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillNode(node) => self.kill_node(node),
            Fault::StartNode(node) if !self.nodes[node].up => self.start_node(node),
            Fault::PauseNode(node) => self.nodes[node].paused = true,
            Fault::ResumeNode(node) => self.resume_node(node),
            Fault::DrainNode(node) if self.nodes[node].up => self.drain_node(node),
            Fault::CutNode { node, requests, grants } => {
                self.nodes[node].requests_cut = requests;
                self.nodes[node].grants_cut = grants;
            }
            Fault::HealNode(node) => {
                self.nodes[node].requests_cut = false;
                self.nodes[node].grants_cut = false;
            }
            Fault::KillSite(site) => {
                self.sites[site].up = false;
                self.sites[site].timer_at_ms = f64::MAX;
            }
            Fault::StartSite(site, store) if !self.sites[site].up => {
                if store == RestartStore::OldCopy {
                    self.sites[site].store = self.sites[site].old_store.clone();
                }
                self.start_site(site);
            }
            Fault::PauseSite(site) => self.sites[site].paused = true,
            Fault::ResumeSite(site) => self.resume_site(site),
            Fault::CutSites => self.sites_cut = true,
            Fault::HealSites => self.sites_cut = false,
            Fault::SetTotal(total) => self.set_total(total),
            Fault::CopyStores => {
                self.sites.iter_mut().for_each(|site| site.old_store = site.store.clone());
            }
            Fault::SetDemand(node, demand) => self.set_demand(node, demand),
            Fault::OverstateDemand(node, units) => self.nodes[node].overstated = units,
            Fault::StartNode(_) | Fault::DrainNode(_) | Fault::StartSite(..) => {}
        }
    }

    fn kill_node(&mut self, place: usize) {
        self.nodes[place].up = false;
        let connection = node::connection(place, self.nodes[place].incarnation);
        let site = self.nodes[place].site;
        if self.draw() < DISCONNECT_SEEN_RATIO && self.sites[site].up && !self.sites[site].paused {
            self.tell_lessor(site, lessor::Event::Disconnected(connection));
        }
    }

    fn resume_node(&mut self, place: usize) {
        self.nodes[place].paused = false;
        let deferred = std::mem::take(&mut self.nodes[place].deferred);
        deferred.into_iter().for_each(|event| self.handle(event));
    }

    fn drain_node(&mut self, place: usize) {
        let now = self.node_time(place);
        let incarnation = self.nodes[place].incarnation;
        self.nodes[place].draining = true;
        self.nodes[place].holder.start_drain(now);
        self.send_request(place);
        self.schedule(DRAIN_MS, Event::DrainEnds { node: place, incarnation });
    }

    fn resume_site(&mut self, place: usize) {
        self.sites[place].paused = false;
        self.read_document(place);
        let deferred = std::mem::take(&mut self.sites[place].deferred);
        deferred.into_iter().for_each(|event| self.handle(event));
    }

    fn set_total(&mut self, total: u32) {
        self.limit = self.limit.max(total);
        self.terms = terms(&self.config, total);
        self.document_version += 1;
        for place in 0..self.sites.len() {
            if self.sites[place].up && !self.sites[place].paused {
                self.read_document(place);
            }
        }
    }

    fn set_demand(&mut self, place: usize, demand: f64) {
        let was_idle = self.nodes[place].demand <= 0.0;
        self.nodes[place].demand = demand;
        if was_idle && self.nodes[place].up {
            self.schedule_job(place);
        }
    }
}
