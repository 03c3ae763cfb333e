//! Callers that send jobs at a fixed rate, whatever becomes of them, and note each answer.

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
const CROSSED_CLOSE: Duration = Duration::from_millis(50);
/// Calls that may be open on a connection; a job that is due past that is not sent.
const MAX_OPEN_CALLS: usize = 12;
/// How long open answers are waited for once no more jobs are sent; they come by their deadline, which is some seconds.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// What callers send, where and how fast.
#[derive(Clone, Debug)]
pub struct CallersConfig {
    /// Where the node listens.
    pub node: SocketAddr,
    /// How many connections stay open.
    pub connections: usize,
    /// Jobs a second over all connections.
    pub rate: f64,
    /// Job classes that are requested in turn.
    pub job_classes: Vec<String>,
    /// The tenant of every job.
    pub owner: String,
    /// The token sent with each job, as it is at that time.
    pub token: Option<Token>,
    /// For how long jobs are still sent on a connection after the node said there that it drains, as by callers that
    /// hear of it late.
    pub drain_notice_delay: Duration,
}

/// A token that may be replaced while callers use it.
pub type Token = Arc<Mutex<String>>;

/// How a job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobOutcome {
    /// It ran and was answered with its result.
    Succeeded,
    /// The node shed it: it can be retried elsewhere.
    Rejected,
    /// Its caller has no right to it.
    Denied,
    /// It was answered with a failure.
    Failed,
    /// An answer of any other kind.
    Wrong,
    /// The connection ended without an answer.
    Lost,
    /// The connection ended within 50 ms of the job being written: the caller retries elsewhere.
    Crossed,
}

/// A job with its outcome.
#[derive(Clone, Debug)]
pub struct JobResult {
    /// The job's id, unique over all callers and processes.
    pub id: String,
    /// The job class that was requested.
    pub job_class: String,
    /// When the job was written.
    pub sent: Instant,
    /// From then until its answer, or until its connection ended.
    pub latency: Duration,
    /// How it ended.
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

/// Callers that run on threads until they are stopped.
pub struct Callers {
    record: Arc<Record>,
    threads: Vec<JoinHandle<()>>,
}

/// When no more jobs are to be sent on a connection.
#[derive(Default)]
struct SendingEnd(Mutex<Option<Instant>>);

impl SendingEnd {
    /// Sets it, or brings it forward.
    fn set(&self, at: Instant) {
        let mut end = lock(&self.0);
        *end = Some(end.map_or(at, |before| before.min(at)));
    }

