//! Serving documents of a node: the version with which the node starts, and the subscription to new versions.

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

/// The store and the serving document with which a node that subscribes to control services starts.
pub struct InitialConfiguration {
    /// The node's store.
    pub store: SharedStore,
    /// The stored state of serving documents.
    stored: StoredState,
    /// The stored bytes of the serving state, if the bytes can't be decoded.
    unreadable: Option<Vec<u8>>,
    /// The document with which the node starts if the store has none.
    document: Option<Document>,
}

/// A started subscription to serving documents, and the host that applies them.
pub struct ServingSubscription {
    /// The started subscription, not yet connected to the control services.
    pub started: StartedSubscription,
    /// Applies the received documents to the node.
    pub host: ServingHost,
}

impl InitialConfiguration {
    /// Opens the store and reads the document. A store that can't be used is left unmodified, and the node starts with
    /// the document from the file. In tests, the process kills itself at change number `kill_at` of the store.
    ///
    /// # Errors
    /// Returns an error for an invalid document, and for a store that is in use or belongs to another owner. These are
    /// mistakes of the operator, so the node doesn't start.
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
                            "field stream.store: {path}: the stored document can't be decoded: {error}"
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
                tracing::error!("field stream.store: {path}: {error}; documents can't be stored");
                let store = SharedStore::unusable(format!("{path}: {error}"));
                Ok(InitialConfiguration { store, stored: StoredState::default(), unreadable: None, document })
            }
        }
    }

    /// Returns the process limits of the document with which the node starts.
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
