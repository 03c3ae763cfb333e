//! The lease of a server: how many calls the server may have in flight at the dependency, out of the calls that all
//! servers share.

use crate::time::{Span, Time};

/// The number of calls that this server may have in flight at the dependency, and until when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLease {
    /// Calls that may be in flight until `expires`.
    pub calls: f64,
    /// When the lease expires.
    pub expires: Time,
    /// Calls that may be in flight from `expires` on, when no lease is held.
    pub calls_after_expiry: f64,
    /// Longest duration of a call made under the lease, including the linger at the dependency.
    pub max_call_time: Span,
    /// Approximate time until a larger lease may be granted.
    pub retry_after: Span,
}

impl CallLease {
    /// Returns the number of calls that may be in flight at `now`.
    pub fn at(&self, now: Time) -> f64 {
        if now < self.expires { self.calls } else { self.calls_after_expiry }
    }
}

/// The calls that this server has in flight, and those that it would have under an unlimited lease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallDemand {
    /// Calls in flight or lingering at the dependency.
    pub in_flight: f64,
    /// Calls that would be in flight under an unlimited lease: `in_flight`, plus at most as many as the call limiter
    /// has permits.
    pub wanted: f64,
}
