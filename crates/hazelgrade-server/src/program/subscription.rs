//! The subscription of a node to one kind of document, as the control services publish it.

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

/// What a subscription starts from.
pub struct Subscription<'a> {
    pub kind: Kind,
    pub deployment: &'a Deployment,
    pub stream: &'a StreamConfig,
    pub trial: Trial,
    /// What the store has of this kind.
    pub stored: StoredState,
    /// The document to start by where nothing is stored.
    pub initial: Option<Document>,
}

/// A subscription that has started, and what it wants done first.
pub struct StartedSubscription {
    subscriber: Subscriber,
    first_actions: Vec<Action>,
}

impl Subscription<'_> {
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

/// Rotates the node's seed by these bits, so that each subscription has random numbers of its own.
fn seed_rotation(kind: Kind) -> u32 {
    match kind {
        Kind::Serving => 32,
        Kind::Identity => 16,
        Kind::Budgets => 8,
    }
}

impl StartedSubscription {
    /// Follows the control services in a task of its own; `draining` tells it that the node is shutting down.
    pub fn follow<H: Host + 'static>(
        self,
        host: H,
        stream: &StreamConfig,
        tasks: &Rc<LocalExecutor<'static>>,
        draining: Rc<Notify>,
    ) {
        let StartedSubscription { subscriber, first_actions } = self;
        let follow = SubscriberClient {
            host: Rc::new(host),
            control_services: stream.control_services.clone(),
            executor: tasks.clone(),
            drain_started: draining,
        };
        tasks.spawn(async move { follow.run(subscriber, first_actions).await }).detach();
    }
}
