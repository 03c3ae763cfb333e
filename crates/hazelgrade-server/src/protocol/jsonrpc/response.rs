//! Encodes answers and notifications to clients.

use super::error::{INVALID_PARAMS, RequestError};
use crate::protocol::Body;
use hazelgrade::time::Span;
use serde_json::{Map, Value, json};

/// JSON-RPC error code: the job was rejected or its caller was denied, and the job did not run.
const REJECTED: i64 = -32066;
/// JSON-RPC error code: the job has failed.
const FAILED: i64 = -32000;

/// The notification that the instance is draining.
pub const DRAINING: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"draining\"}\n";

/// The final answer to a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The job succeeded with this result.
    Succeeded(Body),
    /// The job did not run and may be sent again.
    Rejected {
        /// Whether the job should not be sent to other instances either.
        not_elsewhere: bool,
        /// How long the client should wait before it sends the job again; zero for an immediate retry.
        retry_after: Span,
    },
    /// The caller is not authorized to request the job, for this reason. The job did not run, and no other instance
    /// would run it.
    Denied(&'static str),
    /// The job failed: either it may have had its effect, or a retry would not succeed.
    Failed,
}

impl Answer {
    /// Returns whether the answer tells the caller that the job never ran.
    pub fn says_never_ran(&self) -> bool {
        matches!(self, Answer::Rejected { .. } | Answer::Denied(_))
    }

    /// Returns the name of the answer for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Succeeded(_) => "succeeded",
            Answer::Rejected { not_elsewhere: true, .. } => "rejected, not elsewhere",
            Answer::Rejected { .. } => "rejected",
            Answer::Denied(_) => "denied",
            Answer::Failed => "failed",
        }
    }
}

fn encode_line(value: &Value) -> String {
    format!("{value}\n")
}

/// Encodes the answer to a call, including the load signal if one is given.
pub fn encode(call_id: u64, answer: &Answer, load_signal: Option<f64>) -> String {
    let mut fields = Map::new();
    if let Some(load_signal) = load_signal {
        fields.insert("signal".into(), json!(load_signal));
    }
    match answer {
        Answer::Succeeded(body) => {
            fields.insert("body".into(), json!(**body));
            encode_line(&json!({"jsonrpc": "2.0", "id": call_id, "result": fields}))
        }
        Answer::Rejected { not_elsewhere, retry_after } => {
            if *retry_after > Span::ZERO {
                fields.insert("holdoff".into(), json!(retry_after.as_ms()));
            }
            if *not_elsewhere {
                fields.insert("nomore".into(), json!(1));
            }
            encode_failure(call_id, REJECTED, "bounced: this try never ran", fields)
        }
        Answer::Denied(reason) => {
            fields.insert("nomore".into(), json!(1));
            fields.insert("denied".into(), json!(1));
            encode_failure(call_id, REJECTED, reason, fields)
        }
        Answer::Failed => encode_failure(call_id, FAILED, "written off", fields),
    }
}

fn encode_failure(call_id: u64, code: i64, message: &str, data: Map<String, Value>) -> String {
    let error = json!({"code": code, "message": message, "data": data});
    encode_line(&json!({"jsonrpc": "2.0", "id": call_id, "error": error}))
}

/// Encodes the answer to a `hello`: the name of the caller, or the reason why the caller was not identified.
pub fn encode_hello(call_id: u64, caller: Result<&str, &str>) -> String {
    match caller {
        Ok(name) => encode_line(&json!({"jsonrpc": "2.0", "id": call_id, "result": {"caller": name}})),
        Err(reason) => {
            let error = json!({"code": INVALID_PARAMS, "message": reason});
            encode_line(&json!({"jsonrpc": "2.0", "id": call_id, "error": error}))
        }
    }
}

/// Encodes the answer to a health check.
pub fn encode_check(call_id: u64, healthy: bool, load_signal: Option<f64>) -> String {
    let mut result = json!({"up": healthy});
    if let Some(load_signal) = load_signal {
        result["signal"] = json!(load_signal);
    }
    encode_line(&json!({"jsonrpc": "2.0", "id": call_id, "result": result}))
}

/// Encodes the answer to a message that is not accepted.
pub fn encode_error(error: &RequestError) -> String {
    let body = json!({"code": error.reason.code(), "message": error.reason.to_string()});
    encode_line(&json!({"jsonrpc": "2.0", "id": error.call_id, "error": body}))
}
