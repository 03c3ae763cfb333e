//! Connections to what lies below: a small set, opened as calls need them. Calls spread over them, so that one
//! that breaks or can't be read takes few calls with it, as a rule one. Whose calls they are is known above.

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::{or, poll_once};
use futures_lite::io::{AsyncBufRead, AsyncBufReadExt, BufReader};
use hazelgrade_net::bell::Bell;
use hazelgrade_net::connect::connect;
use hazelgrade_net::ending::ConnectionEnd;
use hazelgrade_net::lines::{read_body, read_line};
use hazelgrade_net::outbox::Outbox;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Connections at most, those counted in that take no calls any more but still carry some: past this the oldest of these
/// is closed. Half of them take calls: as many calls as that have one each; more share them.
pub const MOST: usize = 32;
/// Room for the calls of all jobs at 4 KiB each.
const OUTBOX_BYTES: usize = 1024 * 1024;
/// A reply that has begun is there by then, or never: peers write replies whole.
const REPLY_WITHIN: Duration = Duration::from_millis(250);

/// What is heard on the connections, by their numbers.
pub trait Hears {
    type Head;
    /// Decodes the line of a reply and gives the length of its body.
    fn head(&self, line: &[u8]) -> Result<(Self::Head, Option<usize>), ConnectionEnd>;
    fn reply(&self, connection: u64, head: Self::Head, body: Vec<u8>);
    fn ended(&self, connection: u64, end: ConnectionEnd);
}

struct Connection {
    outbox: Rc<Outbox>,
    /// Calls on it that are not over.
    calls: Cell<usize>,
    used: Cell<Instant>,
    /// It takes no new calls, and is closed when those on it are over.
    retired: Cell<bool>,
    /// Rung when the last call on it is over, or when it is to end now.
    quiet: Bell,
}

pub struct Database {
    address: Cell<SocketAddr>,
    most: usize,
    /// After so long with no call a connection is closed: the peer would close or forget it, and a call that
    /// crossed that is lost.
    idle: Duration,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    numbers: Cell<u64>,
}

impl Database {
    pub fn new(address: SocketAddr, most: usize, idle: Duration) -> Database {
        let (address, numbers) = (Cell::new(address), Cell::new(0));
        Database { address, most, idle, connections: RefCell::default(), numbers }
    }

    /// New calls go to this address; those under way may finish where they are.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            let numbers: Vec<u64> = self.connections.borrow().keys().copied().collect();
            numbers.into_iter().for_each(|number| self.retire(number));
        }
    }

    /// Sends a call on a connection that is none of `avoided`, and gives its number. What can't be handed to the system before
    /// `by` is not sent.
    pub fn call<T: Hears + 'static>(
        self: &Rc<Self>,
        tasks: &Rc<LocalExecutor<'static>>,
        hears: &Rc<T>,
        message: &[u8],
        avoided: &[u64],
        by: Option<Instant>,
    ) -> u64 {
        let (number, connection) = match self.choose(avoided) {
            Some(chosen) => chosen,
            None => self.open(tasks, hears),
        };
        connection.used.set(Instant::now());
        connection.calls.set(connection.calls.get() + 1);
        connection.outbox.put_by(message, by);
        number
    }

    /// The one with the fewest calls, among these the one used last; none if another is better opened.
    fn choose(&self, avoided: &[u64]) -> Option<(u64, Rc<Connection>)> {
        let connections = self.connections.borrow();
        let open = || connections.iter().filter(|(_, connection)| !connection.retired.get());
        let fits = open().filter(|(number, connection)| {
            let lain = connection.calls.get() == 0 && connection.used.get().elapsed() >= self.idle;
            !lain && !avoided.contains(number)
        });
        let best = fits
            .min_by_key(|(_, connection)| (connection.calls.get(), std::cmp::Reverse(connection.used.get())));
        let (number, connection) = best?;
        let all_busy = connection.calls.get() > 0 && open().count() < self.most.div_ceil(2);
        (!all_busy).then(|| (*number, connection.clone()))
    }

    fn open<T: Hears + 'static>(
        self: &Rc<Self>,
        tasks: &Rc<LocalExecutor<'static>>,
        hears: &Rc<T>,
    ) -> (u64, Rc<Connection>) {
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        let connection = Rc::new(Connection {
            outbox: Rc::new(Outbox::new(OUTBOX_BYTES)),
            calls: Cell::new(0),
            used: Cell::new(Instant::now()),
            retired: Cell::new(false),
            quiet: Bell::default(),
        });
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= self.most
            && let Some(oldest) = connections.values().find(|connection| connection.retired.get())
        {
            oldest.calls.set(0);
            oldest.quiet.ring();
        }
        connections.insert(number, connection.clone());
        drop(connections);
        let (database, hears, held) = (self.clone(), hears.clone(), connection.clone());
        let (tasks_too, address) = (tasks.clone(), self.address.get());
        let hold = async move {
            let end = held.hold(&tasks_too, address, database.idle, number, &*hears).await;
            database.connections.borrow_mut().remove(&number);
            hears.ended(number, end);
        };
        tasks.spawn(hold).detach();
        (number, connection)
    }

    /// A call on this connection is over.
    pub fn over(&self, number: u64) {
        if let Some(connection) = self.connections.borrow().get(&number) {
            connection.calls.set(connection.calls.get().saturating_sub(1));
            connection.used.set(Instant::now());
            if connection.calls.get() == 0 && connection.retired.get() {
                connection.quiet.ring();
            }
        }
    }

    /// Takes no calls any more: the peer was silent on it, or has moved.
    pub fn retire(&self, number: u64) {
        if let Some(connection) = self.connections.borrow().get(&number) {
            connection.retired.set(true);
            if connection.calls.get() == 0 {
                connection.quiet.ring();
            }
        }
    }

    /// Sends a message on a connection, if that stands.
    pub fn send(&self, number: u64, message: &[u8]) {
        if let Some(connection) = self.connections.borrow().get(&number) {
            connection.outbox.put(message);
        }
    }

    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }
}

