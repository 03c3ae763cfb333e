//! Counts denials for the log: one record for each reason and caller per second, without anything from a token.

use crate::deny_reason::DenyReason;
use hazelgrade::time::{Span, Time};
use std::collections::BTreeMap;

/// The most records in an interval; further denials are counted by reason only, without a caller.
const MAX_RECORDS: usize = 256;

/// Length of the interval in which denials are counted together, in milliseconds.
const INTERVAL_MS: f64 = 1000.0;

/// How often one caller was denied for one reason within an interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRecord {
    /// The caller's name; `None` if it is not known, or if the interval had too many records.
    pub caller: Option<String>,
    /// Why it was denied.
    pub reason: DenyReason,
    /// Denials in the interval.
    pub count: u64,
}

/// Counts denials until they are due for the log. Holds 256 records at most, and one more for each reason.
#[derive(Default)]
pub struct AuditLog {
    interval_began: Option<Time>,
    counts: BTreeMap<(Option<String>, DenyReason), u64>,
    total: u64,
}

impl AuditLog {
    /// Counts a denial.
    pub fn record(&mut self, now: Time, caller: Option<&str>, reason: DenyReason) {
        self.total += 1;
        self.interval_began.get_or_insert(now);
        let own = (caller.map(str::to_owned), reason);
        let has_room = self.counts.len() < MAX_RECORDS || self.counts.contains_key(&own);
        let key = if has_room { own } else { (None, reason) };
        *self.counts.entry(key).or_default() += 1;
    }

    /// Takes the records of an interval that is over, by caller and reason; empty before that.
    pub fn take_due(&mut self, now: Time) -> Vec<AuditRecord> {
        let is_due = |began: Time| now.since(began) >= Span::from_ms(INTERVAL_MS);
        if !self.interval_began.is_some_and(is_due) {
            return Vec::new();
        }
        self.interval_began = None;
        let counts = std::mem::take(&mut self.counts).into_iter();
        counts.map(|((caller, reason), count)| AuditRecord { caller, reason, count }).collect()
    }

    /// Denials since the start.
    pub fn total(&self) -> u64 {
        self.total
    }
}
