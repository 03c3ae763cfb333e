//! From publishing a document until it is in effect at every subscriber.

use super::subscriber_config;
use crate::measure::report::table;
use crate::processes::to_message;
use async_executor::LocalExecutor;
use async_io::Timer;
use comfy_table::Table;
use futures_lite::future::{BoxedLocal, FutureExt, or};
use hazelgrade::time::Time;
use hazelgrade_config::{Document, Kind};
use hazelgrade_fakes::documents::document;
use hazelgrade_fakes::free_address;
use hazelgrade_net::notify::Notify;
use hazelgrade_store::Store;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::client::{Host, SubscriberClient};
use hazelgrade_stream::control_service::{self, AdmissionRate, ControlServiceConfig};
use hazelgrade_stream::stored::{self};
use hazelgrade_stream::subscriber::Subscriber;
use hazelgrade_stream::trial::Sample;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long what should follow at once is waited for.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A node that does nothing but take versions.
struct IdleSubscriber {
    began: Instant,
    store: Option<Arc<Mutex<Store>>>,
    took: RefCell<Sender<(String, Instant)>>,
}

impl Host for IdleSubscriber {
    fn now(&self) -> Time {
        Time::from_ms(1e12 + self.began.elapsed().as_secs_f64() * 1000.0)
    }

    fn store(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        let Some(store) = self.store.clone() else { return async { Ok(()) }.boxed_local() };
        let keeping = blocking::unblock(move || {
            let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
            store.commit(&[(stored::store_key(Kind::Serving), Some(&bytes))]).map_err(to_message)
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
                let store = Store::open(&folder.join(place.to_string()), "measure").map_err(to_message)?;
                Some(Arc::new(Mutex::new(store)))
            }
            None => None,
        };
        let host = Rc::new(IdleSubscriber { began, store, took: RefCell::new(took.clone()) });
        let mut first = Vec::new();
        let start = subscriber_config(format!("n{place}"), 1, place as u64 * 7919, Backoff::default());
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

/// Measures it, as a table.
#[allow(clippy::too_many_lines)] // one measurement, read from top to bottom
pub fn effect() -> Result<Table, String> {
    const VERSIONS: u64 = 20;
    /// That play the nodes; the control service has one of its own.
    const THREADS: usize = 4;
    let mut table = table(["subscribers", "store", "p50 ms", "p99 ms", "max ms", "versions"]);
    for (count, stored) in [(1, true), (100, true), (100, false), (1000, false)] {
        let folder = tempfile::tempdir().map_err(to_message)?;
        let documents = folder.path().join("documents");
        let stores = folder.path().join("stores");
        std::fs::create_dir_all(&documents)
            .and_then(|()| std::fs::create_dir_all(&stores))
            .map_err(to_message)?;
        let version =
            |number: u64| document(&[("read", 1000 + number as u32, 9000, 1)], 50, "").map_err(to_message);
        let publish = |document: &Document| {
            let next = documents.join("next");
            std::fs::write(&next, document.to_toml()).map_err(to_message)?;
            let at = Instant::now();
            std::fs::rename(&next, documents.join(control_service::SERVING_DOCUMENT_FILE))
                .map_err(to_message)?;
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
        let mut waits = Histogram::<u64>::new(3).map_err(to_message)?;
        for number in 0..=VERSIONS {
            let next = version(number)?;
            let (digest, at) = (next.digest().to_string(), publish(&next)?);
            for _ in 0..count {
                let (_, when) = loop {
                    let took =
                        taken.recv_timeout(TIMEOUT).map_err(|_| "a node did not take a version in time")?;
                    if took.0 == digest {
                        break took;
                    }
                };
                if number > 0 {
                    waits
                        .record(when.saturating_duration_since(at).as_micros() as u64)
                        .map_err(to_message)?;
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
