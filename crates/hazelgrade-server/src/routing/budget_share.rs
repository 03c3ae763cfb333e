//! This node's share of the budgets that all nodes share: its leases, on this machine's monotonic clock, and where
//! they act.
//!
//! The controller bounds calls by the lease; right before a call is sent the lease is checked once more, as the
//! process may have been suspended in between. A tenant's jobs a second and retries are bounded by token buckets; the
//! controller rejects a job for which there is no token.

use hazelgrade::api::{CallDemand, CallLease, Job};
use hazelgrade::statistics::DecayingSum;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::lease_holder::{LeaseHolder, Usage};
use hazelgrade_budget::protocol::{LeaseGrant, LeaseRequest};
use hazelgrade_budget::terms::{BudgetTerms, Measure};
use hazelgrade_budget::token_bucket::TokenBucket;
use hazelgrade_net::notify::Notify;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The demand of a second is measured with this time constant, in milliseconds. A job that is rejected with no better
/// estimate is told to come back after it.
const DEMAND_TIME_CONSTANT_MS: f64 = 1000.0;
/// The least time that a call may take from the decision to the socket: the node counts it for that much longer.
const MIN_SEND_TIME: Duration = Duration::from_millis(25);

/// A token bucket that is refilled by this node's share of a budget.
struct RateLimit {
    budget: String,
    bucket: TokenBucket,
    /// Jobs that asked for a token, whether they got one or not.
    demand: DecayingSum,
    terms: BudgetTerms,
}

impl RateLimit {
    fn new(now: Time, budget: &str, terms: &BudgetTerms) -> RateLimit {
        RateLimit {
            budget: budget.into(),
            bucket: TokenBucket::new(now, terms.measure, terms.total),
            demand: DecayingSum::new(Span::from_ms(DEMAND_TIME_CONSTANT_MS)),
            terms: terms.clone(),
        }
    }

    /// The limit under new terms; the tokens of one that was there under this budget are kept.
    fn replace(now: Time, budget: &str, terms: &BudgetTerms, before: Option<RateLimit>) -> RateLimit {
        match before {
            Some(limit) if limit.budget == budget => RateLimit { terms: terms.clone(), ..limit },
            _ => RateLimit::new(now, budget, terms),
        }
    }

    /// Tokens wanted in a second.
    fn wanted(&mut self, now: Time) -> u32 {
        (self.demand.value(now) * 1000.0 / DEMAND_TIME_CONSTANT_MS).ceil() as u32
    }

    /// Takes a token; without one, gives when there may be one.
    fn take(&mut self, now: Time) -> Result<(), Span> {
        self.demand.add(now, 1.0);
        let taken = self.bucket.try_take(now);
        taken.map_err(|retry_after| retry_after.unwrap_or(Span::from_ms(DEMAND_TIME_CONSTANT_MS)))
    }
}

/// This node's shares, with their own clock.
pub struct BudgetShare {
    /// Zero of the clock.
    started: Instant,
    /// How fast this process's clock runs; other than 1 in tests only.
    clock_rate: f64,
    holder: RefCell<LeaseHolder>,
    /// The budget of calls in flight, if one is known.
    call_budget: RefCell<Option<String>>,
    /// The limits on jobs a second, by tenant.
    tenant_limits: RefCell<BTreeMap<String, RateLimit>>,
    retry_limit: RefCell<Option<RateLimit>>,
    /// Calls in flight or lingering at the dependency after the last round.
    calls_in_flight: Cell<u32>,
    /// How long a call may take from the decision to the socket.
    max_send_time: Duration,
    changed: Notify,
    /// Calls that were not made, as the lease they were decided under had ended.
    pub calls_expired: Cell<u64>,
    /// Jobs rejected as this node's share was used up.
    pub jobs_rejected: Cell<u64>,
}

