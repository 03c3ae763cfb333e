//! Streamed configuration in figures, as tables in Markdown; `docs/capacity.md` has them with what they were taken on.

use crate::SELF;
use crate::parts::{control as control_service, failed, program};
use async_executor::LocalExecutor;
use async_io::Timer;
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use futures_lite::future::{BoxedLocal, FutureExt, or};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::operator::Trial;
use hazelgrade_config::{Document, Kind, Version};
use hazelgrade_fakes::callers::{JobOutcome, JobResult};
use hazelgrade_fakes::documents::{BOOK, READ, document, text};
use hazelgrade_fakes::executor::Workload;
use hazelgrade_fakes::test_environment::{TestEnvironment, start_callers};
use hazelgrade_fakes::{free_address, node_process::settings, wait_until};
use hazelgrade_net::notify::Notify;
use hazelgrade_store::Store;
use hazelgrade_stream::admission::Admission;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::client::{Host, SubscriberClient};
use hazelgrade_stream::control_service::{self, AdmissionRate, ControlServiceConfig};
use hazelgrade_stream::protocol::{Content, Offer, PublisherMessage};
use hazelgrade_stream::stored::{self, StoredState};
use hazelgrade_stream::subscriber::{Action, Event, Subscriber, SubscriberConfig};
use hazelgrade_stream::trial::Sample;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::process::Command;
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

type Done = Result<bool, String>;

const WITHIN: Duration = Duration::from_secs(30);

pub fn all() -> Done {
    for what in ["effect", "bytes", "reconnects", "start", "latency"] {
        one(what)?;
    }
    Ok(true)
}

pub fn one(what: &str) -> Done {
    let table = match what {
        "effect" => effect()?,
        "bytes" => bytes()?,
        "reconnects" => reconnects(),
        "start" => start()?,
        "latency" => latency()?,
        _ => return Err(format!("nothing to measure is called {what}")),
    };
    println!("{table}\n");
    Ok(true)
}

pub fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(header);
    table
}

/// Median, lowest and highest of some runs.
pub fn spread(mut runs: Vec<f64>) -> String {
    runs.sort_by(f64::total_cmp);
    match (runs.first(), runs.get(runs.len() / 2), runs.last()) {
        (Some(least), Some(median), Some(most)) => format!("{median:.1} ({least:.1} to {most:.1})"),
        _ => "-".into(),
    }
}

// Publish to in effect.

/// A node that does nothing but take versions.
struct Idle {
    began: Instant,
    store: Option<Arc<Mutex<Store>>>,
    took: RefCell<Sender<(String, Instant)>>,
}

impl Host for Idle {
    fn now(&self) -> Time {
        Time::from_ms(1e12 + self.began.elapsed().as_secs_f64() * 1000.0)
    }

    fn store(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        let Some(store) = self.store.clone() else { return async { Ok(()) }.boxed_local() };
        let keeping = blocking::unblock(move || {
            let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
            store.commit(&[(stored::store_key(Kind::Serving), Some(&bytes))]).map_err(failed)
        });
        keeping.boxed_local()
    }

    fn apply(&self, document: Option<&Document>, _back: bool) -> Result<(), String> {
        if let Some(document) = document {
            // Nobody listens any more once the measurement is over.
            let _ = self.took.borrow().send((document.digest().to_string(), Instant::now()));
        }
        Ok(())
    }

    fn sample(&self) -> Sample {
        Sample { answered: 0.0, succeeded: 0.0, executor_connected: true }
    }
}

fn follower(name: String, controls: usize, seed: u64, backoff: Backoff) -> SubscriberConfig {
    SubscriberConfig {
        kind: Kind::Serving,
        node: name,
        program: "measure".into(),
        lineage: None,
        trial_rules: Trial { span: Span::from_ms(100.0), ..Trial::default() },
        control_services: controls,
        random: MultiplyWithCarry::new(seed),
        backoff,
        stored: StoredState::default(),
        local_document: None,
    }
}

