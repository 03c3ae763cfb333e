//! Reads lines and bodies of bounded length.

use crate::connection_end::ConnectionEnd;
use futures_lite::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// The capacity that a line buffer retains between two lines, in bytes.
const RETAINED_CAPACITY_BYTES: usize = 4096;

/// Reads the next line into `line`, its line feed included: at most `max_bytes`.
///
/// Ends with [`ConnectionEnd::Closed`] at the end of the input, [`ConnectionEnd::Truncated`] where that comes within a
/// line, [`ConnectionEnd::TooLong`] past `max_bytes`, and [`ConnectionEnd::Reset`] on other errors of the system.
pub async fn read_line(
    source: &mut (impl AsyncBufRead + Unpin),
    line: &mut Vec<u8>,
    max_bytes: usize,
) -> Result<(), ConnectionEnd> {
    line.clear();
    line.shrink_to(RETAINED_CAPACITY_BYTES);
    let read = source.take(max_bytes as u64).read_until(b'\n', line).await;
    match read.map_err(|error| ConnectionEnd::from_io_error(&error))? {
        0 => Err(ConnectionEnd::Closed),
        _ if line.ends_with(b"\n") => Ok(()),
        count if count >= max_bytes => Err(ConnectionEnd::TooLong),
        _ => Err(ConnectionEnd::Truncated),
    }
}

/// Reads a body of `length` bytes and the CR LF after it, which is not part of the result.
///
/// Ends with [`ConnectionEnd::Malformed`] where no CR LF follows, [`ConnectionEnd::Truncated`] where the input ends
/// before that, and [`ConnectionEnd::Reset`] on other errors of the system.
pub async fn read_body(
    source: &mut (impl AsyncBufRead + Unpin),
    length: usize,
) -> Result<Vec<u8>, ConnectionEnd> {
    let mut body = vec![0; length + 2];
    source.read_exact(&mut body).await.map_err(|error| ConnectionEnd::from_io_error(&error))?;
    if !body.ends_with(b"\r\n") {
        return Err(ConnectionEnd::Malformed);
    }
    body.truncate(length);
    Ok(body)
}
