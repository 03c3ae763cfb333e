//! The connections of client stubs: each with a reader and a writer of its own, so that none delays another.
//! What a peer may cost is bounded here, for each connection; a peer that has shown itself gets more room, and
//! makes room last.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::{or, yield_now};
use futures_lite::io::{AsyncBufReadExt, AsyncRead, BufReader};
use hazelgrade_net::bell::Bell;
use hazelgrade_net::ending::ConnectionEnd;
use hazelgrade_net::lines::read_line;
use hazelgrade_net::outbox::Outbox;
use hazelgrade_net::wire::Wire;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Calls that a client may have open on one connection.
pub const MOST_OPEN: usize = 32;
/// And before any job of it has been run: so many connections with all of these open fit the smallest memory.
const MOST_OPEN_UNPROVED: usize = 16;
/// Room for the answers to all of these, at 4 KiB in base64 each, and some checks.
const OUTBOX_BYTES: usize = 256 * 1024;
/// With more than this waiting beside its answers, a connection is not read until its peer takes what it was sent.
const SLACK_MESSAGES: usize = 64;
/// A younger one may have a call on its way.
const IDLE_AT_LEAST: Duration = Duration::from_millis(250);
/// How long a connection that is ended from here is still read, and how much, so that its peer gets what it was
/// sent: closing with bytes unread resets it. A peer that goes on sending past that is reset.
const LINGER: Duration = Duration::from_millis(300);
const LINGER_BYTES: usize = 128 * 1024;
/// A connection is opened for a message, and a message is written whole: what has not come by then does not come.
const MESSAGE_WITHIN: Duration = Duration::from_secs(2);
/// A peer that takes none of what it is sent for so long is gone, or does it harm.
const DEAF_FOR: Duration = Duration::from_secs(5);
/// With nothing open for so long it is closed: its peer closes idle ones sooner, or keeps them for good.
const IDLE_MOST: Duration = Duration::from_secs(10);
/// Wrong messages that are answered; with the next one the connection ends.
const WRONG_MOST: u32 = 4;
/// A peer of which nothing has been run, bounced so often, is read at this pace: it may come again at once, and
/// reading it would keep others waiting. One whose jobs run is never slowed.
const BOUNCED_MOST: u32 = 8;
const PACE: Duration = Duration::from_millis(25);
/// How often it is looked at how long connections have been idle.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Idle connections that are closed at once when there is no room.
const ROOM: usize = 16;

/// A connection of a client. Its calls are told apart by their number.
pub struct Client<T> {
    outbox: Rc<Outbox>,
    open: RefCell<BTreeMap<u64, T>>,
    closed_one: Bell,
    used: Cell<Instant>,
    /// A job of it has been run: it is what it says. When room is needed, it goes last.
    proved: Cell<bool>,
    wrong: Cell<u32>,
    bounced: Cell<u32>,
    /// Since when a message is awaited that has begun, or the first one.
    awaited: Cell<Option<Instant>>,
    /// Found late once already: after a pause of the process, what came meanwhile is read first.
    late: Cell<bool>,
    /// Why it is to be closed. Rung to close it.
    close_for: Cell<Option<ConnectionEnd>>,
    closing: Bell,
}

impl<T: Clone + PartialEq> Client<T> {
    pub fn put(&self, message: &str) {
        self.used.set(Instant::now());
        self.outbox.put(message.as_bytes());
    }

    /// Opens a call; `false` if one with its number is open.
    pub fn open(&self, call: u64, what: T) -> bool {
        self.used.set(Instant::now());
        self.open.borrow_mut().insert(call, what).is_none()
    }

    pub fn is_open(&self, call: u64) -> Option<T> {
        self.open.borrow().get(&call).cloned()
    }

    pub fn has_open(&self, what: &T) -> bool {
        self.open.borrow().values().any(|open| open == what)
    }

    pub fn close(&self, call: u64) {
        self.open.borrow_mut().remove(&call);
        self.closed_one.ring();
    }

    /// Nothing is owed on it: no call is open and every answer was handed to the system.
    pub fn is_quiet(&self) -> bool {
        self.open.borrow().is_empty() && self.outbox.unwritten() == 0
    }

