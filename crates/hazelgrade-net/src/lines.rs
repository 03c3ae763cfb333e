//! Lines and bodies of bounded length, read off a connection.

use crate::ending::ConnectionEnd;
use futures_lite::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Reads the next line, its end included, into `line`; at most `most` bytes.
pub async fn read_line(
    source: &mut (impl AsyncBufRead + Unpin),
    line: &mut Vec<u8>,
    most: usize,
) -> Result<(), ConnectionEnd> {
    line.clear();
    line.shrink_to(4096);
    let read = source.take(most as u64).read_until(b'\n', line).await;
    match read.map_err(|error| ConnectionEnd::of(&error))? {
        0 => Err(ConnectionEnd::Closed),
        _ if line.ends_with(b"\n") => Ok(()),
        read if read >= most => Err(ConnectionEnd::TooLong),
        _ => Err(ConnectionEnd::CutShort),
    }
}

/// Reads a body of `length` bytes and the CR LF after it.
pub async fn read_body(
    source: &mut (impl AsyncBufRead + Unpin),
    length: usize,
) -> Result<Vec<u8>, ConnectionEnd> {
    let mut body = vec![0; length + 2];
    source.read_exact(&mut body).await.map_err(|error| ConnectionEnd::of(&error))?;
    if !body.ends_with(b"\r\n") {
        return Err(ConnectionEnd::Unreadable);
    }
    body.truncate(length);
    Ok(body)
}
