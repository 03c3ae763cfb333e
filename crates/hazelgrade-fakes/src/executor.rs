//! An executor with a number of cores that runs jobs in order of arrival, each for a fixed time; a job may wait for a
//! call halfway.

use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What jobs need.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// How many jobs run at once.
    pub cores: usize,
    /// How long a job takes on a core; half of it comes before its call.
    pub job_duration: Duration,
    /// Whether each job makes a call halfway.
    pub makes_call: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    CallDue(String),
    JobEnds(String),
}

struct State {
    workload: Workload,
    free_at: Vec<Instant>,
    link: Option<TcpStream>,
    /// Counts links: a new one replaces the one before, and what comes late on that counts no more.
    link_generation: u64,
    /// All notices, the first with number 1.
    notices: Vec<Value>,
    /// Of the jobs that run, when each began.
    running: BTreeMap<String, Instant>,
    /// How often each job was started.
    runs: BTreeMap<String, u32>,
    due: BinaryHeap<Reverse<(Instant, TimerEvent)>>,
    /// Whether runs stand still.
    hung: bool,
    /// Whether it is up; a link that is opened before that is welcomed later.
    up: bool,
    /// How many notices the node had read when it opened a link that is not welcomed yet.
    unwelcomed: Option<usize>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// An executor that runs until the process ends. Clones are the same one.
#[derive(Clone)]
pub struct Executor {
    shared: Arc<Shared>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn publish_notice(&mut self, mut notice: Value) {
        notice["cursor"] = json!(self.notices.len() + 1);
        self.send(&notice);
        self.notices.push(notice);
    }

    fn send(&mut self, message: &Value) {
        if let Some(link) = &mut self.link
            && link.write_all(format!("{message}\n").as_bytes()).is_err()
        {
            self.link = None;
        }
    }

    /// Gives a part of a job to the core that is free first.
    fn reserve_core(&mut self, part: Duration) -> Instant {
        let now = Instant::now();
        let core = self.free_at.iter_mut().min();
        core.map_or(now + part, |free_at| {
            *free_at = (*free_at).max(now) + part;
            *free_at
        })
    }

    fn start(&mut self, id: &str) {
        if self.running.contains_key(id) {
            return;
        }
        *self.runs.entry(id.to_owned()).or_default() += 1;
        self.running.insert(id.to_owned(), Instant::now());
        let Workload { job_duration: takes, makes_call: calls, .. } = self.workload;
        let (part, due) = if calls {
            (takes / 2, TimerEvent::CallDue(id.into()))
        } else {
            (takes, TimerEvent::JobEnds(id.into()))
        };
        let at = self.reserve_core(part);
        self.due.push(Reverse((at, due)));
    }

    fn resume(&mut self, id: &str) {
        if self.running.contains_key(id) {
            let at = self.reserve_core(self.workload.job_duration / 2);
            self.due.push(Reverse((at, TimerEvent::JobEnds(id.into()))));
        }
    }

    fn end(&mut self, id: &str, fate: &str) {
        if let Some(began) = self.running.remove(id) {
            let body = if fate == "good" { "cmVzdWx0" } else { "" };
            let lasted = began.elapsed().as_millis() as u64;
            self.publish_notice(
                json!({"event": "EXIT", "handle": id, "fate": fate, "lasted": lasted, "arg": body}),
            );
        }
    }

    /// Welcomes a link that was opened, and repeats the notices that its node has not read.
    fn welcome_if_up(&mut self) {
        let Some(read) = self.unwelcomed.take_if(|_| self.up) else { return };
        self.send(&json!({"event": "WELCOME", "fate": "old", "lasted": 1000}));
        let missed: Vec<Value> = self.notices.iter().skip(read).cloned().collect();
        missed.iter().for_each(|notice| self.send(notice));
    }

