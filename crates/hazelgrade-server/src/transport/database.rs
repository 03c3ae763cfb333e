//! Pool of connections to the database, opened on demand. Calls are spread over the connections, so that the loss of a
//! connection affects few calls, usually one. This module does not know which jobs the calls belong to.

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::{or, poll_once};
use futures_lite::io::{AsyncBufRead, AsyncBufReadExt, BufReader};
use hazelgrade_net::connect::connect;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::lines::{read_body, read_line};
use hazelgrade_net::notify::Notify;
use hazelgrade_net::stream::SharedSocket;
use hazelgrade_net::write_queue::WriteQueue;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of connections. Half of them may take new calls: up to that many concurrent calls have a connection
/// each, and further calls share connections. The other half is for retired connections that still have calls in
/// flight. When a new connection would exceed the maximum, the oldest retired connection is closed.
pub const MAX_CONNECTIONS: usize = 32;
/// Capacity of the write queue of a connection, in bytes. Holds the calls of all jobs at 4 KiB each.
const WRITE_QUEUE_BYTES: usize = 1024 * 1024;
/// Maximum time from the first byte of a reply to its last. The database writes each reply in one piece.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// A call that was passed to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTicket {
    /// Number of the connection.
    pub connection: u64,
    /// Number of the call's message in the write queue of the connection.
    message: u64,
}

/// A connection that has ended or could not be opened.
#[derive(Clone, Copy, Debug)]
pub struct LostConnection {
    /// Number of the connection.
    pub number: u64,
    /// Why the connection ended.
    pub end: ConnectionEnd,
    /// Number of the first message that was not handed to the operating system.
    first_unsent: u64,
}

impl LostConnection {
    /// Returns how a call on the connection ended: [`ConnectionEnd::Unsent`] only if no byte of the call was handed to
    /// the operating system, because then the call can't have had an effect.
    pub fn call_end(&self, call: CallTicket) -> ConnectionEnd {
        match self.end {
            ConnectionEnd::Unreachable => ConnectionEnd::Unreachable,
            _ if call.message >= self.first_unsent => ConnectionEnd::Unsent,
            // Another call on the connection expired unsent.
            ConnectionEnd::Unsent => ConnectionEnd::Truncated,
            end => end,
        }
    }
}

/// Decodes and handles replies from the database. Connections are identified by their numbers.
pub trait ReplyHandler {
    /// The decoded first line of a reply.
    type Head;
    /// Decodes the first line of a reply; an error ends the connection.
    fn decode_head(&self, line: &[u8]) -> Result<Self::Head, ConnectionEnd>;
    /// Returns the length of the body that follows the first line, in bytes; `None` if no body follows.
    fn body_length(&self, head: &Self::Head) -> Option<usize>;
    /// Handles a reply; `body` is empty if the reply has none.
    fn reply(&self, connection: u64, head: Self::Head, body: Vec<u8>);
    /// Called when a connection has ended or could not be opened.
    fn ended(&self, lost: LostConnection);
}

struct Connection {
    write_queue: Rc<WriteQueue>,
    calls_in_flight: Cell<usize>,
    last_used: Cell<Instant>,
    /// Whether the connection takes no new calls. A retired connection is closed when its calls in flight have ended.
    retired: Cell<bool>,
    /// Notified when the connection may have become unneeded.
    idle_check_requested: Notify,
}

impl Connection {
    fn new() -> Connection {
        Connection {
            write_queue: Rc::new(WriteQueue::new(WRITE_QUEUE_BYTES)),
            calls_in_flight: Cell::new(0),
            last_used: Cell::new(Instant::now()),
            retired: Cell::new(false),
            idle_check_requested: Notify::default(),
        }
    }
}

/// Pool of connections to the database.
pub struct Database {
    address: Cell<SocketAddr>,
    max_connections: usize,
    /// How long a connection may be without a call before it is closed. The database closes idle connections itself
    /// after a longer time, and a call sent at that moment would be lost.
    idle_timeout: Duration,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    last_number: Cell<u64>,
}