/// Some of the nodes, in one thread.
fn follow(
    places: Range<usize>,
    control: SocketAddr,
    stores: Option<&Path>,
    took: &Sender<(String, Instant)>,
) -> Result<(), String> {
    let tasks = Rc::new(LocalExecutor::new());
    let began = Instant::now();
    for place in places {
        let store = match stores {
            Some(folder) => {
                let store = Store::open(&folder.join(place.to_string()), "measure").map_err(failed)?;
                Some(Arc::new(Mutex::new(store)))
            }
            None => None,
        };
        let host = Rc::new(Idle { began, store, took: RefCell::new(took.clone()) });
        let mut first = Vec::new();
        let start = follower(format!("n{place}"), 1, place as u64 * 7919, Backoff::default());
        let subscriber = Subscriber::start(host.now(), start, &mut first);
        let follow = SubscriberClient {
            host,
            control_services: vec![control],
            executor: tasks.clone(),
            drain_started: Rc::new(Notify::default()),
        };
        tasks.spawn(async move { follow.run(subscriber, first).await }).detach();
    }
    let over = async {
        Timer::after(Duration::from_secs(120)).await;
    };
    async_io::block_on(tasks.run(over));
    Ok(())
}

fn effect() -> Result<Table, String> {
    const VERSIONS: u64 = 20;
    /// That play the nodes; the control service has one of its own.
    const THREADS: usize = 4;
    let mut table = table(["subscribers", "store", "p50 ms", "p99 ms", "max ms", "versions"]);
    for (count, stored) in [(1, true), (100, true), (100, false), (1000, false)] {
        let folder = tempfile::tempdir().map_err(failed)?;
        let documents = folder.path().join("documents");
        let stores = folder.path().join("stores");
        std::fs::create_dir_all(&documents)
            .and_then(|()| std::fs::create_dir_all(&stores))
            .map_err(failed)?;
        let version =
            |number: u64| document(&[("read", 1000 + number as u32, 9000, 1)], 50, "").map_err(failed);
        let publish = |document: &Document| {
            let next = documents.join("next");
            std::fs::write(&next, document.to_toml()).map_err(failed)?;
            let at = Instant::now();
            std::fs::rename(&next, documents.join(control_service::SERVING_DOCUMENT_FILE)).map_err(failed)?;
            Ok::<Instant, String>(at)
        };
        publish(&version(0)?)?;
        let setup = ControlServiceConfig {
            documents: documents.clone(),
            listen: free_address(),
            lineage: Some("measure".into()),
            lessor: None,
            admission: AdmissionRate { per_second: 2000.0, burst: 2000.0 },
        };
        let listen = setup.listen;
        let (stop, stopped) = (Arc::new(Mutex::new(false)), Arc::new(Mutex::new(false)));
        let stopping = stop.clone();
        let serving = std::thread::spawn(move || {
            let tasks = Rc::new(LocalExecutor::new());
            let serve = control_service::serve(tasks.clone(), setup, Box::new(|_| {}));
            let ended = async {
                while !*stopping.lock().unwrap_or_else(PoisonError::into_inner) {
                    Timer::after(Duration::from_millis(20)).await;
                }
                Ok(())
            };
            let serve = async { serve.await.map_err(|error| error.to_string()) };
            async_io::block_on(tasks.run(or(serve, ended)))
        });
        let (took, taken) = channel();
        let stores = stored.then_some(stores);
        for thread in 0..THREADS {
            let (places, took, stores) =
                (count * thread / THREADS..count * (thread + 1) / THREADS, took.clone(), stores.clone());
            std::thread::spawn(move || follow(places, listen, stores.as_deref(), &took));
        }
        drop(took);
        let mut waits = Histogram::<u64>::new(3).map_err(failed)?;
        for number in 0..=VERSIONS {
            let next = version(number)?;
            let (digest, at) = (next.digest().to_string(), publish(&next)?);
            for _ in 0..count {
                let (_, when) = loop {
                    let took =
                        taken.recv_timeout(WITHIN).map_err(|_| "a node did not take a version in time")?;
                    if took.0 == digest {
                        break took;
                    }
                };
                if number > 0 {
                    waits.record(when.saturating_duration_since(at).as_micros() as u64).map_err(failed)?;
                }
            }
            // The trial of each has to end before the next version can have its turn.
            std::thread::sleep(Duration::from_millis(400));
        }
        *stop.lock().unwrap_or_else(PoisonError::into_inner) = true;
        drop((taken, stopped));
        let _ = serving.join();
        let ms = |micros: u64| format!("{:.1}", micros as f64 / 1000.0);
        table.add_row([
            count.to_string(),
            if stored { "on disk" } else { "none" }.to_owned(),
            ms(waits.value_at_quantile(0.5)),
            ms(waits.value_at_quantile(0.99)),
            ms(waits.max()),
            VERSIONS.to_string(),
        ]);
    }
    Ok(table)
}

