//! What survives a crash: a few named values, kept on redb and changed together or not at all.
//!
//! A store belongs to one owner and has a form; one from another owner or of a newer form is refused with a plain
//! reason and left as it is. A write that failed leaves what was kept before. `disk` has a storage that dies, tears,
//! loses and fills up by plan, for tests of whatever stands on a store.

pub mod disk;
mod dying;

use redb::{Builder, Database, ReadableDatabase, StorageBackend, TableDefinition, TableError};
use std::fmt::{Debug, Display, Formatter};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// The form of what is kept. One that is greater was written by a newer program.
pub const FORM: u64 = 1;

/// The longest value, in bytes: two documents of the longest kind and what goes with them.
pub const LONGEST_VALUE: usize = 8 * 1024 * 1024;

/// Pages held in memory: what is kept is small and read at a start only.
const CACHE_BYTES: usize = 1024 * 1024;

const ABOUT: TableDefinition<&str, &[u8]> = TableDefinition::new("about");
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");

/// Why a store can't be used, or a write wasn't made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A newer program wrote it.
    Newer {
        found: u64,
    },
    /// It belongs to another.
    Other {
        found: String,
    },
    /// Another process has it open.
    InUse,
    /// Nothing more fits.
    Full,
    /// It can't be read as a store.
    Broken(String),
    /// The system said no.
    Failed(String),
    TooLong {
        bytes: usize,
    },
}

impl Display for Fault {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Newer { found } => {
                write!(to, "a newer program wrote it: its form is {found}, this program knows {FORM}")
            }
            Fault::Other { found } => write!(to, "it belongs to {found}"),
            Fault::InUse => write!(to, "another process has it open"),
            Fault::Full => write!(to, "the disk is full"),
            Fault::Broken(why) => write!(to, "it can't be read as a store: {why}"),
            Fault::Failed(why) => write!(to, "{why}"),
            Fault::TooLong { bytes } => write!(to, "{bytes} bytes are more than {LONGEST_VALUE}"),
        }
    }
}

impl std::error::Error for Fault {}

fn fault(error: redb::Error) -> Fault {
    match error {
        redb::Error::Io(io) => match io.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => Fault::Full,
            ErrorKind::InvalidData => Fault::Broken(io.to_string()),
            _ => Fault::Failed(io.to_string()),
        },
        redb::Error::DatabaseAlreadyOpen => Fault::InUse,
        redb::Error::Corrupted(why) => Fault::Broken(why),
        redb::Error::UpgradeRequired(form) => Fault::Newer { found: u64::from(form) },
        other => Fault::Failed(other.to_string()),
    }
}

type Opening = Box<dyn Fn() -> Result<Database, Fault> + Send>;

pub struct Store {
    opening: Opening,
    owner: String,
    /// None after a failed write: redb takes nothing more then, so it is opened anew for the next.
    database: Option<Database>,
}

impl Debug for Store {
    fn fmt(&self, to: &mut Formatter<'_>) -> std::fmt::Result {
        write!(to, "Store of {}", self.owner)
    }
}

/// A value to keep under a name, or a name to keep nothing under.
pub type Change<'a> = (&'a str, Option<&'a [u8]>);

impl Store {
    /// Opens the store in a file, or makes one there.
    pub fn open(path: &Path, owner: &str) -> Result<Store, Fault> {
        let path: PathBuf = path.to_owned();
        make(&path, owner)?;
        let opening = move || {
            let made = Builder::new().set_cache_size(CACHE_BYTES).create(&path);
            made.map_err(|error| fault(error.into()))
        };
        Store::opened_by(Box::new(opening), owner)
    }

    /// The same, with a file at whose change of this number, from 0, the process is killed: for tests of what survives.
    pub fn open_dying(path: &Path, owner: &str, dies_at: u64) -> Result<Store, Fault> {
        let (path, changes) = (path.to_owned(), dying::Changes::new(dies_at));
        make(&path, owner)?;
        let opening = move || {
            let failed = |error: std::io::Error| fault(redb::Error::Io(error));
            let file = std::fs::File::options().read(true).write(true).open(&path).map_err(failed)?;
            let backend = dying::Dying::new(file, changes.clone()).map_err(|error| fault(error.into()))?;
            let made = Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(backend);
            made.map_err(|error| fault(error.into()))
        };
        Store::opened_by(Box::new(opening), owner)
    }

