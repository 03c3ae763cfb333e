//! What a lessor stores: its record, and the ledger of what the site owns.

use super::config::LessorConfig;
use super::error::LessorError;
use hazelgrade_budget::MAX_CLOCK_DRIFT_RATIO;
use hazelgrade_budget::lessor::StoreFailed;
use hazelgrade_budget::stored::{LessorRecord, SiteLedger};
use hazelgrade_store::{Store, StoreError};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

const STORE_FILE: &str = ".keeper.store";
const RECORD_KEY: &str = "budget.book";
const LEDGER_KEY: &str = "budget.ledger";
/// The longest time for which units of a lease may be in use under any document, in milliseconds: the longest lease
/// plus the longest use that a document may state.
const MAX_LEASE_AND_USE_MS: f64 = 70_000.0;
/// The shortest lease plus the shortest longest use that a document may state, in milliseconds.
const MIN_LEASE_AND_USE_MS: f64 = 210.0;

/// A store that existed before and is lost, whose leases may be in use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LostStore {
    /// The greatest sum of lease and longest use that any document stated during the last 70 s, in milliseconds, by an
    /// operator's word; without it any that a document may state.
    pub longest_ms: Option<f64>,
}

impl LostStore {
    /// Whether a document may state this sum of lease and longest use, in milliseconds.
    pub fn accepts(longest_ms: f64) -> bool {
        (MIN_LEASE_AND_USE_MS..=MAX_LEASE_AND_USE_MS).contains(&longest_ms)
    }

    /// For how long a lease of the lost store may be in use, in milliseconds of this machine's clock.
    fn max_grant_ms(self) -> f64 {
        self.longest_ms.map_or(MAX_LEASE_AND_USE_MS, |longest_ms| longest_ms * (1.0 + MAX_CLOCK_DRIFT_RATIO))
    }
}

/// The owner that the store is marked with.
fn store_owner(site: &str, listen: SocketAddr) -> String {
    format!("the keeper of {site} at {listen}")
}

/// Creates the store of a site's lessor; returns the message to the operator. `lost` is the store that there was before,
/// if there was one.
///
/// # Errors
///
/// Why it can't be created.
pub fn create_store(
    documents: &Path,
    site: &str,
    listen: SocketAddr,
    lost: Option<LostStore>,
) -> Result<String, LessorError> {
    let path = documents.join(STORE_FILE);
    if path.exists() {
        return Err(LessorError::StoreExists { path });
    }
    let failed = |reason: StoreError| LessorError::NotCreated { path: path.clone(), reason };
    let mut store = Store::open(&path, &store_owner(site, listen)).map_err(failed)?;
    let record = first_record(site, lost);
    let record = json!(record).to_string();
    let ledger = json!(SiteLedger::default()).to_string();
    let values = [(RECORD_KEY, Some(record.as_bytes())), (LEDGER_KEY, Some(ledger.as_bytes()))];
    store.commit(&values).map_err(failed)?;
    let waits = lost.map_or(String::new(), |lost| {
        format!("; it grants nothing new for {:.0} ms after its start", lost.max_grant_ms().ceil())
    });
    Ok(format!("{}: the keeper of {site} at {listen} is founded{waits}", path.display()))
}

/// The record that the first start continues from.
fn first_record(site: &str, lost: Option<LostStore>) -> LessorRecord {
    let Some(lost) = lost else {
        return LessorRecord { site: site.into(), generation: 0, granted: false, max_grant_ms: 0.0 };
    };
    // Greater than any generation of the lost store, so that no lease holder takes it for an earlier one.
    let generation = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
    LessorRecord { site: site.into(), generation, granted: true, max_grant_ms: lost.max_grant_ms() }
}

/// The store of a running lessor.
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
        let opened = match config.kill_at {
            None => Store::open(&path, &owner),
            Some(kill_at) => Store::open_with_kill_at(&path, &owner, kill_at),
        };
        match opened {
            Ok(store) => Ok(LessorStore { site, path, store }),
            Err(reason) => Err(LessorError::Unusable { site, path, reason }),
        }
    }

    pub fn read_record(&mut self) -> Result<LessorRecord, LessorError> {
        self.read(RECORD_KEY)
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

    /// Writes the record of a start, which can't go on without it.
    pub fn write_first_record(&mut self, record: &LessorRecord) -> Result<(), LessorError> {
        self.write(RECORD_KEY, &json!(record)).map_err(|reason| LessorError::Unusable {
            site: self.site.clone(),
            path: self.path.clone(),
            reason,
        })
    }

    /// Writes the record; returns once it is on the disk, or the reason why it is not.
    pub fn write_record(&mut self, record: &LessorRecord) -> Result<(), StoreFailed> {
        self.write(RECORD_KEY, &json!(record)).map_err(|reason| StoreFailed(reason.to_string()))
    }

    /// Writes the ledger; returns once it is on the disk, or the reason why it is not.
    pub fn write_ledger(&mut self, ledger: &SiteLedger) -> Result<(), String> {
        self.write(LEDGER_KEY, &json!(ledger)).map_err(|reason| reason.to_string())
    }

    fn write(&mut self, key: &str, value: &Value) -> Result<(), StoreError> {
        let bytes = value.to_string();
        self.store.commit(&[(key, Some(bytes.as_bytes()))])
    }
}
