//! Calls to the database and its replies: lines that end with CR LF, followed by raw bodies.

use hazelgrade::api::JobId;
use hazelgrade::time::Span;

/// The longest line of a reply, in bytes.
pub const MAX_LINE_BYTES: usize = 512;
/// The longest body of a reply, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// What the database replies to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It succeeded, with the rows in the body.
    Rows,
    /// It was rejected before it ran.
    Overloaded,
    /// It ran and failed.
    Failed,
    /// It did not end within its timeout.
    TimedOut,
    /// No run waits for this call.
    NoSuchRun,
}

/// The first line of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyHead {
    /// The job that made the call.
    pub id: JobId,
    /// The kind of the reply.
    pub reply: Reply,
    /// The length in bytes of the body that follows, if one does.
    pub body_length: Option<usize>,
}

/// Why a line of the database can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is not valid UTF-8.
    #[error("not text")]
    NotText,
    /// The id of the job is missing.
    #[error("no id")]
    NoId,
    /// The second word is no reply.
    #[error("an unknown reply")]
    UnknownReply,
    /// The length is no number, or above [`MAX_BODY_BYTES`].
    #[error("a wrong length")]
    InvalidLength,
    /// A reply with rows has no length.
    #[error("no length")]
    NoLength,
    /// More words than a reply has.
    #[error("too many words")]
    TooManyWords,
}

/// Encodes the call of a job. The timeout is rounded up to whole milliseconds, at least one.
pub fn encode_call(id: &str, timeout: Span, body: &[u8]) -> Vec<u8> {
    let timeout_ms = timeout.as_ms().ceil().max(1.0) as u64;
    let mut bytes = format!("Q {id} {timeout_ms} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes the cancellation of a job's call.
pub fn encode_cancel(id: &str) -> String {
    format!("X {id}\r\n")
}

/// Decodes the first line of a reply.
pub fn decode(line: &[u8]) -> Result<ReplyHead, DecodeError> {
    let line = std::str::from_utf8(line).map_err(|_| DecodeError::NotText)?;
    let mut words = line.trim_end_matches(['\r', '\n']).split(' ');
    let id = words.next().filter(|id| !id.is_empty()).ok_or(DecodeError::NoId)?;
    let reply = decode_reply(words.next())?;
    let body_length = match words.next() {
        Some(word) => Some(decode_length(word)?),
        None if reply == Reply::Rows => return Err(DecodeError::NoLength),
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
