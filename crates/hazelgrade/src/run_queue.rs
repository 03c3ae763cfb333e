//! Priority of queued jobs: the job with the highest priority weight per core time runs next. Jobs of a tenant beyond
//! its quota and jobs of a caller beyond its rate limit have a reduced weight.

use crate::api::{CallerSettings, Tenant};
use crate::job_table::TrackedJob;
use crate::statistics::DecayingSum;
use crate::time::{Span, Time};

/// Lower bound of the core time when dividing by it, in milliseconds.
const MIN_CORE_TIME_MS: f64 = 0.001;

/// The quota of a tenant and its usage.
struct TenantQuota {
    /// Jobs that arrived at this server, without retries.
    arrivals: DecayingSum,
    /// The quota in jobs per second over the whole fleet.
    quota_per_s: f64,
}

/// The quotas of all tenants by index.
pub(crate) struct TenantQuotas {
    tenants: Vec<TenantQuota>,
    window: Span,
}

impl TenantQuotas {
    /// Creates unused quotas whose usage is averaged over `window`.
    pub fn new(tenants: &[Tenant], window: Span) -> TenantQuotas {
        let new = |tenant: &Tenant| TenantQuota {
            arrivals: DecayingSum::new(window),
            quota_per_s: tenant.quota_per_s,
        };
        TenantQuotas { tenants: tenants.iter().map(new).collect(), window }
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Replaces the quotas and the window. The usage of the tenants in `reset` is discarded.
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

    /// Records the arrival of `count` jobs of a tenant.
    pub fn record_arrival(&mut self, now: Time, tenant: usize, count: f64) {
        if let Some(quota) = self.tenants.get_mut(tenant) {
            quota.arrivals.add(now, count);
        }
    }

    /// Returns the quota of a tenant in jobs per second over the whole fleet, which is infinite if the tenant is not in
    /// the settings.
    pub fn quota_per_s(&self, tenant: usize) -> f64 {
        self.tenants.get(tenant).map_or(f64::INFINITY, |quota| quota.quota_per_s)
    }

    /// Returns the ratio of the priority weight that the tenant's quota leaves to a job. The rate of the tenant over
    /// the whole fleet is estimated from the arrivals at this server.
    fn weight_ratio(&mut self, now: Time, tracked: &TrackedJob, callers: &CallerSettings) -> f64 {
        let fleet_rate_per_arrival = callers.fleet_size * 1000.0 / self.window.as_ms();
        let over_quota_ratio = callers.over_quota_weight_ratio;
        self.tenants.get_mut(tracked.job.tenant).map_or(1.0, |quota| {
            let rate_per_s = quota.arrivals.value(now) * fleet_rate_per_arrival;
            quota_weight_ratio(rate_per_s, tracked.quota_per_s, over_quota_ratio)
        })
    }
}

/// Returns the mean ratio of the priority weight for the jobs of a tenant with this rate: 1 for jobs within the quota
/// and `over_quota_ratio` for jobs beyond it.
fn quota_weight_ratio(rate_per_s: f64, quota_per_s: f64, over_quota_ratio: f64) -> f64 {
    let within = (quota_per_s / rate_per_s.max(f64::MIN_POSITIVE)).min(1.0);
    within + (1.0 - within) * over_quota_ratio
}

/// Returns the priority of a queued job: its weight per millisecond of core time.
pub(crate) fn priority(
    now: Time,
    tracked: &TrackedJob,
    quotas: &mut TenantQuotas,
    callers: &CallerSettings,
    mean_core_time: impl FnOnce() -> Span,
) -> f64 {
    let late_ratio = if tracked.objective_deadline <= now { tracked.class.late_weight_ratio } else { 1.0 };
    let weight = tracked.class.priority_weight * late_ratio;
    let quota_ratio = quotas.weight_ratio(now, tracked, callers);
    // A job of a caller beyond its rate limit is weighted like a job of a tenant beyond its quota.
    let caller_ratio = callers.over_quota_weight_ratio;
    let ratio = if tracked.job.over_caller_limit { quota_ratio * caller_ratio } else { quota_ratio };
    weight * ratio / mean_core_time().as_ms().max(MIN_CORE_TIME_MS)
}
