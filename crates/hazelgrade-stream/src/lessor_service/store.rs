//! The store of a lessor, with the lessor's record and the ledger of the units that the site owns.

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

/// The name of the store's file in the folder of the documents.
const STORE_FILE: &str = ".keeper.store";
/// The store's key of the lessor's record.
const RECORD_KEY: &str = "budget.book";
/// The store's key of the site's ledger.
const LEDGER_KEY: &str = "budget.ledger";
/// The longest time for which units of a lease may be in use under any valid document, in milliseconds: the sum of the
/// greatest lease time and the greatest maximum use time that a document may state.
const MAX_LEASE_AND_USE_MS: f64 = 70_000.0;
/// The sum of the least lease time and the least maximum use time that a document may state, in milliseconds.
const MIN_LEASE_AND_USE_MS: f64 = 210.0;

/// A store that was lost and whose leases may still be in use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LostStore {
    /// The greatest sum of lease time and maximum use time that any document stated during the last 70 s, in
    /// milliseconds, as given by the operator. `None` stands for the greatest sum that a document may state.
    pub longest_ms: Option<f64>,
}

impl LostStore {
    /// Returns whether a document may state this sum of lease time and maximum use time, in milliseconds.
    pub fn accepts(longest_ms: f64) -> bool {
        (MIN_LEASE_AND_USE_MS..=MAX_LEASE_AND_USE_MS).contains(&longest_ms)
    }

    /// Returns the longest time for which a lease of the lost store may be in use, in milliseconds of this machine's
    /// clock.
    fn max_grant_ms(self) -> f64 {
        self.longest_ms.map_or(MAX_LEASE_AND_USE_MS, |longest_ms| longest_ms * (1.0 + MAX_CLOCK_DRIFT_RATIO))
    }
}

/// Returns the owner that is recorded in the store: the site and its listening address.
fn store_owner(site: &str, listen: SocketAddr) -> String {
    format!("the keeper of {site} at {listen}")
}

/// Creates the store of a site's lessor; returns the message for the operator. `lost` describes the previous store of
/// the site if it was lost.
///
/// # Errors
///
/// Returns why the store can't be created.
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
    let not_created = |reason: StoreError| LessorError::NotCreated { path: path.clone(), reason };
    let mut store = Store::open(&path, &store_owner(site, listen)).map_err(not_created)?;
    let record = initial_record(site, lost);
    let record = json!(record).to_string();
    let ledger = json!(SiteLedger::default()).to_string();
    let values = [(RECORD_KEY, Some(record.as_bytes())), (LEDGER_KEY, Some(ledger.as_bytes()))];
    store.commit(&values).map_err(not_created)?;
    let delay_note = lost.map_or(String::new(), |lost| {
        format!("; it grants nothing new for {:.0} ms after its start", lost.max_grant_ms().ceil())
    });
    Ok(format!("{}: the keeper of {site} at {listen} is founded{delay_note}", path.display()))
}

/// Returns the record from which the first start of the lessor continues.
fn initial_record(site: &str, lost: Option<LostStore>) -> LessorRecord {
    let Some(lost) = lost else {
        return LessorRecord { site: site.into(), generation: 0, granted: false, max_grant_ms: 0.0 };
    };
    // Seconds since the epoch exceed any generation of the lost store, so no lease holder mistakes the new generation
    // for an earlier one.
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
    /// Opens the store of a site's lessor, which must exist and belong to the site and address.
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

    /// Reads the lessor's record.
    pub fn read_record(&mut self) -> Result<LessorRecord, LessorError> {
        self.read(RECORD_KEY)
    }

    /// Reads the site's ledger.
    pub fn read_ledger(&mut self) -> Result<SiteLedger, LessorError> {
        self.read(LEDGER_KEY)
    }

    fn read<T: DeserializeOwned>(&mut self, key: &'static str) -> Result<T, LessorError> {
        let path = || self.path.clone();
        let bytes = self.store.get(key).map_err(|reason| LessorError::Unreadable { path: path(), reason })?;
        let bytes = bytes.ok_or_else(|| LessorError::Missing { path: path(), key })?;
        serde_json::from_slice(&bytes).map_err(|source| LessorError::Malformed { path: path(), key, source })
    }

    /// Writes the record of a start. If the write fails, the start fails as well.
    pub fn write_start_record(&mut self, record: &LessorRecord) -> Result<(), LessorError> {
        self.write(RECORD_KEY, &json!(record)).map_err(|reason| LessorError::Unusable {
            site: self.site.clone(),
            path: self.path.clone(),
            reason,
        })
    }

    /// Writes the record; returns once the record is on the disk, or the reason why the write failed.
    pub fn write_record(&mut self, record: &LessorRecord) -> Result<(), StoreFailed> {
        self.write(RECORD_KEY, &json!(record)).map_err(|reason| StoreFailed(reason.to_string()))
    }

    /// Writes the ledger; returns once the ledger is on the disk, or the reason why the write failed.
    pub fn write_ledger(&mut self, ledger: &SiteLedger) -> Result<(), String> {
        self.write(LEDGER_KEY, &json!(ledger)).map_err(|reason| reason.to_string())
    }

    fn write(&mut self, key: &str, value: &Value) -> Result<(), StoreError> {
        let bytes = value.to_string();
        self.store.commit(&[(key, Some(bytes.as_bytes()))])
    }
}
