//! Calls to the database and its replies: lines that end with CR LF, bodies as they are.

use hazelgrade::api::JobId;
use hazelgrade::time::Span;

/// The longest line of a reply, in bytes.
pub const LONGEST_LINE: usize = 512;
/// The longest body of a reply, in bytes.
pub const LONGEST_BODY: usize = 64 * 1024;

/// What the database replies to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It succeeded, with the rows in the body.
    Rows,
    /// It was rejected before it ran.
    Overloaded,
    /// It ran and failed.
    Failed,
    /// It did not end in the time that it was given.
    TimedOut,
    /// No run waits for this call.
    NoSuchRun,
}

/// The first line of a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplyHead {
    /// The job whose call it is for.
    pub id: JobId,
    /// What it says.
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
    /// The length is no number, or above [`LONGEST_BODY`].
    #[error("a wrong length")]
    InvalidLength,
    /// A reply with rows has no length.
    #[error("no length")]
    NoLength,
    /// More words than a reply has.
    #[error("too many words")]
    TooManyWords,
}

/// The call of a job: the database has `timeout` for it, rounded up to whole milliseconds and at least one.
pub fn encode_call(id: &str, timeout: Span, body: &[u8]) -> Vec<u8> {
    let timeout_ms = timeout.as_ms().ceil().max(1.0) as u64;
    let mut bytes = format!("Q {id} {timeout_ms} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Cancels the call of a job.
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
    word.parse().ok().filter(|length| *length <= LONGEST_BODY).ok_or(DecodeError::InvalidLength)
}