impl BudgetShare {
    /// `holder` must be made with the clock of this share, which starts at 0. Until budgets are set, `call_budget` is
    /// that of the calls; a call may stay at the dependency for `linger`.
    pub fn new(
        holder: LeaseHolder,
        call_budget: Option<String>,
        linger: Span,
        clock_rate: f64,
    ) -> BudgetShare {
        BudgetShare {
            started: Instant::now(),
            clock_rate,
            holder: RefCell::new(holder),
            call_budget: RefCell::new(call_budget),
            tenant_limits: RefCell::default(),
            retry_limit: RefCell::default(),
            calls_in_flight: Cell::new(0),
            max_send_time: Duration::from_secs_f64(linger.as_ms() / 1000.0).max(MIN_SEND_TIME),
            changed: Notify::default(),
            calls_expired: Cell::new(0),
            jobs_rejected: Cell::new(0),
        }
    }

    /// Monotonic.
    fn now(&self) -> Time {
        Time::from_ms(self.started.elapsed().as_secs_f64() * 1000.0 * self.clock_rate)
    }

    fn instant(&self, at: Time) -> Instant {
        let ms = at.since(Time::from_ms(0.0)).as_ms() / self.clock_rate;
        self.started + Duration::from_secs_f64(ms / 1000.0)
    }

    /// Replaces the budgets that this node is bound by.
    pub fn set_budgets(&self, budgets: &BTreeMap<String, BudgetTerms>) {
        let now = self.now();
        let mut tenant_limits = self.tenant_limits.borrow_mut();
        let mut retry_limit = self.retry_limit.borrow_mut();
        let mut tenant_limits_before = std::mem::take(&mut *tenant_limits);
        let mut retry_limit_before = retry_limit.take();
        for (name, terms) in budgets {
            match (terms.measure, &terms.tenant) {
                (Measure::ConcurrentCalls, _) => {
                    self.call_budget.replace(Some(name.clone()));
                }
                (Measure::Rate { .. }, Some(tenant)) => {
                    let limit = RateLimit::replace(now, name, terms, tenant_limits_before.remove(tenant));
                    tenant_limits.insert(tenant.clone(), limit);
                }
                (Measure::Rate { .. }, None) => {}
                (Measure::Retries { .. }, _) => {
                    *retry_limit = Some(RateLimit::replace(now, name, terms, retry_limit_before.take()));
                }
            }
        }
        let mut names: Vec<String> = budgets.keys().cloned().collect();
        names.extend(self.call_budget.borrow().iter().filter(|name| !budgets.contains_key(*name)).cloned());
        self.holder.borrow_mut().bind(now, &names);
        self.changed.notify();
    }

    /// The lease of calls, on the controller's clock; `None` where no budget of calls is known.
    pub fn call_lease(&self, controller_now: Time) -> Option<CallLease> {
        let now = self.now();
        let call_budget = self.call_budget.borrow();
        let allowed = self.holder.borrow().entitlement(now, call_budget.as_ref()?);
        let on_controller_clock = |at: Time| controller_now + at.since(now) * (1.0 / self.clock_rate);
        Some(CallLease {
            calls: f64::from(allowed.units),
            expires: allowed.expires_at.map_or(controller_now, on_controller_clock),
            calls_after_expiry: f64::from(allowed.unleased),
            max_call_time: allowed.max_use_time,
            retry_after: allowed.retry_at.map_or(Span::ZERO, |at| at.since(now)),
        })
    }

    /// Records the controller's calls after a round, and those that it would make.
    pub fn record_call_demand(&self, demand: CallDemand) {
        let used = demand.in_flight as u32;
        let wants = demand.wanted.round() as u32;
        self.calls_in_flight.set(used);
        let Some(budget) = self.call_budget.borrow().clone() else { return };
        let now = self.now();
        let mut holder = self.holder.borrow_mut();
        let request_before = holder.next_request_at();
        holder.record_usage(now, &budget, Usage { in_use: used, wanted: wants });
        if holder.next_request_at() < request_before {
            self.changed.notify();
        }
    }

