//! A bounded cache of verified tokens, so that a signature is checked once and not for each job.

use crate::token::VerifiedToken;
use sha2::{Digest as _, Sha256};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// The SHA-256 digest of a token, under which it is cached; the token itself is not stored.
pub(crate) type TokenDigest = [u8; 32];

/// The digest under which a token is cached.
pub(crate) fn token_digest(token: &str) -> TokenDigest {
    Sha256::digest(token.as_bytes()).into()
}

struct Entry {
    token: Rc<VerifiedToken>,
    used: bool,
}

/// A cache with second-chance eviction: an entry that was used since the last pass stays for another pass.
pub(crate) struct TokenCache {
    capacity: usize,
    entries: HashMap<TokenDigest, Entry>,
    eviction_order: VecDeque<TokenDigest>,
}

impl TokenCache {
    /// An empty cache of at most `capacity` tokens (at least one).
    pub(crate) fn new(capacity: usize) -> TokenCache {
        TokenCache { capacity: capacity.max(1), entries: HashMap::new(), eviction_order: VecDeque::new() }
    }

    /// Tokens in the cache.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The token with this digest; marks it as used.
    pub(crate) fn get(&mut self, digest: &TokenDigest) -> Option<Rc<VerifiedToken>> {
        let entry = self.entries.get_mut(digest)?;
        entry.used = true;
        Some(entry.token.clone())
    }

    /// Adds a token, and evicts one if there are more than the capacity.
    pub(crate) fn insert(&mut self, digest: TokenDigest, token: Rc<VerifiedToken>) {
        if self.entries.insert(digest, Entry { token, used: false }).is_some() {
            return;
        }
        self.eviction_order.push_back(digest);
        while self.entries.len() > self.capacity {
            let Some(candidate) = self.eviction_order.pop_front() else { break };
            match self.entries.get_mut(&candidate) {
                Some(entry) if entry.used => {
                    entry.used = false;
                    self.eviction_order.push_back(candidate);
                }
                _ => {
                    self.entries.remove(&candidate);
                }
            }
        }
    }
}
