//! Judges a play by the rules that clients see: one answer in time for each request, no effect twice.

use crate::client::{Ending, Outcome};
use crate::play::{Life, Plan, Record};
use hazelgrade_fakes::system_faults::SystemCall;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// How long after its deadline a request may be answered: the settings' slack of 60 ms, and 50 ms on sockets.
const SLACK: Duration = Duration::from_millis(110);
/// A request that was written no longer than this before the end of its connection has crossed it.
const CROSSING: Duration = Duration::from_millis(50);

/// Lines of the log that are shown of a play that broke a rule.
const MAX_LINES: usize = 60;

/// What a play showed.
pub struct Verdict {
    pub seed: u64,
    plan: Plan,
    count: usize,
    endings: BTreeMap<Ending, usize>,
    slowest: Duration,
    broken: Vec<String>,
    hits: Vec<(SystemCall, i64)>,
    exit_codes: Vec<Option<i32>>,
    log: Vec<String>,
}

/// Judges what happened.
pub fn judge(record: &Record) -> Verdict {
    let mut broken = Vec::new();
    let mut endings = BTreeMap::new();
    for outcome in &record.outcomes {
        *endings.entry(outcome.ending).or_default() += 1;
        broken.extend(broken_rule(record, outcome));
    }
    broken.extend(run_twice(record));
    let ended_wrong = record.lives.iter().filter(|life| life.killed.is_none() && life.exit_code != Some(0));
    broken.extend(ended_wrong.map(|life| format!("exit code {:?}", life.exit_code)));
    if record.plan.fails_calls {
        let missed = record.hits.iter().filter(|(_, hits)| *hits == 0);
        broken.extend(missed.map(|(call, _)| format!("{call:?} never failed: the play proves nothing")));
    }
    Verdict {
        seed: record.plan.seed,
        plan: record.plan.clone(),
        count: record.outcomes.len(),
        endings,
        slowest: record.outcomes.iter().map(latency).max().unwrap_or_default(),
        broken,
        hits: record.hits.clone(),
        exit_codes: record.lives.iter().map(|life| life.exit_code).collect(),
        log: telling_lines(record),
    }
}

fn latency(outcome: &Outcome) -> Duration {
    outcome.ended.duration_since(outcome.written)
}

/// Returns the rule that this request's outcome breaks, if any.
fn broken_rule(record: &Record, outcome: &Outcome) -> Option<String> {
    let took = latency(outcome);
    let deadline = record.plan.classes[outcome.class].deadline;
    let describe = |rule: &str| {
        let Outcome { id, number, .. } = outcome;
        format!(
            "{rule}: {id}, request {number} of its connection, {took:?} of {deadline:?}, {:?}",
            outcome.ending
        )
    };
    let allowed = deadline + SLACK + paused(record, outcome);
    match outcome.ending {
        Ending::Unanswered if took > CROSSING => Some(describe("lost")),
        Ending::Unanswered | Ending::Abandoned => None,
        Ending::Unreadable => Some(describe("answer that can't be read, or a second one")),
        Ending::Served | Ending::Rejected | Ending::Failed if took > allowed => Some(describe("late")),
        Ending::Rejected if is_keyed(record, outcome) && has_run(record, outcome) => {
            Some(describe("rejected after its run"))
        }
        Ending::Served | Ending::Rejected | Ending::Failed => None,
    }
}

fn has_run(record: &Record, outcome: &Outcome) -> bool {
    record.lives.iter().any(|life| life.runs.contains_key(&outcome.id))
}

fn is_keyed(record: &Record, outcome: &Outcome) -> bool {
    record.plan.classes[outcome.class].is_keyed
}

/// Returns for how long the process stood still during this request.
fn paused(record: &Record, outcome: &Outcome) -> Duration {
    let overlap = |(from, to): &(_, _)| {
        let end = outcome.ended.min(*to);
        end.saturating_duration_since(outcome.written.max(*from))
    };
    record.lives.iter().flat_map(|life| &life.pauses).map(overlap).sum()
}

/// Returns the lines of the node's log about ended connections, violations and the jobs of requests that were lost.
fn telling_lines(record: &Record) -> Vec<String> {
    let is_lost = |outcome: &&Outcome| broken_rule(record, outcome).is_some();
    let lost: Vec<&str> = record.outcomes.iter().filter(is_lost).map(|outcome| outcome.id.as_str()).collect();
    let words = ["violates", "throttled after", "paused", "stepped", "WARN", "ERROR", "draining", "drained"];
    let tells = |line: &&str| {
        words.iter().any(|word| line.contains(word))
            || (line.contains("connection ended") && !line.contains("closed by the peer"))
            || lost.iter().any(|id| line.contains(id))
    };
    record.log.lines().filter(tells).take(MAX_LINES).map(str::to_owned).collect()
}

/// Returns the keys of which more than one try was run in one life of the node. Clients try again inside the window only.
fn run_twice(record: &Record) -> Vec<String> {
    record.lives.iter().flat_map(|life| run_twice_in(record, life)).collect()
}

fn run_twice_in(record: &Record, life: &Life) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for outcome in &record.outcomes {
        if let Some(key) = &outcome.key
            && let Some(count) = life.runs.get(&outcome.id)
        {
            runs.entry(key).or_default().extend(vec![outcome.id.as_str(); *count as usize]);
        }
    }
    let twice = runs.iter().filter(|(_, tries)| tries.len() > 1);
    twice.map(|(key, tries)| format!("effect twice: key {key}, tries {tries:?}")).collect()
}

impl Verdict {
    pub fn is_kept(&self) -> bool {
        self.broken.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Plan { rates, has_crowd, steps_clock, fails_calls, .. } = &self.plan;
        let verdict = if self.is_kept() { "kept" } else { "BROKEN" };
        write!(
            formatter,
            "seed {}: {verdict}; {} requests {:?}, slowest {:?}; rates {rates:?}, crowd {has_crowd}, clock {steps_clock}, \
             calls {fails_calls} {:?}, exit {:?}",
            self.seed, self.count, self.endings, self.slowest, self.hits, self.exit_codes
        )?;
        if self.is_kept() {
            return Ok(());
        }
        let more = self.broken.len().saturating_sub(12);
        for line in self.broken.iter().take(12).chain(&self.log) {
            write!(formatter, "\n    {line}")?;
        }
        write!(formatter, "\n    and {more} more rules broken")
    }
}
