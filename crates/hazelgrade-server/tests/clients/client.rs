//! An honest client: one connection at a time, 32 open requests at most, time stamps by the machine's Unix clock, keyed
//! requests tried again inside their window. It goes on sending on open connections until it is stopped.

use hazelgrade::random::MultiplyWithCarry;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Open calls that the protocol allows on a connection.
const MAX_OPEN: usize = 32;
/// How long a client sleeps when it has nothing to do.
const STEP: Duration = Duration::from_millis(1);
/// A client that can't connect tries again after this time.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// A job class as clients see it.
#[derive(Clone, Debug)]
pub struct JobClass {
    pub name: &'static str,
    pub deadline: Duration,
    pub is_keyed: bool,
}

/// What the clients of a play have in common.
#[derive(Clone)]
pub struct Surroundings {
    pub node: SocketAddr,
    pub classes: Vec<JobClass>,
    /// How long after a keyed request a client may try it again.
    pub window: Duration,
    /// How far the machine's Unix clock has been stepped, in milliseconds.
    pub clock_offset_ms: Arc<AtomicI64>,
    /// Counts how often all clients were told to break their connections and open new ones.
    pub resets: Arc<AtomicU64>,
    /// Whether clients find the node in their list. Without that they open no connections.
    pub is_listed: Arc<AtomicBool>,
    pub stop: Arc<AtomicBool>,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    Served,
    Rejected,
    Failed,
    /// The answer can't be read, or answers no open request.
    Unreadable,
    /// The connection ended without an answer.
    Unanswered,
    /// The client itself broke the connection, gave the request up, or sent it with too little time to be answered.
    Abandoned,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// The idempotency key of a keyed request.
    pub key: Option<String>,
    pub class: usize,
    pub written: Instant,
    pub ended: Instant,
    pub ending: Ending,
    /// Number of the request on its connection.
    pub number: u64,
}

struct Pending {
    id: String,
    key: Option<String>,
    class: usize,
    written: Instant,
    /// Whether the client waits for an answer until its deadline.
    is_owed: bool,
}

/// When a retry may be sent at the latest, as a ratio of the window from its first try. The rest is for a thread that is
/// held up between this decision and the time stamp.
const LATEST_RETRY_RATIO: f64 = 0.9;

/// A keyed request that is to be tried again.
struct Retry {
    at: Instant,
    key: String,
    class: usize,
    /// Not sent any more from then on, because its window would be over before it came to the machine.
    until: Instant,
}

struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
    open: BTreeMap<u64, Pending>,
    /// Requests that the client forgot; an answer to one does no harm.
    forgotten: BTreeSet<u64>,
    last_number: u64,
    /// [`Surroundings::resets`] when the connection was opened.
    resets: u64,
}

/// How a client sends its next request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Manner {
    /// Whole, and waits for the answer.
    Plainly,
    /// In two pieces with a pause between them.
    InPieces,
    /// Whole, and takes it back at once.
    AndAborts,
    /// So late that next to no time is left, and forgets it.
    AtTheLastMoment,
}

/// Pause between the two pieces of a line.
const PIECE_PAUSE: Duration = Duration::from_millis(40);
/// Time that is left for a request that is sent at the last moment.
const LAST_MOMENT: Duration = Duration::from_millis(5);

/// Starts a client that sends `rate` requests a second; its thread returns what became of them.
pub fn start(surroundings: Surroundings, seed: u64, rate: f64) -> JoinHandle<Vec<Outcome>> {
    std::thread::spawn(move || {
        let random = MultiplyWithCarry::new(seed);
        Client { surroundings, random, seed, count: 0, retries: Vec::new(), outcomes: Vec::new() }.run(rate)
    })
}

struct Client {
    surroundings: Surroundings,
    random: MultiplyWithCarry,
    seed: u64,
    count: u64,
    retries: Vec<Retry>,
    outcomes: Vec<Outcome>,
}

