//! Serving documents: the version that a node starts from, and its subscription to new ones.

mod host;
mod slot_table;

pub use host::{ServingContext, ServingHost};

use super::configuration::Deployment;
use super::documents;
use super::store::SharedStore;
use super::subscription::{StartedSubscription, Subscription};
use hazelgrade_config::operator::StreamConfig;
use hazelgrade_config::serving::ResourceLimits;
use hazelgrade_config::{Document, Kind};
use hazelgrade_store::{Store, StoreError};
use hazelgrade_stream::stored::{self, StoredState};

/// What a node that subscribes to control services starts from.
pub struct InitialConfiguration {
    /// The node's store.
    pub store: SharedStore,
    /// What is stored of serving documents.
    stored: StoredState,
    /// The stored bytes, if they can't be decoded.
    unreadable: Option<Vec<u8>>,
    /// The document to start with if nothing is stored.
    document: Option<Document>,
}

/// A subscription to serving documents that has started, and the host for it.
pub struct ServingSubscription {
    /// The subscription, not followed yet.
    pub started: StartedSubscription,
    /// Applies the documents.
    pub host: ServingHost,
}

impl InitialConfiguration {
    /// Opens the store and reads the document. A store that can't be used is left as it is, and the node starts with
    /// its document. In tests, the process kills itself at change number `kill_at` of the store.
    ///
    /// # Errors
    /// A document that is wrong, and a store of another owner or in use: both are mistakes of the operator.
    pub fn open(
        stream: &StreamConfig,
        owner: &str,
        kill_at: Option<u64>,
    ) -> Result<InitialConfiguration, String> {
        let path = stream.store.display();
        let document =
            stream.document.as_deref().map(|path| documents::read(Kind::Serving, path)).transpose()?;
        let store = match kill_at {
            None => Store::open(&stream.store, owner),
            Some(kill_at) => Store::open_with_kill_at(&stream.store, owner, kill_at),
        };
        let store_and_bytes = store.and_then(|mut store| {
            let bytes = store.get(stored::store_key(Kind::Serving))?;
            Ok((store, bytes))
        });
        match store_and_bytes {
            Ok((store, bytes)) => {
                let mut stored = StoredState::default();
                let mut unreadable = None;
                match bytes.as_deref().map(|bytes| StoredState::decode(Kind::Serving, bytes)).transpose() {
                    Ok(state) => stored = state.unwrap_or_default(),
                    Err(error) => {
                        tracing::error!(
                            "field stream.store: {path}: the stored configuration can't be read: {error}"
                        );
                        unreadable = bytes;
                    }
                }
                let store = SharedStore::new(store);
                Ok(InitialConfiguration { store, stored, unreadable, document })
            }
            Err(error @ (StoreError::OtherOwner { .. } | StoreError::InUse)) => {
                Err(format!("field stream.store: {path}: {error}"))
            }
            Err(error) => {
                tracing::error!("field stream.store: {path}: {error}; nothing can be stored");
                let store = SharedStore::unusable(format!("{path}: {error}"));
                Ok(InitialConfiguration { store, stored: StoredState::default(), unreadable: None, document })
            }
        }
    }

    /// The process limits of the document that the node starts with.
    pub fn resource_limits(&self) -> ResourceLimits {
        let stored = self.stored.last_good.as_ref().map(|good| &good.document);
        stored.or(self.document.as_ref()).map(Document::resource_limits).unwrap_or_default()
    }

    /// Starts the subscription. The node is not ready until a document has taken effect.
    pub fn start(
        self,
        stream: &StreamConfig,
        deployment: &Deployment,
        context: ServingContext,
    ) -> ServingSubscription {
        context.request_context.driver.set_ready(false);
        let subscription = Subscription {
            kind: Kind::Serving,
            deployment,
            stream,
            trial: stream.trial,
            stored: self.stored,
            initial: self.document,
        };
        let started = subscription.start(context.request_context.driver.clock.now());
        let host = ServingHost::new(context, self.store, self.unreadable);
        ServingSubscription { started, host }
    }
}
