//! This server's lease of the calls that all servers together may have in flight at the dependency.

use crate::time::{Span, Time};

/// How many calls this server may have in flight at the dependency, and until when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLease {
    /// Calls in flight until `expires`.
    pub calls: f64,
    /// When the lease ends.
    pub expires: Time,
    /// Calls in flight from `expires` on, for which no lease is needed.
    pub calls_after_expiry: f64,
    /// A call made under the lease must be over after this time, its linger at the dependency included.
    pub max_call_time: Span,
    /// Approximate time until there may be more.
    pub retry_after: Span,
}

impl CallLease {
    /// Calls that may be in flight at `now`.
    pub fn at(&self, now: Time) -> f64 {
        if now < self.expires { self.calls } else { self.calls_after_expiry }
    }
}

/// What this server uses of its lease and what it would use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallDemand {
    /// Calls in flight or lingering at the dependency.
    pub in_flight: f64,
    /// Calls that would be in flight if the lease allowed it: those in flight, and at most as many more as the call
    /// limiter has permits.
    pub wanted: f64,
}
