//! A dependency that all nodes call: counts the calls in flight at each instant, by the bytes that reached it, and
//! notes when they exceed its capacity. A call is in flight until it is answered, cancelled, or out of time, whether its
//! caller lives or not.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

type Call = (u64, String);

/// The calls in flight at the moment when one came past the capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Calls in flight, the one that came included.
    pub in_flight: usize,
    /// How many may be in flight at once.
    pub capacity: usize,
    /// Those of them whose connection has ended: their callers may have forgotten them.
    pub on_ended_connections: usize,
}

impl Overload {
    /// Calls past the capacity.
    pub fn excess(&self) -> usize {
        self.in_flight.saturating_sub(self.capacity)
    }
}

struct State {
    /// How long a call takes.
    call_duration: Duration,
    /// How many calls may be in flight at once.
    capacity: usize,
    in_flight: BTreeMap<Call, Arc<Mutex<TcpStream>>>,
    ended_connections: BTreeSet<u64>,
    due: BinaryHeap<Reverse<(Instant, Call, bool)>>,
    /// The most that was in flight at once.
    peak: usize,
    /// How often a call came past the capacity.
    overloads: usize,
    worst_overload: Option<Overload>,
    calls: u64,
    /// Calls in flight integrated over time, in call seconds.
    call_seconds: f64,
    integrated_until: Instant,
}

impl State {
    fn integrate(&mut self) {
        self.call_seconds += self.in_flight.len() as f64 * self.integrated_until.elapsed().as_secs_f64();
        self.integrated_until = Instant::now();
    }

    fn record_arrival(&mut self) {
        self.peak = self.peak.max(self.in_flight.len());
        if self.in_flight.len() > self.capacity {
            self.overloads += 1;
            let overload = self.overload();
            if self.worst_overload.is_none_or(|worst| overload.excess() > worst.excess()) {
                self.worst_overload = Some(overload);
            }
        }
    }

    fn overload(&self) -> Overload {
        let has_ended = |call: &&Call| self.ended_connections.contains(&call.0);
        Overload {
            in_flight: self.in_flight.len(),
            capacity: self.capacity,
            on_ended_connections: self.in_flight.keys().filter(has_ended).count(),
        }
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A dependency that answers until the process ends. Clones are the same one.
#[derive(Clone)]
pub struct Dependency {
    shared: Arc<Shared>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Dependency {
    /// Starts it. Each call takes `call_duration`; more than `capacity` at once are counted as an overload.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(call_duration: Duration, capacity: usize) -> std::io::Result<Dependency> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            call_duration,
            capacity,
            in_flight: BTreeMap::new(),
            ended_connections: BTreeSet::new(),
            due: BinaryHeap::new(),
            peak: 0,
            overloads: 0,
            worst_overload: None,
            calls: 0,
            call_seconds: 0.0,
            integrated_until: Instant::now(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let timer = shared.clone();
        std::thread::spawn(move || answer_due_calls(&timer));
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let shared = accepting.clone();
                std::thread::spawn(move || {
                    serve_connection(&shared, connection as u64, stream);
                    shared.lock().ended_connections.insert(connection as u64);
                });
            }
        });
        Ok(Dependency { shared, address })
    }

    /// Changes how long a call takes.
    pub fn set_call_duration(&self, call_duration: Duration) {
        self.shared.lock().call_duration = call_duration;
    }

    /// Changes how many calls may be in flight at once.
    pub fn set_capacity(&self, capacity: usize) {
        self.shared.lock().capacity = capacity;
    }

    /// Calls in flight now.
    pub fn in_flight(&self) -> usize {
        self.shared.lock().in_flight.len()
    }

    /// The most calls that were in flight at once.
    pub fn peak(&self) -> usize {
        self.shared.lock().peak
    }

    /// How often a call came past the capacity, and by how many at worst.
    pub fn overloads(&self) -> (usize, usize) {
        let state = self.shared.lock();
        (state.overloads, state.worst_overload.map_or(0, |worst| worst.excess()))
    }

    /// The first moment at which the most calls were past the capacity.
    pub fn worst_overload(&self) -> Option<Overload> {
        self.shared.lock().worst_overload
    }

    /// Calls that came so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Calls in flight, integrated over time since the start, in call seconds.
    pub fn call_seconds(&self) -> f64 {
        let mut state = self.shared.lock();
        state.integrate();
        state.call_seconds
    }
}

fn answer_due_calls(shared: &Shared) {
    let mut state = shared.lock();
    loop {
        let next = state.due.peek().map(|Reverse((at, ..))| *at);
        if next.is_some_and(|at| at <= Instant::now()) {
            if let Some(Reverse((_, call, answered))) = state.due.pop() {
                state.integrate();
                let stream = state.in_flight.remove(&call);
                if let Some(stream) = stream {
                    let answer = if answered { "ROWS 4\r\nrows\r\n" } else { "TIMEOUT\r\n" };
                    let mut stream = stream.lock().unwrap_or_else(PoisonError::into_inner);
                    // Its caller may be gone.
                    let _ = stream.write_all(format!("{} {answer}", call.1).as_bytes());
                }
            }
            continue;
        }
        let wait = next.map_or(Duration::from_secs(1), |at| at.saturating_duration_since(Instant::now()));
        state = shared.changed.wait_timeout(state, wait).unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn serve_connection(shared: &Shared, connection: u64, stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    // A caller that takes nothing does not keep the others waiting.
    stream.set_write_timeout(Some(Duration::from_millis(50))).ok()?;
    let writing = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["Q", id, timeout, length] => {
                let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                reader.read_exact(&mut body).ok()?;
                let timeout = Duration::from_millis(timeout.parse().ok()?);
                let mut state = shared.lock();
                state.integrate();
                let call = (connection, id.to_owned());
                state.in_flight.insert(call.clone(), writing.clone());
                state.calls += 1;
                state.record_arrival();
                let (after, answered) = (state.call_duration.min(timeout), state.call_duration <= timeout);
                state.due.push(Reverse((Instant::now() + after, call, answered)));
            }
            ["X", id] => {
                let mut state = shared.lock();
                state.integrate();
                state.in_flight.remove(&(connection, id.to_owned()));
            }
            _ => {}
        }
        shared.changed.notify_all();
    }
}
