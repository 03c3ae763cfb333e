//! What bad tokens may cost: a source that sent too many lately is refused before its next unknown token is looked at.
//! Tokens that were verified before are not affected, so callers behind one address go on with those they have.

use hazelgrade::statistics::DecayingSum;
use hazelgrade::time::{Span, Time};
use std::collections::HashMap;
use std::net::IpAddr;

/// Bad tokens that a source may send together: a fleet that missed a rotation sends one for each of its callers.
const TOGETHER: f64 = 32.0;
/// Over so long they are forgotten, to a third: some signature checks a second at the most, from each source.
const FADE: f64 = 2000.0;
/// Sources that are told apart; past that the one longest quiet is forgotten.
const SOURCES: usize = 1024;

#[derive(Default)]
pub struct Doubt {
    sources: HashMap<IpAddr, (DecayingSum, Time)>,
}

impl Doubt {
    /// Nothing unknown from there is looked at now.
    pub fn doubts(&mut self, now: Time, from: IpAddr) -> bool {
        self.sources.get_mut(&from).is_some_and(|(bad, _)| bad.value(now) >= TOGETHER)
    }

    /// A token from there was bad.
    pub fn bad(&mut self, now: Time, from: IpAddr) {
        if !self.sources.contains_key(&from) && self.sources.len() >= SOURCES {
            let quiet = self.sources.iter().min_by_key(|(_, (_, last))| *last).map(|(source, _)| *source);
            quiet.and_then(|quiet| self.sources.remove(&quiet));
        }
        let fresh = || (DecayingSum::new(Span::from_ms(FADE)), now);
        let (bad, last) = self.sources.entry(from).or_insert_with(fresh);
        bad.add(now, 1.0);
        *last = now;
    }

    pub fn count(&self) -> usize {
        self.sources.len()
    }
}
