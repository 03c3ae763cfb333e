//! The executor's commands and notices: JSON objects, one a line.

use super::Body;
use hazelgrade::api::JobId;
use hazelgrade::time::Span;
use serde_json::{Value, json};

/// The longest line of the executor: a result of 4 KiB in base64, with room to spare.
pub const LONGEST_LINE: usize = 64 * 1024;

#[derive(Debug)]
pub enum Command<'a> {
    Join { cursor: u64 },
    Run { id: &'a str, job_class: &'a str, body: &'a str },
    Stop { id: &'a str },
    Reply { id: &'a str, body: &'a str },
    SkipCall { id: &'a str, cursor: u64 },
    Gauges { ticket: &'a str },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Good,
    Bad,
    Cut,
    /// Nothing was started: the job was over.
    Gone,
}

#[derive(Debug)]
pub enum Notice {
    Welcome { fate: String, up_for: Span },
    Ended { cursor: u64, id: JobId, end: RunEnd, lasted: Span, body: Body },
    AtCall { cursor: u64, id: JobId, body: Body },
    Gauges { ticket: String, figures: Vec<f64> },
    NotDone { command: String, id: Option<JobId> },
    Remark { cursor: u64, text: String },
    Unknown { event: String, cursor: Option<u64> },
}

pub fn encode(command: &Command) -> String {
    let value = match command {
        Command::Join { cursor } => json!({"event": "JOIN", "cursor": cursor}),
        Command::Run { id, job_class, body } => {
            json!({"event": "EXEC", "handle": id, "entry": job_class, "arg": body})
        }
        Command::Stop { id } => json!({"event": "KILL", "handle": id}),
        Command::Reply { id, body } => json!({"event": "RETURN", "handle": id, "arg": body}),
        Command::SkipCall { id, cursor } => json!({"event": "BYPASS", "handle": id, "cursor": cursor}),
        Command::Gauges { ticket } => json!({"event": "METER", "ticket": ticket}),
    };
    format!("{value}\n")
}

/// Decodes a line; what can't be read is told as the field that is wrong.
pub fn decode(line: &[u8]) -> Result<Notice, &'static str> {
    let message: Value = serde_json::from_slice(line).map_err(|_| "not a JSON value")?;
    let text = |field: &str| message.get(field).and_then(Value::as_str);
    let event = text("event").ok_or("field event")?;
    let cursor = message.get("cursor").and_then(Value::as_u64);
    let read = cursor.ok_or("field cursor");
    let id = text("handle").map(JobId::from);
    let known = id.clone().ok_or("field handle");
    let lasted = message.get("lasted").and_then(Value::as_f64).filter(|ms| (0.0..1e15).contains(ms));
    Ok(match event {
        "WELCOME" => Notice::Welcome {
            fate: text("fate").unwrap_or_default().into(),
            up_for: Span::from_ms(lasted.unwrap_or_default()),
        },
        "EXIT" => {
            let end = match text("fate").ok_or("field fate")? {
                "good" => RunEnd::Good,
                "bad" => RunEnd::Bad,
                "cut" => RunEnd::Cut,
                "gone" => RunEnd::Gone,
                _ => return Err("field fate"),
            };
            let body = text("arg").unwrap_or_default().into();
            Notice::Ended {
                cursor: read?,
                id: known?,
                end,
                lasted: Span::from_ms(lasted.unwrap_or_default()),
                body,
            }
        }
        "CALLOUT" => {
            Notice::AtCall { cursor: read?, id: known?, body: text("arg").unwrap_or_default().into() }
        }
        "METERS" => {
            let figures = message.get("figures").and_then(Value::as_array).ok_or("field figures")?;
            Notice::Gauges {
                ticket: text("ticket").unwrap_or_default().into(),
                figures: figures.iter().map(|figure| figure.as_f64().unwrap_or(f64::NAN)).collect(),
            }
        }
        "BAD" => Notice::NotDone { command: text("fate").unwrap_or_default().into(), id },
        "LOG" => Notice::Remark { cursor: read?, text: text("fate").unwrap_or_default().into() },
        _ => Notice::Unknown { event: event.into(), cursor },
    })
}
