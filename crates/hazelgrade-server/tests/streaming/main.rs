//! Streamed configuration over real sockets. A node runs as a process, and the tests inject faults in versions, the
//! control service, the store and the node itself.

#![allow(clippy::expect_used, clippy::panic)]

mod control;
mod folder;
mod names;
mod node;

use hazelgrade_config::{Document, Version};
use hazelgrade_fakes::callers::Callers;
use hazelgrade_fakes::control_service::{FakeControlService, Subscriber};
use hazelgrade_fakes::documents::{JobClassEntry, document};
use hazelgrade_fakes::executor::{Executor, Workload};
use hazelgrade_fakes::node_process::{NodeConfig, NodeProcess};
use hazelgrade_fakes::registry::Registry;
use hazelgrade_fakes::{free_address, test_environment, wait_until};
use hazelgrade_stream::protocol::{Rejection, SubscriberMessage};
use std::path::Path;
use std::time::Duration;

/// The peers of a node: executor, registry, and a fake control service.
struct TestEnvironment {
    executor: Executor,
    registry: Registry,
    control: FakeControlService,
    base: test_environment::TestEnvironment,
}

const FAST_WORKLOAD: Workload =
    Workload { cores: 4, job_duration: Duration::from_millis(4), makes_call: false };

/// The shortest trial that the settings allow. Such a trial fails only by an action of the test.
const SHORT_TRIAL: &str = "[stream.trial]\nspan_ms = 100\nleast_jobs = 20\n";
/// A trial that doesn't end during a test.
const LONG_TRIAL: &str = "[stream.trial]\nspan_ms = 600000\n";

impl TestEnvironment {
    fn new(workload: Workload) -> TestEnvironment {
        let base = test_environment::TestEnvironment::new(workload).expect("ports are free");
        let (executor, registry) = (base.executor.clone(), base.registry.clone());
        TestEnvironment {
            base,
            executor,
            registry,
            control: FakeControlService::start().expect("a port is free"),
        }
    }

    fn node_config(&self, stream: &str) -> NodeConfig {
        let program = Path::new(env!("CARGO_BIN_EXE_hazelgrade"));
        let stream = format!("lineage = \"test\"\n{stream}");
        self.base.node_config("n1", program, &[], self.control.address, &stream)
    }

    fn node(&self, stream: &str) -> NodeProcess {
        self.node_config(stream).start().expect("the node starts")
    }

    /// Waits for the next subscriber. Returns the subscriber and the version that it has in effect.
    fn subscriber(&self) -> (Subscriber, Option<Version>) {
        let subscriber = self.control.accept_subscriber().expect("a subscriber connects in time");
        let SubscriberMessage::Subscribe { in_effect, .. } = subscriber.subscribed.clone() else {
            panic!("expected a subscription, got {:?}", subscriber.subscribed)
        };
        (subscriber, in_effect)
    }

    fn callers(&self, node: &NodeProcess, rate: f64, job_classes: &[&str]) -> Callers {
        test_environment::start_callers(node.config.listen, rate, job_classes)
    }
}

fn doc(job_classes: &[JobClassEntry], rest: &str) -> Document {
    document(job_classes, 1, rest).expect("the document is valid")
}

fn acknowledged_version(message: Option<SubscriberMessage>) -> Version {
    match message {
        Some(SubscriberMessage::Acknowledged { version, .. }) => version,
        message => panic!("expected an acknowledgement, got {message:?}"),
    }
}

fn rejection_reason(message: Option<SubscriberMessage>) -> Rejection {
    match message {
        Some(SubscriberMessage::Rejected { rejection, .. }) => rejection,
        message => panic!("expected a rejection, got {message:?}"),
    }
}

/// Returns why a trial failed, or `None` if the version stays in effect.
fn trial_failure(message: Option<SubscriberMessage>) -> Option<String> {
    match message {
        Some(SubscriberMessage::TrialEnded { failure, .. }) => failure,
        message => panic!("expected the end of a trial, got {message:?}"),
    }
}

/// Offers a document and checks that its trial succeeds.
fn complete_trial(subscriber: &mut Subscriber, number: u64, document: &Document) {
    subscriber.offer_full(number, document);
    assert_eq!(acknowledged_version(subscriber.receive()).number, number);
    assert_eq!(trial_failure(subscriber.receive()), None);
}
