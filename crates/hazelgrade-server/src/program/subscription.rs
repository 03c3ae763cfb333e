//! The subscription of a node to one kind of document that the control services publish.

use super::configuration::Deployment;
use async_executor::LocalExecutor;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Time;
use hazelgrade_config::operator::{StreamConfig, Trial};
use hazelgrade_config::{Document, Kind};
use hazelgrade_net::notify::Notify;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::client::{Host, SubscriberClient};
use hazelgrade_stream::stored::StoredState;
use hazelgrade_stream::subscriber::{Action, Subscriber, SubscriberConfig};
use std::rc::Rc;

/// The settings and the stored state from which a subscription starts.
pub struct Subscription<'a> {
    /// The kind of the documents.
    pub kind: Kind,
    /// The deployment, for the node's name and seed.
    pub deployment: &'a Deployment,
    /// The operator's settings of the stream: the lineage and the control services.
    pub stream: &'a StreamConfig,
    /// The rules for the trial of a new version.
    pub trial: Trial,
    /// The stored state for this kind of document.
    pub stored: StoredState,
    /// The document with which the node starts if none is stored.
    pub initial: Option<Document>,
}

/// A started subscription and the first actions of its subscriber.
pub struct StartedSubscription {
    subscriber: Subscriber,
    first_actions: Vec<Action>,
}

impl Subscription<'_> {
    /// Starts the subscription. [`StartedSubscription::follow`] connects it to the control services.
    pub fn start(self, now: Time) -> StartedSubscription {
        let Subscription { kind, deployment, stream, trial, stored, initial } = self;
        let start = SubscriberConfig {
            kind,
            node: deployment.name.clone(),
            program: env!("CARGO_PKG_VERSION").into(),
            lineage: stream.lineage.clone(),
            trial_rules: trial,
            control_services: stream.control_services.len(),
            random: MultiplyWithCarry::new(deployment.seed.rotate_left(seed_rotation(kind))),
            backoff: Backoff::default(),
            stored,
            local_document: initial,
        };
        let mut first_actions = Vec::new();
        let subscriber = Subscriber::start(now, start, &mut first_actions);
        StartedSubscription { subscriber, first_actions }
    }
}

/// Returns the number of bits by which the node's seed is rotated, so that each subscription has its own sequence of
/// random numbers.
fn seed_rotation(kind: Kind) -> u32 {
    match kind {
        Kind::Serving => 32,
        Kind::Identity => 16,
        Kind::Budgets => 8,
    }
}

impl StartedSubscription {
    /// Spawns a task that receives documents from the control services. `draining` notifies the task of the drain.
    pub fn follow<H: Host + 'static>(
        self,
        host: H,
        stream: &StreamConfig,
        tasks: &Rc<LocalExecutor<'static>>,
        draining: Rc<Notify>,
    ) {
        let StartedSubscription { subscriber, first_actions } = self;
        let client = SubscriberClient {
            host: Rc::new(host),
            control_services: stream.control_services.clone(),
            executor: tasks.clone(),
            drain_started: draining,
        };
        tasks.spawn(async move { client.run(subscriber, first_actions).await }).detach();
    }
}
