//! Fault plans: which fault is injected when, by what has happened and not by the clock. Written and read as TOML, so that
//! a plan that failed can be run again.

use serde::{Deserialize, Serialize};

/// Why a text is not a fault plan.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PlanError {
    /// The text is not TOML, or has other fields than a plan.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// A step names a node that the plan does not have.
    #[error("node {node}: there are {nodes} nodes, from 0")]
    UnknownNode {
        /// The greatest number that a step names.
        node: usize,
        /// How many nodes the plan has.
        nodes: usize,
    },
    /// The plan has no node.
    #[error("nodes: expected one at least")]
    NoNodes,
    /// A shared budget has neither one nor two sites.
    #[error("shared.sites: expected 1 or 2")]
    Sites,
    /// The rate of jobs is out of its range.
    #[error("rate: expected above 0, to 1000")]
    Rate,
}

/// What has to happen after the previous step for a step to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trigger {
    /// Nothing: at once.
    Now,
    /// So many more answers reached callers, over the whole group.
    Answers(u64),
    /// So many nodes have acknowledged the version that was published last.
    Acknowledged(usize),
    /// This node has the version that was published last on trial.
    OnTrial(usize),
    /// This node says that it drains, or has ended.
    Draining(usize),
    /// This node has ended.
    Ended(usize),
    /// This node is ready by its health check.
    Ready(usize),
}

/// A link of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Link {
    /// From its callers.
    Callers,
    /// To its executor.
    Executor,
    /// To the database, or the shared dependency.
    Database,
    /// To the registry.
    Registry,
    /// To its control service.
    Control,
}

/// Directions of a link that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Directions {
    /// Both directions.
    Both,
    /// Towards the process that listens.
    To,
    /// From the process that listens.
    Back,
}

/// What a process finds on its disk when it is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disk {
    /// What it left.
    Own,
    /// An older copy: as it was when the version before the last was published.
    Old,
    /// Nothing.
    Empty,
}

/// A fault, or the end of one. Numbers name nodes, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Holds what is sent on a link.
    Cut {
        /// The node.
        node: usize,
        /// The link.
        link: Link,
        /// The directions held.
        #[serde(rename = "ways")]
        directions: Directions,
    },
    /// Delays what is sent on a link.
    Delay {
        /// The node.
        node: usize,
        /// The link.
        link: Link,
        /// How long, in ms.
        ms: u32,
    },
    /// Limits how fast a link forwards.
    Rate {
        /// The node.
        node: usize,
        /// The link.
        link: Link,
        /// Bytes a second, in each direction.
        bytes_per_s: u32,
    },
    /// Resets the open connections of a link.
    Reset {
        /// The node.
        node: usize,
        /// The link.
        link: Link,
    },
    /// Resets each connection of a link once so many bytes came back on it.
    ResetAfter {
        /// The node.
        node: usize,
        /// The link.
        link: Link,
        /// How many bytes.
        bytes: u32,
    },
    /// Resets new connections of a link at once.
    Refuse {
        /// The node.
        node: usize,
        /// The link.
        link: Link,
    },
    /// Datagrams to the registry, in percent of all.
    #[serde(rename = "garble")]
    DegradeDatagrams {
        /// The node.
        node: usize,
        /// Lost.
        lost: u32,
        /// Duplicated.
        #[serde(rename = "doubled")]
        duplicated: u32,
        /// Reordered.
        #[serde(rename = "overtaken")]
        reordered: u32,
    },
    /// Ends every fault of a link.
    Heal {
        /// The node.
        node: usize,
        /// The link.
        link: Link,
    },
    /// Suspends a node by a signal.
    Stop {
        /// The node.
        node: usize,
    },
    /// Resumes it.
    Wake {
        /// The node.
        node: usize,
    },
    /// Kills a node.
    Kill {
        /// The node.
        node: usize,
    },
    /// Tells a node to drain.
    Term {
        /// The node.
        node: usize,
    },
    /// Tells a node to drain, and kills it at the end of its time to drain.
    TermThenKill {
        /// The node.
        node: usize,
    },
    /// Tells a node to read its settings again.
    Hup {
        /// The node.
        node: usize,
    },
    /// Starts a node that has ended.
    Start {
        /// The node.
        node: usize,
        /// What it finds on its disk.
        disk: Disk,
    },
    /// Kills the first control service.
    KillControl,
    /// Suspends it by a signal.
    StopControl,
    /// Resumes it.
    WakeControl,
    /// Starts it again.
    StartControl {
        /// What it finds on its disk.
        disk: Disk,
    },
    /// Publishes another document.
    Publish {
        /// Whether jobs fare badly under it.
        harmful: bool,
    },
    /// Kills the second site's control service.
    KillOther,
    /// Suspends it by a signal.
    StopOther,
    /// Resumes it.
    WakeOther,
    /// Starts it again.
    StartOther {
        /// What it finds on its disk.
        disk: Disk,
    },
    /// Holds what the lessors of the two sites send to each other.
    CutKeepers {
        /// The directions held.
        #[serde(rename = "ways")]
        directions: Directions,
    },
    /// Ends that.
    HealKeepers,
    /// Publishes budgets with another total.
    #[serde(rename = "whole")]
    SetBudgetTotal {
        /// The new total.
        units: u32,
    },
    /// Suspends the control services and all nodes together, as on a machine that stalls.
    Stall {
        /// How long, in ms.
        ms: u32,
    },
}

