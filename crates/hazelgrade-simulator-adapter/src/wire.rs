//! The line protocol: decodes each line into a call on `EventSink`, encodes decisions into lines.

use hazelgrade::api::*;
use hazelgrade::controller::{Controller, EventSink};
use hazelgrade::time::{Span, Time};
use hazelgrade_settings::SettingsError;
use serde_json::Value;
use std::fmt::Write;

/// The error of a field of which `expected` was expected.
fn invalid<T>(field: &str, expected: &str) -> Result<T, SettingsError> {
    Err(SettingsError::new(field, expected))
}

/// The fields of a line, taken one after the other.
pub struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Fields<'a> {
        Fields { rest: Some(line) }
    }

    pub fn text(&mut self, field: &str) -> Result<&'a str, SettingsError> {
        let Some(rest) = self.rest else {
            return invalid(field, "one more field on the line");
        };
        let (now, later) = match rest.split_once('\t') {
            Some((now, later)) => (now, Some(later)),
            None => (rest, None),
        };
        self.rest = later;
        Ok(now)
    }

    /// All that is left of the line.
    fn remainder(&mut self, field: &str) -> Result<&'a str, SettingsError> {
        self.rest.take().map_or_else(|| invalid(field, "text up to the end of the line"), Ok)
    }

    pub fn whole(&mut self, field: &str) -> Result<u64, SettingsError> {
        let text = self.text(field)?;
        match text.parse::<u64>() {
            Ok(number) if number <= 1 << 63 => Ok(number),
            _ => invalid(field, "a whole number from 0 to 2^63"),
        }
    }

    /// A number from `least` up, or the value for an absent one.
    fn number(&mut self, field: &str, least: f64, absent: Option<f64>) -> Result<f64, SettingsError> {
        let text = self.text(field)?;
        match (text, absent) {
            ("-", Some(absent)) => Ok(absent),
            _ => match text.parse::<f64>() {
                Ok(number) if number.is_finite() && number >= least && number.abs() < 1e15 => Ok(number),
                _ => invalid(field, "a finite number in range"),
            },
        }
    }

    pub fn time(&mut self, field: &str) -> Result<Time, SettingsError> {
        self.number(field, f64::MIN, None).map(Time::from_ms)
    }

    fn span(&mut self, field: &str) -> Result<Span, SettingsError> {
        self.number(field, 0.0, None).map(Span::from_ms)
    }

    fn id(&mut self, field: &str) -> Result<JobId, SettingsError> {
        match self.text(field)? {
            "" | "-" => invalid(field, "a job's id"),
            text => Ok(text.into()),
        }
    }

    fn outcome(&mut self, field: &str) -> Result<Outcome, SettingsError> {
        Ok(match self.text(field)? {
            "completed" => Outcome::Completed,
            "errored" => Outcome::Failed,
            "saturated" => Outcome::Rejected,
            "overdue" => Outcome::TimedOut,
            "refused_conn" => Outcome::Unreachable,
            "severed" => Outcome::ConnectionLost,
            "recalled" => Outcome::Cancelled,
            "superseded" => Outcome::Superseded,
            _ => return invalid(field, "one of the outcome codes"),
        })
    }

    pub fn end(&mut self) -> Result<(), SettingsError> {
        if self.rest.is_some() { invalid("after the last one", "the end of the line") } else { Ok(()) }
    }
}

/// Decodes an event of a running instance into the call that it stands for. `name` and the instance's number
/// have been taken off the line.
pub fn tell(
    name: &str,
    fields: &mut Fields,
    counts: Counts,
    now: Time,
    sink: &mut EventSink,
) -> Result<(), SettingsError> {
    match name {
        "ingress" => {
            let job = job(fields, counts, now)?;
            fields.end()?;
            sink.job_arrived(job);
        }
        "wound_up" | "returned" => {
            let (id, outcome, took) = (fields.id("handle")?, fields.outcome("result")?, fields.span("rtt")?);
            fields.end()?;
            match name {
                "wound_up" => sink.run_ended(&id, outcome, took),
                _ => sink.call_ended(&id, outcome, took),
            }
        }
        "needs_dep" => {
            let id = fields.id("handle")?;
            fields.end()?;
            sink.call_requested(&id);
        }
        "timed_out_client" => {
            let id = fields.id("handle")?;
            fields.end()?;
            sink.caller_disconnected(&id);
        }
        "retire_soon" => {
            let stop = fields.time("expires")?;
            fields.end()?;
            sink.drain_started(stop);
        }
        "timeout_fired" => {
            let token = fields.whole("cookie")?;
            let cores_used = cores_used(fields.text("serverStats")?)?;
            fields.end()?;
            sink.timer_fired(token, cores_used);
        }
        _ => return invalid("message", "a known message name"),
    }
    Ok(())
}

/// How many job classes and tenants an instance was told of: places in those lists must lie within.
#[derive(Clone, Copy, Debug)]
pub struct Counts {
    job_classes: usize,
    tenants: usize,
}