// Bytes.

fn bytes() -> Result<Table, String> {
    let mut table =
        table(["customers", "whole, bytes", "one field changed", "a customer more", "all quotas changed"]);
    for tenants in [5, 50, 500] {
        let cases = [READ, BOOK];
        let before = document(&cases, tenants, "").map_err(failed)?;
        let length = |content: Content| {
            let version = Version { number: 1000, digest: before.digest() };
            PublisherMessage::Offer(Offer { nonce: 1000, lineage: "measure".into(), version, content })
                .encode()
                .len()
        };
        let change = |after: &Document| {
            let base = Version { number: 999, digest: before.digest() };
            let difference = before.fields().difference(after.fields());
            length(Content::Delta { base, difference }).to_string()
        };
        let field = document(&[READ, ("book", 1500, 3000, 2)], tenants, "").map_err(failed)?;
        let more = document(&cases, tenants + 1, "").map_err(failed)?;
        let all = text(&cases, tenants, "").replace("quota_per_s = ", "quota_per_s = 1");
        let all = Document::read(&all, "all").map_err(|faults| faults[0].to_string())?;
        let whole = length(Content::Full(before.to_toml())).to_string();
        table.add_row([tenants.to_string(), whole, change(&field), change(&more), change(&all)]);
    }
    Ok(table)
}

// Reconnects.

/// A thousand subscribers lose their control service at once; it is back after some seconds. Their machines, played: gives
/// the most attempts in a tenth of a second from when it is back, and when the last is taken on, in seconds after that.
fn come_back(seed: u64, away: f64, backoff: &Backoff, admission: Option<Admission>) -> (f64, f64) {
    let (gone, back) = (Time::from_ms(1_000_000.0), Time::from_ms(1_000_000.0 + away * 1000.0));
    let mut admission = admission;
    let mut due = Vec::new();
    let next = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Connect { at, .. } => Some(*at),
            _ => None,
        })
    };
    for node in 0..1000 {
        let mut out = Vec::new();
        let start = follower(format!("n{node}"), 1, seed * 1000 + node, backoff.clone());
        let mut subscriber = Subscriber::start(gone, start, &mut out);
        subscriber.handle(gone, Event::Connected, &mut out);
        subscriber.handle(gone, Event::Received(PublisherMessage::Ping), &mut out);
        out.clear();
        subscriber.handle(gone, Event::Disconnected, &mut out);
        due.extend(next(&out).map(|at| (at, subscriber)));
    }
    let (mut tenths, mut last) = (vec![0.0; 1200], back);
    while let Some(first) = (0..due.len()).min_by_key(|place| due[*place].0) {
        let (now, mut subscriber) = due.swap_remove(first);
        let mut out = Vec::new();
        if now >= back {
            let tenth = (now.since(back).as_ms() / 100.0) as usize;
            if let Some(count) = tenths.get_mut(tenth) {
                *count += 1.0;
            }
            let taken = admission.as_mut().map_or(Ok(()), |admission| admission.admit(now));
            match taken {
                Ok(()) => {
                    last = last.max(now);
                    continue;
                }
                Err(after) => {
                    subscriber.handle(now, Event::Connected, &mut out);
                    subscriber.handle(now, Event::Received(PublisherMessage::RetryAfter(after)), &mut out);
                }
            }
        }
        out.clear();
        subscriber.handle(now, Event::Disconnected, &mut out);
        due.extend(next(&out).map(|at| (at, subscriber)));
    }
    (tenths.iter().copied().fold(0.0, f64::max), last.since(back).as_ms() / 1000.0)
}

