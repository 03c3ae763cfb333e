//! Plays a plan on a group: waits for what each step waits for, brings its fault about, and judges at the end.

use crate::account::{Account, Break};
use crate::group::{Group, Member};
use crate::plan::{Cue, Plan, SharedSeed};
use crate::shared::Setting;
use std::path::Path;
use std::time::Duration;

/// What a step waits for may never happen, as other faults forbid it: it is taken then all the same.
const CUE_WITHIN: Duration = Duration::from_secs(4);

/// What became of a plan.
pub struct Played {
    pub account: Account,
    pub breaks: Vec<Break>,
    /// Steps whose cue did not come.
    pub unmet: usize,
}

pub fn play(plan: &Plan, program: &Path, words: &[&str]) -> Result<Played, String> {
    let setting =
        plan.shared.map(|SharedSeed { sites, whole }| Setting { sites, whole, ..Setting::default() });
    let mut group = Group::start_with(program, words, plan.nodes, plan.rate, setting)?;
    let mut unmet = 0;
    for step in &plan.step {
        if !await_cue(&mut group, step.cue) {
            unmet += 1;
        }
        group.cause(step.fault).map_err(|error| format!("{step:?}: {error}"))?;
    }
    let account = group.finish();
    Ok(Played { breaks: account.breaks(), account, unmet })
}

fn await_cue(group: &mut Group, cue: Cue) -> bool {
    let answers = |group: &Group| group.members.iter().map(Member::jobs).sum::<usize>() as u64;
    let before = answers(group);
    let registry = group.registry.clone();
    group.comes(CUE_WITHIN, |group| {
        let stands = |node: usize, words: &[&str]| {
            let (of, standing) = &group.standings[node];
            of.ends_with(&group.digest) && words.contains(&standing.as_str())
        };
        match cue {
            Cue::Now => true,
            Cue::Answers(count) => answers(group) >= before + count,
            Cue::Acknowledged(count) => {
                let taken = ["on trial", "good"];
                (0..group.members.len()).filter(|node| stands(*node, &taken)).count() >= count
            }
            Cue::OnTrial(node) => stands(node, &["on trial"]),
            Cue::Draining(node) => {
                let name = &group.members[node].node.plan.name;
                !group.members[node].is_running() || registry.says(name).as_deref() == Some("draining")
            }
            Cue::Ended(node) => !group.members[node].is_running(),
            Cue::Ready(node) => group.members[node].is_ready(),
        }
    })
}
