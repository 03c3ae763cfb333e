//! Tokens that were verified, by digest, within a bound: a signature is checked once, not for each job.

use crate::token::Verified;
use sha2::{Digest as _, Sha256};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// A token without the token.
pub type Digest = [u8; 32];

pub fn digest(token: &str) -> Digest {
    Sha256::digest(token.as_bytes()).into()
}

struct Entry {
    verified: Rc<Verified>,
    used: bool,
}

/// Past the bound one goes that was not used since the hand last came by.
pub struct Book {
    most: usize,
    entries: HashMap<Digest, Entry>,
    round: VecDeque<Digest>,
}

impl Book {
    pub fn new(most: usize) -> Book {
        Book { most: most.max(1), entries: HashMap::new(), round: VecDeque::new() }
    }

    pub fn count(&self) -> usize {
        self.entries.len()
    }

    pub fn find(&mut self, token: &Digest) -> Option<Rc<Verified>> {
        let entry = self.entries.get_mut(token)?;
        entry.used = true;
        Some(entry.verified.clone())
    }

    pub fn note(&mut self, token: Digest, verified: Rc<Verified>) {
        if self.entries.insert(token, Entry { verified, used: false }).is_some() {
            return;
        }
        self.round.push_back(token);
        while self.entries.len() > self.most {
            let Some(next) = self.round.pop_front() else { break };
            match self.entries.get_mut(&next) {
                Some(entry) if entry.used => {
                    entry.used = false;
                    self.round.push_back(next);
                }
                _ => {
                    self.entries.remove(&next);
                }
            }
        }
    }
}
