//! Runs a fault plan on a group: waits for each step's trigger, injects its fault, and checks the rules at the end.

use crate::group::{Group, GroupError, GroupNode, Surroundings};
use crate::history::{History, Violation};
use crate::plan::{FaultPlan, SharedBudgetPlan, Step, Trigger};
use crate::shared_budget::SharedBudgetConfig;
use std::path::Path;
use std::time::Duration;

/// A trigger may never happen, as other faults prevent it: its step is taken after this time all the same.
const TRIGGER_TIMEOUT: Duration = Duration::from_secs(4);

/// What became of a plan.
pub struct PlanResult {
    /// What happened.
    pub history: History,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// Steps whose trigger did not happen in time.
    pub missed_triggers: usize,
}

/// Why a plan could not be played to its end.
#[derive(Debug, thiserror::Error)]
pub enum PlanRunError {
    /// The group did not start.
    #[error(transparent)]
    Start(#[from] GroupError),
    /// A step's fault could not be injected.
    #[error("{step:?}: {source}")]
    Step {
        /// The step.
        step: Step,
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// Starts a group by the plan, injects its faults, and judges what happened.
///
/// # Errors
///
/// [`PlanRunError`] if the group does not start or a fault cannot be injected; a broken rule is no error.
pub fn run_plan(plan: &FaultPlan, program: &Path, arguments: &[&str]) -> Result<PlanResult, PlanRunError> {
    let setting = plan.shared.map(|SharedBudgetPlan { sites, total: whole }| SharedBudgetConfig {
        sites,
        total: whole,
        ..SharedBudgetConfig::default()
    });
    let surroundings = plan.soak.map_or(Surroundings::default(), Surroundings::from);
    let mut group = Group::start_in(program, arguments, plan.nodes, plan.rate, setting, surroundings)?;
    if let Some(soak) = plan.soak {
        let quiet = Duration::from_millis(u64::from(soak.quiet_ms));
        group.wait_until(quiet, |_| false);
    }
    let mut unmet = 0;
    for step in &plan.steps {
        if !await_trigger(&mut group, step.trigger) {
            unmet += 1;
        }
        group.inject(step.fault).map_err(|source| PlanRunError::Step { step: *step, source })?;
    }
    let history = group.finish();
    Ok(PlanResult { violations: history.violations(), history, missed_triggers: unmet })
}

fn await_trigger(group: &mut Group, trigger: Trigger) -> bool {
    let answers = |group: &Group| group.nodes.iter().map(GroupNode::job_count).sum::<usize>() as u64;
    let before = answers(group);
    let registry = group.registry.clone();
    group.wait_until(TRIGGER_TIMEOUT, |group| {
        let has_standing = |node: usize, standings: &[&str]| {
            let known = &group.standings[node];
            known.version.ends_with(&group.published_digest) && standings.contains(&known.standing.as_str())
        };
        match trigger {
            Trigger::Now => true,
            Trigger::Answers(count) => answers(group) >= before + count,
            Trigger::Acknowledged(count) => {
                let taken = ["on trial", "good"];
                (0..group.nodes.len()).filter(|node| has_standing(*node, &taken)).count() >= count
            }
            Trigger::OnTrial(node) => has_standing(node, &["on trial"]),
            Trigger::Draining(node) => {
                let name = &group.nodes[node].node.config.name;
                !group.nodes[node].is_running() || registry.last_state(name).as_deref() == Some("draining")
            }
            Trigger::Ended(node) => !group.nodes[node].is_running(),
            Trigger::Ready(node) => group.nodes[node].is_ready(),
        }
    })
}
