//! Streamed configuration through real sockets: a node as a process, and what may go wrong with versions, the control
//! service, the store and the node itself.

#![allow(clippy::expect_used, clippy::panic)]

mod control;
mod node;

use hazelgrade_config::{Document, Version};
use hazelgrade_fakes::callers::Callers;
use hazelgrade_fakes::control_service::{FakeControlService, Subscriber};
use hazelgrade_fakes::documents::{JobClassEntry, document};
use hazelgrade_fakes::executor::{Executor, Workload};
use hazelgrade_fakes::node_process::{NodeConfig, NodeProcess};
use hazelgrade_fakes::registry::Registry;
use hazelgrade_fakes::{free_address, test_environment};
use hazelgrade_stream::protocol::{Rejection, SubscriberMessage};
use std::path::Path;
use std::time::Duration;

/// All that a node needs round it.
struct TestEnvironment {
    executor: Executor,
    registry: Registry,
    control: FakeControlService,
    world: test_environment::TestEnvironment,
}

const QUICK: Workload = Workload { cores: 4, job_duration: Duration::from_millis(4), makes_call: false };

/// Trials as short as they may be, and that fail only by what a test does.
const SHORT_TRIAL: &str = "[stream.trial]\nspan_ms = 100\nleast_jobs = 20\n";
/// Longer than a test.
const LONG_TRIAL: &str = "[stream.trial]\nspan_ms = 600000\n";

impl TestEnvironment {
    fn new(work: Workload) -> TestEnvironment {
        let world = test_environment::TestEnvironment::new(work).expect("ports");
        let (executor, registry) = (world.executor.clone(), world.registry.clone());
        TestEnvironment { world, executor, registry, control: FakeControlService::start().expect("a port") }
    }

    fn plan(&self, stream: &str) -> NodeConfig {
        let program = Path::new(env!("CARGO_BIN_EXE_hazelgrade"));
        let stream = format!("lineage = \"test\"\n{stream}");
        self.world.node_config("n1", program, &[], self.control.address, &stream)
    }

    fn node(&self, stream: &str) -> NodeProcess {
        self.plan(stream).start().expect("it starts")
    }

    /// The next subscriber, and the version that it has.
    fn subscriber(&self) -> (Subscriber, Option<Version>) {
        let subscriber = self.control.accept_subscriber().expect("a subscriber in time");
        let SubscriberMessage::Subscribe { in_effect: have, .. } = subscriber.subscribed.clone() else {
            panic!("{:?}", subscriber.subscribed)
        };
        (subscriber, have)
    }

    fn callers(&self, node: &NodeProcess, rate: f64, job_classes: &[&str]) -> Callers {
        test_environment::start_callers(node.config.listen, rate, job_classes)
    }
}

fn doc(cases: &[JobClassEntry], rest: &str) -> Document {
    document(cases, 1, rest).expect("it is right")
}

fn acknowledged(said: Option<SubscriberMessage>) -> Version {
    match said {
        Some(SubscriberMessage::Acknowledged { version, .. }) => version,
        said => panic!("not acknowledged: {said:?}"),
    }
}

fn turned_down(said: Option<SubscriberMessage>) -> Rejection {
    match said {
        Some(SubscriberMessage::Rejected { rejection: refusal, .. }) => refusal,
        said => panic!("not turned down: {said:?}"),
    }
}

/// How a trial ended: nothing if the version stays.
fn settled(said: Option<SubscriberMessage>) -> Option<String> {
    match said {
        Some(SubscriberMessage::TrialEnded { failure, .. }) => failure,
        said => panic!("not settled: {said:?}"),
    }
}

/// Offers a document and sees it become good.
fn made_good(subscriber: &mut Subscriber, number: u64, document: &Document) {
    subscriber.offer_full(number, document);
    assert_eq!(acknowledged(subscriber.receive()).number, number);
    assert_eq!(settled(subscriber.receive()), None);
}
