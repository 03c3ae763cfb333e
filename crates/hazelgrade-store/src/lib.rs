//! A small durable store: named values in one file on redb, changed together or not at all.
//!
//! A store belongs to one owner and has a format version. A store of another owner or a newer format is rejected with a
//! reason and left as it is. A write that fails leaves the values as they were, or, if only its last step failed, as
//! after all of its changes. [`simulated_disk`] is storage for tests that crashes, tears or loses writes, and fills up
//! as planned.
#![warn(missing_docs)]

mod error;
mod killing_file;
pub mod simulated_disk;

pub use error::StoreError;

use killing_file::{KillSwitch, KillingFile};
use redb::{Builder, Database, ReadableDatabase, StorageBackend, TableDefinition, TableError};
use std::fmt::{Debug, Formatter};
use std::fs::File;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// The format version that this program writes; a greater one was written by a newer program.
pub const FORMAT_VERSION: u64 = 1;

/// The longest value, in bytes: room for two of the longest documents, encoded, and their metadata.
pub const MAX_VALUE_BYTES: usize = 8 * 1024 * 1024;

/// Pages cached in memory, in bytes. Values are small and read only at a start.
const CACHE_BYTES: usize = 1024 * 1024;

/// Format version and owner of the store.
const ABOUT: TableDefinition<&str, &[u8]> = TableDefinition::new("about");
const FORMAT_KEY: &str = "form";
const OWNER_KEY: &str = "owner";

/// The values.
const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

type OpenDatabase = Box<dyn Fn() -> Result<Database, StoreError> + Send>;

/// An open store. The file is locked against other processes until it is dropped.
pub struct Store {
    open_database: OpenDatabase,
    owner: String,
    /// `None` after a failed write, as redb then refuses further ones; the next operation reopens it.
    database: Option<Database>,
}

impl Debug for Store {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Store of {}", self.owner)
    }
}

/// A name with its new value, or with `None` to remove it.
pub type Change<'a> = (&'a str, Option<&'a [u8]>);

impl Store {
    /// Opens the store in a file, or creates it there.
    ///
    /// # Errors
    /// Any [`StoreError`] but [`StoreError::ValueTooLong`].
    pub fn open(path: &Path, owner: &str) -> Result<Store, StoreError> {
        create_if_missing(path, owner)?;
        let path = path.to_owned();
        let open_database = move || create_database(&path);
        Store::open_with(Box::new(open_database), owner)
    }