impl Connection {
    async fn hold<T: Hears>(
        &self,
        tasks: &LocalExecutor<'static>,
        address: SocketAddr,
        idle: Duration,
        number: u64,
        hears: &T,
    ) -> ConnectionEnd {
        let stream = match connect(address).await {
            Ok(stream) => Rc::new(stream),
            Err(_) => return ConnectionEnd::Unreachable,
        };
        let read = async {
            let mut source = BufReader::new(&*stream);
            loop {
                match read_reply(&mut source, hears).await {
                    Ok((head, body)) => hears.reply(number, head, body),
                    Err(end) => break end,
                }
            }
        };
        let needless = async {
            loop {
                let late = async {
                    Timer::after(idle).await;
                };
                or(self.quiet.heard(), late).await;
                let lain = self.retired.get() || self.used.get().elapsed() >= idle;
                if self.calls.get() == 0 && lain {
                    break ConnectionEnd::Idle;
                }
            }
        };
        let end = or(or(read, needless), self.outbox.clone().writer(tasks, stream.clone())).await;
        // What was never handed to the system can't have had an effect.
        let sent_none = self.outbox.unwritten() > 0 && self.outbox.unwritten() >= self.calls.get();
        match end {
            ConnectionEnd::Idle => end,
            _ if sent_none => ConnectionEnd::Unsent,
            // Some were too late to be sent, but not all that were on it.
            ConnectionEnd::Unsent => ConnectionEnd::CutShort,
            _ => end,
        }
    }
}

/// Reads one reply. It may take its time to begin, but not to end.
async fn read_reply<T: Hears>(
    source: &mut (impl AsyncBufRead + Unpin),
    hears: &T,
) -> Result<(T::Head, Vec<u8>), ConnectionEnd> {
    source.fill_buf().await.map_err(|error| ConnectionEnd::of(&error))?;
    let mut whole = pin!(async {
        let mut line = Vec::new();
        read_line(source, &mut line, crate::protocol::database::LONGEST_LINE).await?;
        let (head, length) = hears.head(&line)?;
        let body = match length {
            Some(length) => read_body(source, length).await?,
            None => Vec::new(),
        };
        Ok((head, body))
    });
    // Nearly always all of it is there.
    if let Some(reply) = poll_once(&mut whole).await {
        return reply;
    }
    let late = async {
        Timer::after(REPLY_WITHIN).await;
        Err(ConnectionEnd::Slow)
    };
    or(whole, late).await
}
