//! Stands in for callers: send jobs at a pace whatever comes of them, and note each answer.

use crate::unix_ms;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A job that was written no longer than this before its connection was closed has crossed the close.
const CROSSED: Duration = Duration::from_millis(50);
/// Calls that may be open on a connection; a job that is due past that is not sent.
const OPEN: usize = 12;

#[derive(Clone, Debug)]
pub struct CallersConfig {
    pub node: SocketAddr,
    pub connections: usize,
    /// Jobs a second in all.
    pub rate: f64,
    /// Asked for in turn.
    pub job_classes: Vec<String>,
    pub owner: String,
    /// The token to send with each job, as it is at the time.
    pub token: Option<Token>,
}

/// A token that may be replaced while it is used.
pub type Token = Arc<Mutex<String>>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobOutcome {
    Succeeded,
    Rejected,
    /// Its caller may not ask for it.
    Denied,
    Failed,
    /// An answer of any other kind.
    Wrong,
    /// The connection ended without an answer.
    Lost,
    /// It ended so soon after the job was written that the two crossed: by the protocol it is sent once more, elsewhere.
    Crossed,
}

/// What became of a job.
#[derive(Clone, Debug)]
pub struct JobResult {
    pub id: String,
    pub job_class: String,
    pub sent: Instant,
    pub latency: Duration,
    pub outcome: JobOutcome,
}

/// What all callers were answered.
#[derive(Clone, Debug, Default)]
pub struct CallersReport {
    /// The result of each job.
    pub results: Vec<JobResult>,
    /// Answers to calls that were not open.
    pub unmatched_answers: u64,
}

#[derive(Default)]
struct Record {
    results: Mutex<Vec<JobResult>>,
    /// Answers to calls that were not open.
    unmatched_answers: AtomicU64,
    stop: AtomicBool,
}

pub struct Callers {
    record: Arc<Record>,
    threads: Vec<JoinHandle<()>>,
}

type Open = Arc<Mutex<BTreeMap<u64, (String, String, Instant)>>>;

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Callers {
    pub fn start(plan: &CallersConfig) -> Callers {
        let record = Arc::new(Record::default());
        // Ids are told apart by process, connection and count.
        static CONNECTIONS: AtomicUsize = AtomicUsize::new(0);
        let from = CONNECTIONS.fetch_add(plan.connections, Ordering::Relaxed);
        let threads = (from..from + plan.connections).map(|place| {
            let (plan, record) = (plan.clone(), record.clone());
            std::thread::spawn(move || call(&plan, place, &record))
        });
        Callers { threads: threads.collect(), record }
    }

    /// What became of the jobs so far.
    pub fn results(&self) -> Vec<JobResult> {
        lock(&self.record.results).clone()
    }

    /// How many were answered so far, or lost.
    pub fn count(&self) -> usize {
        lock(&self.record.results).len()
    }

    /// Sends no more jobs, waits for the answers that are open, and reports on all jobs.
    pub fn stop(self) -> CallersReport {
        self.record.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // A thread that panicked has told what it knew.
            let _ = thread.join();
        }
        CallersReport {
            results: std::mem::take(&mut lock(&self.record.results)),
            unmatched_answers: self.record.unmatched_answers.load(Ordering::Relaxed),
        }
    }
}

fn outcome(answer: &Value) -> JobOutcome {
    if answer["result"]["body"].is_string() {
        return JobOutcome::Succeeded;
    }
    match answer["error"]["code"].as_i64() {
        Some(-32066) if answer["error"]["data"]["denied"] == 1 => JobOutcome::Denied,
        Some(-32066) => JobOutcome::Rejected,
        Some(-32000) => JobOutcome::Failed,
        _ => JobOutcome::Wrong,
    }
}

/// One connection after the other, until it is to stop.
fn call(plan: &CallersConfig, place: usize, record: &Arc<Record>) {
    let mut count = 0;
    while !record.stop.load(Ordering::Relaxed) {
        match TcpStream::connect(plan.node) {
            Ok(stream) => {
                let open: Open = Arc::default();
                let draining = Arc::new(AtomicBool::new(false));
                let reading = {
                    let (open, record, draining) = (open.clone(), record.clone(), draining.clone());
                    let Ok(stream) = stream.try_clone() else { continue };
                    std::thread::spawn(move || {
                        read(stream, &open, &record, &draining);
                        let ended = Instant::now();
                        // With as many open as may be nothing is written that would find out.
                        draining.store(true, Ordering::Relaxed);
                        ended
                    })
                };
                send(plan, place, &stream, &open, record, &draining, &mut count);
                // Answers that are open come by their deadline, which is some seconds.
                let by = Instant::now() + Duration::from_secs(10);
                while !lock(&open).is_empty() && !reading.is_finished() && Instant::now() < by {
                    std::thread::sleep(Duration::from_millis(2));
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
                let ended = reading.join().unwrap_or_else(|_| Instant::now());
                let lost = std::mem::take(&mut *lock(&open));
                lock(&record.results).extend(lost.into_values().map(|(id, job_class, sent)| JobResult {
                    id,
                    job_class,
                    sent,
                    latency: ended.saturating_duration_since(sent),
                    outcome: if ended.saturating_duration_since(sent) <= CROSSED {
                        JobOutcome::Crossed
                    } else {
                        JobOutcome::Lost
                    },
                }));
            }
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}

fn send(
    plan: &CallersConfig,
    place: usize,
    mut stream: &TcpStream,
    open: &Open,
    record: &Record,
    draining: &AtomicBool,
    count: &mut u64,
) {
    let _ = stream.set_nodelay(true);
    let gap = Duration::from_secs_f64(plan.connections as f64 / plan.rate.max(0.001));
    let mut next = Instant::now()
        + gap.mul_f64((place % plan.connections.max(1)) as f64 / plan.connections.max(1) as f64);
    while !record.stop.load(Ordering::Relaxed) && !draining.load(Ordering::Relaxed) {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += gap;
        if lock(open).len() >= OPEN {
            continue;
        }
        *count += 1;
        let job_class = &plan.job_classes[*count as usize % plan.job_classes.len()];
        let id = format!("{:04x}{:04x}{:08x}", std::process::id() & 0xffff, place, *count);
        let job = json!({"jsonrpc": "2.0", "id": *count, "method": job_class, "params": {"req": id, "ts": unix_ms(),
            "via": place, "owner": plan.owner, "need": 12.5, "level": 0.5, "body": "aGVsbG8="}});
        let mut job = job;
        if let Some(token) = &plan.token {
            job["params"]["token"] = json!(*lock(token));
        }
        lock(open).insert(*count, (id, job_class.clone(), Instant::now()));
        if stream.write_all(format!("{job}\n").as_bytes()).is_err() {
            // Nothing of it was read, or its answer is lost with the connection: told as lost by the caller.
            return;
        }
    }
}

fn read(stream: TcpStream, open: &Open, record: &Record, draining: &AtomicBool) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(_) => return,
        }
        let Ok(answer) = serde_json::from_str::<Value>(&line) else { return };
        if answer["method"] == "draining" {
            draining.store(true, Ordering::Relaxed);
            continue;
        }
        // Last words before a connection is closed answer no call.
        if answer["id"].is_null() {
            continue;
        }
        match answer["id"].as_u64().and_then(|call| lock(open).remove(&call)) {
            Some((id, job_class, sent)) => {
                let told =
                    JobResult { id, job_class, sent, latency: sent.elapsed(), outcome: outcome(&answer) };
                lock(&record.results).push(told);
            }
            None => {
                record.unmatched_answers.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
