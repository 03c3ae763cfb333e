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
/// How long a connection is still read after its half-close, and how much, so that its peer gets what it was sent:
/// closing with bytes unread resets it. A peer that goes on sending past that is reset.
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
/// A peer of which nothing has been run, rejected so often, is read at this pace: it may come again at once, and
/// reading it would keep others waiting. One whose jobs run is never slowed.
const BOUNCED_MOST: u32 = 8;
const PACE: Duration = Duration::from_millis(25);
/// How often it is looked at how long connections have been idle.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Idle connections that are closed at once when there is no room.
const ROOM: usize = 16;
/// Within so long a peer sends once more what crossed the close of its connection.
const CROSSES_WITHIN: Duration = Duration::from_millis(50);

/// A connection of a client. Its calls are told apart by their number.
pub struct Client<T> {
    outbox: Rc<Outbox>,
    open: RefCell<BTreeMap<u64, T>>,
    closed_one: Bell,
    used: Cell<Instant>,
    /// A job of it has been run: it is what it says. When room is needed, it goes last.
    proved: Cell<bool>,
    /// How often it has asked whether this instance is well.
    checks: Cell<u32>,
    wrong: Cell<u32>,
    rejected: Cell<u32>,
    /// Since when a message is awaited that has begun, or the first one.
    awaited: Cell<Option<Instant>>,
    /// Found late once already: after a pause of the process, what came meanwhile is read first.
    late: Cell<bool>,
    /// Its reader waits for bytes: of what has come, all is taken up.
    waits: Cell<bool>,
    /// Why it is to be ended, once nothing is owed on it. Rung for the reader to hear.
    end_for: Cell<Option<ConnectionEnd>>,
    asked_to_end: Bell,
    /// Half-closed: what still comes is read and dropped.
    half_closed: Cell<bool>,
    let_go: Bell,
    deaf: Bell,
}

