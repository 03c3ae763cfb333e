//! The link to the executor: one connection, opened again whenever it ends.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::BufReader;
use hazelgrade_net::connect::connect;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::lines::read_line;
use hazelgrade_net::notify::Notify;
use hazelgrade_net::write_queue::WriteQueue;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The capacity of the write queue, in bytes.
const WRITE_QUEUE_BYTES: usize = 4 * 1024 * 1024;
/// The pause before the link is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// How long a link to an old address waits for the executor's confirmation of everything sent on it. The executor keeps
/// the link open for longer.
const OLD_LINK_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a link may be without any answer after something was sent. After that it is replaced, and runs continue.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Provides the first and last line on a link, and handles the lines received.
pub trait LinkHandler {
    /// The first line on each new link.
    fn first_line(&self) -> String;
    /// The last line on a link that is replaced because the address has changed.
    fn last_line(&self) -> String;
    /// Handles a line; an error ends the link.
    fn line(&self, line: &[u8]) -> Result<(), ConnectionEnd>;
    /// The link has ended, or could not be opened.
    fn ended(&self, end: ConnectionEnd);
}

/// The link to the executor.
pub struct ExecutorLink {
    address: Cell<SocketAddr>,
    /// Where lines go while there is a link.
    write_queue: RefCell<Option<Rc<WriteQueue>>>,
    address_changed: Notify,
    old_link_done: Notify,
    /// When the first line was sent since the last line received.
    unanswered_since: Cell<Option<Instant>>,
}

impl ExecutorLink {
    /// A link to this address, which [`ExecutorLink::run`] opens.
    pub fn new(address: SocketAddr) -> ExecutorLink {
        ExecutorLink {
            address: Cell::new(address),
            write_queue: RefCell::default(),
            address_changed: Notify::default(),
            old_link_done: Notify::default(),
            unanswered_since: Cell::new(None),
        }
    }

    /// Replaces the link by one to another address.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changed.notify();
        }
    }

    /// Whether the link is established, as far as is known.
    pub fn is_up(&self) -> bool {
        self.write_queue.borrow().is_some()
    }

    /// Ends the wait for the old link: the executor has confirmed everything that was sent on it.
    pub fn old_link_done(&self) {
        self.old_link_done.notify();
    }

    /// Queues a line. While there is no link it is dropped, and its sender must send it again later.
    pub fn send(&self, line: &str) {
        if let Some(write_queue) = &*self.write_queue.borrow() {
            write_queue.push(line.as_bytes());
            self.unanswered_since.set(Some(self.unanswered_since.get().unwrap_or_else(Instant::now)));
        }
    }

    /// Keeps the link open until the future is dropped. Lines may have at most `max_line_bytes`.
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
        let was_up = Cell::new(false);
        let read = self.read_lines(&stream, max_line_bytes, handler, &was_up);
        let moved = self.leave_for_new_address(address, &write_queue, handler);
        let silent = self.detect_silence(&was_up);
        let write = write_queue.clone().spawn_writer(tasks, stream.clone());
        or(or(or(read, moved), silent), write).await
    }

    async fn read_lines(
        &self,
        stream: &Async<TcpStream>,
        max_line_bytes: usize,
        handler: &impl LinkHandler,
        was_up: &Cell<bool>,
    ) -> ConnectionEnd {
        let mut source = BufReader::new(stream);
        let mut line = Vec::new();
        loop {
            if let Err(end) = read_line(&mut source, &mut line, max_line_bytes).await {
                return end;
            }
            was_up.set(true);
            self.unanswered_since.set(None);
            if let Err(end) = handler.line(&line) {
                return end;
            }
        }
    }

    /// Waits until the executor has another address, and then for the confirmation of everything sent on this link.
    async fn leave_for_new_address(
        &self,
        address: SocketAddr,
        write_queue: &WriteQueue,
        handler: &impl LinkHandler,
    ) -> ConnectionEnd {
        while self.address.get() == address {
            self.address_changed.notified().await;
        }
        // From now on lines are dropped, and sent again on the new link: none is sent on both.
        *self.write_queue.borrow_mut() = None;
        write_queue.push(handler.last_line().as_bytes());
        let timeout = async {
            Timer::after(OLD_LINK_TIMEOUT).await;
        };
        or(self.old_link_done.notified(), timeout).await;
        ConnectionEnd::Moved
    }

    /// Waits until the executor has not answered for [`SILENCE_TIMEOUT`] on a link that has been up.
    async fn detect_silence(&self, was_up: &Cell<bool>) -> ConnectionEnd {
        let is_silent = |since: Instant| since.elapsed() >= SILENCE_TIMEOUT;
        loop {
            Timer::after(SILENCE_TIMEOUT / 4).await;
            if was_up.get() && self.unanswered_since.get().is_some_and(is_silent) {
                return ConnectionEnd::TimedOut;
            }
        }
    }
}
