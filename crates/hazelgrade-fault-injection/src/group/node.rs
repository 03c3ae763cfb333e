//! One node of a group, with its executor, its callers and the proxies around it.

use crate::plan::Link;
use crate::proxy::FaultProxy;
use hazelgrade_fakes::callers::Callers;
use hazelgrade_fakes::executor::Executor;
use hazelgrade_fakes::idle_clients::IdleClients;
use hazelgrade_fakes::node_process::NodeProcess;
use std::io;
use std::time::Instant;

/// A node of a group.
pub struct GroupNode {
    /// The node's process.
    pub node: NodeProcess,
    /// Runs the node's jobs.
    pub executor: Executor,
    /// A proxy for each [`Link`], in that order.
    pub proxies: [FaultProxy; 5],
    /// A copy of its store, as it was when the version before the last one was published.
    pub(super) old_store: Option<Vec<u8>>,
    /// Grows with each start with another store than its own.
    pub(super) disk: u32,
    /// Stopped by a signal.
    pub(super) suspended: bool,
    /// When it was last seen to run.
    pub(super) last_seen_running: Instant,
    pub(super) running: bool,
    /// It was told to drain.
    pub(super) draining: bool,
    /// A test lets it exit by its own store.
    pub(super) may_exit: bool,
    pub(super) callers: Option<Callers>,
    /// Clients that say nothing, until the group recovers and drains.
    pub(super) idle_clients: Option<IdleClients>,
    /// The operator's table `stream` and the tables after it, without what a test adds.
    pub(super) stream_settings: String,
}

impl GroupNode {
    /// The proxy on a link of this node.
    pub fn proxy(&self, link: Link) -> &FaultProxy {
        &self.proxies[link as usize]
    }

    /// Whether it runs and its health check says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.running && !self.suspended && self.node.health_check() == Some(true)
    }

    /// Jobs of its callers that were answered or lost so far.
    pub fn job_count(&self) -> usize {
        self.callers.as_ref().map_or(0, Callers::count)
    }

    /// Jobs of its callers that succeeded so far.
    pub fn success_count(&self) -> usize {
        self.callers.as_ref().map_or(0, Callers::success_count)
    }

    /// Whether it ran when the group was last observed.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Adds this to the operator's file from the next start on, in place of what was added before.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub fn set_operator_settings(&mut self, text: &str) -> io::Result<()> {
        self.node.config.stream = format!("{}{text}", self.stream_settings);
        self.node.config.write()
    }

    /// Stops or continues a process that runs.
    pub(super) fn set_suspended(&mut self, suspended: bool) {
        if self.running && self.node.signal(if suspended { "STOP" } else { "CONT" }) {
            self.suspended = suspended;
        }
    }

    /// Notes that its process was started anew.
    pub(super) fn mark_started(&mut self) {
        self.running = true;
        self.draining = false;
        self.last_seen_running = Instant::now();
    }
}
