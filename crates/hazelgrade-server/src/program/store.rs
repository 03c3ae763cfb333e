//! The node's store, which the subscriptions to all kinds of documents share.

use futures_lite::future::{BoxedLocal, FutureExt};
use hazelgrade_config::Kind;
use hazelgrade_store::Store;
use hazelgrade_stream::stored::{self, StoredState};
use std::sync::{Arc, Mutex, PoisonError};

/// The node's store, or the reason why the store can't be used. Clones refer to the same store.
#[derive(Clone)]
pub struct SharedStore(Result<Arc<Mutex<Store>>, String>);

/// A value to write to the store.
pub struct NamedValue {
    /// The key of the value in the store.
    pub name: &'static str,
    /// The new content of the value.
    pub bytes: Vec<u8>,
}

impl SharedStore {
    /// Shares an open store.
    pub fn new(store: Store) -> SharedStore {
        SharedStore(Ok(Arc::new(Mutex::new(store))))
    }

    /// Returns a store that can't be used: reads find no stored state, and each write fails with this reason.
    pub fn unusable(reason: String) -> SharedStore {
        SharedStore(Err(reason))
    }

    /// Returns the stored state for a kind of document. If the state can't be decoded, logs an error and returns the
    /// default.
    pub fn stored_state(&self, kind: Kind) -> StoredState {
        let bytes = self.0.as_ref().ok().and_then(|store| {
            let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
            store.get(stored::store_key(kind)).ok().flatten()
        });
        match bytes.as_deref().map(|bytes| StoredState::decode(kind, bytes)).transpose() {
            Ok(state) => state.unwrap_or_default(),
            Err(error) => {
                tracing::error!(%error, kind = kind.name(), "stored document ignored: can't be decoded");
                StoredState::default()
            }
        }
    }

    /// Writes values in one transaction on a background thread. The values are on disk when the future completes with
    /// success.
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
