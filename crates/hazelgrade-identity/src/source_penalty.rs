//! Bounds the cost of bad tokens: while a source has sent too many recently, its unknown tokens are denied without
//! verification. Cached tokens are not affected, so other callers behind the same address can go on.

use hazelgrade::statistics::DecayingSum;
use hazelgrade::time::{Span, Time};
use std::collections::HashMap;
use std::net::IpAddr;

/// Bad tokens that a source may send at once.
const BAD_TOKEN_LIMIT: f64 = 32.0;

/// Time constant with which the count of bad tokens decays, in milliseconds. Together with the limit it allows each
/// source some 16 signature checks of bad tokens per second.
const DECAY_MS: f64 = 2000.0;

/// The most sources that are tracked; past that the one whose last bad token is oldest is forgotten.
const MAX_SOURCES: usize = 1024;

struct Source {
    bad_tokens: DecayingSum,
    last_bad_token: Time,
}

/// Counts bad tokens by the address that sent them.
#[derive(Default)]
pub(crate) struct SourcePenalty {
    sources: HashMap<IpAddr, Source>,
}

impl SourcePenalty {
    /// Whether unknown tokens from this address are denied unverified now.
    pub(crate) fn is_penalized(&mut self, now: Time, address: IpAddr) -> bool {
        let source = self.sources.get_mut(&address);
        source.is_some_and(|source| source.bad_tokens.value(now) >= BAD_TOKEN_LIMIT)
    }

    /// Counts a bad token from this address.
    pub(crate) fn record_bad_token(&mut self, now: Time, address: IpAddr) {
        if !self.sources.contains_key(&address) && self.sources.len() >= MAX_SOURCES {
            self.forget_quietest();
        }
        let new_source =
            || Source { bad_tokens: DecayingSum::new(Span::from_ms(DECAY_MS)), last_bad_token: now };
        let source = self.sources.entry(address).or_insert_with(new_source);
        source.bad_tokens.add(now, 1.0);
        source.last_bad_token = now;
    }

    /// Forgets the source whose last bad token is oldest.
    fn forget_quietest(&mut self) {
        let quietest = self.sources.iter().min_by_key(|(_, source)| source.last_bad_token);
        if let Some(address) = quietest.map(|(address, _)| *address) {
            self.sources.remove(&address);
        }
    }
}
