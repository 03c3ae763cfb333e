//! What a lessor stores: its book, and the ledger of what the site owns.

use super::config::LessorConfig;
use super::error::LessorError;
use hazelgrade_budget::lessor::StoreFailed;
use hazelgrade_budget::stored::{LessorRecord, SiteLedger};
use hazelgrade_store::{Store, StoreError};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

const STORE_FILE: &str = ".keeper.store";
const BOOK_KEY: &str = "budget.book";
const LEDGER_KEY: &str = "budget.ledger";
/// The longest time for which units of a lease may be in use by any document, in milliseconds: the longest lease
/// and the longest use that one may name.
const MAX_LEASE_AND_USE_MS: f64 = 70_000.0;

/// The owner that the store is marked with.
fn store_owner(site: &str, listen: SocketAddr) -> String {
    format!("the keeper of {site} at {listen}")
}

/// Creates the store of a site's lessor; gives what to tell the operator. `is_replacement`: there was a store
/// before, whose leases may be in use.
///
/// # Errors
///
/// Why it can't be created.
pub fn create_store(
    documents: &Path,
    site: &str,
    listen: SocketAddr,
    is_replacement: bool,
) -> Result<String, LessorError> {
    let path = documents.join(STORE_FILE);
    if path.exists() {
        return Err(LessorError::StoreExists { path });
    }
    let failed = |reason: StoreError| LessorError::NotCreated { path: path.clone(), reason };
    let mut store = Store::open(&path, &store_owner(site, listen)).map_err(failed)?;
    let book = first_book(site, is_replacement);
    let (book, ledger) = (json!(book).to_string(), json!(SiteLedger::default()).to_string());
    let values = [(BOOK_KEY, Some(book.as_bytes())), (LEDGER_KEY, Some(ledger.as_bytes()))];
    store.commit(&values).map_err(failed)?;
    let waits = if is_replacement {
        format!("; it grants nothing new for {MAX_LEASE_AND_USE_MS:.0} ms after its start")
    } else {
        String::new()
    };
    Ok(format!("{}: the keeper of {site} at {listen} is founded{waits}", path.display()))
}

/// The book that the first start goes on from.
fn first_book(site: &str, is_replacement: bool) -> LessorRecord {
    if !is_replacement {
        return LessorRecord { site: site.into(), generation: 0, granted: false, max_grant_ms: 0.0 };
    }
    // Greater than any count of starts, so that nobody takes it for an earlier one.
    let generation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
    LessorRecord { site: site.into(), generation, granted: true, max_grant_ms: MAX_LEASE_AND_USE_MS }
}

/// The store of a lessor that runs.
pub(super) struct LessorStore {
    site: String,
    path: PathBuf,
    store: Store,
}

impl LessorStore {
    pub fn open(
        config: &LessorConfig,
        documents: &Path,
        listen: SocketAddr,
    ) -> Result<LessorStore, LessorError> {
        let site = config.site.clone();
        let path = documents.join(STORE_FILE);
        if !path.exists() {
            return Err(LessorError::NoStore { site, path });
        }
        let owner = store_owner(&site, listen);
        let opened = match config.dies_at {
            None => Store::open(&path, &owner),
            Some(dies_at) => Store::open_with_kill_at(&path, &owner, dies_at),
        };
        match opened {
            Ok(store) => Ok(LessorStore { site, path, store }),
            Err(reason) => Err(LessorError::Unusable { site, path, reason }),
        }
    }

    pub fn read_book(&mut self) -> Result<LessorRecord, LessorError> {
        self.read(BOOK_KEY)
    }

    pub fn read_ledger(&mut self) -> Result<SiteLedger, LessorError> {
        self.read(LEDGER_KEY)
    }

    fn read<T: DeserializeOwned>(&mut self, key: &'static str) -> Result<T, LessorError> {
        let path = || self.path.clone();
        let bytes = self.store.get(key).map_err(|reason| LessorError::Unreadable { path: path(), reason })?;
        let bytes = bytes.ok_or_else(|| LessorError::Missing { path: path(), key })?;
        serde_json::from_slice(&bytes).map_err(|source| LessorError::Malformed { path: path(), key, source })
    }

    /// Writes the book of a start, without which it can't go on.
    pub fn write_first_book(&mut self, book: &LessorRecord) -> Result<(), LessorError> {
        self.write(BOOK_KEY, &json!(book)).map_err(|reason| LessorError::Unusable {
            site: self.site.clone(),
            path: self.path.clone(),
            reason,
        })
    }

    /// Writes the book; done once it is on the disk, else the reason why it is not.
    pub fn write_book(&mut self, book: &LessorRecord) -> Result<(), StoreFailed> {
        self.write(BOOK_KEY, &json!(book)).map_err(|reason| StoreFailed(reason.to_string()))
    }

    /// Writes the ledger; done once it is on the disk, else the reason why it is not.
    pub fn write_ledger(&mut self, ledger: &SiteLedger) -> Result<(), String> {
        self.write(LEDGER_KEY, &json!(ledger)).map_err(|reason| reason.to_string())
    }

    fn write(&mut self, key: &str, value: &Value) -> Result<(), StoreError> {
        let bytes = value.to_string();
        self.store.commit(&[(key, Some(bytes.as_bytes()))])
    }
}
