//! A node's lease of one budget: the units that may be used and until when, and the units that are wanted.

use crate::protocol::{GrantLine, RequestLine};
use crate::{MAX_CLOCK_DRIFT_RATIO, Units};
use hazelgrade::time::{Span, Time};

/// A node requests units at once when its demand has grown by more than this ratio since its latest request.
const URGENT_GROWTH_RATIO: f64 = 0.25;
/// Longest lease, use time or retry-after that is accepted from a lessor, in milliseconds.
const MAX_SPAN_MS: f64 = 3_600_000.0;
/// Use time of unleased units before the first grant, in milliseconds: effectively unbounded.
const UNBOUNDED_USE_MS: f64 = 1e9;

/// Converts a duration from a message and limits it to the range from 0 to `max_ms`. A value that is not finite
/// counts as 0.
pub(super) fn bounded_span(ms: f64, max_ms: f64) -> Span {
    Span::from_ms(if ms.is_finite() { ms.clamp(0.0, max_ms) } else { 0.0 })
}

/// A node's units of one budget that are in use and that are wanted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Units in use, including those of calls that linger at the dependency.
    pub in_use: Units,
    /// Units in use plus the units that rejected work would have used.
    pub wanted: Units,
}

/// Units of a budget that a node may use now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entitlement {
    /// Sum of leased and unleased units.
    pub units: Units,
    /// End of the lease, after which only `unleased` units may be used; `None` if there is no lease.
    pub expires_at: Option<Time>,
    /// Units that the node may use without a lease.
    pub unleased: Units,
    /// Longest time that work which starts now may take.
    pub max_use_time: Span,
    /// When more units may become available, if fewer than wanted were granted.
    pub retry_at: Option<Time>,
}

impl Entitlement {
    /// An entitlement to no units.
    pub const NONE: Entitlement =
        Entitlement { units: 0, expires_at: None, unleased: 0, max_use_time: Span::ZERO, retry_at: None };
}

/// A node's lease of one budget, with the node's usage of that budget.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldLease {
    /// Units that the node may use without a lease.
    unleased: Units,
    /// Leased units, usable until `expires_at`.
    units: Units,
    expires_at: Option<Time>,
    max_use_time: Span,
    retry_at: Option<Time>,
    usage: Usage,
    /// Units wanted at the time of the latest request.
    last_wanted: Units,
    mean_wanted: MeanWanted,
    /// Whether the latest grant was smaller than the units leased or in use before. The lessor can lease the
    /// difference to other holders only after a request shows that the grant was accepted.
    shrunk: bool,
}

/// Mean of the wanted units since the latest request. Growing demand triggers requests, so the units wanted at the
/// time of a request would overstate the demand.
#[derive(Clone, Debug, Default)]
struct MeanWanted {
    /// Integral of wanted units over time from `started_at` to `summed_until`, in unit-milliseconds.
    unit_ms: f64,
    started_at: Option<Time>,
    summed_until: Option<Time>,
}

impl MeanWanted {
    fn add(&mut self, now: Time, wanted: Units) {
        let since = self.summed_until.replace(now).unwrap_or(now);
        self.started_at.get_or_insert(since);
        self.unit_ms += now.since(since).as_ms() * f64::from(wanted);
    }

    /// Returns the mean until now, or `wanted` if no time has passed, and starts a new mean.
    fn take(&mut self, now: Time, wanted: Units) -> Units {
        self.add(now, wanted);
        let ms = now.since(self.started_at.replace(now).unwrap_or(now)).as_ms();
        let unit_ms = std::mem::take(&mut self.unit_ms);
        if ms > 0.0 { (unit_ms / ms).round() as Units } else { wanted }
    }
}

impl HeldLease {
    /// Returns a holding without a lease, in which `unleased` units may be used.
    pub(super) fn unleased_only(unleased: Units) -> HeldLease {
        HeldLease { unleased, max_use_time: Span::from_ms(UNBOUNDED_USE_MS), ..HeldLease::default() }
    }

    /// Returns the leased units that may be used now; none once the lease has expired.
    fn leased(&self, now: Time) -> Units {
        if self.expires_at.is_some_and(|at| now < at) { self.units } else { 0 }
    }

    /// Returns the units in use beyond the unleased ones: these need a lease.
    fn leased_in_use(&self) -> Units {
        self.usage.in_use.saturating_sub(self.unleased)
    }

    /// Whether the node still has units of the budget. The lease is then kept even if the budget no longer binds the
    /// node.
    pub(super) fn has_units(&self, now: Time) -> bool {
        self.unleased > 0 || self.usage.in_use > 0 || self.expires_at.is_some_and(|at| at > now)
    }

    /// Whether no units are in use and none are leased.
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

    /// Records the node's usage; returns whether the next request should be sent at once, because more is wanted or
    /// because units used in excess of the lease became free.
    pub(super) fn record_usage(&mut self, now: Time, usage: Usage) -> bool {
        self.mean_wanted.add(now, self.usage.wanted);
        let previous = std::mem::replace(&mut self.usage, usage);
        let usable = self.unleased + self.leased(now);
        let grew = f64::from(usage.wanted) > f64::from(self.last_wanted) * (1.0 + URGENT_GROWTH_RATIO);
        let wants_more = usage.wanted > usable && grew;
        let freed_excess = previous.in_use > usable && usage.in_use < previous.in_use;
        wants_more || freed_excess
    }

    /// Builds this budget's line of a request. A draining node gives up the units that it does not use.
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

    /// Applies the grant for a request that was sent at `requested_at`. The lease counts from that time and is
    /// shortened by the possible clock drift. A draining node accepts no more units than it uses.
    pub(super) fn apply_grant(&mut self, now: Time, requested_at: Time, line: &GrantLine, draining: bool) {
        let leased_before = self.leased(now);
        let leased_in_use = self.leased_in_use();
        let drift_factor = 1.0 - MAX_CLOCK_DRIFT_RATIO;
        self.units = if draining { line.units.min(leased_in_use) } else { line.units };
        self.expires_at = Some(requested_at + bounded_span(line.lease_ms, MAX_SPAN_MS) * drift_factor);
        self.max_use_time = bounded_span(line.max_use_ms, MAX_SPAN_MS) * drift_factor;
        self.retry_at = line.retry_after_ms.map(|ms| now + bounded_span(ms, MAX_SPAN_MS));
        self.shrunk = self.units < leased_before.max(leased_in_use);
    }
}
