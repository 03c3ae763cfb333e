//! Wire format of the executor link: commands to the executor and events from it, each a JSON object on one line.

use super::Body;
use hazelgrade::api::JobId;
use hazelgrade::time::Span;
use serde_json::{Value, json};

/// Maximum length of an event line, in bytes. The limit leaves ample space for a result of 4 KiB in base64.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// Name of the gauge that reports the fraction of the executor's cores in use.
pub const CORE_USE_GAUGE: &str = "core_use";

/// A command to the executor.
#[derive(Debug)]
pub enum Command<'a> {
    /// Opens a link: requests all events after the cursor.
    Join {
        /// Number of the last event that this instance has handled.
        cursor: u64,
    },
    /// Starts the run of a job.
    StartRun {
        /// The id of the job.
        id: &'a str,
        /// The name of the job class.
        job_class: &'a str,
        /// The input that the caller sent, in base64.
        body: &'a str,
    },
    /// Cancels the run of a job.
    CancelRun {
        /// The id of the job.
        id: &'a str,
    },
    /// Delivers the database's reply to the call that a run is waiting for.
    CallReply {
        /// The id of the job.
        id: &'a str,
        /// The body of the reply, in base64.
        body: &'a str,
    },
    /// Lets a run continue without a reply to the call that the run is waiting for.
    SkipCall {
        /// The id of the job.
        id: &'a str,
        /// Number of the event that requested the call.
        cursor: u64,
    },
    /// Requests the current values of the gauges.
    Gauges {
        /// Identifies the request; the executor returns the same ticket with the values.
        ticket: &'a str,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run succeeded.
    Completed,
    /// The run failed.
    Failed,
    /// The run was cancelled or preempted.
    Cancelled,
    /// The run was not started, because the job had already ended.
    Superseded,
}

/// An event sent by the executor.
#[derive(Debug)]
pub enum Event {
    /// The first event on a link.
    Welcome {
        /// Whether the executor holds no runs from an earlier link.
        is_new: bool,
        /// How long the executor has been up.
        uptime: Span,
    },
    /// Reports that a run has ended.
    RunEnded {
        /// Number of the event.
        cursor: u64,
        /// The id of the job.
        id: JobId,
        /// How the run ended.
        end: RunEnd,
        /// How long the run took.
        elapsed: Span,
        /// The result of the run, in base64; empty if the run has none.
        body: Body,
    },
    /// Reports that a run is waiting for a call to the database.
    CallRequested {
        /// Number of the event.
        cursor: u64,
        /// The id of the job.
        id: JobId,
        /// The request to send to the database, in base64.
        body: Body,
    },
    /// The values of the gauges, in response to [`Command::Gauges`].
    Gauges {
        /// The ticket of the request.
        ticket: String,
        /// The values, in the order in which the settings list the gauges; NaN in place of a value that is not a
        /// number.
        values: Vec<f64>,
    },
    /// Reports that the executor refused a command.
    CommandRefused {
        /// Whether the refused command was [`Command::StartRun`], which means that the executor does not know the job.
        is_start: bool,
        /// The wire name of the refused command, for the log.
        command: String,
        /// The id of the job, if the event names one.
        id: Option<JobId>,
    },
    /// A message that the executor writes to the instance's log.
    Log {
        /// Number of the event.
        cursor: u64,
        /// The text of the message.
        text: String,
    },
    /// An event that this version does not know, sent by an executor of another version.
    Unknown {
        /// The wire name of the event, for the log.
        name: String,
        /// Number of the event, if the event has one.
        cursor: Option<u64>,
    },
}

/// Why a line received from the executor can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The line is not a JSON value.
    #[error("the line is not a JSON value")]
    NotJson,
    /// The named field is missing or invalid.
    #[error("field {0} is missing or invalid")]
    InvalidField(&'static str),
}

/// Encodes a command as a line, including the line end.
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

/// Decodes a line that contains one event.
pub fn decode(line: &[u8]) -> Result<Event, DecodeError> {
    let value = serde_json::from_slice(line).map_err(|_| DecodeError::NotJson)?;
    let fields = Fields(value);
    Ok(match fields.text("event").ok_or(DecodeError::InvalidField("event"))? {
        "WELCOME" => Event::Welcome { is_new: fields.text("fate") == Some("new"), uptime: fields.elapsed() },
        "EXIT" => {
            // The error names the first invalid field, so the order of these checks determines the reported field.
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

/// The fields of an undecoded event.
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

    /// Returns the duration in the field `lasted`, which is in milliseconds; zero if the field is missing or out of
    /// range.
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
