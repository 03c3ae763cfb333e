//! This node's share of the budgets that all nodes share: the node's leases, kept on this machine's monotonic clock,
//! and the limits that the leases set.
//!
//! The controller bounds calls by the call lease. The lease is checked again right before a call is sent, because the
//! process may have been suspended since the controller's decision. A tenant's jobs per second and the retries are
//! bounded by token buckets; the controller rejects a job for which no token is available.

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

/// Time constant of the measured demand, in milliseconds. Also the retry-after of a job when the token bucket cannot
/// tell when its next token becomes available.
const DEMAND_TIME_CONSTANT_MS: f64 = 1000.0;
/// Lower bound of the time allowed between the controller's decision and the write of the call to the socket.
const MIN_SEND_TIMEOUT: Duration = Duration::from_millis(25);

/// A token bucket that is refilled by this node's share of a budget.
struct RateLimit {
    budget: String,
    bucket: TokenBucket,
    /// Attempts to take a token, including those that found the bucket empty.
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

    /// Returns the limit under new terms. The tokens of `previous` are kept if `previous` limited the same budget.
    fn with_terms(now: Time, budget: &str, terms: &BudgetTerms, previous: Option<RateLimit>) -> RateLimit {
        match previous {
            Some(limit) if limit.budget == budget => RateLimit { terms: terms.clone(), ..limit },
            _ => RateLimit::new(now, budget, terms),
        }
    }

    /// Returns the tokens wanted per second.
    fn demand_per_second(&mut self, now: Time) -> u32 {
        (self.demand.value(now) * 1000.0 / DEMAND_TIME_CONSTANT_MS).ceil() as u32
    }

    /// Takes a token. The error is the time until a token may be available.
    fn take(&mut self, now: Time) -> Result<(), Span> {
        self.demand.add(now, 1.0);
        let taken = self.bucket.try_take(now);
        taken.map_err(|retry_after| retry_after.unwrap_or(Span::from_ms(DEMAND_TIME_CONSTANT_MS)))
    }
}

/// The call lease expired between the controller's decision and the sending of the call: the call must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseExpired;

/// This node's shares of all budgets, on a monotonic clock of their own.
pub struct BudgetShare {
    /// The instant at which the clock of the shares showed 0.
    started: Instant,
    /// Speed of the clock relative to the system's monotonic clock; 1 except in tests.
    clock_rate: f64,
    holder: RefCell<LeaseHolder>,
    /// Name of the budget that limits calls in flight, if there is one.
    call_budget: RefCell<Option<String>>,
    /// Limits on jobs per second, by tenant.
    tenant_limits: RefCell<BTreeMap<String, RateLimit>>,
    retry_limit: RefCell<Option<RateLimit>>,
    /// Calls that were in flight or lingered at the dependency after the last round.
    calls_in_flight: Cell<u32>,
    /// Longest time allowed between the controller's decision and the write of the call to the socket.
    send_timeout: Duration,
    /// Notified when the next lease request may be due earlier than before.
    changed: Notify,
    /// Calls that were not sent because the call lease had expired.
    pub calls_expired: Cell<u64>,
    /// Jobs that were rejected because this node's share of a budget was used up.
    pub jobs_rejected: Cell<u64>,
}

