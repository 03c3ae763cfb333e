//! Starts this node's share of the budgets (limits that hold for all nodes together) and its budget subscription.

use super::configuration::Deployment;
use super::documents;
use super::serving_document::InitialConfiguration;
use super::store::{NamedValue, SharedStore};
use super::subscription::{StartedSubscription, Subscription};
use crate::routing::budget_share::BudgetShare;
use crate::routing::context::RequestContext;
use crate::routing::controller_driver::ControllerEvent;
use futures_lite::future::{BoxedLocal, FutureExt};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Time;
use hazelgrade_budget::lease_holder::LeaseHolder;
use hazelgrade_budget::terms;
use hazelgrade_config::operator::{BudgetConfig, StreamConfig};
use hazelgrade_config::{Document, Kind};
use hazelgrade_stream::client::Host;
use hazelgrade_stream::protocol::{PublisherMessage, SubscriberMessage};
use hazelgrade_stream::stored;
use hazelgrade_stream::trial::Sample;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::SystemTime;

/// A started subscription to budget documents, and the host that applies them.
pub struct BudgetSubscription {
    /// The started subscription, not yet connected to the control services.
    pub started: StartedSubscription,
    /// Applies the received documents to the node.
    pub host: BudgetHost,
}

/// Enables budgets and starts the subscription to budget documents. Until a lessor grants a lease, the node may use the
/// standalone units of its configuration. `clock_rate` is the rate of this node's clock, which is 1 except in tests.
pub fn start(
    config: &BudgetConfig,
    stream: &StreamConfig,
    initial: &InitialConfiguration,
    deployment: &Deployment,
    context: &Rc<RequestContext>,
    clock_rate: f64,
) -> Result<BudgetSubscription, String> {
    let document = config.document.as_deref().map(|path| documents::read(Kind::Budgets, path)).transpose()?;
    let budget_share = Rc::new(new_budget_share(config, deployment, context, clock_rate));
    budget_share.set_budgets(&BTreeMap::new());
    context.driver.set_budget_share(budget_share.clone());
    let store = initial.store.clone();
    let subscription = Subscription {
        kind: Kind::Budgets,
        deployment,
        stream,
        trial: config.trial,
        stored: store.stored_state(Kind::Budgets),
        initial: document,
    };
    let started = subscription.start(context.driver.clock.now());
    let host = BudgetHost { context: context.clone(), budget_share, store, last_sampled: Cell::default() };
    Ok(BudgetSubscription { started, host })
}

fn new_budget_share(
    config: &BudgetConfig,
    deployment: &Deployment,
    context: &RequestContext,
    clock_rate: f64,
) -> BudgetShare {
    // Two processes with the same node name are different lease holders, so the incarnation must not be derived from
    // the name or the seed.
    let incarnation = RandomState::new().hash_one((SystemTime::now(), std::process::id()));
    let holder = LeaseHolder::new(
        Time::from_ms(0.0),
        &deployment.name,
        incarnation,
        &config.standalone,
        MultiplyWithCarry::new(incarnation),
    );
    let linger = context.settings.borrow().linger;
    BudgetShare::new(holder, config.call_budget.clone(), linger, clock_rate)
}

/// Applies budget documents and lease grants to the node.
pub struct BudgetHost {
    context: Rc<RequestContext>,
    budget_share: Rc<BudgetShare>,
    store: SharedStore,
    last_sampled: Cell<SampledCounters>,
}

/// Job counters at the time of the last sample.
#[derive(Clone, Copy, Default)]
struct SampledCounters {
    answered: u64,
    succeeded: u64,
}

impl BudgetHost {
    /// Notifies the controller of the call lease: the calls to the dependency that this node may make now.
    fn update_call_lease(&self) {
        let driver = &self.context.driver;
        if let Some(lease) = self.budget_share.call_lease(driver.clock.now()) {
            driver.notify(ControllerEvent::LeaseUpdated(lease));
        }
    }
}

impl Host for BudgetHost {
    fn now(&self) -> Time {
        self.context.driver.clock.now()
    }

    fn store(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        self.store.write(vec![NamedValue { name: stored::store_key(Kind::Budgets), bytes }])
    }

    fn apply(&self, document: Option<&Document>, _is_rollback: bool) -> Result<(), String> {
        self.budget_share.set_budgets(&document.map(terms::read_all).unwrap_or_default());
        self.update_call_lease();
        Ok(())
    }

    fn sample(&self) -> Sample {
        let counters = *self.context.counters.borrow();
        let sampled = SampledCounters {
            answered: counters.succeeded + counters.rejected + counters.failed,
            succeeded: counters.succeeded,
        };
        let before = self.last_sampled.replace(sampled);
        Sample {
            answered: sampled.answered.saturating_sub(before.answered) as f64,
            succeeded: sampled.succeeded.saturating_sub(before.succeeded) as f64,
            executor_connected: self.context.executor.is_up(),
        }
    }

    fn next_message(&self) -> Option<SubscriberMessage> {
        let request = self.budget_share.due_request()?;
        // A lease request of a draining node returns units, so the call lease shrinks with the request.
        if request.draining {
            self.update_call_lease();
        }
        Some(SubscriberMessage::LeaseRequest(request))
    }

    fn next_message_at(&self) -> Option<Time> {
        Some(self.budget_share.next_request_at(self.context.driver.clock.now()))
    }

    fn message_ready(&self) -> BoxedLocal<()> {
        let budget_share = self.budget_share.clone();
        async move { budget_share.changed().await }.boxed_local()
    }

    fn on_connected(&self) {
        self.budget_share.on_connected();
    }

    fn on_message(&self, published: &PublisherMessage) {
        match published {
            PublisherMessage::LeaseGrant(grant) => {
                if self.budget_share.apply_grant(grant) {
                    self.update_call_lease();
                } else {
                    tracing::debug!(
                        count = grant.sequence,
                        "lease grant ignored: it answers an earlier request or is of an earlier generation"
                    );
                }
            }
            PublisherMessage::RequestLeases => self.budget_share.request_leases_now(),
            _ => {}
        }
    }
}