/// A fault and what it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// What has to happen first.
    #[serde(rename = "cue")]
    pub trigger: Trigger,
    /// The fault to inject.
    pub fault: Fault,
}

/// Faults to inject into a group, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultPlan {
    /// The seed that the plan was drawn by.
    pub seed: u64,
    /// How many nodes the group has.
    pub nodes: usize,
    /// Jobs a second to each node.
    pub rate: f64,
    /// The budget that the nodes share, if they do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<SharedBudgetPlan>,
    /// What surrounds the faults, in a soak.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub soak: Option<SoakPlan>,
    /// The steps, in order.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

/// What a plan says of a shared budget; the rest has defaults.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedBudgetPlan {
    /// How many sites have a control service and a lessor: 1 or 2.
    pub sites: usize,
    /// Units of the budget over all sites.
    #[serde(rename = "whole")]
    pub total: u32,
}

/// What surrounds the faults of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoakPlan {
    /// Each node's time to drain, in ms.
    pub stop_ms: u32,
    /// For how long callers go on sending on a connection on which a node said that it drains, in ms.
    pub drain_notice_delay_ms: u32,
    /// Clients of each node that connect and say nothing.
    pub idle_clients: u32,
    /// How long nothing happens before the first fault, in ms.
    pub quiet_ms: u32,
}

impl FaultPlan {
    /// The plan in TOML, as [`FaultPlan::read`] reads it.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_else(|error| format!("# {error}\n"))
    }

    /// Reads a plan.
    ///
    /// # Errors
    ///
    /// [`PlanError`] if the text is not a plan, or a value is out of its range.
    pub fn read(text: &str) -> Result<FaultPlan, PlanError> {
        let plan: FaultPlan = toml::from_str(text)?;
        let named = plan.steps.iter().filter_map(|steps| steps.fault.node()).chain(
            plan.steps.iter().filter_map(|steps| match steps.trigger {
                Trigger::OnTrial(node)
                | Trigger::Draining(node)
                | Trigger::Ended(node)
                | Trigger::Ready(node) => Some(node),
                _ => None,
            }),
        );
        match named.max() {
            Some(node) if node >= plan.nodes => Err(PlanError::UnknownNode { node, nodes: plan.nodes }),
            _ if plan.nodes == 0 => Err(PlanError::NoNodes),
            _ if plan.shared.is_some_and(|shared| shared.sites == 0 || shared.sites > 2) => {
                Err(PlanError::Sites)
            }
            _ if !(plan.rate > 0.0 && plan.rate <= 1000.0) => Err(PlanError::Rate),
            _ => Ok(plan),
        }
    }
}

impl Fault {
    /// The node that the fault concerns, if it concerns one.
    pub fn node(&self) -> Option<usize> {
        match *self {
            Fault::Cut { node, .. }
            | Fault::Delay { node, .. }
            | Fault::Rate { node, .. }
            | Fault::Reset { node, .. }
            | Fault::ResetAfter { node, .. }
            | Fault::Refuse { node, .. }
            | Fault::DegradeDatagrams { node, .. }
            | Fault::Heal { node, .. }
            | Fault::Stop { node }
            | Fault::Wake { node }
            | Fault::Kill { node }
            | Fault::Term { node }
            | Fault::TermThenKill { node }
            | Fault::Hup { node }
            | Fault::Start { node, .. } => Some(node),
            Fault::KillControl
            | Fault::StopControl
            | Fault::WakeControl
            | Fault::StartControl { .. }
            | Fault::Publish { .. }
            | Fault::KillOther
            | Fault::StopOther
            | Fault::WakeOther
            | Fault::StartOther { .. }
            | Fault::CutKeepers { .. }
            | Fault::HealKeepers
            | Fault::SetBudgetTotal { .. }
            | Fault::Stall { .. } => None,
        }
    }
}