    fn has_come(&self) -> bool {
        lock(&self.0).is_some_and(|at| at <= Instant::now())
    }
}

type OpenCalls = Arc<Mutex<BTreeMap<u64, (String, String, Instant)>>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Callers {
    /// Starts sending at the configured rate, whatever becomes of the jobs.
    pub fn start(config: &CallersConfig) -> Callers {
        let record = Arc::new(Record::default());
        // Ids are told apart by process, connection and count.
        static CONNECTIONS: AtomicUsize = AtomicUsize::new(0);
        let from = CONNECTIONS.fetch_add(config.connections, Ordering::Relaxed);
        let threads = (from..from + config.connections).map(|connection| {
            let (config, record) = (config.clone(), record.clone());
            std::thread::spawn(move || run_connection(&config, connection, &record))
        });
        Callers { threads: threads.collect(), record }
    }

    /// The results so far.
    pub fn results(&self) -> Vec<JobResult> {
        lock(&self.record.results).clone()
    }

    /// How many jobs were answered or lost so far.
    pub fn count(&self) -> usize {
        lock(&self.record.results).len()
    }

    /// How many jobs succeeded so far.
    pub fn success_count(&self) -> usize {
        lock(&self.record.results).iter().filter(|result| result.outcome == JobOutcome::Succeeded).count()
    }

    /// Sends no more jobs, waits for the answers that are open, and reports on all jobs.
    pub fn stop(self) -> CallersReport {
        self.record.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // A thread that panicked has recorded what it knew.
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
fn run_connection(config: &CallersConfig, connection: usize, record: &Arc<Record>) {
    let mut count = 0;
    while !record.stop.load(Ordering::Relaxed) {
        match TcpStream::connect(config.node) {
            Ok(stream) => {
                let open: OpenCalls = Arc::default();
                let sending_end = Arc::new(SendingEnd::default());
                let reader_thread = {
                    let (open, record, sending_end) = (open.clone(), record.clone(), sending_end.clone());
                    let drain_notice_delay = config.drain_notice_delay;
                    let Ok(stream) = stream.try_clone() else { continue };
                    std::thread::spawn(move || {
                        read_answers(stream, &open, &record, &sending_end, drain_notice_delay);
                        let ended = Instant::now();
                        // With as many open as may be nothing is written that would find out.
                        sending_end.set(ended);
                        ended
                    })
                };
                send_jobs(config, connection, &stream, &open, record, &sending_end, &mut count);
                let deadline = Instant::now() + DRAIN_TIMEOUT;
                while !lock(&open).is_empty() && !reader_thread.is_finished() && Instant::now() < deadline {
                    std::thread::sleep(Duration::from_millis(2));
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
                let ended = reader_thread.join().unwrap_or_else(|_| Instant::now());
                let lost = std::mem::take(&mut *lock(&open));
                lock(&record.results).extend(lost.into_values().map(|(id, job_class, sent)| JobResult {
                    id,
                    job_class,
                    sent,
                    latency: ended.saturating_duration_since(sent),
                    outcome: if ended.saturating_duration_since(sent) <= CROSSED_CLOSE {
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

fn send_jobs(
    config: &CallersConfig,
    connection: usize,
    mut stream: &TcpStream,
    open: &OpenCalls,
    record: &Record,
    sending_end: &SendingEnd,
    count: &mut u64,
) {
    let _ = stream.set_nodelay(true);
    let interval = Duration::from_secs_f64(config.connections as f64 / config.rate.max(0.001));
    let mut next_send = Instant::now()
        + interval
            .mul_f64((connection % config.connections.max(1)) as f64 / config.connections.max(1) as f64);
    while !record.stop.load(Ordering::Relaxed) && !sending_end.has_come() {
        std::thread::sleep(next_send.saturating_duration_since(Instant::now()));
        next_send += interval;
        if lock(open).len() >= MAX_OPEN_CALLS {
            continue;
        }
        *count += 1;
        let job_class = &config.job_classes[*count as usize % config.job_classes.len()];
        let id = format!("{:04x}{:04x}{:08x}", std::process::id() & 0xffff, connection, *count);
        let job = json!({"jsonrpc": "2.0", "id": *count, "method": job_class, "params": {"req": id, "ts": unix_ms(),
            "via": connection, "owner": config.owner, "need": 12.5, "level": 0.5, "body": "aGVsbG8="}});
        let mut job = job;
        if let Some(token) = &config.token {
            job["params"]["token"] = json!(*lock(token));
        }
        lock(open).insert(*count, (id, job_class.clone(), Instant::now()));
        if stream.write_all(format!("{job}\n").as_bytes()).is_err() {
            // Nothing of it was read, or its answer is lost with the connection: recorded as lost.
            return;
        }
    }
}

fn read_answers(
    stream: TcpStream,
    open: &OpenCalls,
    record: &Record,
    sending_end: &SendingEnd,
    drain_notice_delay: Duration,
) {
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
            sending_end.set(Instant::now() + drain_notice_delay);
            continue;
        }
        // Last words before a connection is closed answer no call.
        if answer["id"].is_null() {
            continue;
        }
        match answer["id"].as_u64().and_then(|call| lock(open).remove(&call)) {
            Some((id, job_class, sent)) => {
                let result =
                    JobResult { id, job_class, sent, latency: sent.elapsed(), outcome: outcome(&answer) };
                lock(&record.results).push(result);
            }
            None => {
                record.unmatched_answers.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