impl BudgetShare {
    /// Creates a share without budgets. `holder` must use the clock of this share, which starts at 0. `call_budget`
    /// names the budget of calls in flight until [`BudgetShare::set_budgets`] is called. A call may stay at the
    /// dependency for `linger`.
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
            send_timeout: Duration::from_secs_f64(linger.as_ms() / 1000.0).max(MIN_SEND_TIMEOUT),
            changed: Notify::default(),
            calls_expired: Cell::new(0),
            jobs_rejected: Cell::new(0),
        }
    }

    /// Returns the time on the share's monotonic clock.
    fn now(&self) -> Time {
        Time::from_ms(self.started.elapsed().as_secs_f64() * 1000.0 * self.clock_rate)
    }

    /// Converts a time on the share's clock to an instant of the system's monotonic clock.
    fn to_instant(&self, at: Time) -> Instant {
        let ms = at.since(Time::from_ms(0.0)).as_ms() / self.clock_rate;
        self.started + Duration::from_secs_f64(ms / 1000.0)
    }

    /// Replaces the budgets that limit this node. A token bucket whose budget remains keeps its tokens.
    pub fn set_budgets(&self, budgets: &BTreeMap<String, BudgetTerms>) {
        let now = self.now();
        let mut tenant_limits = self.tenant_limits.borrow_mut();
        let mut retry_limit = self.retry_limit.borrow_mut();
        let mut previous_tenant_limits = std::mem::take(&mut *tenant_limits);
        let mut previous_retry_limit = retry_limit.take();
        for (name, terms) in budgets {
            match (terms.measure, &terms.tenant) {
                (Measure::ConcurrentCalls, _) => {
                    self.call_budget.replace(Some(name.clone()));
                }
                (Measure::Rate { .. }, Some(tenant)) => {
                    let limit =
                        RateLimit::with_terms(now, name, terms, previous_tenant_limits.remove(tenant));
                    tenant_limits.insert(tenant.clone(), limit);
                }
                (Measure::Rate { .. }, None) => {}
                (Measure::Retries { .. }, _) => {
                    *retry_limit = Some(RateLimit::with_terms(now, name, terms, previous_retry_limit.take()));
                }
            }
        }
        let mut names: Vec<String> = budgets.keys().cloned().collect();
        names.extend(self.call_budget.borrow().iter().filter(|name| !budgets.contains_key(*name)).cloned());
        self.holder.borrow_mut().bind(now, &names);
        self.changed.notify();
    }

    /// Returns the call lease, on the controller's clock; `None` if no budget limits calls in flight.
    pub fn call_lease(&self, controller_now: Time) -> Option<CallLease> {
        let now = self.now();
        let call_budget = self.call_budget.borrow();
        let entitlement = self.holder.borrow().entitlement(now, call_budget.as_ref()?);
        let on_controller_clock = |at: Time| controller_now + at.since(now) * (1.0 / self.clock_rate);
        Some(CallLease {
            calls: f64::from(entitlement.units),
            expires: entitlement.expires_at.map_or(controller_now, on_controller_clock),
            calls_after_expiry: f64::from(entitlement.unleased),
            max_call_time: entitlement.max_use_time,
            retry_after: entitlement.retry_at.map_or(Span::ZERO, |at| at.since(now)),
        })
    }

    /// Records the calls that the controller has in flight after a round, and the calls that it wants.
    pub fn record_call_demand(&self, demand: CallDemand) {
        let in_use = demand.in_flight as u32;
        let wanted = demand.wanted.round() as u32;
        self.calls_in_flight.set(in_use);
        let Some(budget) = self.call_budget.borrow().clone() else { return };
        let now = self.now();
        let mut holder = self.holder.borrow_mut();
        let previous_request_at = holder.next_request_at();
        holder.record_usage(now, &budget, Usage { in_use, wanted });
        if holder.next_request_at() < previous_request_at {
            self.changed.notify();
        }
    }

    /// Checks the call lease right before a call is sent, because the process may have been suspended since the
    /// controller's decision. Returns the time by which the call must be handed to the operating system.
    pub fn call_expiry(&self) -> Result<Instant, LeaseExpired> {
        let now = self.now();
        let call_budget = self.call_budget.borrow();
        let expires_at = Instant::now() + self.send_timeout;
        let Some(budget) = &*call_budget else { return Ok(expires_at) };
        let entitlement = self.holder.borrow().entitlement(now, budget);
        let in_use = self.calls_in_flight.get();
        if in_use <= entitlement.unleased {
            return Ok(expires_at);
        }
        match entitlement.expires_at {
            Some(until) if in_use <= entitlement.units => Ok(expires_at.min(self.to_instant(until))),
            _ => {
                self.calls_expired.set(self.calls_expired.get() + 1);
                Err(LeaseExpired)
            }
        }
    }

    /// Takes the tokens of an arriving job: one from the limit of the job's tenant and, if the job is a retry, one from
    /// the retry limit. If either limit has no token left, takes none and returns the time until one may be available.
    /// A job that is not a retry makes a deposit into the retry limit.
    pub fn take_tokens(&self, job: &Job, tenant: Option<&str>) -> Option<Span> {
        let now = self.now();
        let mut tenant_limits = self.tenant_limits.borrow_mut();
        let mut tenant_limit = tenant.and_then(|tenant| tenant_limits.get_mut(tenant));
        if let Some(limit) = &mut tenant_limit {
            self.resize_bucket(now, limit);
            if let Err(retry_after) = limit.take(now) {
                return Some(retry_after);
            }
        }
        let mut retry_limit = self.retry_limit.borrow_mut();
        let limit = retry_limit.as_mut()?;
        self.resize_bucket(now, limit);
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

    /// Adjusts the rate of a token bucket to this node's current share of the budget.
    fn resize_bucket(&self, now: Time, limit: &mut RateLimit) {
        let units = self.holder.borrow().entitlement(now, &limit.budget).units;
        limit.bucket.resize(now, limit.terms.measure, limit.terms.total, units);
    }

    /// Takes the next request to the lessor, if a request is due.
    pub fn due_request(&self) -> Option<LeaseRequest> {
        let now = self.now();
        let mut holder = self.holder.borrow_mut();
        if now < holder.next_request_at() {
            return None;
        }
        let mut demands = Vec::new();
        for limit in self.tenant_limits.borrow_mut().values_mut() {
            demands.push((limit.budget.clone(), limit.demand_per_second(now)));
        }
        if let Some(limit) = &mut *self.retry_limit.borrow_mut() {
            demands.push((limit.budget.clone(), limit.demand_per_second(now)));
        }
        // Units of a rate are never in use, because a rate that is withdrawn from this node takes effect at once.
        demands
            .into_iter()
            .for_each(|(budget, wanted)| holder.record_usage(now, &budget, Usage { in_use: 0, wanted }));
        holder.take_request(now)
    }

    /// Returns when the next request to the lessor is due, on the controller's clock.
    pub fn next_request_at(&self, controller_now: Time) -> Time {
        let next = self.holder.borrow().next_request_at();
        controller_now + next.since(self.now()) * (1.0 / self.clock_rate)
    }

    /// Applies a grant of the lessor; returns `false` if the grant changes nothing.
    pub fn apply_grant(&self, grant: &LeaseGrant) -> bool {
        self.holder.borrow_mut().on_grant(self.now(), grant)
    }

    /// Makes a request due now, because the lessor has asked the node to send one.
    pub fn request_leases_now(&self) {
        self.holder.borrow_mut().on_nudge(self.now());
    }

    /// Updates the leases after a connection to the lessor was established.
    pub fn on_connected(&self) {
        self.holder.borrow_mut().on_connected(self.now());
    }

    /// Starts the drain: from now on the node returns the units that it does not use to the lessor.
    pub fn start_drain(&self) {
        self.holder.borrow_mut().start_drain(self.now());
        self.changed.notify();
    }

    /// Waits until the next request to the lessor may be due earlier than before.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the number of grants since the start that were not applied.
    pub fn ignored_grants(&self) -> u64 {
        self.holder.borrow().ignored_grants()
    }
}
