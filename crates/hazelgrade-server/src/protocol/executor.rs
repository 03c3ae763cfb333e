//! The executor's commands and events: JSON objects, one a line.

use super::Body;
use hazelgrade::api::JobId;
use hazelgrade::time::Span;
use serde_json::{Value, json};

/// The longest line of the executor, in bytes: a result of 4 KiB in base64 fits well.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// The name of the gauge for the fraction of the cores in use.
pub const CORE_USE_GAUGE: &str = "core_use";

/// A command to the executor.
#[derive(Debug)]
pub enum Command<'a> {
    /// The first command on a link: requests all events after the cursor.
    Join {
        /// Number of the last event that was handled.
        cursor: u64,
    },
    /// Starts the run of a job.
    StartRun {
        /// The job.
        id: &'a str,
        /// The name of its class.
        job_class: &'a str,
        /// The input from its caller.
        body: &'a str,
    },
    /// Cancels the run of a job.
    CancelRun {
        /// The job.
        id: &'a str,
    },
    /// Passes the reply to the call that a run waits for.
    CallReply {
        /// The job.
        id: &'a str,
        /// The reply.
        body: &'a str,
    },
    /// Lets a run continue without the call that it waits for.
    SkipCall {
        /// The job.
        id: &'a str,
        /// Number of the event that reported the call.
        cursor: u64,
    },
    /// Requests the gauges.
    Gauges {
        /// Repeated in the answer.
        ticket: &'a str,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It succeeded.
    Completed,
    /// It failed.
    Failed,
    /// It was cancelled or preempted.
    Cancelled,
    /// Nothing was started: the job had ended.
    Superseded,
}

/// An event of the executor.
#[derive(Debug)]
pub enum Event {
    /// The first event on a link.
    Welcome {
        /// Whether the executor has no runs of an earlier link.
        is_new: bool,
        /// How long the executor has been up.
        uptime: Span,
    },
    /// A run has ended.
    RunEnded {
        /// Number of the event.
        cursor: u64,
        /// The job.
        id: JobId,
        /// How the run ended.
        end: RunEnd,
        /// How long it took.
        elapsed: Span,
        /// Its result; empty if there is none.
        body: Body,
    },
    /// A run waits for a call.
    CallRequested {
        /// Number of the event.
        cursor: u64,
        /// The job.
        id: JobId,
        /// The request for the database.
        body: Body,
    },
    /// The gauges that were requested.
    Gauges {
        /// As in the request.
        ticket: String,
        /// The values, in the order of the settings; NaN for one that is no number.
        values: Vec<f64>,
    },
    /// The executor refused a command.
    CommandRefused {
        /// Whether it was to start a run: then the executor does not know the job.
        is_start: bool,
        /// The command's name on the wire, for the log.
        command: String,
        /// The job, if the event names one.
        id: Option<JobId>,
    },
    /// A line for the log.
    Log {
        /// Number of the event.
        cursor: u64,
        /// The line.
        text: String,
    },
    /// An event of another version.
    Unknown {
        /// Its name on the wire, for the log.
        name: String,
        /// Number of the event, if it has one.
        cursor: Option<u64>,
    },
}

/// Why a line of the executor can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is not JSON.
    #[error("not a JSON value")]
    NotJson,
    /// This field is missing or invalid.
    #[error("field {0}")]
    InvalidField(&'static str),
}

/// Encodes a command as a line.
pub fn encode(command: &Command) -> String {
    let value = match command {
        Command::Join { cursor } => json!({"event": "JOIN", "cursor": cursor}),
        Command::StartRun { id, job_class, body } => {
            json!({"event": "EXEC", "handle": id, "entry": job_class, "arg": body})
        }
        Command::CancelRun { id } => json!({"event": "KILL", "handle": id}),
        Command::CallReply { id, body } => json!({"event": "RETURN", "handle": id, "arg": body}),
        Command::SkipCall { id, cursor } => json!({"event": "BYPASS", "handle": id, "cursor": cursor}),
        Command::Gauges { ticket } => json!({"event": "METER", "ticket": ticket}),
    };
    format!("{value}\n")
}

/// Decodes the line of an event.
pub fn decode(line: &[u8]) -> Result<Event, DecodeError> {
    let value = serde_json::from_slice(line).map_err(|_| DecodeError::NotJson)?;
    let fields = Fields(value);
    Ok(match fields.text("event").ok_or(DecodeError::InvalidField("event"))? {
        "WELCOME" => Event::Welcome { is_new: fields.text("fate") == Some("new"), uptime: fields.elapsed() },
        "EXIT" => {
            // The order in which fields are checked decides which one is reported.
            let end = fields.run_end()?;
            let cursor = fields.cursor()?;
            Event::RunEnded { cursor, id: fields.id()?, end, elapsed: fields.elapsed(), body: fields.body() }
        }
        "CALLOUT" => {
            let cursor = fields.cursor()?;
            Event::CallRequested { cursor, id: fields.id()?, body: fields.body() }
        }
        "METERS" => Event::Gauges {
            values: fields.gauges()?,
            ticket: fields.text("ticket").unwrap_or_default().into(),
        },
        "BAD" => Event::CommandRefused {
            is_start: fields.text("fate") == Some("EXEC"),
            command: fields.text("fate").unwrap_or_default().into(),
            id: fields.id().ok(),
        },
        "LOG" => {
            Event::Log { cursor: fields.cursor()?, text: fields.text("fate").unwrap_or_default().into() }
        }
        name => Event::Unknown { name: name.into(), cursor: fields.cursor().ok() },
    })
}

/// The fields of an event.
struct Fields(Value);

impl Fields {
    fn text(&self, field: &str) -> Option<&str> {
        self.0.get(field).and_then(Value::as_str)
    }

    fn cursor(&self) -> Result<u64, DecodeError> {
        self.0.get("cursor").and_then(Value::as_u64).ok_or(DecodeError::InvalidField("cursor"))
    }

    fn id(&self) -> Result<JobId, DecodeError> {
        self.text("handle").map(JobId::from).ok_or(DecodeError::InvalidField("handle"))
    }

    fn body(&self) -> Body {
        self.text("arg").unwrap_or_default().into()
    }

    /// In milliseconds on the wire; zero if it is missing or out of range.
    fn elapsed(&self) -> Span {
        let ms = self.0.get("lasted").and_then(Value::as_f64).filter(|ms| (0.0..1e15).contains(ms));
        Span::from_ms(ms.unwrap_or_default())
    }

    fn run_end(&self) -> Result<RunEnd, DecodeError> {
        match self.text("fate") {
            Some("good") => Ok(RunEnd::Completed),
            Some("bad") => Ok(RunEnd::Failed),
            Some("cut") => Ok(RunEnd::Cancelled),
            Some("gone") => Ok(RunEnd::Superseded),
            _ => Err(DecodeError::InvalidField("fate")),
        }
    }

    fn gauges(&self) -> Result<Vec<f64>, DecodeError> {
        let values = self.0.get("figures").and_then(Value::as_array);
        let values = values.ok_or(DecodeError::InvalidField("figures"))?;
        Ok(values.iter().map(|value| value.as_f64().unwrap_or(f64::NAN)).collect())
    }
}
