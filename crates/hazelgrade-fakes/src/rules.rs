//! Checks the rules on what callers were told and what the executor ran.

use crate::callers::{Fate, Told};
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};
use std::time::Duration;

/// Breaks of the rules, with the jobs, and what became of jobs in all.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub count: usize,
    pub fates: BTreeMap<Fate, usize>,
    /// Jobs without an answer.
    pub lost: Vec<String>,
    /// Jobs answered after their deadline.
    pub late: Vec<String>,
    /// Answers for no open call.
    pub answered_twice: u64,
    /// Jobs that were started more than once.
    pub run_twice: Vec<String>,
    /// Jobs that were rejected, so never ran, and did.
    pub bounced_and_run: Vec<String>,
}

/// `grace` is by how much an answer may reach its caller later than it was given.
pub fn check(
    told: &[Told],
    answered_twice: u64,
    runs: &BTreeMap<String, u32>,
    deadline: Duration,
    grace: Duration,
) -> Verdict {
    let mut verdict = Verdict { count: told.len(), answered_twice, ..Verdict::default() };
    for told in told {
        *verdict.fates.entry(told.fate).or_default() += 1;
        if told.fate == Fate::Lost {
            verdict.lost.push(told.id.clone());
        } else if told.fate != Fate::Crossed && told.after > deadline + grace {
            verdict.late.push(told.id.clone());
        }
    }
    verdict.run_twice = runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id.clone()).collect();
    let rejected = told
        .iter()
        .filter(|told| matches!(told.fate, Fate::Rejected | Fate::Denied) && runs.contains_key(&told.id));
    verdict.bounced_and_run = rejected.map(|told| told.id.clone()).collect();
    verdict
}

impl Verdict {
    /// No job lost or late, none answered or run twice. A idempotent job may be stopped and rejected.
    pub fn kept(&self) -> bool {
        self.lost.is_empty() && self.late.is_empty() && self.answered_twice == 0 && self.run_twice.is_empty()
    }

    pub fn of(&self, fate: Fate) -> usize {
        self.fates.get(&fate).copied().unwrap_or(0)
    }
}

impl Display for Verdict {
    fn fmt(&self, to: &mut Formatter<'_>) -> Result {
        let part = |fate| self.of(fate);
        write!(
            to,
            "{} jobs: {} satisfied, {} bounced, {} denied, {} written off, {} answered otherwise, {} sent again; {} lost, {} late, {} answered twice, {} run twice",
            self.count,
            part(Fate::Succeeded),
            part(Fate::Rejected),
            part(Fate::Denied),
            part(Fate::Failed),
            part(Fate::Wrong),
            part(Fate::Crossed),
            self.lost.len(),
            self.late.len(),
            self.answered_twice,
            self.run_twice.len()
        )
    }
}
