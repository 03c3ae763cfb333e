//! Refusals, counted: one line for each reason, caller and second; never anything of a token.

use crate::token::Refused;
use hazelgrade::time::{Span, Time};
use std::collections::BTreeMap;

/// Rows in a second; what is past that is counted together.
const ROWS: usize = 256;

/// One line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The caller's name; none where it is not known, or for what did not fit.
    pub caller: Option<String>,
    pub refused: Refused,
    pub count: u64,
}

#[derive(Default)]
pub struct Audit {
    since: Option<Time>,
    rows: BTreeMap<(Option<String>, Refused), u64>,
    pub total: u64,
}

impl Audit {
    pub fn refused(&mut self, now: Time, caller: Option<&str>, refused: Refused) {
        self.total += 1;
        self.since.get_or_insert(now);
        let own = (caller.map(str::to_owned), refused);
        let row = if self.rows.len() < ROWS || self.rows.contains_key(&own) { own } else { (None, refused) };
        *self.rows.entry(row).or_default() += 1;
    }

    /// The lines of a second that is over; nothing before.
    pub fn due(&mut self, now: Time) -> Vec<Line> {
        if self.since.is_none_or(|since| now.since(since) < Span::from_ms(1000.0)) {
            return Vec::new();
        }
        self.since = None;
        let rows = std::mem::take(&mut self.rows).into_iter();
        rows.map(|((caller, refused), count)| Line { caller, refused, count }).collect()
    }
}
