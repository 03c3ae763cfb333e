//! A group: nodes as processes, each with an executor and a database of its own, one registry, one control service, and
//! callers; with a proxy on every connection between two of them.

mod documents;
mod faults;
mod node;
mod observation;
mod publication;
mod restart;
mod shutdown;
mod startup;

pub use node::GroupNode;
pub use startup::{GroupError, Surroundings};

use crate::history::History;
use crate::shared_budget::SharedBudget;
use hazelgrade_fakes::control_process::ControlServiceProcess;
use hazelgrade_fakes::registry::Registry;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// By then what must happen in the end has happened, however crowded the machine is.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);

/// Nodes and what surrounds them. All processes end when it is dropped.
pub struct Group {
    /// Where the files of all nodes are.
    pub folder: TempDir,
    /// The nodes, by number.
    pub nodes: Vec<GroupNode>,
    /// The control service of the first site.
    pub control_service: ControlServiceProcess,
    /// Receives the heartbeats of all nodes.
    pub registry: Registry,
    /// What happened so far.
    pub history: History,
    /// The budget that the nodes share, if they do.
    pub shared_budget: Option<SharedBudget>,
    control_service_suspended: bool,
    /// A copy of the control service's counter, as it was when the version before the last one was published.
    old_counter_file: Option<Vec<u8>>,
    /// How many documents were published so far.
    pub published_documents: u64,
    /// The digest of the last of them, as the control service shows it.
    pub published_digest: String,
    last_status_poll: Instant,
    /// How each node stood when its control service was last asked.
    pub standings: Vec<NodeStanding>,
}

/// How a node stands with the version that it was offered.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeStanding {
    /// Number and digest of the version.
    pub version: String,
    /// The control service's word for it: `on trial`, `good`, …
    pub standing: String,
}
