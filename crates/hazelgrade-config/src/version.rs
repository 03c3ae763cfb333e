//! Versions of a document, identified by digest and by number within a lineage.

use sha2::{Digest as _, Sha256};
use std::fmt::{Debug, Display, Formatter};
use std::str::FromStr;

/// SHA-256 of the canonical form of a document: equal for documents with the same fields, whatever their layout.
///
/// Shown as 64 hex digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

/// Text that is not a [`Digest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected 64 hex digits")]
pub struct DigestError;

impl Digest {
    /// The digest of a list of strings.
    pub fn from_parts(parts: impl IntoIterator<Item = String>) -> Digest {
        let mut hasher = Sha256::new();
        for part in parts {
            // The length comes first, so that no two lists give the same bytes.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Digest(hasher.finalize().into())
    }

    /// The first eight hex digits, for display.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl Display for Digest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl Debug for Digest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.short())
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Digest, DigestError> {
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(DigestError);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| DigestError)?;
        }
        Ok(Digest(bytes))
    }
}

/// A published version of a document. Within a lineage numbers only grow, and each number has one content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Its number within the lineage.
    pub number: u64,
    /// The digest of its content.
    pub digest: Digest,
}

impl Display for Version {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} ({})", self.number, self.digest.short())
    }
}
