//! Many light subscribers: the real subscriber and its connection each, with nothing to serve, on a few threads. They
//! stand for nodes where a machine can't hold as many processes.

use async_executor::LocalExecutor;
use futures_lite::future::{BoxedLocal, FutureExt, pending};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::operator::Trial;
use hazelgrade_config::{Document, Kind};
use hazelgrade_net::notify::Notify;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::client::{Host, SubscriberClient};
use hazelgrade_stream::stored::StoredState;
use hazelgrade_stream::subscriber::{Subscriber, SubscriberConfig};
use hazelgrade_stream::trial::Sample;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

const THREADS: usize = 4;

/// What one serves by, as it took effect: digests, the latest last.
type Took = Arc<Mutex<Vec<Vec<String>>>>;

struct Light {
    began: Instant,
    place: usize,
    took: Took,
}

impl Host for Light {
    fn now(&self) -> Time {
        Time::from_ms(1e12 + self.began.elapsed().as_secs_f64() * 1000.0)
    }

    fn store(&self, _: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        async { Ok(()) }.boxed_local()
    }

    fn apply(&self, document: Option<&Document>, _: bool) -> Result<(), String> {
        if let Some(document) = document {
            let mut took = self.took.lock().unwrap_or_else(PoisonError::into_inner);
            took[self.place].push(document.digest().to_string());
        }
        Ok(())
    }

    fn sample(&self) -> Sample {
        Sample { answered: 0.0, succeeded: 0.0, executor_connected: true }
    }
}

/// They follow until the process ends.
pub struct SubscriberFleet {
    took: Took,
}

impl SubscriberFleet {
    pub fn start(count: usize, control: SocketAddr) -> SubscriberFleet {
        let took: Took = Arc::new(Mutex::new(vec![Vec::new(); count]));
        for thread in 0..THREADS {
            let took = took.clone();
            std::thread::spawn(move || {
                let tasks = Rc::new(LocalExecutor::new());
                for place in (thread..count).step_by(THREADS) {
                    let host = Rc::new(Light { began: Instant::now(), place, took: took.clone() });
                    let start = SubscriberConfig {
                        kind: Kind::Serving,
                        node: format!("light{place}"),
                        program: "light".into(),
                        lineage: Some("test".into()),
                        trial_rules: Trial { span: Span::from_ms(100.0), ..Trial::default() },
                        control_services: 1,
                        random: MultiplyWithCarry::new(place as u64),
                        backoff: Backoff::default(),
                        stored: StoredState::default(),
                        local_document: None,
                    };
                    let mut first = Vec::new();
                    let subscriber = Subscriber::start(host.now(), start, &mut first);
                    let leaving = Rc::new(Notify::default());
                    let follow = SubscriberClient {
                        host,
                        control_services: vec![control],
                        executor: tasks.clone(),
                        drain_started: leaving,
                    };
                    tasks.spawn(async move { follow.run(subscriber, first).await }).detach();
                }
                async_io::block_on(tasks.run(pending::<()>()));
            });
        }
        SubscriberFleet { took }
    }

    /// How many serve by this document, and how many ever took it up more than once.
    pub fn serving(&self, digest: &str) -> (usize, usize) {
        let took = self.took.lock().unwrap_or_else(PoisonError::into_inner);
        let of = |took: &&Vec<String>| took.last().is_some_and(|last| last == digest);
        let again = |took: &&Vec<String>| took.iter().filter(|one| *one == digest).count() > 1;
        (took.iter().filter(of).count(), took.iter().filter(again).count())
    }
}
