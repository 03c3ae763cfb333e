//! Serving documents of a node: the version with which the node starts, and the subscription to new versions.

mod host;
mod slot_table;

pub use host::{ServingContext, ServingHost};

use super::configuration::Deployment;
use super::documents;
use super::store::{OpenStore, SharedStore};
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
    /// Opens the store and reads the document. If the store can't be used, the node starts with the document from the file,
    /// and the store is opened again when a document is to be stored. In tests, the process kills itself at change number `kill_at` of the store.
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
        let store = SharedStore::new(open_store(stream, owner, kill_at));
        let mut initial =
            InitialConfiguration { store, stored: StoredState::default(), unreadable: None, document };
        let bytes = match initial.store.read_at_start(stored::store_key(Kind::Serving)) {
            Ok(bytes) => bytes,
            Err(error @ (StoreError::OtherOwner { .. } | StoreError::InUse)) => {
                return Err(format!("field stream.store: {path}: {error}"));
            }
            Err(error) => {
                tracing::error!(
                    "field stream.store: {path}: {error}; documents can't be stored until it can be used"
                );
                return Ok(initial);
            }
        };
        match bytes.as_deref().map(|bytes| StoredState::decode(Kind::Serving, bytes)).transpose() {
            Ok(state) => initial.stored = state.unwrap_or_default(),
            Err(error) => {
                tracing::error!("field stream.store: {path}: the stored document can't be decoded: {error}");
                initial.unreadable = bytes;
            }
        }
        Ok(initial)
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

/// Returns how the store is opened. In tests, the process kills itself at change number `kill_at` of the store.
fn open_store(stream: &StreamConfig, owner: &str, kill_at: Option<u64>) -> OpenStore {
    let (path, owner) = (stream.store.clone(), owner.to_owned());
    match kill_at {
        None => Box::new(move || Store::open(&path, &owner)),
        Some(kill_at) => Box::new(move || Store::open_with_kill_at(&path, &owner, kill_at)),
    }
}
