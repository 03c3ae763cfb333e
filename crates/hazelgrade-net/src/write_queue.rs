//! A bounded queue of messages for one connection, written by one task, so that no sender waits for the peer.

use crate::connection_end::ConnectionEnd;
use crate::notify::Notify;
use crate::stream::SharedSocket;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::io::{AsyncWrite, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a write may be blocked before its connection gives way to others once all of them hold too much.
const MAX_BLOCKED_WHEN_FULL: Duration = Duration::from_millis(500);

/// The bytes that wait to be written to several connections together.
#[derive(Debug)]
pub struct QueuedBytes {
    bytes: Cell<usize>,
    max_bytes: usize,
}

impl QueuedBytes {
    /// No bytes, of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> QueuedBytes {
        QueuedBytes { bytes: Cell::new(0), max_bytes }
    }

    /// Whether half of the bytes are in use: from then on a connection with unwritten messages should get no more.
    pub fn is_scarce(&self) -> bool {
        self.bytes.get() > self.max_bytes / 2
    }

    fn has_room_for(&self, bytes: usize) -> bool {
        self.bytes.get() + bytes <= self.max_bytes
    }

    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
    }
}

/// Messages that wait to be written to one connection.
pub struct WriteQueue {
    queued: RefCell<Vec<u8>>,
    max_bytes: usize,
    /// Bytes that were pushed and not handed to the system yet, those of the write in progress included.
    unwritten: Cell<usize>,
    /// The unwritten bytes of this and other connections.
    shared: Rc<QueuedBytes>,
    /// Messages that were pushed and not handed to the system yet.
    pending: Cell<usize>,
    /// Number of the last message that was pushed; the first message has number 1.
    last_pushed: Cell<u64>,
    /// Number of the first message of which no byte was handed to the system.
    first_unsent: Cell<u64>,
    pushed: Notify,
    flushed: Notify,
    overflowed: Cell<bool>,
    /// When the first queued message expires.
    expires_at: Cell<Option<Instant>>,
    /// When the write in progress began.
    write_started: Cell<Option<Instant>>,
}

impl WriteQueue {
    /// An empty queue for at most `max_bytes`.
    pub fn new(max_bytes: usize) -> WriteQueue {
        WriteQueue::sharing(max_bytes, Rc::new(QueuedBytes::new(usize::MAX)))
    }

    /// An empty queue for at most `max_bytes`, and for no more than what other queues leave of `shared`.
    pub fn sharing(max_bytes: usize, shared: Rc<QueuedBytes>) -> WriteQueue {
        WriteQueue {
            queued: RefCell::default(),
            max_bytes,
            unwritten: Cell::new(0),
            shared,
            pending: Cell::new(0),
            last_pushed: Cell::new(0),
            first_unsent: Cell::new(1),
            pushed: Notify::default(),
            flushed: Notify::default(),
            overflowed: Cell::new(false),
            expires_at: Cell::new(None),
            write_started: Cell::new(None),
        }
    }

    /// Queues a message and returns its number. If it doesn't fit, the connection ends with
    /// [`ConnectionEnd::WriteQueueFull`]. If only the other queues leave no room, it does so once its peer has taken
    /// nothing for half a second.
    pub fn push(&self, message: &[u8]) -> u64 {
        let number = self.last_pushed.get() + 1;
        self.last_pushed.set(number);
        let mut queued = self.queued.borrow_mut();
        let gives_way =
            !self.shared.has_room_for(message.len()) && self.blocked_for() > MAX_BLOCKED_WHEN_FULL;
        if gives_way || queued.len() + message.len() > self.max_bytes {
            self.overflowed.set(true);
        } else {
            queued.extend_from_slice(message);
            self.unwritten.set(self.unwritten.get() + message.len());
            self.shared.add(message.len());
            self.pending.set(self.pending.get() + 1);
        }
        self.pushed.notify();
        number
    }

    /// Queues a message that must not be written at `expires_at` or later: if it is still queued then, the connection
    /// ends with [`ConnectionEnd::Unsent`], and everything queued is lost with it. `None` sets no limit. Returns the
    /// number of the message.
    pub fn push_with_expiry(&self, message: &[u8], expires_at: Option<Instant>) -> u64 {
        self.expires_at.set(self.expires_at.get().into_iter().chain(expires_at).min());
        self.push(message)
    }

    /// The number of the first message of which no byte was handed to the system. The peer can't have received that
    /// message or any later one.
    pub fn first_unsent(&self) -> u64 {
        self.first_unsent.get()
    }

    /// The number of messages that were pushed and not handed to the system yet.
    pub fn pending(&self) -> usize {
        self.pending.get()
    }

    /// How long the write in progress has lasted; zero if there is none.
    pub fn blocked_for(&self) -> Duration {
        self.write_started.get().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Waits until everything pushed has been handed to the system.
    pub async fn flushed(&self) {
        while self.pending() > 0 {
            self.flushed.notified().await;
        }
    }

    /// Spawns the task that writes to `stream` until the connection ends. Pushing a message doesn't wake the reader.
    pub fn spawn_writer(
        self: Rc<Self>,
        tasks: &LocalExecutor<'static>,
        stream: Rc<Async<TcpStream>>,
    ) -> Task<ConnectionEnd> {
        self.spawn_writer_to(tasks, SharedSocket(stream))
    }

    /// Like [`WriteQueue::spawn_writer`], for any writer.
    pub fn spawn_writer_to(
        self: Rc<Self>,
        tasks: &LocalExecutor<'static>,
        mut writer: impl AsyncWrite + Unpin + 'static,
    ) -> Task<ConnectionEnd> {
        tasks.spawn(async move { self.write_to(&mut writer).await })
    }

    async fn write_to(&self, writer: &mut (impl AsyncWrite + Unpin)) -> ConnectionEnd {
        loop {
            self.pushed.notified().await;
            while self.pending() > 0 && !self.overflowed.get() {
                // Checked right before the write: the process may have been suspended since the message was pushed.
                if self.expires_at.take().is_some_and(|expires_at| expires_at <= Instant::now()) {
                    return ConnectionEnd::Unsent;
                }
                if let Err(end) = self.write_batch(writer).await {
                    return end;
                }
            }
            self.flushed.notify();
            if self.overflowed.get() {
                return ConnectionEnd::WriteQueueFull;
            }
        }
    }

    /// Writes what is queued now.
    async fn write_batch(&self, writer: &mut (impl AsyncWrite + Unpin)) -> Result<(), ConnectionEnd> {
        let bytes = self.queued.take();
        let count = self.pending();
        let next_number = self.last_pushed.get() + 1;
        self.write_started.set(Some(Instant::now()));
        let written = async {
            let mut unwritten = &bytes[..];
            while !unwritten.is_empty() {
                let count = writer.write(unwritten).await?;
                if count == 0 {
                    return Err(io::ErrorKind::WriteZero.into());
                }
                // Which messages these bytes belong to is not tracked, so all messages of the batch count as sent.
                self.first_unsent.set(next_number);
                unwritten = &unwritten[count..];
            }
            writer.flush().await
        };
        written.await.map_err(|error: io::Error| ConnectionEnd::from_io_error(&error))?;
        self.write_started.set(None);
        self.unwritten.set(self.unwritten.get().saturating_sub(bytes.len()));
        self.shared.remove(bytes.len());
        self.pending.set(self.pending() - count);
        Ok(())
    }
}

impl Drop for WriteQueue {
    fn drop(&mut self) {
        self.shared.remove(self.unwritten.get());
    }
}
