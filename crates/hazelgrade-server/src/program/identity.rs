//! Authentication in a serving node. Signing keys, callers and rights come from an identity document, which is read
//! from a file or received from control services.

use super::configuration::Deployment;
use super::documents;
use super::serving_document::InitialConfiguration;
use super::store::{NamedValue, SharedStore};
use super::subscription::{StartedSubscription, Subscription};
use crate::routing::context::RequestContext;
use async_io::Timer;
use futures_lite::future::BoxedLocal;
use hazelgrade::time::Time;
use hazelgrade_config::operator::{IdentityConfig, StreamConfig};
use hazelgrade_config::{Document, Kind};
use hazelgrade_identity::AccessPolicy;
use hazelgrade_stream::client::Host;
use hazelgrade_stream::stored;
use hazelgrade_stream::trial::Sample;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// The interval at which denied requests are logged, as one summary for each caller and reason.
const AUDIT_INTERVAL: Duration = Duration::from_secs(1);

/// Applies an identity document to the node. With `is_rollback`, the document replaces a later version that failed its
/// trial, and all revocations of that later version stay in effect.
fn apply(document: &Document, context: &RequestContext, is_rollback: bool) -> Result<(), String> {
    let policy = AccessPolicy::from_document(document).map_err(|error| error.to_string())?;
    context
        .callers
        .replace(policy, &context.settings.borrow(), &context.driver.clock, is_rollback)
        .map_err(|error| error.to_string())
}

/// Reads the identity document again after SIGHUP. An invalid document leaves the current identities in effect.
pub fn reload(path: &Path, context: &RequestContext) {
    let applied = documents::read(Kind::Identity, path).and_then(|document| apply(&document, context, false));
    match applied {
        Ok(()) => tracing::info!(path = %path.display(), "identity document reloaded"),
        Err(error) => {
            tracing::error!(error, "identity document not reloaded; the previous one stays in effect")
        }
    }
}

/// Logs summaries of denied requests until the future is dropped.
pub async fn log_denied_requests(context: &RequestContext) {
    loop {
        Timer::after(AUDIT_INTERVAL).await;
        context.callers.audit(context.driver.clock.now());
    }
}

/// A started subscription to identity documents, and the host that applies them.
pub struct IdentitySubscription {
    /// The started subscription, not yet connected to the control services.
    pub started: StartedSubscription,
    /// Applies the received documents to the node.
    pub host: IdentityHost,
}

/// Enables authentication. An identity document from a file is applied at once. If the configuration streams identity
/// documents, a subscription is started instead and returned.
pub fn start(
    config: &IdentityConfig,
    stream: Option<&StreamConfig>,
    initial: Option<&InitialConfiguration>,
    deployment: &Deployment,
    context: &Rc<RequestContext>,
) -> Result<Option<IdentitySubscription>, String> {
    context.callers.enable();
    let mut host_settings = (**context.settings.borrow()).clone();
    host_settings.authenticates_callers = true;
    context.settings.replace(Rc::new(host_settings));
    let document =
        config.document.as_deref().map(|path| documents::read(Kind::Identity, path)).transpose()?;
    let Some((stream, initial)) = stream.zip(initial).filter(|_| config.streamed) else {
        if let Some(document) = &document {
            apply(document, context, false).map_err(|error| format!("field identity.document: {error}"))?;
        }
        return Ok(None);
    };
    let store = initial.store.clone();
    let subscription = Subscription {
        kind: Kind::Identity,
        deployment,
        stream,
        trial: config.trial,
        stored: store.stored_state(Kind::Identity),
        initial: document,
    };
    let started = subscription.start(context.driver.clock.now());
    let host = IdentityHost { context: context.clone(), store, last_sampled: Cell::default() };
    Ok(Some(IdentitySubscription { started, host }))
}

/// Applies identity documents to the node.
pub struct IdentityHost {
    context: Rc<RequestContext>,
    store: SharedStore,
    last_sampled: Cell<SampledCounters>,
}

/// Request counters at the time of the last sample.
#[derive(Clone, Copy, Default)]
struct SampledCounters {
    authenticated: u64,
    unverified: u64,
}

impl Host for IdentityHost {
    fn now(&self) -> Time {
        self.context.driver.clock.now()
    }

    fn store(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        self.store.write(vec![NamedValue { name: stored::store_key(Kind::Identity), bytes }])
    }

    fn apply(&self, document: Option<&Document>, is_rollback: bool) -> Result<(), String> {
        match document {
            Some(document) => apply(document, &self.context, is_rollback),
            None => {
                self.context.callers.clear();
                Ok(())
            }
        }
    }

    /// Counts requests that fail verification as failures. Requests denied by rights or revocations are not counted,
    /// because a trial would otherwise roll a revocation back for its intended effect.
    fn sample(&self) -> Sample {
        let counters = *self.context.counters.borrow();
        let sampled = SampledCounters {
            authenticated: counters.succeeded + counters.rejected + counters.failed,
            unverified: counters.unverified,
        };
        let before = self.last_sampled.replace(sampled);
        let authenticated = sampled.authenticated.saturating_sub(before.authenticated) as f64;
        let unverified = sampled.unverified.saturating_sub(before.unverified) as f64;
        Sample { answered: authenticated + unverified, succeeded: authenticated, executor_connected: true }
    }
}