    /// Checks the lease right before a call is sent: until when the call may be handed to the system, or `None` if it
    /// may not be sent at all.
    pub fn call_expiry(&self) -> Option<Instant> {
        let now = self.now();
        let call_budget = self.call_budget.borrow();
        let expires_at = Instant::now() + self.max_send_time;
        let Some(budget) = &*call_budget else { return Some(expires_at) };
        let allowed = self.holder.borrow().entitlement(now, budget);
        let used = self.calls_in_flight.get();
        if used <= allowed.unleased {
            return Some(expires_at);
        }
        match allowed.expires_at {
            Some(until) if used <= allowed.units => Some(expires_at.min(self.instant(until))),
            _ => {
                self.calls_expired.set(self.calls_expired.get() + 1);
                None
            }
        }
    }

    /// Takes the tokens of a job that arrived. Gives when there may be more if a budget has none left for it; a token
    /// that was taken from another budget goes back then.
    pub fn take_tokens(&self, job: &Job, tenant: Option<&str>) -> Option<Span> {
        let now = self.now();
        let mut tenant_limits = self.tenant_limits.borrow_mut();
        let mut tenant_limit = tenant.and_then(|tenant| tenant_limits.get_mut(tenant));
        if let Some(limit) = &mut tenant_limit {
            self.refill(now, limit);
            if let Err(retry_after) = limit.take(now) {
                return Some(retry_after);
            }
        }
        let mut retry_limit = self.retry_limit.borrow_mut();
        let limit = retry_limit.as_mut()?;
        self.refill(now, limit);
        if !job.is_retry {
            limit.bucket.deposit();
            return None;
        }
        let retry_after = limit.take(now).err()?;
        if let Some(limit) = &mut tenant_limit {
            limit.bucket.refund();
        }
        Some(retry_after)
    }

    fn refill(&self, now: Time, limit: &mut RateLimit) {
        let units = self.holder.borrow().entitlement(now, &limit.budget).units;
        limit.bucket.resize(now, limit.terms.measure, limit.terms.total, units);
    }

    /// The request for leases that is due.
    pub fn due_request(&self) -> Option<LeaseRequest> {
        let now = self.now();
        let mut holder = self.holder.borrow_mut();
        if now < holder.next_request_at() {
            return None;
        }
        let mut demands = Vec::new();
        for limit in self.tenant_limits.borrow_mut().values_mut() {
            demands.push((limit.budget.clone(), limit.wanted(now)));
        }
        if let Some(limit) = &mut *self.retry_limit.borrow_mut() {
            demands.push((limit.budget.clone(), limit.wanted(now)));
        }
        // Nothing of a rate is in flight: a share that is taken away is not used from that moment on.
        demands.into_iter().for_each(|(budget, wants)| {
            holder.record_usage(now, &budget, Usage { in_use: 0, wanted: wants })
        });
        holder.take_request(now)
    }

    /// When the next request is due, on the controller's clock.
    pub fn next_request_at(&self, controller_now: Time) -> Time {
        let next = self.holder.borrow().next_request_at();
        controller_now + next.since(self.now()) * (1.0 / self.clock_rate)
    }

    /// Takes a grant of the lessor; `false` if it changes nothing.
    pub fn apply_grant(&self, grant: &LeaseGrant) -> bool {
        self.holder.borrow_mut().on_grant(self.now(), grant)
    }

    /// The lessor asks for a request at once.
    pub fn nudged(&self) {
        self.holder.borrow_mut().on_nudge(self.now());
    }

    /// A connection to the lessor was established.
    pub fn connected(&self) {
        self.holder.borrow_mut().on_connected(self.now());
    }

    /// The node drains: from now on it gives back what it does not use.
    pub fn start_drain(&self) {
        self.holder.borrow_mut().start_drain(self.now());
        self.changed.notify();
    }

    /// Waits until a request may be due earlier than before.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Grants that were not applied, since the start.
    pub fn ignored_grants(&self) -> u64 {
        self.holder.borrow().ignored_grants()
    }
}
