//! Plays a plan on a group: waits for what each step waits for, brings its fault about, and judges at the end.

use crate::group::{Group, GroupError, Member};
use crate::history::{History, Violation};
use crate::plan::{Plan, SharedSeed, Step, Trigger};
use crate::shared_budget::Setting;
use std::path::Path;
use std::time::Duration;

/// What a step waits for may never happen, as other faults forbid it: it is taken then all the same.
const CUE_WITHIN: Duration = Duration::from_secs(4);

/// What became of a plan.
pub struct PlanResult {
    pub history: History,
    pub violations: Vec<Violation>,
    /// Steps whose cue did not come.
    pub unmet: usize,
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
pub fn play(plan: &Plan, program: &Path, words: &[&str]) -> Result<PlanResult, PlanRunError> {
    let setting =
        plan.shared.map(|SharedSeed { sites, whole }| Setting { sites, whole, ..Setting::default() });
    let mut group = Group::start_with(program, words, plan.nodes, plan.rate, setting)?;
    let mut unmet = 0;
    for step in &plan.step {
        if !await_trigger(&mut group, step.trigger) {
            unmet += 1;
        }
        group.inject(step.fault).map_err(|source| PlanRunError::Step { step: *step, source })?;
    }
    let history = group.finish();
    Ok(PlanResult { violations: history.violations(), history, unmet })
}

fn await_trigger(group: &mut Group, trigger: Trigger) -> bool {
    let answers = |group: &Group| group.members.iter().map(Member::jobs).sum::<usize>() as u64;
    let before = answers(group);
    let registry = group.registry.clone();
    group.wait_until(CUE_WITHIN, |group| {
        let stands = |node: usize, words: &[&str]| {
            let (of, standing) = &group.standings[node];
            of.ends_with(&group.digest) && words.contains(&standing.as_str())
        };
        match trigger {
            Trigger::Now => true,
            Trigger::Answers(count) => answers(group) >= before + count,
            Trigger::Acknowledged(count) => {
                let taken = ["on trial", "good"];
                (0..group.members.len()).filter(|node| stands(*node, &taken)).count() >= count
            }
            Trigger::OnTrial(node) => stands(node, &["on trial"]),
            Trigger::Draining(node) => {
                let name = &group.members[node].node.plan.name;
                !group.members[node].is_running() || registry.says(name).as_deref() == Some("draining")
            }
            Trigger::Ended(node) => !group.members[node].is_running(),
            Trigger::Ready(node) => group.members[node].is_ready(),
        }
    })
}
