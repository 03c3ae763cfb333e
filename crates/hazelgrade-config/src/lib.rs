//! Configuration as documents in TOML: parsed with positions, validated, versioned, digested and compared.
//!
//! There is no input or output here; the caller reads the file or socket. A [`Document`] is a map from paths to values,
//! its [`Fields`]; its digest, its [`Difference`] from another version and the typed settings are derived from them.
//! The [`schema`] lists all fields with their types, ranges and times of effect. The operator's own file is an
//! [`OperatorConfig`].
#![warn(missing_docs)]

pub mod document;
pub mod operator;
pub mod schema;
pub mod serving;
pub mod version;

mod difference;
mod error;
mod fields;
mod parse;
mod scalar;
mod validate;

pub use difference::{Difference, DifferenceError};
pub use document::Document;
pub use error::{ConfigError, error_summary};
pub use fields::Fields;
pub use operator::OperatorConfig;
pub use scalar::Scalar;
pub use schema::Kind;
pub use version::{Digest, Version};

/// The longest document, in bytes of TOML; 4,000 tenants and 64 job classes with all their fields take half of it.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;