fn reconnects() -> Table {
    let mut table = table([
        "1,000 nodes come back",
        "away, s",
        "peak, attempts in 0.1 s",
        "last one on after, s",
        "seeds",
    ]);
    let admission = || Some(Admission::new(200.0, 50.0));
    let ways = [
        ("plain doubling", Backoff::without_jitter(), None),
        ("full jitter", Backoff::default(), None),
        ("plain doubling, 200 a second taken on", Backoff::without_jitter(), admission()),
        ("full jitter, 200 a second taken on", Backoff::default(), admission()),
    ];
    for (away, (name, backoff, admission)) in
        [0.1, 5.0, 60.0].iter().flat_map(|away| ways.iter().map(move |way| (away, way)))
    {
        let runs: Vec<(f64, f64)> =
            (1..=9).map(|seed| come_back(seed, *away, backoff, admission.clone())).collect();
        let peaks = spread(runs.iter().map(|run| run.0).collect());
        let lasts = spread(runs.iter().map(|run| run.1).collect());
        table.add_row([(*name).to_owned(), away.to_string(), peaks, lasts, runs.len().to_string()]);
    }
    table
}

// Start to ready.

fn start() -> Result<Table, String> {
    const RUNS: usize = 15;
    let mut table = table(["a node starts", "start to ready, ms: median (lowest to highest)", "runs"]);
    let work = Workload { cores: 4, job_duration: Duration::from_millis(4), makes_call: false };
    let world = TestEnvironment::new(work).map_err(failed)?;
    let serving = document(&[READ, BOOK], 500, "").map_err(failed)?;
    let file = world.directory.path().join("first.toml");
    std::fs::write(&file, serving.to_toml()).map_err(failed)?;
    let gone = free_address();
    let trial = "[stream.trial]\nspan_ms = 100\n";
    // A node that has kept a good version.
    let control = control_service(&serving)?;
    let stream = format!("lineage = \"demo\"\n{trial}");
    let mut plan = world.node_config("kept", &program()?, &[SELF], control.address, &stream);
    plan.log = "off".into();
    let mut node = plan.start().map_err(failed)?;
    let good = wait_until(WITHIN, || {
        std::thread::sleep(Duration::from_millis(50));
        control.status()["nodes"][0]["standing"] == "good"
    });
    if !good {
        return Err(format!("no version is good in time: {}", control.status()));
    }
    node.kill();
    drop(control);
    let ready = |plan: &hazelgrade_fakes::node_process::NodeConfig| -> Result<f64, String> {
        world.executor.restart();
        let began = Instant::now();
        let node = plan.start().map_err(failed)?;
        if !wait_until(WITHIN, || node.health_check() == Some(true)) {
            return Err(format!("{} is not ready in time", plan.name));
        }
        Ok(began.elapsed().as_secs_f64() * 1000.0)
    };
    let mut add = |name: &str, runs: Result<Vec<f64>, String>| {
        runs.map(|runs| {
            let count = runs.len().to_string();
            table.add_row([name.to_owned(), spread(runs), count]);
        })
    };
    plan.control = vec![gone];
    add("from its store, control service gone", (0..RUNS).map(|_| ready(&plan)).collect())?;
    let stream = format!("document = {file:?}\n{trial}");
    let mut plan = world.node_config("filed", &program()?, &[SELF], gone, &stream);
    plan.log = "off".into();
    let fresh = |plan: &hazelgrade_fakes::node_process::NodeConfig| {
        let _ = std::fs::remove_file(plan.store_file());
        ready(plan)
    };
    add("from its file, a new store, control service gone", (0..RUNS).map(|_| fresh(&plan)).collect())?;
    add("from its file, its store there, control service gone", (0..RUNS).map(|_| ready(&plan)).collect())?;
    let control = control_service(&serving)?;
    let mut plan = world.node_config("first", &program()?, &[SELF], control.address, trial);
    plan.log = "off".into();
    wait_until(WITHIN, || !control.status().is_null());
    add("from the control service, a new store", (0..RUNS).map(|_| fresh(&plan)).collect())?;
    add("without streaming, as on the platform", (0..RUNS).map(|_| plain(&world)).collect())?;
    Ok(table)
}

