//! The events of the line protocol, decoded into calls on the controller's event sink.

use crate::error::LineError;
use crate::fields::Fields;
use hazelgrade::api::Job;
use hazelgrade::controller::{Controller, EventSink};
use hazelgrade::time::{Span, Time};
use hazelgrade_settings::DecodedSettings;
use serde_json::Value;

/// Bit of a job's options: its cost is stated.
const HAS_COST: u64 = 1;
/// Bit of a job's options: it is a retry.
const IS_RETRY: u64 = 2;

/// The kind of a line, from the message name that it begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    Launch,
    Crash,
    JobArrived,
    RunEnded,
    CallEnded,
    CallRequested,
    CallerDisconnected,
    DrainStarted,
    TimerFired,
}

impl Message {
    pub fn decode(name: &str) -> Result<Message, LineError> {
        Ok(match name {
            "launch" => Message::Launch,
            "crash_now" => Message::Crash,
            "ingress" => Message::JobArrived,
            "wound_up" => Message::RunEnded,
            "returned" => Message::CallEnded,
            "needs_dep" => Message::CallRequested,
            "timed_out_client" => Message::CallerDisconnected,
            "retire_soon" => Message::DrainStarted,
            "timeout_fired" => Message::TimerFired,
            _ => return Err(LineError::UnknownMessage(name.into())),
        })
    }
}

/// How many job classes and tenants an instance was launched with, to check indexes against.
#[derive(Clone, Copy, Debug)]
pub struct Counts {
    job_classes: usize,
    tenants: usize,
}

/// An instance and what its lines are checked against.
pub struct Instance {
    pub controller: Controller,
    pub counts: Counts,
}

/// Decodes the rest of a launch line into a new instance.
pub fn launch(fields: &mut Fields) -> Result<Instance, LineError> {
    let seed = fields.whole("prng")?;
    let text = fields.remainder("settings")?;
    let Ok(settings) = serde_json::from_str::<Value>(text) else {
        return LineError::field("settings", "a JSON object");
    };
    let DecodedSettings { controller, host } = hazelgrade_settings::decode(&settings, seed)?;
    let counts = Counts { job_classes: host.job_classes.len(), tenants: host.tenants.len() };
    Ok(Instance { controller, counts })
}

/// Decodes the rest of an event's line and passes the event to the sink. Launches and crashes are handled elsewhere.
pub fn deliver(
    message: Message,
    fields: &mut Fields,
    counts: Counts,
    now: Time,
    sink: &mut EventSink,
) -> Result<(), LineError> {
    match message {
        Message::JobArrived => {
            let job = decode_job(fields, counts, now)?;
            fields.end()?;
            sink.job_arrived(job);
        }
        Message::RunEnded | Message::CallEnded => {
            let id = fields.job_id("handle")?;
            let outcome = fields.outcome("result")?;
            let took = fields.span("rtt")?;
            fields.end()?;
            match message {
                Message::RunEnded => sink.run_ended(&id, outcome, took),
                _ => sink.call_ended(&id, outcome, took),
            }
        }
        Message::CallRequested => {
            let id = fields.job_id("handle")?;
            fields.end()?;
            sink.call_requested(&id);
        }
        Message::CallerDisconnected => {
            let id = fields.job_id("handle")?;
            fields.end()?;
            sink.caller_disconnected(&id);
        }
        Message::DrainStarted => {
            let stops_at = fields.time("expires")?;
            fields.end()?;
            sink.drain_started(stops_at);
        }
        Message::TimerFired => {
            let token = fields.whole("cookie")?;
            let cores_used = decode_cores_used(fields.text("serverStats")?)?;
            fields.end()?;
            sink.timer_fired(token, cores_used);
        }
        Message::Launch | Message::Crash => {}
    }
    Ok(())
}

fn decode_job(fields: &mut Fields, counts: Counts, now: Time) -> Result<Job, LineError> {
    let id = fields.job_id("handle")?;
    let job_class = fields.whole("category")? as usize;
    if job_class >= counts.job_classes {
        return LineError::field("category", "a place in the list of classes");
    }
    let tenant = fields.optional_number("team", 0.0, 0.0)? as usize;
    if tenant >= counts.tenants.max(1) {
        return LineError::field("team", "a place in the list of customers");
    }
    fields.text("affinity")?;
    let deadline_ms = fields.optional_number("expires", f64::MIN, 0.0)?;
    let cost_ms = fields.optional_number("costGuess", 0.0, 0.0)?;
    let queued_kb = fields.optional_number("sizeKb", 0.0, 0.0)?;
    let priority_rank = fields.optional_number("standing", 0.0, 0.0)?;
    if priority_rank >= 1.0 {
        return LineError::field("standing", "a number from 0 up to less than 1");
    }
    let options = match fields.optional_number("opts", 0.0, 0.0)? {
        bits if bits.fract() == 0.0 => bits as u64,
        _ => return LineError::field("opts", "a sum of bit values"),
    };
    fields.optional_number("srcPeer", 0.0, 0.0)?;
    let unread = Span::from_ms(fields.optional_number("lay", 0.0, 0.0)?);
    let retry_of = match fields.text("prior")? {
        "-" | "0" | "" => None,
        prior => Some(prior.into()),
    };
    Ok(Job {
        id,
        job_class,
        tenant,
        received_at: now - unread,
        caller_deadline: (deadline_ms != 0.0).then(|| Time::from_ms(deadline_ms)),
        expected_work: (options & HAS_COST != 0).then(|| Span::from_ms(cost_ms)),
        queued_kb,
        priority_rank,
        is_retry: options & IS_RETRY != 0,
        retry_of,
        from_known_caller: true,
        over_caller_limit: false,
        lease_retry_after: None,
    })
}

/// Checks the form of all gauges; returns the ratio of the cores in use if it is among them.
fn decode_cores_used(gauges: &str) -> Result<Option<f64>, LineError> {
    let mut cores_used = None;
    for gauge in gauges.split(',').filter(|gauge| !matches!(*gauge, "" | "-")) {
        let value = gauge.split_once(':').and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
        let Some((name, value)) = value else {
            return LineError::field("serverStats", "name:value pairs with numbers for values");
        };
        if name == "core_use" {
            cores_used = Some(value).filter(|value| value.is_finite());
        }
    }
    Ok(cores_used)
}
