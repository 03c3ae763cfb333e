//! An operator's requests to a control service, over a connection of their own.

use crate::protocol::SubscriberMessage;
use hazelgrade_budget::protocol::OperatorCommand;
use serde_json::Value;
use std::io::{self, BufRead, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The id of the only request on a connection.
const REQUEST_ID: u64 = 1;
/// The most lines that are read for the answer: a ping may come before it.
const MAX_LINES: usize = 4;

/// Why a request has no result.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The connection failed, or nothing came in time.
    #[error("{control_service}: {source}")]
    Connection {
        /// The control service.
        control_service: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The answer is not JSON.
    #[error("{control_service}: it does not answer as a control service")]
    NotAControlService {
        /// The address.
        control_service: SocketAddr,
    },
    /// The control service can't carry it out, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// The control service asked to be contacted again later.
    #[error("{control_service}: it is busy, try again in {retry_after_ms} ms")]
    Busy {
        /// The control service.
        control_service: SocketAddr,
        /// When to try again, in milliseconds, as the control service wrote it.
        retry_after_ms: Value,
    },
    /// Other messages came, but no answer.
    #[error("{control_service}: no answer")]
    NoAnswer {
        /// The control service.
        control_service: SocketAddr,
    },
}

/// Asks a control service which node runs which version. Each step may take as long as `timeout`.
///
/// # Errors
///
/// Why there is no report.
pub fn request_status(control_service: SocketAddr, timeout: Duration) -> Result<Value, RequestError> {
    request(control_service, &SubscriberMessage::Status { request_id: REQUEST_ID }, timeout)
}

/// Sends an operator's command on budgets to the lessor of a control service. Each step may take as long as
/// `timeout`.
///
/// # Errors
///
/// Why it is not known to be carried out.
pub fn send_budget_command(
    control_service: SocketAddr,
    command: OperatorCommand,
    timeout: Duration,
) -> Result<Value, RequestError> {
    let message = SubscriberMessage::BudgetCommand { request_id: REQUEST_ID, command };
    request(control_service, &message, timeout)
}

fn request(
    control_service: SocketAddr,
    message: &SubscriberMessage,
    timeout: Duration,
) -> Result<Value, RequestError> {
    let failed = |source: io::Error| RequestError::Connection { control_service, source };
    let stream = TcpStream::connect_timeout(&control_service, timeout).map_err(failed)?;
    stream.set_read_timeout(Some(timeout)).map_err(failed)?;
    (&stream).write_all(message.encode().as_bytes()).map_err(failed)?;
    let mut reader = io::BufReader::new(&stream);
    for _ in 0..MAX_LINES {
        let mut line = String::new();
        reader.read_line(&mut line).map_err(failed)?;
        if let Some(result) = parse_answer(control_service, &line)? {
            return Ok(result);
        }
    }
    Err(RequestError::NoAnswer { control_service })
}

/// The result that a line carries; `None` if the line is not an answer.
fn parse_answer(control_service: SocketAddr, line: &str) -> Result<Option<Value>, RequestError> {
    let mut answer: Value =
        serde_json::from_str(line).map_err(|_| RequestError::NotAControlService { control_service })?;
    if let Some(reason) = answer["error"]["message"].as_str() {
        return Err(RequestError::Rejected(reason.to_owned()));
    }
    if answer.get("id").is_some() {
        return Ok(Some(answer["result"].take()));
    }
    if answer["method"] == "retry" {
        let retry_after_ms = answer["params"]["after_ms"].clone();
        return Err(RequestError::Busy { control_service, retry_after_ms });
    }
    Ok(None)
}