impl Client {
    fn run(mut self, rate: f64) -> Vec<Outcome> {
        let interval = Duration::from_secs_f64(1.0 / rate);
        let mut connection = None;
        let mut next = Instant::now();
        while !self.is_stopped() {
            let Some(open) = &mut connection else {
                connection = self.connect();
                next = Instant::now();
                continue;
            };
            let is_due = Instant::now() >= next;
            if is_due {
                next += interval;
            }
            if (is_due && !self.send(open)) || !self.receive(open) {
                self.end(connection.take(), Ending::Unanswered);
            } else if open.resets != self.surroundings.resets.load(Ordering::Relaxed) {
                self.end(connection.take(), Ending::Abandoned);
            } else if !is_due {
                self.forget_overdue(open);
                std::thread::sleep(STEP);
            }
        }
        self.end(connection.take(), Ending::Unanswered);
        self.outcomes
    }

    fn is_stopped(&self) -> bool {
        self.surroundings.stop.load(Ordering::Relaxed)
    }

    fn connect(&self) -> Option<Connection> {
        if !self.surroundings.is_listed.load(Ordering::Relaxed) {
            std::thread::sleep(STEP);
            return None;
        }
        let connected = TcpStream::connect(self.surroundings.node).and_then(|stream| {
            stream.set_nodelay(true)?;
            stream.set_nonblocking(true)?;
            Ok(stream)
        });
        if connected.is_err() {
            std::thread::sleep(RECONNECT_DELAY);
        }
        let stream = connected.ok()?;
        let resets = self.surroundings.resets.load(Ordering::Relaxed);
        Some(Connection {
            stream,
            unread: Vec::new(),
            open: BTreeMap::new(),
            forgotten: BTreeSet::new(),
            last_number: 0,
            resets,
        })
    }

    /// Sends the next request, unless as many are open as may be. Returns `false` if the connection has ended.
    fn send(&mut self, connection: &mut Connection) -> bool {
        if connection.open.len() >= MAX_OPEN {
            return true;
        }
        self.retries.retain(|retry| Instant::now() < retry.until);
        let due = self.retries.iter().position(|retry| retry.at <= Instant::now());
        let (class, key) = match due.map(|index| self.retries.swap_remove(index)) {
            Some(retry) => (retry.class, Some(retry.key)),
            None => self.draw(),
        };
        connection.last_number += 1;
        self.count += 1;
        let number = connection.last_number;
        let id = format!("{:08x}{:08x}", self.seed as u32, self.count);
        let manner = self.draw_manner(class);
        let held = match manner {
            Manner::AtTheLastMoment => self.surroundings.classes[class].deadline.saturating_sub(LAST_MOMENT),
            _ => Duration::ZERO,
        };
        let line = self.line(number, &id, class, key.as_deref(), held);
        let is_owed = matches!(manner, Manner::Plainly | Manner::InPieces);
        let (start, rest) =
            line.as_bytes().split_at(if manner == Manner::InPieces { line.len() / 2 } else { 0 });
        if !start.is_empty() {
            if !write_all(&mut connection.stream, start) {
                return false;
            }
            std::thread::sleep(PIECE_PAUSE);
        }
        let written = Instant::now();
        connection.open.insert(number, Pending { id, key, class, written, is_owed });
        let abort = format!("{}\n", json!({"jsonrpc": "2.0", "method": "abort", "params": {"id": number}}));
        write_all(&mut connection.stream, rest)
            && (manner != Manner::AndAborts || write_all(&mut connection.stream, abort.as_bytes()))
    }

    /// Draws the manner of a request. A keyed one is not held back: its window counts from its time stamp.
    fn draw_manner(&mut self, class: usize) -> Manner {
        let is_keyed = self.surroundings.classes[class].is_keyed;
        match self.random.next_f64() {
            drawn if drawn < 0.03 => Manner::InPieces,
            drawn if drawn < 0.06 => Manner::AndAborts,
            drawn if drawn < 0.08 && !is_keyed => Manner::AtTheLastMoment,
            _ => Manner::Plainly,
        }
    }

