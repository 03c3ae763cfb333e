//! Reads lines from a connection with limits on their length and on the time that they take to arrive.

use async_io::Timer;
use futures_lite::future::or;
use futures_lite::io::{AsyncBufReadExt, BufReader};
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::lines::read_line;
use hazelgrade_net::stream::SharedSocket;
use std::time::Duration;

/// Reads the next line into `line`. The line may be at most `max_bytes` long and must be complete within `timeout` of
/// its first byte. The wait for the first byte has no time limit, since an idle connection is not an error.
///
/// # Errors
///
/// Returns how the connection ended, or that the line is too long or was not complete in time.
pub(crate) async fn read_bounded_line(
    reader: &mut BufReader<SharedSocket>,
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
