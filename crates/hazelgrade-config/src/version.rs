//! How versions of a document are told apart.

use sha2::{Digest as _, Sha256};
use std::fmt::{Debug, Display, Formatter, Result as Written};
use std::str::FromStr;

/// SHA-256 of the canonical form of a document: equal for documents that say the same, however they are laid out.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    pub fn of(parts: impl IntoIterator<Item = String>) -> Digest {
        let mut hash = Sha256::new();
        for part in parts {
            // The length first, so that no two lists of parts run together to the same bytes.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        Digest(hash.finalize().into())
    }

    /// The first eight hex digits, for people.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl Display for Digest {
    fn fmt(&self, to: &mut Formatter<'_>) -> Written {
        self.0.iter().try_for_each(|byte| write!(to, "{byte:02x}"))
    }
}

impl Debug for Digest {
    fn fmt(&self, to: &mut Formatter<'_>) -> Written {
        write!(to, "{}", self.short())
    }
}

impl FromStr for Digest {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Digest, Self::Err> {
        let wrong = "expected 64 hex digits";
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(wrong);
        }
        let mut bytes = [0; 32];
        for (place, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[place * 2..place * 2 + 2], 16).map_err(|_| wrong)?;
        }
        Ok(Digest(bytes))
    }
}

/// A version as published: its number within a lineage, and what it says. Within a lineage numbers only grow, and
/// one number never stands for two contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    pub number: u64,
    pub digest: Digest,
}

impl Display for Version {
    fn fmt(&self, to: &mut Formatter<'_>) -> Written {
        write!(to, "{} ({})", self.number, self.digest.short())
    }
}