    fn handle(&mut self, command: &Value) {
        let id = command["handle"].as_str().unwrap_or_default();
        match command["event"].as_str() {
            Some("EXEC") => self.start(id),
            Some("RETURN" | "BYPASS") => self.resume(id),
            Some("KILL") => self.end(id, "cut"),
            Some("METER") => {
                let used =
                    self.running.len().min(self.workload.cores) as f64 / self.workload.cores.max(1) as f64;
                self.send(&json!({"event": "METERS", "ticket": command["ticket"], "figures": [3, used]}));
            }
            _ => {}
        }
    }
}

impl Executor {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(work: Workload) -> std::io::Result<Executor> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let now = Instant::now();
        let state = State {
            workload: work,
            free_at: vec![now; work.cores.max(1)],
            link: None,
            link_generation: 0,
            notices: Vec::new(),
            running: BTreeMap::new(),
            runs: BTreeMap::new(),
            due: BinaryHeap::new(),
            hung: false,
            up: true,
            unwelcomed: None,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() });
        let timer = shared.clone();
        std::thread::spawn(move || run_timer(&timer));
        let executor = Executor { shared: shared.clone(), address };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || serve(&shared, stream));
            }
        });
        Ok(executor)
    }

    /// How often each job was started.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.shared.lock().runs.clone()
    }

    /// Jobs that were started and have not ended.
    pub fn running(&self) -> usize {
        self.shared.lock().running.len()
    }

    /// Changes what jobs need from now on.
    pub fn set_workload(&self, work: Workload) {
        let mut state = self.shared.lock();
        state.workload = work;
        state.free_at.resize(work.cores.max(1), Instant::now());
    }

    /// Lets all runs stand still, or go on.
    pub fn set_hung(&self, hung: bool) {
        self.shared.lock().hung = hung;
        self.shared.changed.notify_all();
    }

    /// Makes it come up, or start anew: until it is up, it accepts links and says nothing.
    pub fn set_up(&self, up: bool) {
        let mut state = self.shared.lock();
        state.up = up;
        state.welcome_if_up();
    }

    /// Breaks the link. Runs go on.
    pub fn break_link(&self) {
        let mut state = self.shared.lock();
        state.link_generation += 1;
        if let Some(link) = state.link.take() {
            // The peer may have closed it already.
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    /// Forgets jobs and notices, for a node that starts anew: its notices are numbered from 1 again.
    pub fn restart(&self) {
        let mut state = self.shared.lock();
        state.link = None;
        state.link_generation += 1;
        state.notices.clear();
        state.running.clear();
        state.due.clear();
    }
}

fn run_timer(shared: &Shared) {
    let mut state = shared.lock();
    loop {
        let next = state.due.peek().map(|Reverse((at, _))| *at).filter(|_| !state.hung);
        match next {
            Some(at) if at <= Instant::now() => match state.due.pop() {
                Some(Reverse((_, TimerEvent::JobEnds(id)))) => state.end(&id, "good"),
                Some(Reverse((_, TimerEvent::CallDue(id)))) if state.running.contains_key(&id) => {
                    state.publish_notice(json!({"event": "CALLOUT", "handle": id, "arg": "cXVlcnk="}));
                }
                _ => {}
            },
            _ => {
                let wait =
                    next.map_or(Duration::from_secs(1), |at| at.saturating_duration_since(Instant::now()));
                let waited = shared.changed.wait_timeout(state, wait);
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        }
    }
}

fn serve(shared: &Shared, stream: TcpStream) {
    let Ok(writer) = stream.try_clone() else { return };
    let _ = stream.set_nodelay(true);
    let (mut writer, mut own_generation) = (Some(writer), 0);
    for line in BufReader::new(stream).lines() {
        let Ok(Ok(command)) = line.map(|line| serde_json::from_str::<Value>(&line)) else { return };
        let mut state = shared.lock();
        if command["event"] == "JOIN" {
            state.link = writer.take();
            state.link_generation += 1;
            own_generation = state.link_generation;
            let read = command["cursor"].as_u64().unwrap_or(0) as usize;
            state.unwelcomed = Some(read);
            state.welcome_if_up();
        } else if own_generation == state.link_generation {
            state.handle(&command);
        } else {
            return;
        }
        drop(state);
        shared.changed.notify_all();
    }
}
