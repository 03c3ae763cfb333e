//! Reader of one client connection: reads the client's messages and closes the connection from the instance's side.

use super::call_limit::MAX_OPEN_CALLS;
use super::connection::ClientConnection;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use futures_lite::io::{AsyncBufReadExt, AsyncRead, BufReader};
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::lines::read_line;
use hazelgrade_net::peer_state::{PeerState, peer_state};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Size of the read buffer of one connection, in bytes.
const READ_BUFFER_BYTES: usize = 4096;
/// Maximum number of messages waiting to be written to the peer, not counting the answers to open calls. With more, the
/// connection is not read until they have been written.
const MAX_EXTRA_PENDING_MESSAGES: usize = 64;
/// How long a connection is still read after its half-close. Closing a socket with unread bytes resets the connection,
/// and the peer might then lose messages that were sent before the close.
const LINGER: Duration = Duration::from_millis(300);
/// Maximum number of bytes that are read after the half-close; the connection of a peer that sends more is reset.
const MAX_LINGER_BYTES: usize = 128 * 1024;
/// What is sent to a peer that has closed its sending side, to find out whether it still receives: JSON allows a space
/// before any message.
const PROBE: &str = " ";
/// How long the reader waits for the effect of a probe.
const PROBE_WAIT: Duration = Duration::from_millis(10);
/// How often it is checked, after the last message and while a message waits, whether the peer still receives.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl<T: Clone + PartialEq> ClientConnection<T> {
    /// Reads messages of at most `max_line_bytes` and passes each to `on_line`, until the connection ends or must be
    /// closed. `closing_line` returns the line to send to the peer before the connection is closed, if any.
    pub(super) async fn read(
        &self,
        source: impl AsyncRead + Unpin,
        socket: &Async<TcpStream>,
        max_line_bytes: usize,
        on_line: impl AsyncFn(&[u8]),
        closing_line: impl Fn(ConnectionEnd) -> Option<String>,
    ) -> ConnectionEnd {
        let mut source = BufReader::with_capacity(READ_BUFFER_BYTES, source);
        let mut end = self.read_messages(&mut source, socket, max_line_bytes, on_line).await;
        if self.has_open_calls() && self.peer_has_left(socket).await {
            end = ConnectionEnd::Reset;
        }
        if end == ConnectionEnd::Reset {
            return end;
        }
        self.message_started.set(None);
        if let Some(line) = closing_line(end) {
            self.send(&line);
        }
        let finished = async {
            self.finish_calls(end).await;
            true
        };
        let left = async {
            peer_left(socket).await;
            false
        };
        if !or(finished, left).await {
            return ConnectionEnd::Reset;
        }
        let _ = socket.get_ref().shutdown(Shutdown::Write);
        self.half_closed.set(true);
        self.reader_waits.set(true);
        self.linger(&mut source).await;
        end
    }

    async fn read_messages(
        &self,
        source: &mut BufReader<impl AsyncRead + Unpin>,
        socket: &Async<TcpStream>,
        max_line_bytes: usize,
        on_line: impl AsyncFn(&[u8]),
    ) -> ConnectionEnd {
        let mut line = Vec::new();
        loop {
            if self.write_queue.pending() > MAX_OPEN_CALLS + MAX_EXTRA_PENDING_MESSAGES
                || self.unwritten.is_scarce()
            {
                self.write_queue.flushed().await;
            }
            if self.is_throttled() {
                let paused_at = Instant::now();
                self.throttle.wait().await;
                self.activity.record_throttled(paused_at);
            }
            let message = self.read_message(source, &mut line, max_line_bytes);
            let read = or(message, self.close_requested()).await;
            self.reader_waits.set(false);
            if let Err(end) = read {
                return end;
            }
            self.activity.messages.set(self.activity.messages.get() + 1);
            self.message_started.set(None);
            self.close_reason.set(None);
            self.message_bytes.set(line.len());
            if self.peer_has_left(socket).await {
                return ConnectionEnd::Reset;
            }
            let handled = async {
                on_line(&line).await;
                true
            };
            let left = async {
                self.peer_leaves(socket).await;
                false
            };
            if !or(handled, left).await {
                return ConnectionEnd::Reset;
            }
            if self.has_too_many_violations() {
                return ConnectionEnd::ProtocolViolation;
            }
            // Yields after each message, so that a peer that sends continuously does not block other tasks.
            yield_now().await;
        }
    }

    /// Reads one message and records when its first byte arrived.
    async fn read_message(
        &self,
        source: &mut BufReader<impl AsyncRead + Unpin>,
        line: &mut Vec<u8>,
        max_line_bytes: usize,
    ) -> Result<(), ConnectionEnd> {
        let available = source.fill_buf().await.map_err(|error| ConnectionEnd::from_io_error(&error))?;
        if !available.is_empty() {
            self.message_started.set(Some(self.message_started.get().unwrap_or_else(Instant::now)));
        }
        read_line(source, line, max_line_bytes).await
    }

    /// Returns whether the peer receives nothing any more, so that nobody waits for what it sent before. A peer that has
    /// only closed its sending side still gets its answers; the first time that side is found closed, a probe tells the
    /// two apart, because the system of a peer that has closed the connection answers it with a reset.
    async fn peer_has_left(&self, socket: &Async<TcpStream>) -> bool {
        if peer_state(socket.get_ref()) == PeerState::ClosedForSending && !self.probed.replace(true) {
            self.send(PROBE);
            Timer::after(PROBE_WAIT).await;
        }
        peer_state(socket.get_ref()) == PeerState::Gone
    }

    /// Waits until the peer receives nothing any more, for as long as a message waits to be handled.
    async fn peer_leaves(&self, socket: &Async<TcpStream>) {
        loop {
            Timer::after(PEER_CHECK_INTERVAL).await;
            if self.peer_has_left(socket).await {
                return;
            }
        }
    }

    /// Waits until every open call is answered and every answer has been handed to the operating system. Does not wait
    /// for the calls of an untrusted peer that violated the protocol.
    async fn finish_calls(&self, end: ConnectionEnd) {
        let violated_protocol = matches!(end, ConnectionEnd::TooLong | ConnectionEnd::ProtocolViolation);
        while self.has_open_calls() && (!violated_protocol || self.is_trusted()) {
            self.calls_changed.notified().await;
        }
        self.write_queue.flushed().await;
    }

    /// Reads and drops what the peer sends after the half-close. Returns when the peer has closed its side or sent more
    /// than [`MAX_LINGER_BYTES`], when [`LINGER`] has passed, or when the connection is evicted.
    async fn linger(&self, source: &mut BufReader<impl AsyncRead + Unpin>) {
        let drain_input = async {
            let mut bytes_left = MAX_LINGER_BYTES;
            while matches!(source.fill_buf().await, Ok(bytes) if !bytes.is_empty()) && bytes_left > 0 {
                let count = source.buffer().len();
                self.activity.dropped_bytes.set(self.activity.dropped_bytes.get() + count);
                bytes_left = bytes_left.saturating_sub(count);
                source.consume(count);
            }
        };
        let timeout = async {
            Timer::after(LINGER).await;
        };
        or(drain_input, or(timeout, self.linger_aborted.notified())).await;
    }
}

/// Waits until the peer receives nothing any more.
async fn peer_left(socket: &Async<TcpStream>) {
    while peer_state(socket.get_ref()) != PeerState::Gone {
        Timer::after(PEER_CHECK_INTERVAL).await;
    }
}
