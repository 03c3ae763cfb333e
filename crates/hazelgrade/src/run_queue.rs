//! Which queued job runs next: the one with the highest priority weight per core time. A tenant's jobs beyond
//! its quota, and a caller's beyond its rate limit, have less weight.

use crate::api::{CallerSettings, Tenant};
use crate::job_table::TrackedJob;
use crate::statistics::DecayingSum;
use crate::time::{Span, Time};

/// Shortest core time by which a weight is divided, in milliseconds.
const MIN_CORE_TIME_MS: f64 = 0.001;

/// A tenant's quota and how much of it is used.
struct TenantQuota {
    /// Jobs that arrived here, without retries.
    arrivals: DecayingSum,
    /// Jobs per second over the whole fleet.
    quota_per_s: f64,
}

/// The tenants' quotas by index.
pub(crate) struct TenantQuotas {
    tenants: Vec<TenantQuota>,
    window: Span,
}

impl TenantQuotas {
    /// Quotas of which nothing is used yet; use is counted over `window`.
    pub fn new(tenants: &[Tenant], window: Span) -> TenantQuotas {
        let new = |tenant: &Tenant| TenantQuota {
            arrivals: DecayingSum::new(window),
            quota_per_s: tenant.quota_per_s,
        };
        TenantQuotas { tenants: tenants.iter().map(new).collect(), window }
    }

    /// How many tenants there are.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Goes by other quotas from now on; use of the tenants in `reset` is forgotten.
    pub fn update(&mut self, now: Time, tenants: &[Tenant], reset: &[usize], window: Span) {
        self.window = window;
        let new = || TenantQuota { arrivals: DecayingSum::new(window), quota_per_s: 0.0 };
        self.tenants.resize_with(tenants.len(), new);
        for index in reset {
            if let Some(tenant) = self.tenants.get_mut(*index) {
                tenant.arrivals = DecayingSum::new(window);
            }
        }
        for (quota, tenant) in self.tenants.iter_mut().zip(tenants) {
            quota.arrivals.set_time_constant(now, window);
            quota.quota_per_s = tenant.quota_per_s;
        }
    }

    /// Counts jobs of a tenant.
    pub fn record_arrival(&mut self, now: Time, tenant: usize, count: f64) {
        if let Some(quota) = self.tenants.get_mut(tenant) {
            quota.arrivals.add(now, count);
        }
    }

    /// A tenant's quota in jobs per second over the whole fleet; unlimited for a tenant that the settings don't name.
    pub fn quota_per_s(&self, tenant: usize) -> f64 {
        self.tenants.get(tenant).map_or(f64::INFINITY, |quota| quota.quota_per_s)
    }

    /// The ratio of the priority weight that a job has by its tenant's quota. The tenant's rate over the fleet is
    /// estimated from what arrives here.
    fn weight_ratio(&mut self, now: Time, tracked: &TrackedJob, callers: &CallerSettings) -> f64 {
        let fleet_rate_per_arrival = callers.fleet_size * 1000.0 / self.window.as_ms();
        let over_quota_ratio = callers.over_quota_weight_ratio;
        self.tenants.get_mut(tracked.job.tenant).map_or(1.0, |quota| {
            let rate_per_s = quota.arrivals.value(now) * fleet_rate_per_arrival;
            quota_weight_ratio(rate_per_s, tracked.quota_per_s, over_quota_ratio)
        })
    }
}

/// The mean ratio of the priority weight for a tenant's jobs at this rate: jobs within the quota count in full,
/// those beyond it by `over_quota_ratio`.
fn quota_weight_ratio(rate_per_s: f64, quota_per_s: f64, over_quota_ratio: f64) -> f64 {
    let within = (quota_per_s / rate_per_s.max(f64::MIN_POSITIVE)).min(1.0);
    within + (1.0 - within) * over_quota_ratio
}

/// The priority of a queued job: its weight for each millisecond on the cores.
pub(crate) fn priority(
    now: Time,
    tracked: &TrackedJob,
    quotas: &mut TenantQuotas,
    callers: &CallerSettings,
    mean_core_time: impl FnOnce() -> Span,
) -> f64 {
    let late_ratio = if tracked.objective <= now { tracked.class.late_weight_ratio } else { 1.0 };
    let weight = tracked.class.priority_weight * late_ratio;
    let quota_ratio = quotas.weight_ratio(now, tracked, callers);
    // A caller beyond its rate limit counts as a tenant beyond its quota does.
    let caller_ratio = callers.over_quota_weight_ratio;
    let ratio = if tracked.job.over_caller_limit { quota_ratio * caller_ratio } else { quota_ratio };
    weight * ratio / mean_core_time().as_ms().max(MIN_CORE_TIME_MS)
}
