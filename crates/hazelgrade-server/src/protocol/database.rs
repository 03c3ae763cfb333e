//! Calls to what lies below: lines that end with CR LF, bodies as they are.

use hazelgrade::api::JobId;
use hazelgrade::time::Span;

pub const LONGEST_LINE: usize = 512;
pub const LONGEST_BODY: usize = 64 * 1024;

/// What the database answered to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Rows,
    Full,
    Fail,
    Timeout,
    /// No run waits for this call.
    Nobody,
}

pub fn encode_call(id: &str, within: Span, body: &[u8]) -> Vec<u8> {
    let ms = within.as_ms().ceil().max(1.0) as u64;
    let mut bytes = format!("Q {id} {ms} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

pub fn encode_give_up(id: &str) -> String {
    format!("X {id}\r\n")
}

/// Decodes the line of a reply: whose it is, what it says, and the length of the body that follows.
pub fn decode(line: &[u8]) -> Result<(JobId, Reply, Option<usize>), &'static str> {
    let line = std::str::from_utf8(line).map_err(|_| "not text")?;
    let mut words = line.trim_end_matches(['\r', '\n']).split(' ');
    let id = words.next().filter(|id| !id.is_empty()).ok_or("no id")?;
    let reply = match words.next() {
        Some("ROWS") => Reply::Rows,
        Some("FULL") => Reply::Full,
        Some("FAIL") => Reply::Fail,
        Some("TIMEOUT") => Reply::Timeout,
        Some("NONE") => Reply::Nobody,
        _ => return Err("an unknown reply"),
    };
    let length = match words.next() {
        Some(word) => {
            Some(word.parse().ok().filter(|length| *length <= LONGEST_BODY).ok_or("a wrong length")?)
        }
        None if reply == Reply::Rows => return Err("no length"),
        None => None,
    };
    if words.next().is_some() { Err("too many words") } else { Ok((id.into(), reply, length)) }
}
