//! Sends an operator's requests to a control service, each on its own connection.

use crate::protocol::SubscriberMessage;
use hazelgrade_budget::protocol::OperatorCommand;
use serde_json::Value;
use std::io::{self, BufRead, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The JSON-RPC id of the request; there is only one request on a connection.
const REQUEST_ID: u64 = 1;
/// The most lines that are read while waiting for the answer, since a ping may arrive before the answer.
const MAX_LINES: usize = 4;

/// The reason why a request has no result.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The connection failed, or no data arrived within the time limit.
    #[error("{control_service}: {source}")]
    Connection {
        /// The control service.
        control_service: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The server sent a line that is not JSON, or closed the connection without an answer.
    #[error("{control_service}: expected a JSON message; the server may not be a control service")]
    NotAControlService {
        /// The address.
        control_service: SocketAddr,
    },
    /// The control service rejected the request for this reason.
    #[error("{0}")]
    Rejected(String),
    /// The control service is busy and asked the client to retry later.
    #[error("{control_service}: the control service is busy; try again in {retry_after_ms} ms")]
    Busy {
        /// The control service.
        control_service: SocketAddr,
        /// The delay before the next attempt in milliseconds, as the control service sent it.
        retry_after_ms: Value,
    },
    /// The control service sent other messages, but no answer.
    #[error("{control_service}: the control service sent other messages, but no answer to the request")]
    NoAnswer {
        /// The control service.
        control_service: SocketAddr,
    },
}

/// Requests the report on which version is in effect on which node. `timeout` applies to connecting and to each read
/// separately.
///
/// # Errors
///
/// Returns why there is no report.
pub fn request_status(control_service: SocketAddr, timeout: Duration) -> Result<Value, RequestError> {
    request(control_service, &SubscriberMessage::Status { request_id: REQUEST_ID }, timeout)
}

/// Sends an operator's command on budgets to the lessor of a control service. `timeout` applies to connecting and to
/// each read separately.
///
/// # Errors
///
/// Returns why the command was not carried out, or may not have been.
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
    let connection_error = |source: io::Error| RequestError::Connection { control_service, source };
    let stream = TcpStream::connect_timeout(&control_service, timeout).map_err(connection_error)?;
    stream.set_read_timeout(Some(timeout)).map_err(connection_error)?;
    (&stream).write_all(message.encode().as_bytes()).map_err(connection_error)?;
    let mut reader = io::BufReader::new(&stream);
    for _ in 0..MAX_LINES {
        let mut line = String::new();
        reader.read_line(&mut line).map_err(connection_error)?;
        if let Some(result) = parse_answer(control_service, &line)? {
            return Ok(result);
        }
    }
    Err(RequestError::NoAnswer { control_service })
}

/// Returns the result in a line, or `None` if the line is not an answer.
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
