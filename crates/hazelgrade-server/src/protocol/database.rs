//! Wire format of the database connection: calls and replies are lines that end with CR LF, each optionally followed
//! by a raw body.

use hazelgrade::api::JobId;
use hazelgrade::time::Span;

/// Maximum length of the first line of a reply, in bytes.
pub const MAX_LINE_BYTES: usize = 512;
/// Maximum length of the body of a reply, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The outcome of a call, as the database reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The call succeeded; the body contains the rows.
    Rows,
    /// The database rejected the call because of overload, before executing it.
    Overloaded,
    /// The database executed the call, and the call failed.
    Failed,
    /// The call did not finish within its timeout.
    TimedOut,
    /// No run is waiting for the reply to this call.
    NoSuchRun,
}

/// The decoded first line of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyHead {
    /// The id of the job that made the call.
    pub id: JobId,
    /// The outcome of the call.
    pub reply: Reply,
    /// Length of the body that follows the line, in bytes; `None` if no body follows.
    pub body_length: Option<usize>,
}

/// Why a line received from the database can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The line is not valid UTF-8.
    #[error("the line is not valid UTF-8")]
    InvalidUtf8,
    /// The job id is missing.
    #[error("the job id is missing")]
    MissingId,
    /// The second word is missing or is not the name of an outcome.
    #[error("the outcome is missing or unknown")]
    UnknownReply,
    /// The body length is not a number or exceeds [`MAX_BODY_BYTES`].
    #[error("the body length is not a number or exceeds {MAX_BODY_BYTES} bytes")]
    InvalidLength,
    /// A reply with rows does not state the length of its body.
    #[error("the body length of a reply with rows is missing")]
    MissingLength,
    /// The line has more words than a reply may have.
    #[error("the line has more than three words")]
    TooManyWords,
}

/// Encodes a call of the job `id`. The timeout is rounded up to whole milliseconds and is at least 1 ms.
pub fn encode_call(id: &str, timeout: Span, body: &[u8]) -> Vec<u8> {
    let timeout_ms = timeout.as_ms().ceil().max(1.0) as u64;
    let mut bytes = format!("Q {id} {timeout_ms} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes the cancellation of the call of the job `id`.
pub fn encode_cancel(id: &str) -> String {
    format!("X {id}\r\n")
}

/// Decodes the first line of a reply.
pub fn decode(line: &[u8]) -> Result<ReplyHead, DecodeError> {
    let line = std::str::from_utf8(line).map_err(|_| DecodeError::InvalidUtf8)?;
    let mut words = line.trim_end_matches(['\r', '\n']).split(' ');
    let id = words.next().filter(|id| !id.is_empty()).ok_or(DecodeError::MissingId)?;
    let reply = decode_reply(words.next())?;
    let body_length = match words.next() {
        Some(word) => Some(decode_length(word)?),
        None if reply == Reply::Rows => return Err(DecodeError::MissingLength),
        None => None,
    };
    if words.next().is_some() {
        return Err(DecodeError::TooManyWords);
    }
    Ok(ReplyHead { id: id.into(), reply, body_length })
}

fn decode_reply(word: Option<&str>) -> Result<Reply, DecodeError> {
    match word {
        Some("ROWS") => Ok(Reply::Rows),
        Some("FULL") => Ok(Reply::Overloaded),
        Some("FAIL") => Ok(Reply::Failed),
        Some("TIMEOUT") => Ok(Reply::TimedOut),
        Some("NONE") => Ok(Reply::NoSuchRun),
        _ => Err(DecodeError::UnknownReply),
    }
}

fn decode_length(word: &str) -> Result<usize, DecodeError> {
    word.parse().ok().filter(|length| *length <= MAX_BODY_BYTES).ok_or(DecodeError::InvalidLength)
}