impl<T: Clone + PartialEq> Client<T> {
    /// After the half-close nothing is owed, and nothing can be said any more.
    pub fn put(&self, message: &str) {
        self.used.set(Instant::now());
        if !self.half_closed.get() {
            self.outbox.put(message.as_bytes());
        }
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

    /// Nothing is owed on it: all that was read is taken up, no call is open, every answer was handed to the system.
    pub fn is_quiet(&self) -> bool {
        self.waits.get() && self.open.borrow().is_empty() && self.outbox.unwritten() == 0
    }

    /// It asked for a health check.
    pub fn checks(&self) {
        self.checks.set(self.checks.get().saturating_add(1));
    }

    /// It stands, and nothing is owed on it.
    fn may_end(&self) -> bool {
        self.is_quiet() && !self.half_closed.get()
    }

    /// It has come back for another check, on which it depends whether anybody is sent here. One that asked once and
    /// stays is as idle as one that says nothing.
    fn watches_health(&self) -> bool {
        !self.proved.get() && self.checks.get() > 1
    }

    /// Nothing is owed on it, and it is not idle only because a message of it has begun.
    fn is_unused(&self) -> bool {
        self.may_end() && !(self.proved.get() && self.awaited.get().is_some())
    }

    /// A job of it has been run.
    pub fn prove(&self) {
        self.proved.set(true);
        self.closed_one.ring();
    }

    pub fn is_proved(&self) -> bool {
        self.proved.get()
    }

    /// A job of it was rejected.
    pub fn rejected(&self) {
        self.rejected.set(self.rejected.get().saturating_add(1));
    }

    /// It sent what is wrong. One that goes on is not read further.
    pub fn misused(&self) {
        self.wrong.set(self.wrong.get().saturating_add(1));
        self.closed_one.ring();
    }

    fn is_misused(&self) -> bool {
        self.wrong.get() > WRONG_MOST
    }

    /// Asks its reader to end it. What has come by then is read first, and a connection that is in use goes on.
    fn end_for(&self, end: ConnectionEnd) {
        self.end_for.set(Some(end));
        self.asked_to_end.ring();
    }

    /// Polled only when there is nothing to read.
    async fn asked_to_end(&self) -> Result<(), ConnectionEnd> {
        self.waits.set(true);
        loop {
            if let Some(end) = self.end_for.take()
                && self.is_quiet()
            {
                return Err(end);
            }
            self.asked_to_end.heard().await;
        }
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
            if !self.proved.get() && self.rejected.get() > BOUNCED_MOST {
                Timer::after(PACE).await;
            }
            let message = async {
                // A message may take its time to begin, but not to end.
                match source.fill_buf().await {
                    Ok([]) => {}
                    Ok(_) => self.awaited.set(Some(self.awaited.get().unwrap_or_else(Instant::now))),
                    Err(error) => return Err(ConnectionEnd::of(&error)),
                }
                read_line(&mut source, &mut line, longest).await
            };
            let came = or(message, self.asked_to_end()).await;
            self.waits.set(false);
            match came {
                Ok(()) => {
                    self.awaited.set(None);
                    self.end_for.set(None);
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
        // The one way in which a connection ends from here, whatever for: no further message is taken up, what is owed
        // is written, the peer hears the end, and what it still sends is read and dropped.
        self.awaited.set(None);
        if let Some(words) = last_words(end) {
            self.put(&words);
        }
        let broke_rules = matches!(end, ConnectionEnd::TooLong | ConnectionEnd::Misused);
        while !self.open.borrow().is_empty() && (!broke_rules || self.proved.get()) {
            self.closed_one.heard().await;
        }
        self.outbox.emptied().await;
        let _ = socket.get_ref().shutdown(Shutdown::Write);
        self.half_closed.set(true);
        self.waits.set(true);
        let rest = async {
            let mut left = LINGER_BYTES;
            while matches!(source.fill_buf().await, Ok(bytes) if !bytes.is_empty()) && left > 0 {
                let read = source.buffer().len();
                left = left.saturating_sub(read);
                source.consume(read);
            }
        };
        let late = async {
            Timer::after(LINGER).await;
        };
        or(rest, or(late, self.let_go.heard())).await;
        end
    }
}

/// All connections of clients.
pub struct Clients<T> {
    table: RefCell<BTreeMap<u64, Rc<Client<T>>>>,
    numbers: Cell<u64>,
    /// Accepted, and not in the table yet.
    coming: Cell<usize>,
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
            coming: Cell::new(0),
            most,
            greeting: RefCell::default(),
            turned_out: Cell::new(0),
        }
    }

    /// From when they are accepted.
    pub fn count(&self) -> usize {
        self.table.borrow().len() + self.coming.get()
    }

    /// One was accepted: it is served, or didn't come about, as is told later.
    pub fn comes(&self) {
        self.coming.set(self.coming.get() + 1);
    }

    pub fn came(&self) {
        self.coming.set(self.coming.get().saturating_sub(1));
    }

    /// Tells all clients, and each that connects from now on.
    pub fn tell_all(&self, message: &str) {
        *self.greeting.borrow_mut() = Some(message.into());
        self.table.borrow().values().for_each(|client| client.put(message));
    }

    pub fn all_quiet(&self) -> bool {
        self.coming.get() == 0 && self.table.borrow().values().all(|client| client.is_quiet())
    }

    /// Ends all on which nothing is owed: their peers were told that no more is to come. One that was just opened may
    /// have its message on the way.
    pub fn end_quiet(&self) {
        let ends =
            |client: &&Rc<Client<T>>| client.used.get().elapsed() >= CROSSES_WITHIN && client.may_end();
        self.table.borrow().values().filter(ends).for_each(|client| client.end_for(ConnectionEnd::Idle));
    }

    /// Looks now and then at how long connections have kept silent, for good.
    pub async fn watch(&self) {
        loop {
            Timer::after(LOOK_EVERY).await;
            for client in self.table.borrow().values() {
                if client.outbox.stuck_for() >= DEAF_FOR {
                    client.deaf.ring();
                } else if let Some(end) = client.overdue().filter(|_| client.may_end()) {
                    client.end_for(end);
                }
            }
        }
    }

    /// Ends some connections that are unused, the ones that were idle longest: first of peers that do nothing, then of
    /// those that watch this instance's health, last of those whose jobs run. While some of the former are only too young,
    /// they are waited for, which is short; more than a few that watch health are a flood as well, and wait for nobody.
    pub fn make_room(&self) {
        let table = self.table.borrow();
        let ending = table.values().filter(|client| client.half_closed.get());
        let ending = ending.map(|client| client.let_go.ring()).count();
        let unused = || table.values().filter(|client| client.is_unused());
        let flood = unused().filter(|client| client.watches_health()).count() > ROOM;
        let rank = |client: &Client<T>| match client.proved.get() {
            true => 2,
            false => u8::from(client.watches_health() && !flood),
        };
        let soon = (ending + self.coming.get() > 0).then_some(0);
        let Some(first) = unused().map(|client| rank(client)).chain(soon).min() else { return };
        let may_go =
            |client: &&Rc<Client<T>>| rank(client) == first && client.used.get().elapsed() >= IDLE_AT_LEAST;
        let mut idle: Vec<_> = unused().filter(may_go).collect();
        idle.sort_by_key(|client| (client.checks.get(), client.used.get()));
        let most = if first > 0 { 1 } else { ROOM };
        idle.iter().take(most).for_each(|client| client.end_for(ConnectionEnd::Idle));
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
            checks: Cell::new(0),
            wrong: Cell::new(0),
            rejected: Cell::new(0),
            awaited: Cell::new(Some(Instant::now())),
            late: Cell::new(false),
            waits: Cell::new(false),
            end_for: Cell::new(None),
            asked_to_end: Bell::default(),
            half_closed: Cell::new(false),
            let_go: Bell::default(),
            deaf: Bell::default(),
        });
        if let Some(greeting) = &*self.greeting.borrow() {
            client.put(greeting);
        }
        self.table.borrow_mut().insert(number, client.clone());
        self.came();
        // A peer that takes nothing can't be told that it ends.
        let deaf = async {
            client.deaf.heard().await;
            ConnectionEnd::Slow
        };
        let read = client.read(
            source,
            &socket,
            longest,
            async |line: &[u8]| on_line(&client, line).await,
            &last_words,
        );
        let end = or(or(deaf, read), client.outbox.clone().writer_to(tasks, sink)).await;
        if matches!(end, ConnectionEnd::Slow | ConnectionEnd::TooLong | ConnectionEnd::Misused) {
            self.turned_out.set(self.turned_out.get() + 1);
        }
        self.table.borrow_mut().remove(&number);
        (end, client.open.take().into_values().collect())
    }
}
