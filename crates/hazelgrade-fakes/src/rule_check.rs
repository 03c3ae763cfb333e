//! Checks the rules on what callers were told and what the executor ran.

use crate::callers::{JobOutcome, JobResult};
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};
use std::time::Duration;

/// Breaks of the rules, with the jobs, and what became of jobs in all.
#[derive(Clone, Debug, Default)]
pub struct RuleCheck {
    pub count: usize,
    pub outcomes: BTreeMap<JobOutcome, usize>,
    /// Jobs without an answer.
    pub lost: Vec<String>,
    /// Jobs answered after their deadline.
    pub late: Vec<String>,
    /// Answers for no open call.
    pub answered_twice: u64,
    /// Jobs that were started more than once.
    pub run_twice: Vec<String>,
    /// Jobs that were rejected, so never ran, and did.
    pub rejected_and_run: Vec<String>,
}

/// `grace` is by how much an answer may reach its caller later than it was given.
pub fn check(
    told: &[JobResult],
    answered_twice: u64,
    runs: &BTreeMap<String, u32>,
    deadline: Duration,
    grace: Duration,
) -> RuleCheck {
    let mut verdict = RuleCheck { count: told.len(), answered_twice, ..RuleCheck::default() };
    for told in told {
        *verdict.outcomes.entry(told.outcome).or_default() += 1;
        if told.outcome == JobOutcome::Lost {
            verdict.lost.push(told.id.clone());
        } else if told.outcome != JobOutcome::Crossed && told.latency > deadline + grace {
            verdict.late.push(told.id.clone());
        }
    }
    verdict.run_twice = runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id.clone()).collect();
    let rejected = told.iter().filter(|told| {
        matches!(told.outcome, JobOutcome::Rejected | JobOutcome::Denied) && runs.contains_key(&told.id)
    });
    verdict.rejected_and_run = rejected.map(|told| told.id.clone()).collect();
    verdict
}

impl RuleCheck {
    /// No job lost or late, none answered or run twice. A idempotent job may be stopped and rejected.
    pub fn passed(&self) -> bool {
        self.lost.is_empty() && self.late.is_empty() && self.answered_twice == 0 && self.run_twice.is_empty()
    }

    pub fn count_of(&self, fate: JobOutcome) -> usize {
        self.outcomes.get(&fate).copied().unwrap_or(0)
    }
}

impl Display for RuleCheck {
    fn fmt(&self, to: &mut Formatter<'_>) -> Result {
        let part = |fate| self.count_of(fate);
        write!(
            to,
            "{} jobs: {} satisfied, {} bounced, {} denied, {} written off, {} answered otherwise, {} sent again; {} lost, {} late, {} answered twice, {} run twice",
            self.count,
            part(JobOutcome::Succeeded),
            part(JobOutcome::Rejected),
            part(JobOutcome::Denied),
            part(JobOutcome::Failed),
            part(JobOutcome::Wrong),
            part(JobOutcome::Crossed),
            self.lost.len(),
            self.late.len(),
            self.answered_twice,
            self.run_twice.len()
        )
    }
}
