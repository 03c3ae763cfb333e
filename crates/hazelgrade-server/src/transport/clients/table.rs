//! Table of all client connections.

use super::activity::ConnectionSummary;
use super::call_limit::{CallPool, PooledCalls};
use super::connection::ClientConnection;
use super::eviction::evict_idle;
use super::throttle::SharedThrottle;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::or;
use hazelgrade_net::connect::disable_nagle;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::stream::SplitStream;
use hazelgrade_net::write_queue::QueuedBytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often the time limits of the connections are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a write to a peer may block before its connection is dropped.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum idle time before a connection is closed for a drain: on a more recently used connection, a message from the
/// peer may be in transit.
const MIN_IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(50);

/// Guard that counts a connection as accepted but not in the table yet, until the guard is dropped.
#[must_use = "the connection is counted only until this guard is dropped"]
pub struct Accepting {
    count: Rc<Cell<usize>>,
    /// The peer connected after this instant.
    connected_after: Instant,
}

impl Accepting {
    fn new(count: &Rc<Cell<usize>>, connected_after: Instant) -> Accepting {
        count.set(count.get() + 1);
        Accepting { count: count.clone(), connected_after }
    }
}

impl Drop for Accepting {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}

/// A client connection that has ended.
pub struct EndedConnection<T> {
    /// Why the connection ended.
    pub end: ConnectionEnd,
    /// The calls that were still open when the connection ended.
    pub open_calls: Vec<T>,
    /// What happened on the connection.
    pub summary: ConnectionSummary,
}

/// Table of all client connections; `T` identifies an open call.
pub struct ClientConnections<T> {
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection<T>>>>,
    last_number: Cell<u64>,
    /// Number of connections that were accepted and are not in the table yet.
    accepting: Rc<Cell<usize>>,
    /// When the listener last found that no connection was waiting to be accepted.
    backlog_empty_at: Cell<Instant>,
    /// Maximum number of connections that may be open at once.
    pub max_connections: usize,
    throttle: Rc<SharedThrottle>,
    call_pool: Rc<CallPool>,
    unwritten: Rc<QueuedBytes>,
    /// The first message to send on each new connection, if any.
    greeting: RefCell<Option<String>>,
    /// Number of connections closed since the start because the peer violated the protocol or exceeded a time limit.
    pub closed_for_violation: Cell<u64>,
}

impl<T: Clone + PartialEq> ClientConnections<T> {
    /// Creates an empty table for at most `max_connections` connections, for which at most `max_unwritten_bytes` wait to
    /// be written together.
    pub fn new(max_connections: usize, max_unwritten_bytes: usize) -> ClientConnections<T> {
        ClientConnections {
            connections: RefCell::default(),
            last_number: Cell::new(0),
            accepting: Rc::default(),
            backlog_empty_at: Cell::new(Instant::now()),
            max_connections,
            throttle: Rc::new(SharedThrottle::new(Instant::now())),
            call_pool: Rc::default(),
            unwritten: Rc::new(QueuedBytes::new(max_unwritten_bytes)),
            greeting: RefCell::default(),
            closed_for_violation: Cell::new(0),
        }
    }

    /// Returns the number of connections, including those that were accepted and are not in the table yet.
    pub fn count(&self) -> usize {
        self.connections.borrow().len() + self.accepting.get()
    }

    /// Counts a connection that was accepted. The returned guard is kept until the connection is served or has ended.
    pub fn accepted(&self) -> Accepting {
        Accepting::new(&self.accepting, self.backlog_empty_at.get())
    }

    /// Records that no connection is waiting to be accepted: whoever connects does so from now on.
    pub fn backlog_is_empty(&self) {
        self.backlog_empty_at.set(Instant::now());
    }

    /// Sends a message to all clients, and to each client that connects later.
    pub fn broadcast(&self, message: &str) {
        *self.greeting.borrow_mut() = Some(message.into());
        self.connections.borrow().values().for_each(|connection| connection.send(message));
    }

    /// Sends the notice of a drain to all clients. From now on no connection waits for its allowance of messages, so that
    /// everything that was received is read before the stop.
    pub fn start_drain(&self, notice: &str) {
        self.throttle.start_drain();
        self.broadcast(notice);
    }

    /// Returns whether nothing is outstanding on any connection and no connection is being accepted.
    pub fn all_idle(&self) -> bool {
        let connections = self.connections.borrow();
        self.accepting.get() == 0 && connections.values().all(|connection| connection.is_idle())
    }

    /// Closes all idle connections when the instance drains. Connections used within [`MIN_IDLE_BEFORE_CLOSE`] stay
    /// open, because a message may be in transit.
    pub fn close_idle(&self) {
        for connection in self.connections.borrow().values() {
            if connection.idle_for() >= MIN_IDLE_BEFORE_CLOSE && connection.can_close() {
                connection.request_close(ConnectionEnd::Idle);
            }
        }
    }

    /// Closes connections that exceed a time limit. Runs until the future is dropped.
    pub async fn enforce_timeouts(&self) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            for connection in self.connections.borrow().values() {
                if connection.write_queue.blocked_for() >= WRITE_TIMEOUT {
                    connection.write_stalled.notify();
                } else if let Some(end) = connection.expired_timeout().filter(|_| connection.can_close()) {
                    connection.request_close(end);
                }
            }
        }
    }

    /// Closes some idle connections to make room for new ones.
    pub fn evict_idle(&self) {
        let connections: Vec<_> = self.connections.borrow().values().cloned().collect();
        evict_idle(&connections, self.accepting.get());
    }

    /// Serves a connection that was counted as accepted, until the connection ends. `closing_line` returns the line to
    /// send to the peer before the instance closes the connection, if any.
    pub async fn serve(
        &self,
        tasks: &LocalExecutor<'static>,
        accepting: Accepting,
        stream: SplitStream,
        max_line_bytes: usize,
        on_line: impl AsyncFn(&Rc<ClientConnection<T>>, &[u8]),
        closing_line: impl Fn(ConnectionEnd) -> Option<String>,
    ) -> EndedConnection<T> {
        let SplitStream { reader, writer, socket } = stream;
        disable_nagle(socket.get_ref());
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let connection = Rc::new(ClientConnection::new(
            number,
            accepting.connected_after,
            self.throttle.clone(),
            PooledCalls::new(self.call_pool.clone()),
            self.unwritten.clone(),
        ));
        if let Some(greeting) = &*self.greeting.borrow() {
            connection.send(greeting);
        }
        self.connections.borrow_mut().insert(number, connection.clone());
        drop(accepting);
        // A stalled connection ends without a closing line, because its peer does not read.
        let stalled = async {
            connection.write_stalled.notified().await;
            ConnectionEnd::TimedOut
        };
        let on_line = async |line: &[u8]| on_line(&connection, line).await;
        let read = connection.read(reader, &socket, max_line_bytes, on_line, &closing_line);
        let write = connection.write_queue.clone().spawn_writer_to(tasks, writer);
        let end = or(or(stalled, read), write).await;
        let is_violation = matches!(
            end,
            ConnectionEnd::TimedOut | ConnectionEnd::TooLong | ConnectionEnd::ProtocolViolation
        );
        if is_violation {
            self.closed_for_violation.set(self.closed_for_violation.get() + 1);
        }
        self.connections.borrow_mut().remove(&number);
        EndedConnection { end, open_calls: connection.take_open_calls(), summary: connection.summary() }
    }
}
