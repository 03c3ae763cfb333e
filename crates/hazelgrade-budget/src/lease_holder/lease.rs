//! A node's lease of one budget: what may be used until when, and what is wanted.

use crate::protocol::{GrantLine, RequestLine};
use crate::{MAX_CLOCK_DRIFT_RATIO, Units};
use hazelgrade::time::{Span, Time};

/// A request follows at once when demand grew by more than this ratio since the latest one.
const URGENT_GROWTH_RATIO: f64 = 0.25;
/// Longest lease, use or retry-after that is accepted from a lessor, in milliseconds.
const MAX_SPAN_MS: f64 = 3_600_000.0;
/// Longest use of unleased units before the first grant, in milliseconds: effectively unbounded.
const UNBOUNDED_USE_MS: f64 = 1e9;

/// A length of time from a message, at most `max_ms`; zero if it is not a finite number.
pub(super) fn bounded_span(ms: f64, max_ms: f64) -> Span {
    Span::from_ms(if ms.is_finite() { ms.clamp(0.0, max_ms) } else { 0.0 })
}

/// What a node uses and wants of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Units in use, those of calls that linger at the dependency included.
    pub in_use: Units,
    /// Units in use plus units for which work was rejected.
    pub wanted: Units,
}

/// What a node may use of a budget now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entitlement {
    /// Leased and unleased units together.
    pub units: Units,
    /// When the lease ends, after which only `unleased` may be used; `None` if there is no lease.
    pub expires_at: Option<Time>,
    /// Units that need no lease.
    pub unleased: Units,
    /// How long work that is begun now may take.
    pub max_use_time: Span,
    /// When there may be more, if less than wanted was granted.
    pub retry_at: Option<Time>,
}

impl Entitlement {
    /// Nothing may be used.
    pub const NONE: Entitlement =
        Entitlement { units: 0, expires_at: None, unleased: 0, max_use_time: Span::ZERO, retry_at: None };
}

/// A node's lease of one budget.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldLease {
    /// Units that need no lease.
    unleased: Units,
    /// Leased units, which may be used until `expires_at`.
    units: Units,
    expires_at: Option<Time>,
    max_use_time: Span,
    retry_at: Option<Time>,
    usage: Usage,
    /// Units wanted at the moment of the latest request.
    last_wanted: Units,
    mean_wanted: MeanWanted,
    /// The latest grant was smaller than what it had. The lessor can lend the difference on once a request shows that
    /// the grant was accepted.
    shrunk: bool,
}

/// The mean of what is wanted since the latest request. Growth triggers requests, so the value at the moment of a
/// request would be too high.
#[derive(Clone, Debug, Default)]
struct MeanWanted {
    /// Wanted units over time since `from`, in unit-milliseconds.
    unit_ms: f64,
    from: Option<Time>,
    /// Up to when `unit_ms` is summed.
    until: Option<Time>,
}

impl MeanWanted {
    fn add(&mut self, now: Time, wanted: Units) {
        let since = self.until.replace(now).unwrap_or(now);
        self.from.get_or_insert(since);
        self.unit_ms += now.since(since).as_ms() * f64::from(wanted);
    }

    /// The mean until now, or `wanted` if no time has passed; starts a new mean.
    fn take(&mut self, now: Time, wanted: Units) -> Units {
        self.add(now, wanted);
        let ms = now.since(self.from.replace(now).unwrap_or(now)).as_ms();
        let unit_ms = std::mem::take(&mut self.unit_ms);
        if ms > 0.0 { (unit_ms / ms).round() as Units } else { wanted }
    }
}

impl HeldLease {
    /// No lease, and `unleased` units that need none.
    pub(super) fn unleased_only(unleased: Units) -> HeldLease {
        HeldLease { unleased, max_use_time: Span::from_ms(UNBOUNDED_USE_MS), ..HeldLease::default() }
    }

    /// Leased units that may be used now.
    fn leased(&self, now: Time) -> Units {
        if self.expires_at.is_some_and(|at| now < at) { self.units } else { 0 }
    }

    /// Units in use that need a lease.
    fn leased_in_use(&self) -> Units {
        self.usage.in_use.saturating_sub(self.unleased)
    }

    /// Whether the node has units of the budget, so that the lease stays although the budget no longer binds the node.
    pub(super) fn has_units(&self, now: Time) -> bool {
        self.unleased > 0 || self.usage.in_use > 0 || self.expires_at.is_some_and(|at| at > now)
    }

    /// Whether nothing is in use and no leased units are left.
    pub(super) fn is_returned(&self, now: Time) -> bool {
        self.usage.in_use == 0 && self.expires_at.is_none_or(|at| at <= now || self.units == 0)
    }

    pub(super) fn is_shrunk(&self) -> bool {
        self.shrunk
    }

    pub(super) fn entitlement(&self, now: Time) -> Entitlement {
        Entitlement {
            units: self.unleased + self.leased(now),
            expires_at: self.expires_at.filter(|at| now < *at),
            unleased: self.unleased,
            max_use_time: self.max_use_time,
            retry_at: self.retry_at,
        }
    }

    /// Notes what is in use; returns whether a request is to follow at once.
    pub(super) fn record_usage(&mut self, now: Time, usage: Usage) -> bool {
        self.mean_wanted.add(now, self.usage.wanted);
        let before = std::mem::replace(&mut self.usage, usage);
        let usable = self.unleased + self.leased(now);
        let grew = f64::from(usage.wanted) > f64::from(self.last_wanted) * (1.0 + URGENT_GROWTH_RATIO);
        let wants_more = usage.wanted > usable && grew;
        let freed_excess = before.in_use > usable && usage.in_use < before.in_use;
        wants_more || freed_excess
    }

    /// The line of a request for this budget. A draining node gives up what it does not use.
    pub(super) fn request_line(&mut self, now: Time, budget: &str, draining: bool) -> RequestLine {
        if draining {
            self.units = self.units.min(self.leased_in_use());
        }
        self.shrunk = false;
        self.last_wanted = self.usage.wanted;
        let mean_wanted = self.mean_wanted.take(now, self.usage.wanted);
        RequestLine {
            budget: budget.to_owned(),
            held: self.leased(now).max(self.leased_in_use()),
            in_use: self.usage.in_use,
            wanted: if draining { self.usage.in_use } else { mean_wanted },
            unleased: self.unleased,
        }
    }

    /// Applies a grant that answers a request of `requested_at`. A draining node accepts no more than it uses.
    pub(super) fn apply_grant(&mut self, now: Time, requested_at: Time, line: &GrantLine, draining: bool) {
        let had = self.leased(now);
        let leased_in_use = self.leased_in_use();
        let shortened = 1.0 - MAX_CLOCK_DRIFT_RATIO;
        self.units = if draining { line.units.min(leased_in_use) } else { line.units };
        self.expires_at = Some(requested_at + bounded_span(line.lease_ms, MAX_SPAN_MS) * shortened);
        self.max_use_time = bounded_span(line.max_use_ms, MAX_SPAN_MS) * shortened;
        self.retry_at = line.retry_after_ms.map(|ms| now + bounded_span(ms, MAX_SPAN_MS));
        self.shrunk = self.units < had.max(leased_in_use);
    }
}