    /// Opens the store in a file; the process kills itself at change number `kill_at` of the file, from 0. For tests of
    /// crashes.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_with_kill_at(path: &Path, owner: &str, kill_at: u64) -> Result<Store, StoreError> {
        create_if_missing(path, owner)?;
        let path = path.to_owned();
        let switch = KillSwitch::new(kill_at);
        let open_database = move || {
            let file = File::options().read(true).write(true).open(&path)?;
            let backend = KillingFile::new(file, switch.clone())?;
            create_database_on(backend)
        };
        Store::open_with(Box::new(open_database), owner)
    }

    /// Opens a store on any storage; `storage` is called again when the store is reopened after a failed write.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_on<B: StorageBackend>(
        storage: impl Fn() -> B + Send + 'static,
        owner: &str,
    ) -> Result<Store, StoreError> {
        let open_database = move || create_database_on(storage());
        Store::open_with(Box::new(open_database), owner)
    }

    fn open_with(open_database: OpenDatabase, owner: &str) -> Result<Store, StoreError> {
        let mut store = Store { open_database, owner: owner.to_owned(), database: None };
        store.database()?;
        Ok(store)
    }

    /// The database, reopened after a failed write.
    fn database(&mut self) -> Result<&Database, StoreError> {
        if self.database.is_none() {
            let database = (self.open_database)()?;
            self.check_format_and_owner(&database)?;
            self.database = Some(database);
        }
        self.database.as_ref().ok_or_else(|| StoreError::Io("it is closed".into()))
    }

    /// Checks format and owner; in a new store, writes them before any value.
    fn check_format_and_owner(&self, database: &Database) -> Result<(), StoreError> {
        let format = read(database, ABOUT, FORMAT_KEY)?;
        let owner = read(database, ABOUT, OWNER_KEY)?;
        match (format, owner) {
            (Some(format), Some(owner)) => {
                let format = format.try_into().map(u64::from_le_bytes).unwrap_or(u64::MAX);
                if format > FORMAT_VERSION {
                    return Err(StoreError::NewerFormat { found: format });
                }
                if owner != self.owner.as_bytes() {
                    let found = String::from_utf8_lossy(&owner).into_owned();
                    return Err(StoreError::OtherOwner { found });
                }
                Ok(())
            }
            (None, None) => {
                let format = FORMAT_VERSION.to_le_bytes();
                let about = [(FORMAT_KEY, Some(&format[..])), (OWNER_KEY, Some(self.owner.as_bytes()))];
                write(database, ABOUT, &about)
            }
            _ => Err(StoreError::Corrupt("it lacks its form or its owner".into())),
        }
    }

    /// The value under a name.
    ///
    /// # Errors
    /// Any [`StoreError`] but [`StoreError::ValueTooLong`].
    pub fn get(&mut self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        read(self.database()?, VALUES, name)
    }

    /// Makes all of the changes or none; when it returns `Ok` they are on the disk.
    ///
    /// # Errors
    /// Any [`StoreError`]. The values are then as before, or, if the last step failed, as after all changes: never a
    /// mixture.
    pub fn commit(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        let lengths = changes.iter().filter_map(|(_, value)| value.map(<[u8]>::len));
        let bytes = lengths.max().unwrap_or(0);
        if bytes > MAX_VALUE_BYTES {
            return Err(StoreError::ValueTooLong { bytes });
        }
        let written = write(self.database()?, VALUES, changes);
        if written.is_err() {
            self.database = None;
        }
        written
    }
}

fn create_database(path: &Path) -> Result<Database, StoreError> {
    Ok(Builder::new().set_cache_size(CACHE_BYTES).create(path)?)
}

fn create_database_on(backend: impl StorageBackend) -> Result<Database, StoreError> {
    Ok(Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(backend)?)
}

/// Creates a new store under a temporary name and renames it, so that a crash leaves either no store or a complete one.
fn create_if_missing(path: &Path, owner: &str) -> Result<(), StoreError> {
    if path.try_exists()? {
        return Ok(());
    }
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let temporary = tempfile::NamedTempFile::new_in(folder)?.into_temp_path();
    {
        let at: PathBuf = temporary.to_path_buf();
        let open_database = move || create_database(&at);
        Store::open_with(Box::new(open_database), owner)?;
    }
    match temporary.persist_noclobber(path) {
        Ok(()) => Ok(File::open(folder).and_then(|folder| folder.sync_all())?),
        // Another process was faster; its store is used.
        Err(error) if error.error.kind() == ErrorKind::AlreadyExists => Ok(()),
        Err(error) => Err(error.error.into()),
    }
}

fn read(
    database: &Database,
    table: TableDefinition<&str, &[u8]>,
    name: &str,
) -> Result<Option<Vec<u8>>, StoreError> {
    let transaction = database.begin_read()?;
    let table = match transaction.open_table(table) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    Ok(table.get(name)?.map(|value| value.value().to_vec()))
}

fn write(
    database: &Database,
    table: TableDefinition<&str, &[u8]>,
    changes: &[Change],
) -> Result<(), StoreError> {
    let transaction = database.begin_write()?;
    {
        let mut table = transaction.open_table(table)?;
        for (name, value) in changes {
            match value {
                Some(value) => table.insert(*name, *value).map(drop)?,
                None => table.remove(*name).map(drop)?,
            }
        }
    }
    Ok(transaction.commit()?)
}