    /// A job of it has been run.
    pub fn prove(&self) {
        self.proved.set(true);
        self.closed_one.ring();
    }

    pub fn is_proved(&self) -> bool {
        self.proved.get()
    }

    /// A job of it was bounced.
    pub fn bounced(&self) {
        self.bounced.set(self.bounced.get().saturating_add(1));
    }

    /// It sent what is wrong. One that goes on is not read further.
    pub fn misused(&self) {
        self.wrong.set(self.wrong.get().saturating_add(1));
        self.closed_one.ring();
    }

    fn is_misused(&self) -> bool {
        self.wrong.get() > WRONG_MOST
    }

    fn close_for(&self, end: ConnectionEnd) {
        self.close_for.set(Some(end));
        self.closing.ring();
    }

    /// Waits while it has as many calls open as it may.
    pub async fn room(&self) {
        let most = || if self.proved.get() { MOST_OPEN } else { MOST_OPEN_UNPROVED };
        while self.open.borrow().len() >= most() && !self.is_misused() {
            self.closed_one.heard().await;
        }
    }

    /// What is found when it is looked at now and then: an end that is due, if any.
    fn overdue(&self) -> Option<ConnectionEnd> {
        if self.outbox.stuck_for() >= DEAF_FOR {
            return Some(ConnectionEnd::Slow);
        }
        let late = self.awaited.get().is_some_and(|since| since.elapsed() >= MESSAGE_WITHIN);
        if self.is_quiet() && self.late.replace(late) && late {
            return Some(ConnectionEnd::Slow);
        }
        let idle = self.is_quiet() && self.used.get().elapsed() >= IDLE_MOST;
        idle.then_some(ConnectionEnd::Idle)
    }

    async fn read(
        &self,
        source: impl AsyncRead + Unpin,
        socket: &Async<TcpStream>,
        longest: usize,
        on_line: impl AsyncFn(&[u8]),
        last_words: impl Fn(ConnectionEnd) -> Option<String>,
    ) -> ConnectionEnd {
        let (mut source, mut line) = (BufReader::with_capacity(4096, source), Vec::new());
        let end = loop {
            if self.outbox.unwritten() > MOST_OPEN + SLACK_MESSAGES {
                self.outbox.emptied().await;
            }
            if !self.proved.get() && self.bounced.get() > BOUNCED_MOST {
                Timer::after(PACE).await;
            }
            // A message may take its time to begin, but not to end.
            match source.fill_buf().await {
                Ok([]) => {}
                Ok(_) => self.awaited.set(Some(self.awaited.get().unwrap_or_else(Instant::now))),
                Err(error) => return ConnectionEnd::of(&error),
            }
            match read_line(&mut source, &mut line, longest).await {
                Ok(()) => {
                    self.awaited.set(None);
                    on_line(&line).await;
                }
                Err(ConnectionEnd::Reset) => return ConnectionEnd::Reset,
                Err(other) => break other,
            }
            if self.is_misused() {
                break ConnectionEnd::Misused;
            }
            // One that always has more to read lets the others have their turn.
            yield_now().await;
        };
        self.awaited.set(None);
        if let Some(words) = last_words(end) {
            self.put(&words);
        }
        // Nothing more is taken from it, but it may still read what it is owed.
        let broke_rules = matches!(end, ConnectionEnd::TooLong | ConnectionEnd::Misused);
        while !self.open.borrow().is_empty() && (!broke_rules || self.proved.get()) {
            self.closed_one.heard().await;
        }
        self.outbox.emptied().await;
        if broke_rules {
            let _ = socket.get_ref().shutdown(Shutdown::Write);
            let rest = async {
                let mut left = LINGER_BYTES;
                while matches!(source.fill_buf().await, Ok(bytes) if !bytes.is_empty()) && left > 0 {
                    let read = source.buffer().len();
                    left = left.saturating_sub(read);
                    source.consume(read);
                }
            };
            or(rest, async {
                Timer::after(LINGER).await;
            })
            .await;
        }
        end
    }
}