impl Database {
    /// Creates a pool without open connections. The pool opens at most `max_connections` connections and closes each
    /// after `idle_timeout` without a call.
    pub fn new(address: SocketAddr, max_connections: usize, idle_timeout: Duration) -> Database {
        Database {
            address: Cell::new(address),
            max_connections,
            idle_timeout,
            connections: RefCell::default(),
            last_number: Cell::new(0),
        }
    }

    /// Sends new calls to this address. Calls in flight may finish on their existing connections.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            let numbers: Vec<u64> = self.connections.borrow().keys().copied().collect();
            numbers.into_iter().for_each(|number| self.retire(number));
        }
    }

    /// Sends a call on a connection other than those in `excluded`. A call that can't be handed to the operating system
    /// before `expires_at` is not sent.
    pub fn call<T: ReplyHandler + 'static>(
        self: &Rc<Self>,
        tasks: &Rc<LocalExecutor<'static>>,
        handler: &Rc<T>,
        message: &[u8],
        excluded: &[u64],
        expires_at: Option<Instant>,
    ) -> CallTicket {
        let (number, connection) = match self.select_connection(excluded) {
            Some(selected) => selected,
            None => self.open_connection(tasks, handler),
        };
        connection.last_used.set(Instant::now());
        connection.calls_in_flight.set(connection.calls_in_flight.get() + 1);
        let message = connection.write_queue.push_with_expiry(message, expires_at);
        CallTicket { connection: number, message }
    }

    /// Returns the connection with the fewest calls in flight and, among equals, the one used most recently; `None` if
    /// a new connection must be opened.
    fn select_connection(&self, excluded: &[u64]) -> Option<(u64, Rc<Connection>)> {
        let connections = self.connections.borrow();
        let open = || connections.iter().filter(|(_, connection)| !connection.retired.get());
        let usable = open().filter(|(number, connection)| {
            let has_calls = connection.calls_in_flight.get() > 0;
            let is_fresh = has_calls || connection.last_used.get().elapsed() < self.idle_timeout;
            is_fresh && !excluded.contains(number)
        });
        let (number, connection) = usable.min_by_key(|(_, connection)| {
            (connection.calls_in_flight.get(), Reverse(connection.last_used.get()))
        })?;
        let is_busy = connection.calls_in_flight.get() > 0;
        let may_open = open().count() < self.max_connections.div_ceil(2);
        if is_busy && may_open { None } else { Some((*number, connection.clone())) }
    }

    fn open_connection<T: ReplyHandler + 'static>(
        self: &Rc<Self>,
        tasks: &Rc<LocalExecutor<'static>>,
        handler: &Rc<T>,
    ) -> (u64, Rc<Connection>) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let connection = Rc::new(Connection::new());
        self.close_oldest_retired_if_full();
        self.connections.borrow_mut().insert(number, connection.clone());
        let run = Connection::run(
            connection.clone(),
            self.clone(),
            tasks.clone(),
            handler.clone(),
            number,
            self.address.get(),
        );
        tasks.spawn(run).detach();
        (number, connection)
    }

    fn close_oldest_retired_if_full(&self) {
        let connections = self.connections.borrow();
        if connections.len() >= self.max_connections
            && let Some(oldest) = connections.values().find(|connection| connection.retired.get())
        {
            oldest.calls_in_flight.set(0);
            oldest.idle_check_requested.notify();
        }
    }

    /// Records that a call on this connection has ended.
    pub fn call_ended(&self, number: u64) {
        if let Some(connection) = self.connections.borrow().get(&number) {
            connection.calls_in_flight.set(connection.calls_in_flight.get().saturating_sub(1));
            connection.last_used.set(Instant::now());
            if connection.calls_in_flight.get() == 0 && connection.retired.get() {
                connection.idle_check_requested.notify();
            }
        }
    }

    /// Stops sending calls on this connection. Used when a call on the connection timed out or the address has changed.
    pub fn retire(&self, number: u64) {
        if let Some(connection) = self.connections.borrow().get(&number) {
            connection.retired.set(true);
            if connection.calls_in_flight.get() == 0 {
                connection.idle_check_requested.notify();
            }
        }
    }

    /// Sends a message on the connection with this number, if the connection still exists.
    pub fn send(&self, number: u64, message: &[u8]) {
        if let Some(connection) = self.connections.borrow().get(&number) {
            connection.write_queue.push(message);
        }
    }

    /// Returns the number of connections, including those being opened.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }
}

