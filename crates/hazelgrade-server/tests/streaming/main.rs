//! Streamed configuration through real sockets: a node as a process, and what may go wrong with versions, the control
//! service, the store and the node itself.

mod control;
mod node;

use hazelgrade_config::{Document, Version};
use hazelgrade_standins::callers::{Callers, Plan as Calling};
use hazelgrade_standins::control::{Control, Subscriber};
use hazelgrade_standins::documents::{Case, document};
use hazelgrade_standins::executor::{Executor, Work};
use hazelgrade_standins::node::{Node, Plan};
use hazelgrade_standins::registry::Registry;
use hazelgrade_standins::{database, free_address};
use hazelgrade_stream::protocol::{Refusal, Said};
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;

/// All that a node needs round it.
struct World {
    folder: TempDir,
    executor: Executor,
    registry: Registry,
    database: SocketAddr,
    control: Control,
}

const QUICK: Work = Work { cores: 4, takes: Duration::from_millis(4), calls: false };

/// Trials as short as they may be, and that fail only by what a test does.
const SHORT_TRIAL: &str = "[stream.trial]\nspan_ms = 100\nleast_jobs = 20\n";
/// Longer than a test.
const LONG_TRIAL: &str = "[stream.trial]\nspan_ms = 600000\n";

impl World {
    fn new(work: Work) -> World {
        World {
            folder: tempfile::tempdir().expect("a folder"),
            executor: Executor::start(work).expect("a port"),
            registry: Registry::start().expect("a port"),
            database: database::start(Duration::from_millis(2)).expect("a port"),
            control: Control::start().expect("a port"),
        }
    }

    fn plan(&self, stream: &str) -> Plan {
        Plan {
            program: env!("CARGO_BIN_EXE_hazelgrade").into(),
            words: Vec::new(),
            folder: self.folder.path().into(),
            name: "n1".into(),
            listen: free_address(),
            executor: self.executor.address,
            registry: self.registry.address,
            database: Some(self.database),
            control: vec![self.control.address],
            stream: format!("lineage = \"test\"\n{stream}"),
            stop_ms: 2500,
            log: "warn".into(),
        }
    }

    fn node(&self, stream: &str) -> Node {
        self.plan(stream).start().expect("it starts")
    }

    /// The next subscriber, and the version that it has.
    fn subscriber(&self) -> (Subscriber, Option<Version>) {
        let subscriber = self.control.subscriber().expect("a subscriber in time");
        let Said::Subscribe { have, .. } = subscriber.subscribed.clone() else {
            panic!("{:?}", subscriber.subscribed)
        };
        (subscriber, have)
    }

    fn callers(&self, node: &Node, rate: f64, use_cases: &[&str]) -> Callers {
        Callers::start(&Calling {
            node: node.plan.listen,
            connections: 4,
            rate,
            use_cases: use_cases.iter().map(|name| (*name).to_owned()).collect(),
            owner: "c0".into(),
        })
    }
}

fn doc(cases: &[Case], rest: &str) -> Document {
    document(cases, 1, rest).expect("it is right")
}

fn acknowledged(said: Option<Said>) -> Version {
    match said {
        Some(Said::Acknowledged { version, .. }) => version,
        said => panic!("not acknowledged: {said:?}"),
    }
}

fn turned_down(said: Option<Said>) -> Refusal {
    match said {
        Some(Said::TurnedDown { refusal, .. }) => refusal,
        said => panic!("not turned down: {said:?}"),
    }
}

/// How a trial ended: nothing if the version stays.
fn settled(said: Option<Said>) -> Option<String> {
    match said {
        Some(Said::Settled { failed, .. }) => failed,
        said => panic!("not settled: {said:?}"),
    }
}

/// Offers a document and sees it become good.
fn made_good(subscriber: &mut Subscriber, number: u64, document: &Document) {
    subscriber.offer_whole(number, document);
    assert_eq!(acknowledged(subscriber.hear()).number, number);
    assert_eq!(settled(subscriber.hear()), None);
}