/// All connections of clients.
pub struct Clients<T> {
    table: RefCell<BTreeMap<u64, Rc<Client<T>>>>,
    numbers: Cell<u64>,
    pub most: usize,
    /// What each new connection is told first.
    greeting: RefCell<Option<String>>,
    /// Connections that were ended for what their peers did, or didn't.
    pub turned_out: Cell<u64>,
}

impl<T: Clone + PartialEq> Clients<T> {
    pub fn new(most: usize) -> Clients<T> {
        Clients {
            table: RefCell::default(),
            numbers: Cell::new(0),
            most,
            greeting: RefCell::default(),
            turned_out: Cell::new(0),
        }
    }

    pub fn count(&self) -> usize {
        self.table.borrow().len()
    }

    /// Tells all clients, and each that connects from now on.
    pub fn tell_all(&self, message: &str) {
        *self.greeting.borrow_mut() = Some(message.into());
        self.table.borrow().values().for_each(|client| client.put(message));
    }

    pub fn all_quiet(&self) -> bool {
        self.table.borrow().values().all(|client| client.is_quiet())
    }

    /// Looks now and then at how long connections have kept silent, for good.
    pub async fn watch(&self) {
        loop {
            Timer::after(LOOK_EVERY).await;
            for client in self.table.borrow().values() {
                if let Some(end) = client.overdue() {
                    client.close_for(end);
                }
            }
        }
    }

    /// Closes some connections that have nothing open, the ones that were idle longest. A peer whose jobs run
    /// makes room only where all do: a flood of others is waited for.
    pub fn make_room(&self) {
        let table = self.table.borrow();
        let quiet = || table.values().filter(|client| client.is_quiet());
        let all_proved = quiet().all(|client| client.proved.get());
        let unused = |client: &&Rc<Client<T>>| {
            client.proved.get() == all_proved && client.used.get().elapsed() >= IDLE_AT_LEAST
        };
        let mut idle: Vec<_> = quiet().filter(unused).collect();
        idle.sort_by_key(|client| client.used.get());
        let most = if all_proved { 1 } else { ROOM };
        idle.iter().take(most).for_each(|client| client.close_for(ConnectionEnd::Idle));
    }

    /// Serves one connection until it ends, and gives what was open on it then. `last_words` gives the line that
    /// a peer is told before a connection is ended from here.
    pub async fn serve(
        &self,
        tasks: &LocalExecutor<'static>,
        wire: Wire,
        longest: usize,
        on_line: impl AsyncFn(&Rc<Client<T>>, &[u8]),
        last_words: impl Fn(ConnectionEnd) -> Option<String>,
    ) -> (ConnectionEnd, Vec<T>) {
        let Wire { source, sink, socket } = wire;
        let _ = socket.get_ref().set_nodelay(true);
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        let client = Rc::new(Client {
            outbox: Rc::new(Outbox::new(OUTBOX_BYTES)),
            open: RefCell::default(),
            closed_one: Bell::default(),
            used: Cell::new(Instant::now()),
            proved: Cell::new(false),
            wrong: Cell::new(0),
            bounced: Cell::new(0),
            awaited: Cell::new(Some(Instant::now())),
            late: Cell::new(false),
            close_for: Cell::new(None),
            closing: Bell::default(),
        });
        if let Some(greeting) = &*self.greeting.borrow() {
            client.put(greeting);
        }
        self.table.borrow_mut().insert(number, client.clone());
        let closed = async {
            loop {
                client.closing.heard().await;
                // It may have come into use meanwhile.
                if let Some(end) = client.close_for.take()
                    && (client.is_quiet() || client.outbox.stuck_for() >= DEAF_FOR)
                {
                    break end;
                }
            }
        };
        let read = client.read(
            source,
            &socket,
            longest,
            async |line: &[u8]| on_line(&client, line).await,
            &last_words,
        );
        let end = or(or(closed, read), client.outbox.clone().writer_to(tasks, sink)).await;
        if matches!(end, ConnectionEnd::Slow | ConnectionEnd::TooLong | ConnectionEnd::Misused) {
            self.turned_out.set(self.turned_out.get() + 1);
        }
        self.table.borrow_mut().remove(&number);
        (end, client.open.take().into_values().collect())
    }
}