impl Connection {
    /// Serves the connection until it ends, then removes it from the pool and reports the end to the handler.
    async fn run<T: ReplyHandler>(
        self: Rc<Self>,
        database: Rc<Database>,
        tasks: Rc<LocalExecutor<'static>>,
        handler: Rc<T>,
        number: u64,
        address: SocketAddr,
    ) {
        let end = self.serve(&tasks, address, database.idle_timeout, number, &*handler).await;
        database.connections.borrow_mut().remove(&number);
        handler.ended(LostConnection { number, end, first_unsent: self.write_queue.first_unsent() });
    }

    async fn serve<T: ReplyHandler>(
        &self,
        tasks: &LocalExecutor<'static>,
        address: SocketAddr,
        idle_timeout: Duration,
        number: u64,
        handler: &T,
    ) -> ConnectionEnd {
        let stream = match connect(address).await {
            Ok(stream) => Rc::new(stream),
            Err(_) => return ConnectionEnd::Unreachable,
        };
        let read = async {
            let mut source = BufReader::new(SharedSocket(stream.clone()));
            loop {
                match read_reply(&mut source, handler).await {
                    Ok((head, body)) => handler.reply(number, head, body),
                    Err(end) => break end,
                }
            }
        };
        let write = self.write_queue.clone().spawn_writer(tasks, stream.clone());
        or(or(read, self.wait_until_unneeded(idle_timeout)), write).await
    }

    /// Waits until the connection is not needed any more: no call is in flight, and the connection is retired or has
    /// been without a call for `idle_timeout`.
    async fn wait_until_unneeded(&self, idle_timeout: Duration) -> ConnectionEnd {
        loop {
            let timeout = async {
                Timer::after(idle_timeout).await;
            };
            or(self.idle_check_requested.notified(), timeout).await;
            let is_unneeded = self.retired.get() || self.last_used.get().elapsed() >= idle_timeout;
            if self.calls_in_flight.get() == 0 && is_unneeded {
                return ConnectionEnd::Idle;
            }
        }
    }
}

/// Reads one reply. Waits for the first byte without a time limit, then at most [`REPLY_TIMEOUT`] for the rest.
async fn read_reply<T: ReplyHandler>(
    source: &mut (impl AsyncBufRead + Unpin),
    handler: &T,
) -> Result<(T::Head, Vec<u8>), ConnectionEnd> {
    source.fill_buf().await.map_err(|error| ConnectionEnd::from_io_error(&error))?;
    let mut reply = pin!(async {
        let mut line = Vec::new();
        read_line(source, &mut line, crate::protocol::database::MAX_LINE_BYTES).await?;
        let head = handler.decode_head(&line)?;
        let body = match handler.body_length(&head) {
            Some(length) => read_body(source, length).await?,
            None => Vec::new(),
        };
        Ok((head, body))
    });
    // Usually the whole reply is available at once, so the timer is created only if the first poll is not ready.
    if let Some(reply) = poll_once(&mut reply).await {
        return reply;
    }
    let timeout = async {
        Timer::after(REPLY_TIMEOUT).await;
        Err(ConnectionEnd::TimedOut)
    };
    or(reply, timeout).await
}