    /// Opens a store on any storage; `storage` is asked again when the store is opened anew after a fault.
    pub fn open_on<B: StorageBackend>(
        storage: impl Fn() -> B + Send + 'static,
        owner: &str,
    ) -> Result<Store, Fault> {
        let opening = move || {
            let made = Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(storage());
            made.map_err(|error| fault(error.into()))
        };
        Store::opened_by(Box::new(opening), owner)
    }

    fn opened_by(opening: Opening, owner: &str) -> Result<Store, Fault> {
        let mut store = Store { opening, owner: owner.to_owned(), database: None };
        store.database()?;
        Ok(store)
    }

    fn database(&mut self) -> Result<&Database, Fault> {
        if self.database.is_none() {
            let database = (self.opening)()?;
            self.admit(&database)?;
            self.database = Some(database);
        }
        self.database.as_ref().ok_or_else(|| Fault::Failed("it is closed".into()))
    }

    /// Whose it is and what form it has; a new one is marked before anything else is kept in it.
    fn admit(&self, database: &Database) -> Result<(), Fault> {
        let read = |name| read(database, ABOUT, name);
        match (read("form")?, read("owner")?) {
            (Some(form), Some(owner)) => {
                let form = form.try_into().map(u64::from_le_bytes).unwrap_or(u64::MAX);
                if form > FORM {
                    return Err(Fault::Newer { found: form });
                }
                if owner != self.owner.as_bytes() {
                    return Err(Fault::Other { found: String::from_utf8_lossy(&owner).into_owned() });
                }
                Ok(())
            }
            (None, None) => {
                let form = FORM.to_le_bytes();
                write(database, ABOUT, &[("form", Some(&form)), ("owner", Some(self.owner.as_bytes()))])
            }
            _ => Err(Fault::Broken("it lacks its form or its owner".into())),
        }
    }

    pub fn get(&mut self, name: &str) -> Result<Option<Vec<u8>>, Fault> {
        let database = self.database()?;
        read(database, KEPT, name)
    }

    /// Makes all of the changes or none; when this returns they are on the disk. After a fault what was kept before
    /// is kept, or, if the fault came with the last step, what was to be kept: never a mixture.
    pub fn keep(&mut self, changes: &[Change]) -> Result<(), Fault> {
        let longest = changes.iter().filter_map(|(_, value)| value.map(<[u8]>::len)).max().unwrap_or(0);
        if longest > LONGEST_VALUE {
            return Err(Fault::TooLong { bytes: longest });
        }
        let database = self.database()?;
        let kept = write(database, KEPT, changes);
        if kept.is_err() {
            self.database = None;
        }
        kept
    }
}

/// Makes a new store beside its place and moves it there whole: a death while it is made leaves none, not half a one.
fn make(path: &Path, owner: &str) -> Result<(), Fault> {
    let failed = |error: std::io::Error| fault(redb::Error::Io(error));
    if path.try_exists().map_err(failed)? {
        return Ok(());
    }
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let made = tempfile::NamedTempFile::new_in(folder).map_err(failed)?.into_temp_path();
    {
        let at: PathBuf = made.to_path_buf();
        let opening = move || {
            let made = Builder::new().set_cache_size(CACHE_BYTES).create(&at);
            made.map_err(|error| fault(error.into()))
        };
        Store::opened_by(Box::new(opening), owner)?;
    }
    // Another process may have been faster; then its store stands.
    match made.persist_noclobber(path) {
        Ok(()) => std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(failed),
        Err(error) if error.error.kind() == ErrorKind::AlreadyExists => Ok(()),
        Err(error) => Err(failed(error.error)),
    }
}

fn read(
    database: &Database,
    table: TableDefinition<&str, &[u8]>,
    name: &str,
) -> Result<Option<Vec<u8>>, Fault> {
    let reading = database.begin_read().map_err(|error| fault(error.into()))?;
    let table = match reading.open_table(table) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(fault(error.into())),
    };
    let found = table.get(name).map_err(|error| fault(error.into()))?;
    Ok(found.map(|value| value.value().to_vec()))
}

fn write(database: &Database, table: TableDefinition<&str, &[u8]>, changes: &[Change]) -> Result<(), Fault> {
    let writing = database.begin_write().map_err(|error| fault(error.into()))?;
    {
        let mut table = writing.open_table(table).map_err(|error| fault(error.into()))?;
        for (name, value) in changes {
            match value {
                Some(value) => table.insert(*name, *value).map(drop),
                None => table.remove(*name).map(drop),
            }
            .map_err(|error| fault(error.into()))?;
        }
    }
    writing.commit().map_err(|error| fault(error.into()))
}
