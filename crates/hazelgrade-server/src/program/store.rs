//! The node's store, shared by the subscribers to all kinds of documents.

use futures_lite::future::{BoxedLocal, FutureExt};
use hazelgrade_config::Kind;
use hazelgrade_store::Store;
use hazelgrade_stream::stored::{self, StoredState};
use std::sync::{Arc, Mutex, PoisonError};

/// The node's store, or the reason why it can't be used; clones are the same store.
#[derive(Clone)]
pub struct SharedStore(Result<Arc<Mutex<Store>>, String>);

/// A value to write.
pub struct NamedValue {
    /// The name of the value in the store.
    pub name: &'static str,
    /// Its new content.
    pub bytes: Vec<u8>,
}

impl SharedStore {
    /// Shares a store that is open.
    pub fn new(store: Store) -> SharedStore {
        SharedStore(Ok(Arc::new(Mutex::new(store))))
    }

    /// A store that can't be used: nothing is read from it, and each write fails with this reason.
    pub fn unusable(reason: String) -> SharedStore {
        SharedStore(Err(reason))
    }

    /// The stored state for a kind of document. If it can't be read, logs an error and returns the default.
    pub fn stored_state(&self, kind: Kind) -> StoredState {
        let bytes = self.0.as_ref().ok().and_then(|store| {
            let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
            store.get(stored::store_key(kind)).ok().flatten()
        });
        match bytes.as_deref().map(|bytes| StoredState::decode(kind, bytes)).transpose() {
            Ok(state) => state.unwrap_or_default(),
            Err(error) => {
                tracing::error!(%error, kind = kind.name(), "the stored document can't be read");
                StoredState::default()
            }
        }
    }

    /// Writes values in one transaction on a background thread. They are on disk when the future completes.
    pub fn write(&self, values: Vec<NamedValue>) -> BoxedLocal<Result<(), String>> {
        let store = self.0.clone();
        async move {
            let store = store?;
            blocking::unblock(move || {
                let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
                let changes: Vec<_> =
                    values.iter().map(|value| (value.name, Some(value.bytes.as_slice()))).collect();
                store.commit(&changes).map_err(|error| error.to_string())
            })
            .await
        }
        .boxed_local()
    }
}
