//! Errors of a lessor's store and of commands to it.

use hazelgrade_store::StoreError;
use std::path::PathBuf;

/// Why the store of a lessor can't be created or used.
#[derive(Debug, thiserror::Error)]
pub enum LessorError {
    /// The store that was to be created exists already.
    #[error("{}: there is a keeper's store already", path.display())]
    StoreExists {
        /// The store's file.
        path: PathBuf,
    },
    /// The store can't be created.
    #[error("{}: {reason}", path.display())]
    NotCreated {
        /// The store's file.
        path: PathBuf,
        /// What is wrong.
        reason: StoreError,
    },
    /// There is no store.
    #[error(
        "--keeper {site}: {}: there is no store: found it with `hazelgrade budget found`, with --lost if there was one \
         before",
        path.display()
    )]
    NoStore {
        /// The site.
        site: String,
        /// The store's file.
        path: PathBuf,
    },
    /// The store can't be opened, or the start can't be stored.
    #[error("--keeper {site}: {}: {reason}", path.display())]
    Unusable {
        /// The site.
        site: String,
        /// The store's file.
        path: PathBuf,
        /// What is wrong.
        reason: StoreError,
    },
    /// A value can't be read.
    #[error("{}: {reason}", path.display())]
    Unreadable {
        /// The store's file.
        path: PathBuf,
        /// What is wrong.
        reason: StoreError,
    },
    /// A value is missing.
    #[error("{}: field {key}: is missing", path.display())]
    Missing {
        /// The store's file.
        path: PathBuf,
        /// The value's key.
        key: &'static str,
    },
    /// A value is malformed.
    #[error("{}: field {key}: {source}", path.display())]
    Malformed {
        /// The store's file.
        path: PathBuf,
        /// The value's key.
        key: &'static str,
        /// What is wrong, and where.
        source: serde_json::Error,
    },
}

/// Why a command is not known to be carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetCommandError {
    /// It can't be carried out, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// What it changes can't be stored.
    #[error("the disk can't be written: say it again")]
    NotStored,
}