/// A node without an operator's file.
fn plain(world: &TestEnvironment) -> Result<f64, String> {
    world.executor.restart();
    let mut of = settings();
    of["classes"] = serde_json::json!([{"name": "read", "aim": 1000, "giveUp": 3000}]);
    let listen = free_address();
    let configuration = serde_json::json!({
        "name": "plain", "listen": listen.to_string(), "seed": "00000000000000ff", "stop_ms": 2500,
        "executor": world.executor.address.to_string(), "registry": world.registry.address.to_string(),
        "settings": of
    });
    let path = world.directory.path().join("plain.json");
    std::fs::write(&path, configuration.to_string()).map_err(failed)?;
    let began = Instant::now();
    let mut command = Command::new(program()?);
    command.args([SELF, "serve", "--log", "off", "--config"]).arg(&path);
    let mut child = command.stderr(std::process::Stdio::null()).spawn().map_err(failed)?;
    let up = wait_until(WITHIN, || std::net::TcpStream::connect(listen).is_ok());
    let lasted = began.elapsed();
    let _ = child.kill();
    let _ = child.wait();
    if up { Ok(lasted.as_secs_f64() * 1000.0) } else { Err("it does not listen in time".into()) }
}

// Job latency.

fn latency() -> Result<Table, String> {
    const ROUNDS: usize = 5;
    let lasts = Duration::from_secs(6);
    let mut table = table([
        "jobs while",
        "p50 ms: median (lowest to highest)",
        "p99 ms",
        "satisfied of all",
        "rounds of 6 s",
    ]);
    let work = Workload { cores: 4, job_duration: Duration::from_millis(10), makes_call: true };
    let world = TestEnvironment::new(work).map_err(failed)?;
    let version = |number: u32| text(&[("read", 1000 + number, 9000, 1), BOOK], 50, "");
    let first = Document::read(&version(0), "first").map_err(|faults| faults[0].to_string())?;
    let control = control_service(&first)?;
    let stream = "lineage = \"demo\"\n[stream.trial]\nspan_ms = 300\n";
    let mut plan = world.node_config("n1", &program()?, &[SELF], control.address, stream);
    plan.log = "off".into();
    let node = plan.start().map_err(failed)?;
    if !node.wait_until_ready(true) {
        return Err("the node is not ready in time".into());
    }
    let mut runs = [Vec::new(), Vec::new()];
    let mut number = 0;
    // The two in turn, so that what changes on the machine bears on both.
    for _ in 0..ROUNDS {
        for (streamed, runs) in runs.iter_mut().enumerate() {
            let callers = start_callers(node.config.listen, 200.0, &["read", "book"]);
            let began = Instant::now();
            while began.elapsed() < lasts {
                std::thread::sleep(Duration::from_secs(1));
                if streamed == 1 {
                    number += 1;
                    control.publish(&version(number)).map_err(failed)?;
                }
            }
            runs.push(callers.stop().results);
        }
    }
    for (name, runs) in ["no version comes", "a version comes each second"].iter().zip(&runs) {
        let quantile = |part: f64| {
            let of_run = |run: &Vec<JobResult>| {
                let mut waits = Histogram::<u64>::new(3).ok()?;
                let succeeded = run.iter().filter(|told| told.outcome == JobOutcome::Succeeded);
                succeeded.for_each(|told| waits.record(told.latency.as_micros() as u64).unwrap_or_default());
                Some(waits.value_at_quantile(part) as f64 / 1000.0)
            };
            spread(runs.iter().filter_map(of_run).collect())
        };
        let all: usize = runs.iter().map(Vec::len).sum();
        let succeeded = runs.iter().flatten().filter(|told| told.outcome == JobOutcome::Succeeded).count();
        table.add_row([
            (*name).to_owned(),
            quantile(0.5),
            quantile(0.99),
            format!("{succeeded} of {all}"),
            runs.len().to_string(),
        ]);
    }
    Ok(table)
}
