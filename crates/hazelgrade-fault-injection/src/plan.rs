//! Fault plans: which fault comes when, by what has happened and not by the clock. Drawn by seed, written and read as
//! TOML, so that what failed can be played again.

use hazelgrade::random::MultiplyWithCarry;
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

/// What has to have happened, since the step before, for a step to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trigger {
    Now,
    /// So many more answers reached callers, over the whole group.
    Answers(u64),
    /// So many nodes have acknowledged the version that was published last.
    Acknowledged(usize),
    /// A node has the version that was published last on trial.
    OnTrial(usize),
    /// A node says that it drains, or has ended.
    Draining(usize),
    Ended(usize),
    /// A node is ready, as a check says.
    Ready(usize),
}

/// What of a node an edge leads to or from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Link {
    Callers,
    Executor,
    Database,
    Registry,
    Control,
}

/// `To` the process that listens, as seen from the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Directions {
    Both,
    To,
    Back,
}

/// What a process finds on the disk when it is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disk {
    Own,
    /// As it was when the version before the last was good: yesterday's.
    Old,
    Empty,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    Cut {
        node: usize,
        link: Link,
        #[serde(rename = "ways")]
        directions: Directions,
    },
    Delay {
        node: usize,
        link: Link,
        ms: u32,
    },
    Rate {
        node: usize,
        link: Link,
        bytes_per_s: u32,
    },
    Reset {
        node: usize,
        link: Link,
    },
    ResetAfter {
        node: usize,
        link: Link,
        bytes: u32,
    },
    Refuse {
        node: usize,
        link: Link,
    },
    /// Datagrams to the registry: parts of a hundred.
    #[serde(rename = "garble")]
    DegradeDatagrams {
        node: usize,
        lost: u32,
        #[serde(rename = "doubled")]
        duplicated: u32,
        #[serde(rename = "overtaken")]
        reordered: u32,
    },
    Heal {
        node: usize,
        link: Link,
    },
    Stop {
        node: usize,
    },
    Wake {
        node: usize,
    },
    Kill {
        node: usize,
    },
    Term {
        node: usize,
    },
    Hup {
        node: usize,
    },
    Start {
        node: usize,
        disk: Disk,
    },
    KillControl,
    StopControl,
    WakeControl,
    StartControl {
        disk: Disk,
    },
    Publish {
        harmful: bool,
    },
    /// The same with the second site's control service.
    KillOther,
    StopOther,
    WakeOther,
    StartOther {
        disk: Disk,
    },
    /// The keepers of the two sites, from each other.
    CutKeepers {
        #[serde(rename = "ways")]
        directions: Directions,
    },
    HealKeepers,
    /// Publishes budgets with another whole.
    #[serde(rename = "whole")]
    SetBudgetTotal {
        units: u32,
    },
    /// The whole machine stands still, control service and nodes together.
    Stall {
        ms: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    #[serde(rename = "cue")]
    pub trigger: Trigger,
    pub fault: Fault,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultPlan {
    pub seed: u64,
    pub nodes: usize,
    /// Jobs a second to each node.
    pub rate: f64,
    /// The nodes share a budget of calls below.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<SharedBudgetPlan>,
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

/// What of a shared budget a plan names; the rest is as usual.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedBudgetPlan {
    pub sites: usize,
    #[serde(rename = "whole")]
    pub total: u32,
}

impl FaultPlan {
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
        let named = plan.steps.iter().filter_map(|step| step.fault.node()).chain(
            plan.steps.iter().filter_map(|step| match step.trigger {
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

    /// A plan of faults between nodes that share budgets. Bytes on the way to the dependency are not held: what a network
    /// holds back past the longest use and delivers all the same is counted by nobody.
    pub fn draw_shared(seed: u64, nodes: usize, faults: usize, sites: usize, whole: u32) -> FaultPlan {
        let mut plan = FaultPlan::draw(seed, nodes, faults);
        let mut chance = MultiplyWithCarry::new(seed ^ 0x5eed);
        let mut pick = |of: usize| ((chance.next_f64() * of as f64) as usize).min(of.saturating_sub(1));
        let mut step = Vec::new();
        let (mut keepers_cut, mut other_out, mut lowered) = (false, None, false);
        for one in plan.steps {
            let fault = match one.fault {
                Fault::Cut { link: Link::Database, node, .. }
                | Fault::Rate { link: Link::Database, node, .. } => {
                    Fault::Refuse { node, link: Link::Database }
                }
                other => other,
            };
            step.push(Step { fault, ..one });
            let trigger = Trigger::Answers(5 + pick(60) as u64);
            let more = match pick(8) {
                0 if sites > 1 && !keepers_cut => Some(Fault::CutKeepers {
                    directions: [Directions::Both, Directions::To, Directions::Back][pick(3)],
                }),
                1 if keepers_cut => Some(Fault::HealKeepers),
                2 if sites > 1 && other_out.is_none() => Some([Fault::KillOther, Fault::StopOther][pick(2)]),
                3 | 4 if other_out.is_some() => match other_out {
                    Some(Fault::StopOther) => Some(Fault::WakeOther),
                    _ => Some(Fault::StartOther {
                        disk: [Disk::Own, Disk::Own, Disk::Own, Disk::Old][pick(4)],
                    }),
                },
                5 if !lowered => Some(Fault::SetBudgetTotal { units: whole / 2 }),
                6 if lowered => Some(Fault::SetBudgetTotal { units: whole }),
                _ => None,
            };
            match more {
                Some(Fault::CutKeepers { .. }) => keepers_cut = true,
                Some(Fault::HealKeepers) => keepers_cut = false,
                Some(Fault::KillOther | Fault::StopOther) => other_out = more,
                Some(Fault::WakeOther | Fault::StartOther { .. }) => other_out = None,
                Some(Fault::SetBudgetTotal { units }) => lowered = units < whole,
                _ => {}
            }
            step.extend(more.map(|fault| Step { trigger, fault }));
        }
        plan.steps = step;
        plan.shared = Some(SharedBudgetPlan { sites, total: whole });
        plan
    }

    /// A plan of about so many faults, each with what ends it somewhere after.
    pub fn draw(seed: u64, nodes: usize, faults: usize) -> FaultPlan {
        let mut chance = MultiplyWithCarry::new(seed);
        let mut pick = |of: usize| ((chance.next_f64() * of as f64) as usize).min(of.saturating_sub(1));
        let mut step: Vec<Step> = Vec::new();
        let mut open: Vec<Fault> = Vec::new();
        // A node that was told to leave, killed or stopped is left alone until it is started or woken.
        let mut out: Vec<usize> = Vec::new();
        let mut control_out = false;
        for _ in 0..faults {
            if !open.is_empty() && pick(3) == 0 {
                let end = open.remove(pick(open.len()));
                out.retain(|node| {
                    !(matches!(end, Fault::Wake { .. } | Fault::Start { .. }) && end.node() == Some(*node))
                });
                control_out &= !matches!(end, Fault::WakeControl | Fault::StartControl { .. });
                step.push(Step { trigger: Trigger::Answers(10 + pick(60) as u64), fault: end });
            }
            let node = pick(nodes);
            let link =
                [Link::Callers, Link::Executor, Link::Database, Link::Registry, Link::Control][pick(5)];
            let directions = [Directions::Both, Directions::To, Directions::Back][pick(3)];
            let disk = [Disk::Own, Disk::Own, Disk::Old, Disk::Empty][pick(4)];
            let heal = Fault::Heal { node, link };
            let (fault, end) = match pick(16) {
                0 | 1 => (Fault::Cut { node, link, directions }, Some(heal)),
                2 => (Fault::Delay { node, link, ms: 1 + pick(80) as u32 }, Some(heal)),
                3 => (Fault::Rate { node, link, bytes_per_s: 20_000 + 1000 * pick(100) as u32 }, Some(heal)),
                4 => (Fault::Reset { node, link }, None),
                5 => (Fault::ResetAfter { node, link, bytes: 1 + pick(4000) as u32 }, Some(heal)),
                6 => (Fault::Refuse { node, link }, Some(heal)),
                7 => {
                    let (lost, doubled, overtaken) = (pick(60) as u32, pick(30) as u32, pick(30) as u32);
                    let heal = Fault::Heal { node, link: Link::Registry };
                    (
                        Fault::DegradeDatagrams { node, lost, duplicated: doubled, reordered: overtaken },
                        Some(heal),
                    )
                }
                8 if !out.contains(&node) => (Fault::Stop { node }, Some(Fault::Wake { node })),
                9 if !out.contains(&node) => (Fault::Kill { node }, Some(Fault::Start { node, disk })),
                10 if !out.contains(&node) => {
                    (Fault::Term { node }, Some(Fault::Start { node, disk: Disk::Own }))
                }
                11 => (Fault::Hup { node }, None),
                12 if !control_out => {
                    // Of a counter that went back nodes are told by themselves; one that is lost likewise.
                    (Fault::KillControl, Some(Fault::StartControl { disk }))
                }
                13 if !control_out => (Fault::StopControl, Some(Fault::WakeControl)),
                14 => (Fault::Stall { ms: 200 + pick(600) as u32 }, None),
                _ => (Fault::Publish { harmful: pick(4) == 0 }, None),
            };
            match fault {
                Fault::Stop { node } | Fault::Kill { node } | Fault::Term { node } => out.push(node),
                Fault::KillControl | Fault::StopControl => control_out = true,
                _ => {}
            }
            let trigger = match pick(6) {
                0 => Trigger::Now,
                1 if !control_out => Trigger::Acknowledged(1 + pick(nodes)),
                _ => Trigger::Answers(5 + pick(80) as u64),
            };
            step.push(Step { trigger, fault });
            open.extend(end);
        }
        FaultPlan { seed, nodes, rate: 40.0, shared: None, steps: step }
    }
}

impl Fault {
    /// The node that it is about, if it is about one.
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