fn job(fields: &mut Fields, counts: Counts, now: Time) -> Result<Job, SettingsError> {
    let id = fields.id("handle")?;
    let job_class = fields.whole("category")? as usize;
    if job_class >= counts.job_classes {
        return invalid("category", "a place in the list of classes");
    }
    let tenant = fields.number("team", 0.0, Some(0.0))? as usize;
    if tenant >= counts.tenants.max(1) {
        return invalid("team", "a place in the list of customers");
    }
    fields.text("affinity")?;
    let expires = fields.number("expires", f64::MIN, Some(0.0))?;
    let cost = fields.number("costGuess", 0.0, Some(0.0))?;
    let queued_kb = fields.number("sizeKb", 0.0, Some(0.0))?;
    let rank = fields.number("standing", 0.0, Some(0.0))?;
    if rank >= 1.0 {
        return invalid("standing", "a number from 0 up to less than 1");
    }
    let bits = match fields.number("opts", 0.0, Some(0.0))? {
        bits if bits.fract() == 0.0 => bits as u64,
        _ => return invalid("opts", "a sum of bit values"),
    };
    fields.number("srcPeer", 0.0, Some(0.0))?;
    let lay = Span::from_ms(fields.number("lay", 0.0, Some(0.0))?);
    let repeats = match fields.text("prior")? {
        "-" | "0" | "" => None,
        prior => Some(prior.into()),
    };
    let caller_deadline = (expires != 0.0).then(|| Time::from_ms(expires));
    let again = bits & 2 != 0;
    let work = (bits & 1 != 0).then(|| Span::from_ms(cost));
    Ok(Job {
        id,
        job_class,
        tenant,
        received_at: now - lay,
        caller_deadline,
        expected_work: work,
        queued_kb,
        priority_rank: rank,
        is_retry: again,
        retry_of: repeats,
        from_known_caller: true,
        over_caller_limit: false,
        lease_retry_after: None,
    })
}

/// Checks the form of all gauges and picks the part of the cores that is busy, where it is among them.
fn cores_used(text: &str) -> Result<Option<f64>, SettingsError> {
    let mut used = None;
    for pair in text.split(',').filter(|pair| !matches!(*pair, "" | "-")) {
        let value = pair.split_once(':').and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
        let Some((name, value)) = value else {
            return invalid("serverStats", "name:value pairs with numbers for values");
        };
        used = if name == "core_use" { Some(value).filter(|value| value.is_finite()) } else { used };
    }
    Ok(used)
}

/// Decodes the rest of a `launch` line into a new instance.
pub fn launch(fields: &mut Fields) -> Result<(Controller, Counts), SettingsError> {
    let seed = fields.whole("prng")?;
    let text = fields.remainder("settings")?;
    let Ok(settings) = serde_json::from_str::<Value>(text) else {
        return invalid("settings", "a JSON object");
    };
    let (control, host) = hazelgrade_settings::decode(&settings, seed)?;
    Ok((control, Counts { job_classes: host.job_classes.len(), tenants: host.tenants.len() }))
}

/// Writes the decisions of one instance as lines of the reply.
pub struct Reply<'a> {
    pub lines: &'a mut String,
    pub instance: u64,
}

impl Reply<'_> {
    fn line(&mut self, name: &str, id: &str, rest: std::fmt::Arguments) {
        // Writing into a String can't fail.
        let _ = writeln!(self.lines, "{name}\t{}\t{id}{rest}", self.instance);
    }
}

impl Decisions for Reply<'_> {
    fn start_run(&mut self, id: &JobId) {
        self.line("execute", id, format_args!(""));
    }

    fn reject(&mut self, id: &JobId, not_elsewhere: bool, retry_after: Span) {
        self.line("decline", id, format_args!("\t{}\t{}", u8::from(not_elsewhere), retry_after.as_ms()));
    }

    fn fail(&mut self, id: &JobId) {
        self.line("finish_error", id, format_args!(""));
    }

    fn start_call(&mut self, id: &JobId, within: Span) {
        self.line("call_dep", id, format_args!("\t{}", within.as_ms()));
    }

    fn skip_call(&mut self, id: &JobId) {
        self.line("go_on", id, format_args!(""));
    }

    fn cancel_run(&mut self, id: &JobId) {
        self.line("halt", id, format_args!(""));
    }

    fn await_original(&mut self, id: &JobId) {
        self.line("join", id, format_args!(""));
    }

    fn store_record(&mut self, id: &JobId, span: Span) {
        self.line("keep", id, format_args!("\t{}", span.as_ms()));
    }

    fn remove_record(&mut self, id: &JobId) {
        self.line("drop_key", id, format_args!(""));
    }

    fn publish_load_signal(&mut self, value: f64) {
        self.line("announce", "", format_args!("{value}"));
    }

    fn publish_health(&mut self, good: bool, from_store: bool) {
        self.line("set_health", "", format_args!("{}\t{}", u8::from(from_store), u8::from(good)));
    }

    fn set_timer(&mut self, at: Time, token: u64) {
        self.line("timer", "", format_args!("{}\t{token}", at.as_ms()));
    }

    fn log(&mut self, text: &str) {
        self.line("print", "", format_args!("{}", text.replace(['\t', '\n', '\r'], " ")));
    }
}
