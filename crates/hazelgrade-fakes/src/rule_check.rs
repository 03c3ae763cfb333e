//! Checks the rules on what callers were answered and what the executor ran.

use crate::callers::{JobOutcome, JobResult};
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};
use std::time::Duration;

/// Violations of the rules, by job, and how many jobs had which outcome.
#[derive(Clone, Debug, Default)]
pub struct RuleCheck {
    /// How many jobs were checked.
    pub count: usize,
    /// How many jobs had each outcome.
    pub outcomes: BTreeMap<JobOutcome, usize>,
    /// Jobs without an answer.
    pub lost: Vec<String>,
    /// Jobs answered after their deadline.
    pub late: Vec<String>,
    /// Answers for no open call.
    pub answered_twice: u64,
    /// Jobs that were started more than once.
    pub run_twice: Vec<String>,
    /// Jobs that were rejected or denied, and ran.
    pub rejected_and_run: Vec<String>,
}

/// Checks what callers were answered against what the executor ran. `grace` is by how much an answer may reach its
/// caller later than it was given.
pub fn check(
    results: &[JobResult],
    answered_twice: u64,
    runs: &BTreeMap<String, u32>,
    deadline: Duration,
    grace: Duration,
) -> RuleCheck {
    let mut check = RuleCheck { count: results.len(), answered_twice, ..RuleCheck::default() };
    for result in results {
        *check.outcomes.entry(result.outcome).or_default() += 1;
        if result.outcome == JobOutcome::Lost {
            check.lost.push(result.id.clone());
        } else if result.outcome != JobOutcome::Crossed && result.latency > deadline + grace {
            check.late.push(result.id.clone());
        }
    }
    check.run_twice = runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id.clone()).collect();
    let rejected = results.iter().filter(|result| {
        matches!(result.outcome, JobOutcome::Rejected | JobOutcome::Denied) && runs.contains_key(&result.id)
    });
    check.rejected_and_run = rejected.map(|result| result.id.clone()).collect();
    check
}

impl RuleCheck {
    /// No job lost or late, none answered or run twice. An idempotent job may be stopped and rejected.
    pub fn passed(&self) -> bool {
        self.lost.is_empty() && self.late.is_empty() && self.answered_twice == 0 && self.run_twice.is_empty()
    }

    /// How many jobs had this outcome.
    pub fn count_of(&self, outcome: JobOutcome) -> usize {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }
}

impl Display for RuleCheck {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let count = |outcome| self.count_of(outcome);
        write!(
            formatter,
            "{} jobs: {} satisfied, {} bounced, {} denied, {} written off, {} answered otherwise, {} sent again; {} lost, {} late, {} answered twice, {} run twice",
            self.count,
            count(JobOutcome::Succeeded),
            count(JobOutcome::Rejected),
            count(JobOutcome::Denied),
            count(JobOutcome::Failed),
            count(JobOutcome::Wrong),
            count(JobOutcome::Crossed),
            self.lost.len(),
            self.late.len(),
            self.answered_twice,
            self.run_twice.len()
        )
    }
}
