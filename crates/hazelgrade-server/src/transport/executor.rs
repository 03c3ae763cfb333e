//! The link to the executor: a single connection that is reopened whenever it ends.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::BufReader;
use hazelgrade_net::connect::connect;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::lines::read_line;
use hazelgrade_net::notify::Notify;
use hazelgrade_net::stream::SharedSocket;
use hazelgrade_net::write_queue::WriteQueue;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Capacity of the write queue of a link, in bytes.
const WRITE_QUEUE_BYTES: usize = 4 * 1024 * 1024;
/// Pause before the link is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// How long a link to an old address waits for the executor to confirm everything that was sent on the link. The
/// executor keeps the link open for longer.
const OLD_LINK_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum time without any line from the executor after a line was sent. After that the link is replaced; runs
/// continue.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// There is no link to the executor, so a line was dropped: the executor cannot have received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no link to the executor")]
pub struct NoLink;

/// Provides the first and the last line to send on a link, and handles the lines received from the executor.
pub trait LinkHandler {
    /// Returns the first line to send on each new link.
    fn first_line(&self) -> String;
    /// Returns the last line to send on a link that is replaced because the address of the executor has changed.
    fn last_line(&self) -> String;
    /// Handles a line received from the executor; an error ends the link.
    fn line(&self, line: &[u8]) -> Result<(), ConnectionEnd>;
    /// Called when the link has ended or could not be opened.
    fn ended(&self, end: ConnectionEnd);
}

/// The link to the executor.
pub struct ExecutorLink {
    address: Cell<SocketAddr>,
    /// The write queue of the current link; `None` while lines are dropped.
    write_queue: RefCell<Option<Rc<WriteQueue>>>,
    address_changed: Notify,
    old_link_done: Notify,
    /// When the first line that is not answered yet was sent; `None` if a line was received since the last line was
    /// sent.
    unanswered_since: Cell<Option<Instant>>,
}

impl ExecutorLink {
    /// Creates a link to this address without opening it; [`ExecutorLink::run`] opens it.
    pub fn new(address: SocketAddr) -> ExecutorLink {
        ExecutorLink {
            address: Cell::new(address),
            write_queue: RefCell::default(),
            address_changed: Notify::default(),
            old_link_done: Notify::default(),
            unanswered_since: Cell::new(None),
        }
    }

    /// Replaces the link by a link to this address, if the address differs from the current one.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changed.notify();
        }
    }

    /// Returns whether lines can be sent, that is, whether a link is open and is not being replaced. A failure of the
    /// link that has not been detected yet is not taken into account.
    pub fn is_up(&self) -> bool {
        self.write_queue.borrow().is_some()
    }

    /// Closes the link to the old address, because the executor has confirmed everything that was sent on that link.
    pub fn old_link_done(&self) {
        self.old_link_done.notify();
    }

    /// Queues a line for the executor.
    ///
    /// # Errors
    /// [`NoLink`] if the line was dropped because there is no link. The caller must send it again later.
    pub fn send(&self, line: &str) -> Result<(), NoLink> {
        let write_queue = self.write_queue.borrow();
        let write_queue = write_queue.as_ref().ok_or(NoLink)?;
        write_queue.push(line.as_bytes());
        self.unanswered_since.set(Some(self.unanswered_since.get().unwrap_or_else(Instant::now)));
        Ok(())
    }

    /// Keeps the link open until the future is dropped. Received lines may have at most `max_line_bytes` bytes.
    pub async fn run(
        &self,
        tasks: &LocalExecutor<'static>,
        max_line_bytes: usize,
        handler: &impl LinkHandler,
    ) {
        loop {
            let address = self.address.get();
            let end = match connect(address).await {
                Ok(stream) => {
                    self.run_connection(tasks, address, Rc::new(stream), max_line_bytes, handler).await
                }
                Err(_) => ConnectionEnd::Unreachable,
            };
            *self.write_queue.borrow_mut() = None;
            handler.ended(end);
            if self.address.get() == address {
                Timer::after(RECONNECT_DELAY).await;
            }
        }
    }

    async fn run_connection(
        &self,
        tasks: &LocalExecutor<'static>,
        address: SocketAddr,
        stream: Rc<Async<TcpStream>>,
        max_line_bytes: usize,
        handler: &impl LinkHandler,
    ) -> ConnectionEnd {
        let write_queue = Rc::new(WriteQueue::new(WRITE_QUEUE_BYTES));
        write_queue.push(handler.first_line().as_bytes());
        *self.write_queue.borrow_mut() = Some(write_queue.clone());
        let has_received = Cell::new(false);
        let read = self.read_lines(stream.clone(), max_line_bytes, handler, &has_received);
        let moved = self.finish_on_address_change(address, &write_queue, handler);
        let silent = self.detect_silence(&has_received);
        let write = write_queue.clone().spawn_writer(tasks, stream.clone());
        or(or(or(read, moved), silent), write).await
    }

    async fn read_lines(
        &self,
        stream: Rc<Async<TcpStream>>,
        max_line_bytes: usize,
        handler: &impl LinkHandler,
        has_received: &Cell<bool>,
    ) -> ConnectionEnd {
        let mut source = BufReader::new(SharedSocket(stream));
        let mut line = Vec::new();
        loop {
            if let Err(end) = read_line(&mut source, &mut line, max_line_bytes).await {
                return end;
            }
            has_received.set(true);
            self.unanswered_since.set(None);
            if let Err(end) = handler.line(&line) {
                return end;
            }
        }
    }

    /// Waits until the address of the executor changes, then until the executor has confirmed everything that was sent
    /// on this link, for at most [`OLD_LINK_TIMEOUT`].
    async fn finish_on_address_change(
        &self,
        address: SocketAddr,
        write_queue: &WriteQueue,
        handler: &impl LinkHandler,
    ) -> ConnectionEnd {
        while self.address.get() == address {
            self.address_changed.notified().await;
        }
        // From here on lines are dropped and sent again on the new link, so that no line is sent on both links.
        *self.write_queue.borrow_mut() = None;
        write_queue.push(handler.last_line().as_bytes());
        let timeout = async {
            Timer::after(OLD_LINK_TIMEOUT).await;
        };
        or(self.old_link_done.notified(), timeout).await;
        ConnectionEnd::Moved
    }

    /// Waits until a sent line has been unanswered for [`SILENCE_TIMEOUT`] on a link on which the executor has answered
    /// before.
    async fn detect_silence(&self, has_received: &Cell<bool>) -> ConnectionEnd {
        let is_silent = |since: Instant| since.elapsed() >= SILENCE_TIMEOUT;
        loop {
            Timer::after(SILENCE_TIMEOUT / 4).await;
            if has_received.get() && self.unanswered_since.get().is_some_and(is_silent) {
                return ConnectionEnd::TimedOut;
            }
        }
    }
}
