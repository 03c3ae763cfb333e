//! The errors of a lessor's store, and of operators' commands to a lessor.

use hazelgrade_store::StoreError;
use std::path::PathBuf;

/// The reason why the store of a lessor can't be created or used.
#[derive(Debug, thiserror::Error)]
pub enum LessorError {
    /// The store to be created exists already.
    #[error("{}: the keeper's store exists already", path.display())]
    StoreExists {
        /// The path of the store's file.
        path: PathBuf,
    },
    /// The store can't be created.
    #[error("{}: {reason}", path.display())]
    NotCreated {
        /// The path of the store's file.
        path: PathBuf,
        /// The error of the store.
        reason: StoreError,
    },
    /// The lessor has no store.
    #[error(
        "--keeper {site}: {}: there is no store: found it with `hazelgrade budget found`, with --lost if there was one \
         before",
        path.display()
    )]
    NoStore {
        /// The name of the site.
        site: String,
        /// The path of the store's file.
        path: PathBuf,
    },
    /// The store can't be opened, or the generation of the start can't be stored.
    #[error("--keeper {site}: {}: {reason}", path.display())]
    Unusable {
        /// The name of the site.
        site: String,
        /// The path of the store's file.
        path: PathBuf,
        /// The error of the store.
        reason: StoreError,
    },
    /// A value can't be read from the store.
    #[error("{}: {reason}", path.display())]
    Unreadable {
        /// The path of the store's file.
        path: PathBuf,
        /// The error of the store.
        reason: StoreError,
    },
    /// A value is missing in the store.
    #[error("{}: field {key}: is missing", path.display())]
    Missing {
        /// The path of the store's file.
        path: PathBuf,
        /// The value's key.
        key: &'static str,
    },
    /// A value in the store is malformed.
    #[error("{}: field {key}: {source}", path.display())]
    Malformed {
        /// The path of the store's file.
        path: PathBuf,
        /// The value's key.
        key: &'static str,
        /// The error of the JSON decoder and its position.
        source: serde_json::Error,
    },
}

/// The reason why a command was rejected, or can't be confirmed because its effect is not stored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetCommandError {
    /// The command was rejected for this reason.
    #[error("{0}")]
    Rejected(String),
    /// The changes of the command can't be stored.
    #[error("the disk can't be written: say it again")]
    NotStored,
}
