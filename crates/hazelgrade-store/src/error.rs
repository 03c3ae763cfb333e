//! Why a store can't be used, or a write was not made.

use crate::{FORMAT_VERSION, MAX_VALUE_BYTES};
use std::io::ErrorKind;

/// Why a store can't be used, or a write was not made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// A newer program wrote it.
    #[error("a newer program wrote it: its form is {found}, this program knows {FORMAT_VERSION}")]
    NewerFormat {
        /// The format version that it has.
        found: u64,
    },
    /// It belongs to another owner.
    #[error("it belongs to {found}")]
    OtherOwner {
        /// The owner that it has.
        found: String,
    },
    /// Another process has it open.
    #[error("another process has it open")]
    InUse,
    /// The disk or the quota is full.
    #[error("the disk is full")]
    DiskFull,
    /// The file is not a store, or is damaged.
    #[error("it can't be read as a store: {0}")]
    Corrupt(String),
    /// The operating system reported an error.
    #[error("{0}")]
    Io(String),
    /// A value is longer than [`MAX_VALUE_BYTES`].
    #[error("{bytes} bytes are more than {MAX_VALUE_BYTES}")]
    ValueTooLong {
        /// Its length.
        bytes: usize,
    },
}

impl From<std::io::Error> for StoreError {
    fn from(error: std::io::Error) -> StoreError {
        match error.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
                StoreError::DiskFull
            }
            ErrorKind::InvalidData => StoreError::Corrupt(error.to_string()),
            _ => StoreError::Io(error.to_string()),
        }
    }
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> StoreError {
        match error {
            redb::Error::Io(error) => error.into(),
            redb::Error::DatabaseAlreadyOpen => StoreError::InUse,
            redb::Error::Corrupted(reason) => StoreError::Corrupt(reason),
            redb::Error::UpgradeRequired(found) => StoreError::NewerFormat { found: u64::from(found) },
            other => StoreError::Io(other.to_string()),
        }
    }
}

/// Converts the errors of redb's operations by way of its common error type.
macro_rules! from_step {
    ($($step:ty),*) => {
        $(impl From<$step> for StoreError {
            fn from(error: $step) -> StoreError {
                redb::Error::from(error).into()
            }
        })*
    };
}

from_step!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError
);
