//! The serving document in a node: what it starts from, and its subscription to new versions.

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

/// What a node that follows control services starts from.
pub struct InitialConfiguration {
    pub store: SharedStore,
    /// What is stored of serving documents.
    stored: StoredState,
    /// What is stored, if it can't be read.
    unreadable: Option<Vec<u8>>,
    /// The document to start by where nothing is stored.
    document: Option<Document>,
}

impl InitialConfiguration {
    /// Opens the store and reads the document. A store that can't be used is left as it is, and the node starts by its
    /// document. In tests, the process kills itself at change number `kill_at` of the store.
    ///
    /// # Errors
    /// A document that is wrong, and a store of another owner or in use: both are slips of the operator.
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
                        tracing::error!("field stream.store: {path}: what was kept can't be read, {error}");
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
                tracing::error!("field stream.store: {path}: {error}; nothing can be kept");
                let store = SharedStore::unusable(format!("{path}: {error}"));
                Ok(InitialConfiguration { store, stored: StoredState::default(), unreadable: None, document })
            }
        }
    }

    /// Limits of the process, by the document that the node starts by.
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
    ) -> (StartedSubscription, ServingHost) {
        context.parts.driver.set_ready(false);
        let subscription = Subscription {
            kind: Kind::Serving,
            deployment,
            stream,
            trial: stream.trial,
            stored: self.stored,
            initial: self.document,
        };
        let started = subscription.start(context.parts.driver.clock.now());
        (started, ServingHost::new(context, self.store, self.unreadable))
    }
}
