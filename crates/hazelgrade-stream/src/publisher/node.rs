//! What a publisher knows of a node.

use super::event::ConnectionId;
use crate::protocol::Rejection;
use hazelgrade::time::Time;
use hazelgrade_config::Version;

/// What became of the offered version at a node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeStatus {
    /// Not offered or not answered yet.
    Pending,
    /// In effect, on trial.
    OnTrial {
        /// Fields that take effect at the node's next start only.
        staged: Vec<String>,
    },
    /// In effect, the trial is passed.
    Good {
        /// Fields that take effect at the node's next start only.
        staged: Vec<String>,
    },
    /// The trial failed for this reason, and the node went back to the version before.
    RolledBack(String),
    /// The node rejected it.
    Rejected(Rejection),
}

impl NodeStatus {
    /// Whether the version failed on the node, in this trial or an earlier one.
    pub(super) fn is_failure(&self) -> bool {
        match self {
            NodeStatus::RolledBack(_) => true,
            NodeStatus::Rejected(rejection) => {
                matches!(rejection, Rejection::FailedTrial(_) | Rejection::CrashedOnTrial)
            }
            NodeStatus::Pending | NodeStatus::OnTrial { .. } | NodeStatus::Good { .. } => false,
        }
    }
}

/// A node that subscribed in this run.
#[derive(Clone, Debug)]
pub struct Node {
    /// The node's name.
    pub name: String,
    /// The version of its program.
    pub program: String,
    /// The connection that it is subscribed on; `None` while it is disconnected.
    pub connection: Option<ConnectionId>,
    /// The version that it serves by, as it reported last.
    pub in_effect: Option<Version>,
    /// The version that the status is about.
    pub offered: Option<Version>,
    /// What became of the offered version.
    pub status: NodeStatus,
    /// When the node last subscribed, answered or disconnected.
    pub since: Time,
}
