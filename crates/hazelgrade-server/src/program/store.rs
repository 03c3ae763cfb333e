//! The node's store, which the subscriptions to all kinds of documents share.
//!
//! The folder of the store may fail for a while. A start waits for it for a short time; after that the node starts with
//! what it has, and each write opens the store again until that succeeds.

use futures_lite::future::{BoxedLocal, FutureExt};
use hazelgrade_config::Kind;
use hazelgrade_store::{Store, StoreError};
use hazelgrade_stream::stored::{self, StoredState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long a start waits for a folder that fails.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts at a start.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Opens the store.
pub type OpenStore = Box<dyn Fn() -> Result<Store, StoreError> + Send>;

/// The node's store. Clones refer to the same store.
#[derive(Clone)]
pub struct SharedStore(Arc<Mutex<StoreSlot>>);

/// The store, and how to open it while it is not open.
struct StoreSlot {
    open: OpenStore,
    store: Option<Store>,
}

/// A value to write to the store.
pub struct NamedValue {
    /// The key of the value in the store.
    pub name: &'static str,
    /// The new content of the value.
    pub bytes: Vec<u8>,
}

impl StoreSlot {
    /// Uses the store, which is opened first if it is not open.
    fn with<T>(
        &mut self,
        operation: impl FnOnce(&mut Store) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut store = match self.store.take() {
            Some(store) => store,
            None => (self.open)()?,
        };
        let result = operation(&mut store);
        self.store = Some(store);
        result
    }
}

impl SharedStore {
    /// Creates a store that the first operation opens.
    pub fn new(open: OpenStore) -> SharedStore {
        SharedStore(Arc::new(Mutex::new(StoreSlot { open, store: None })))
    }

    fn lock(&self) -> MutexGuard<'_, StoreSlot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads a value at a start. Blocks for [`START_TIMEOUT`] while the folder fails.
    ///
    /// # Errors
    /// Any [`StoreError`] of the last attempt.
    pub fn read_at_start(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            match self.lock().with(|store| store.get(name)) {
                Err(StoreError::Io(_) | StoreError::DiskFull) if Instant::now() < deadline => {
                    std::thread::sleep(RETRY_PAUSE);
                }
                result => return result,
            }
        }
    }

    /// Returns the stored state for a kind of document. If the state can't be read or decoded, logs an error and returns
    /// the default.
    pub fn stored_state(&self, kind: Kind) -> StoredState {
        let bytes = self.read_at_start(stored::store_key(kind)).unwrap_or_else(|error| {
            tracing::error!(%error, kind = kind.name(), "stored document ignored: can't be read");
            None
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
        let store = self.clone();
        async move {
            blocking::unblock(move || {
                let changes: Vec<_> =
                    values.iter().map(|value| (value.name, Some(value.bytes.as_slice()))).collect();
                store.lock().with(|store| store.commit(&changes)).map_err(|error| error.to_string())
            })
            .await
        }
        .boxed_local()
    }
}
