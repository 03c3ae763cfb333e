//! A publisher's record of a node.

use super::event::ConnectionId;
use crate::protocol::Rejection;
use hazelgrade::time::Time;
use hazelgrade_config::Version;

/// The state of the offered version on a node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeStatus {
    /// The version is not offered yet, or the node has not answered yet.
    Pending,
    /// The version is in effect and on trial.
    OnTrial {
        /// Fields that take effect at the node's next start only.
        staged: Vec<String>,
    },
    /// The version is in effect and passed its trial.
    Good {
        /// Fields that take effect at the node's next start only.
        staged: Vec<String>,
    },
    /// The trial failed for this reason, and the node rolled back to the configuration before.
    RolledBack(String),
    /// The node rejected the version.
    Rejected(Rejection),
}

impl NodeStatus {
    /// Whether the version failed its trial on the node, now or when it was offered before.
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

/// A node that subscribed since the publisher started.
#[derive(Clone, Debug)]
pub struct Node {
    /// The node's name.
    pub name: String,
    /// The version of the node's program.
    pub program: String,
    /// The connection that the node is subscribed on; `None` while the node is disconnected.
    pub connection: Option<ConnectionId>,
    /// The version in effect on the node, according to the node's last report.
    pub in_effect: Option<Version>,
    /// The version that `status` is about.
    pub offered: Option<Version>,
    /// The state of the offered version on the node.
    pub status: NodeStatus,
    /// The time at which the node last subscribed, answered an offer, reported the end of a trial, or disconnected.
    pub since: Time,
}
