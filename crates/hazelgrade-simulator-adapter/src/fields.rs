//! The fields of a line, separated by tabs and read one after the other.

use crate::error::LineError;
use hazelgrade::api::{JobId, Outcome};
use hazelgrade::time::{Span, Time};

/// Numbers must be smaller than this in magnitude.
const MAX_MAGNITUDE: f64 = 1e15;
/// The greatest whole number.
const MAX_WHOLE: u64 = 1 << 63;

/// The fields of a line that were not read yet.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Fields<'a> {
        Fields { rest: Some(line) }
    }

    pub fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        let Some(rest) = self.rest else {
            return LineError::field(field, "one more field on the line");
        };
        let Some((text, rest)) = rest.split_once('\t') else {
            self.rest = None;
            return Ok(rest);
        };
        self.rest = Some(rest);
        Ok(text)
    }

    /// All that is left of the line.
    pub fn remainder(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest.take().map_or_else(|| LineError::field(field, "text up to the end of the line"), Ok)
    }

    pub fn whole(&mut self, field: &'static str) -> Result<u64, LineError> {
        match self.text(field)?.parse::<u64>() {
            Ok(number) if number <= MAX_WHOLE => Ok(number),
            _ => LineError::field(field, "a whole number from 0 to 2^63"),
        }
    }

    /// A finite number from `least` up.
    fn number(&mut self, field: &'static str, least: f64) -> Result<f64, LineError> {
        parse_number(field, self.text(field)?, least)
    }

    /// A finite number from `least` up, or `absent` in place of `-`.
    pub fn optional_number(
        &mut self,
        field: &'static str,
        least: f64,
        absent: f64,
    ) -> Result<f64, LineError> {
        match self.text(field)? {
            "-" => Ok(absent),
            text => parse_number(field, text, least),
        }
    }

    pub fn time(&mut self, field: &'static str) -> Result<Time, LineError> {
        self.number(field, f64::MIN).map(Time::from_ms)
    }

    pub fn span(&mut self, field: &'static str) -> Result<Span, LineError> {
        self.number(field, 0.0).map(Span::from_ms)
    }

    pub fn job_id(&mut self, field: &'static str) -> Result<JobId, LineError> {
        match self.text(field)? {
            "" | "-" => LineError::field(field, "a job's id"),
            text => Ok(text.into()),
        }
    }

    pub fn outcome(&mut self, field: &'static str) -> Result<Outcome, LineError> {
        Ok(match self.text(field)? {
            "completed" => Outcome::Completed,
            "errored" => Outcome::Failed,
            "saturated" => Outcome::Rejected,
            "overdue" => Outcome::TimedOut,
            "refused_conn" => Outcome::Unreachable,
            "severed" => Outcome::ConnectionLost,
            "recalled" => Outcome::Cancelled,
            "superseded" => Outcome::Superseded,
            _ => return LineError::field(field, "one of the outcome codes"),
        })
    }

    /// Checks that nothing is left of the line.
    pub fn end(&self) -> Result<(), LineError> {
        if self.rest.is_some() {
            return LineError::field("after the last one", "the end of the line");
        }
        Ok(())
    }
}

fn parse_number(field: &'static str, text: &str, least: f64) -> Result<f64, LineError> {
    match text.parse::<f64>() {
        Ok(number) if number.is_finite() && number >= least && number.abs() < MAX_MAGNITUDE => Ok(number),
        _ => LineError::field(field, "a finite number in range"),
    }
}
