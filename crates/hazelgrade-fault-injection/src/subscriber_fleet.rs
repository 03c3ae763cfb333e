//! Many subscribers in one process: the real subscriber with its connection each, with nothing to serve, on a few threads.
//! They stand for nodes where a machine can't hold as many processes.

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

/// The digests that each subscriber took, the latest last.
type TakenDigests = Arc<Mutex<Vec<Vec<String>>>>;

struct FleetSubscriber {
    began: Instant,
    index: usize,
    taken: TakenDigests,
}

impl Host for FleetSubscriber {
    fn now(&self) -> Time {
        Time::from_ms(1e12 + self.began.elapsed().as_secs_f64() * 1000.0)
    }

    fn store(&self, _: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        async { Ok(()) }.boxed_local()
    }

    fn apply(&self, document: Option<&Document>, _: bool) -> Result<(), String> {
        if let Some(document) = document {
            let mut taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
            taken[self.index].push(document.digest().to_string());
        }
        Ok(())
    }

    fn sample(&self) -> Sample {
        Sample { answered: 0.0, succeeded: 0.0, executor_connected: true }
    }
}

/// Subscribers that follow a control service until the process ends.
pub struct SubscriberFleet {
    taken: TakenDigests,
}

impl SubscriberFleet {
    /// Starts so many subscribers of `control`.
    pub fn start(count: usize, control: SocketAddr) -> SubscriberFleet {
        let taken: TakenDigests = Arc::new(Mutex::new(vec![Vec::new(); count]));
        for thread in 0..THREADS {
            let taken = taken.clone();
            std::thread::spawn(move || {
                let tasks = Rc::new(LocalExecutor::new());
                for index in (thread..count).step_by(THREADS) {
                    let host =
                        Rc::new(FleetSubscriber { began: Instant::now(), index, taken: taken.clone() });
                    let start = SubscriberConfig {
                        kind: Kind::Serving,
                        node: format!("light{index}"),
                        program: "light".into(),
                        lineage: Some("test".into()),
                        trial_rules: Trial { span: Span::from_ms(100.0), ..Trial::default() },
                        control_services: 1,
                        random: MultiplyWithCarry::new(index as u64),
                        backoff: Backoff::default(),
                        stored: StoredState::default(),
                        local_document: None,
                    };
                    let mut first = Vec::new();
                    let subscriber = Subscriber::start(host.now(), start, &mut first);
                    let drain_started = Rc::new(Notify::default());
                    let client = SubscriberClient {
                        host,
                        control_services: vec![control],
                        executor: tasks.clone(),
                        drain_started,
                    };
                    tasks.spawn(async move { client.run(subscriber, first).await }).detach();
                }
                async_io::block_on(tasks.run(pending::<()>()));
            });
        }
        SubscriberFleet { taken }
    }

    /// How many serve by this document, and how many took it more than once.
    pub fn serving(&self, digest: &str) -> (usize, usize) {
        let taken = self.taken.lock().unwrap_or_else(PoisonError::into_inner);
        let serves = |taken: &&Vec<String>| taken.last().is_some_and(|last| last == digest);
        let took_again = |taken: &&Vec<String>| taken.iter().filter(|one| *one == digest).count() > 1;
        (taken.iter().filter(serves).count(), taken.iter().filter(took_again).count())
    }
}
