//! Lines from a connection, bounded in length and time.

use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::{AsyncBufReadExt, BufReader};
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::lines::read_line;
use std::net::TcpStream;
use std::time::Duration;

/// Reads the next line into `line`. It may be at most `max_bytes` long and must be complete within `timeout` from its
/// first byte; waiting for the first byte has no limit.
///
/// # Errors
///
/// How the connection ended, or that the line is too long or too slow.
pub(crate) async fn read_bounded_line(
    reader: &mut BufReader<&Async<TcpStream>>,
    line: &mut Vec<u8>,
    max_bytes: usize,
    timeout: Duration,
) -> Result<(), ConnectionEnd> {
    if reader.fill_buf().await.map_err(|error| ConnectionEnd::from_io_error(&error))?.is_empty() {
        return Err(ConnectionEnd::Closed);
    }
    let timed_out = async {
        Timer::after(timeout).await;
        Err(ConnectionEnd::TimedOut)
    };
    or(read_line(reader, line, max_bytes), timed_out).await
}