    /// Forgets the requests for which nobody waits any more.
    fn forget_overdue(&mut self, connection: &mut Connection) {
        let overdue = |pending: &Pending| {
            !pending.is_owed && pending.written.elapsed() > self.surroundings.classes[pending.class].deadline
        };
        let numbers: Vec<u64> = connection
            .open
            .iter()
            .filter(|(_, pending)| overdue(pending))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            connection.forgotten.insert(number);
            if let Some(pending) = connection.open.remove(&number) {
                self.record(number, pending, Ending::Abandoned);
            }
        }
    }

    /// Draws the class and the key of a new request. A third of the keyed ones will be tried again.
    fn draw(&mut self) -> (usize, Option<String>) {
        let classes = self.surroundings.classes.len();
        let class = ((self.random.next_f64() * classes as f64) as usize).min(classes - 1);
        if !self.surroundings.classes[class].is_keyed {
            return (class, None);
        }
        let key = format!("k{:x}-{}", self.seed, self.count);
        if self.random.next_f64() < 1.0 / 3.0 {
            // Leaves a quarter of the window to the wait for the connection and for a free call.
            let after = self.surroundings.window.mul_f64(0.1 + 0.65 * self.random.next_f64());
            let until = Instant::now() + self.surroundings.window.mul_f64(LATEST_RETRY_RATIO);
            self.retries.push(Retry { at: Instant::now() + after, until, key: key.clone(), class });
        }
        (class, Some(key))
    }

    /// Returns the line of a request that came to the machine `held` ago.
    fn line(&self, number: u64, id: &str, class: usize, key: Option<&str>, held: Duration) -> String {
        let unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64);
        let stamp =
            unix_ms + self.surroundings.clock_offset_ms.load(Ordering::Relaxed) - held.as_millis() as i64;
        let name = self.surroundings.classes[class].name;
        let mut params = json!({"req": id, "ts": stamp, "via": 1, "owner": "c0", "need": 12.5, "level": 0.5,
            "body": "aGVsbG8="});
        if let Some(key) = key {
            params["opkey"] = json!(key);
        }
        format!("{}\n", json!({"jsonrpc": "2.0", "id": number, "method": name, "params": params}))
    }

    /// Handles the answers that have come. Returns `false` if the connection has ended.
    fn receive(&mut self, connection: &mut Connection) -> bool {
        let mut bytes = [0; 16 * 1024];
        let is_open = loop {
            match connection.stream.read(&mut bytes) {
                Ok(0) => break false,
                Ok(count) => connection.unread.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => break false,
            }
        };
        while let Some(end) = connection.unread.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = connection.unread.drain(..=end).collect();
            self.answered(connection, &line);
        }
        is_open
    }

    fn answered(&mut self, connection: &mut Connection, line: &[u8]) {
        let message: Value = serde_json::from_slice(line).unwrap_or(Value::Null);
        if message["method"] == "draining" {
            return;
        }
        let ending = match message["error"]["code"].as_i64() {
            None if message["result"]["body"] == "cmVzdWx0" => Ending::Served,
            None => Ending::Unreadable,
            Some(-32066) => Ending::Rejected,
            Some(_) => Ending::Failed,
        };
        let number = message["id"].as_u64().unwrap_or(0);
        match connection.open.remove(&number) {
            Some(pending) => self.record(number, pending, ending),
            None if connection.forgotten.contains(&number) => {}
            // The last line before a connection is closed answers no request.
            None if message["id"].is_null() => {}
            None => self.record_unknown(number),
        }
    }

    fn record(&mut self, number: u64, pending: Pending, ending: Ending) {
        let Pending { id, key, class, written, is_owed } = pending;
        let ending = if is_owed { ending } else { Ending::Abandoned };
        self.outcomes.push(Outcome { id, key, class, written, ended: Instant::now(), ending, number });
    }

    fn record_unknown(&mut self, number: u64) {
        let now = Instant::now();
        let pending = Pending { id: "unknown".into(), key: None, class: 0, written: now, is_owed: true };
        self.record(number, pending, Ending::Unreadable);
    }

    fn end(&mut self, connection: Option<Connection>, ending: Ending) {
        let Some(connection) = connection else { return };
        for (number, pending) in connection.open {
            self.record(number, pending, ending);
        }
    }
}

/// Writes a line whole; returns `false` if the connection has ended.
fn write_all(stream: &mut TcpStream, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match stream.write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                std::thread::sleep(STEP);
            }
            Err(_) => return false,
        }
    }
    true
}
