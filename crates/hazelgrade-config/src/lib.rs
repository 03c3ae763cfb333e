//! Serving configuration as documents in TOML: read with positions, checked field by field, told apart by version and
//! digest, and compared. No input or output: whoever reads a file or a socket hands the text over.
//!
//! A document is a set of *fields*, each a path and a plain value. Everything else follows from the fields: the digest,
//! the difference of two versions, and the typed view that the decision module takes. `fields.rs` has the one table of
//! what fields there are, what each may hold, and whether it is taken in while serving or at a start.

pub mod document;
pub mod fault;
pub mod fields;
pub mod operator;
mod read;
pub mod version;

pub use document::Document;
pub use fault::Fault;
pub use fields::{Difference, Fields, Kind, Scalar, Takes};
pub use operator::Operator;
pub use version::{Digest, Version};

/// The longest document, in bytes of TOML: 4,000 tenants and 64 job classes with all their fields fit twice.
pub const LONGEST_DOCUMENT: usize = 1024 * 1024;
