//! Stands in for what all nodes call together: counts the calls in hand at each instant, by the bytes that reached it, and
//! notes when they are more than it lives through. A call is in hand until it was answered, was given up, or its time is over,
//! whether its caller lives or not.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

type Call = (u64, String);

struct State {
    call_duration: Duration,
    /// What it lives through now.
    capacity: usize,
    in_flight: BTreeMap<Call, Arc<Mutex<TcpStream>>>,
    due: BinaryHeap<Reverse<(Instant, Call, bool)>>,
    /// The most that was in hand at once.
    peak: usize,
    /// How often more came than it lives through, and by how much at worst.
    overloads: usize,
    worst_excess: usize,
    calls: u64,
    /// In-hand integrated over time, for its mean.
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
            self.worst_excess = self.worst_excess.max(self.in_flight.len() - self.capacity);
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

/// Answers until the process ends.
#[derive(Clone)]
pub struct Dependency {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Dependency {
    /// Each call takes so long; more than `most` at once it does not live through.
    pub fn start(takes: Duration, most: usize) -> std::io::Result<Dependency> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            call_duration: takes,
            capacity: most,
            in_flight: BTreeMap::new(),
            due: BinaryHeap::new(),
            peak: 0,
            overloads: 0,
            worst_excess: 0,
            calls: 0,
            call_seconds: 0.0,
            integrated_until: Instant::now(),
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let timing = shared.clone();
        std::thread::spawn(move || keep_time(&timing));
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let shared = accepting.clone();
                std::thread::spawn(move || hear(&shared, connection as u64, stream));
            }
        });
        Ok(Dependency { shared, address })
    }

    pub fn set_call_duration(&self, takes: Duration) {
        self.shared.lock().call_duration = takes;
    }

    /// From now on it lives through so many.
    pub fn set_capacity(&self, most: usize) {
        self.shared.lock().capacity = most;
    }

    pub fn in_flight(&self) -> usize {
        self.shared.lock().in_flight.len()
    }

    pub fn peak(&self) -> usize {
        self.shared.lock().peak
    }

    /// How often there was more than it lives through, and by how much at worst.
    pub fn overloads(&self) -> (usize, usize) {
        let state = self.shared.lock();
        (state.overloads, state.worst_excess)
    }

    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Calls in hand, summed up over time since the start: by seconds.
    pub fn call_seconds(&self) -> f64 {
        let mut state = self.shared.lock();
        state.integrate();
        state.call_seconds
    }
}

fn keep_time(shared: &Shared) {
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

fn hear(shared: &Shared, connection: u64, stream: TcpStream) -> Option<()> {
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
            ["Q", id, within, length] => {
                let mut body = vec![0; length.parse::<usize>().ok()? + 2];
                reader.read_exact(&mut body).ok()?;
                let within = Duration::from_millis(within.parse().ok()?);
                let mut state = shared.lock();
                state.integrate();
                let call = (connection, id.to_owned());
                state.in_flight.insert(call.clone(), writing.clone());
                state.calls += 1;
                state.record_arrival();
                let (after, answered) = (state.call_duration.min(within), state.call_duration <= within);
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
