//! A node's parts of the budgets that all nodes share: the holder on this machine's monotonic clock, and where its parts act.
//!
//! Of calls below the module decides by what it is allowed; right before a call is handed over it is looked at once more, as
//! the process may have stood still in between. Of a tenant's jobs a second and of retries, buckets say whether
//! there is anything left; the module turns the job away.

use hazelgrade::api::{CallDemand, CallLease, Job};
use hazelgrade::statistics::DecayingSum;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::lease_holder::{LeaseHolder, Usage};
use hazelgrade_budget::protocol::{LeaseGrant, LeaseRequest};
use hazelgrade_budget::terms::{BudgetTerms, Measure};
use hazelgrade_budget::token_bucket::TokenBucket;
use hazelgrade_net::bell::Bell;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What is asked for a second is learned over this.
const LEARNED_OVER_MS: f64 = 1000.0;
/// The least time that a call may take from the decision to the socket: the node's account of it ends that much later.
const LEAST_WAY: Duration = Duration::from_millis(25);

struct Door {
    bucket: TokenBucket,
    /// Asked for, let in or not.
    asked: DecayingSum,
    /// Of retries: those.
    terms: BudgetTerms,
}

impl Door {
    fn new(now: Time, terms: &BudgetTerms) -> Door {
        Door {
            bucket: TokenBucket::new(now, terms.measure, terms.total),
            asked: DecayingSum::new(Span::from_ms(LEARNED_OVER_MS)),
            terms: terms.clone(),
        }
    }

    fn wants(&mut self, now: Time) -> u32 {
        (self.asked.value(now) * 1000.0 / LEARNED_OVER_MS).ceil() as u32
    }
}

pub struct Seat {
    began: Instant,
    /// How fast this process's clock runs, for tests.
    rate: f64,
    holder: RefCell<LeaseHolder>,
    in_hand: RefCell<Option<String>>,
    /// By tenant: budget and door.
    rates: RefCell<BTreeMap<String, (String, Door)>>,
    tries: RefCell<Option<(String, Door)>>,
    /// In hand below after the last round.
    used: Cell<u32>,
    linger: Duration,
    stirred: Bell,
    /// Calls that were not made as the part they were decided by was over.
    pub too_late: Cell<u64>,
    /// Jobs rejected for want of a part.
    pub short: Cell<u64>,
}

impl Seat {
    /// `holder` is made with this seat's clock: from 0.
    pub fn new(holder: LeaseHolder, in_hand: Option<String>, linger: Span, rate: f64) -> Seat {
        Seat {
            began: Instant::now(),
            rate,
            holder: RefCell::new(holder),
            in_hand: RefCell::new(in_hand),
            rates: RefCell::default(),
            tries: RefCell::default(),
            used: Cell::new(0),
            linger: Duration::from_secs_f64(linger.as_ms() / 1000.0).max(LEAST_WAY),
            stirred: Bell::default(),
            too_late: Cell::new(0),
            short: Cell::new(0),
        }
    }

    /// Never set back.
    fn now(&self) -> Time {
        Time::from_ms(self.began.elapsed().as_secs_f64() * 1000.0 * self.rate)
    }

    fn instant(&self, at: Time) -> Instant {
        let ms = at.since(Time::from_ms(0.0)).as_ms() / self.rate;
        self.began + Duration::from_secs_f64(ms / 1000.0)
    }

    /// Bound by these budgets from now on.
    pub fn bind(&self, budgets: &BTreeMap<String, BudgetTerms>) {
        let now = self.now();
        let (mut rates, mut tries) = (self.rates.borrow_mut(), self.tries.borrow_mut());
        // A door that stands keeps what its bucket holds.
        let door = |name: &String, terms: &BudgetTerms, before: Option<(String, Door)>| match before {
            Some((of, door)) if of == *name => (of, Door { terms: terms.clone(), ..door }),
            _ => (name.clone(), Door::new(now, terms)),
        };
        let mut before = std::mem::take(&mut *rates);
        let mut tries_before = tries.take();
        for (name, terms) in budgets {
            match (terms.measure, &terms.tenant) {
                (Measure::ConcurrentCalls, _) => {
                    self.in_hand.replace(Some(name.clone()));
                }
                (Measure::Rate { .. }, Some(tenant)) => {
                    let made = door(name, terms, before.remove(tenant));
                    rates.insert(tenant.clone(), made);
                }
                (Measure::Rate { .. }, None) => {}
                (Measure::Retries { .. }, _) => *tries = Some(door(name, terms, tries_before.take())),
            }
        }
        let mut names: Vec<String> = budgets.keys().cloned().collect();
        names.extend(self.in_hand.borrow().iter().filter(|name| !budgets.contains_key(*name)).cloned());
        self.holder.borrow_mut().bind(now, &names);
        self.stirred.ring();
    }

    /// What the module is allowed below, on its own clock; nothing where no budget of calls is known.
    pub fn allowance(&self, module: Time) -> Option<CallLease> {
        let (now, in_hand) = (self.now(), self.in_hand.borrow());
        let allowed = self.holder.borrow().entitlement(now, in_hand.as_ref()?);
        let on_module = |at: Time| module + at.since(now) * (1.0 / self.rate);
        Some(CallLease {
            calls: f64::from(allowed.units),
            expires: allowed.expires_at.map_or(module, on_module),
            calls_after_expiry: f64::from(allowed.unleased),
            max_call_time: allowed.max_use_time,
            retry_after: allowed.retry_at.map_or(Span::ZERO, |at| at.since(now)),
        })
    }

    /// What the module has below after a round, and would have.
    pub fn uses(&self, need: CallDemand) {
        let (used, wants) = (need.in_flight as u32, need.wanted.round() as u32);
        self.used.set(used);
        let Some(budget) = self.in_hand.borrow().clone() else { return };
        let now = self.now();
        let mut holder = self.holder.borrow_mut();
        let before = holder.next_request_at();
        holder.record_usage(now, &budget, Usage { in_use: used, wanted: wants });
        if holder.next_request_at() < before {
            self.stirred.ring();
        }
    }

    /// The last look before a call is handed over: until when it may be handed to the system; nothing if it may not be at all.
    pub fn last_look(&self) -> Option<Instant> {
        let (now, in_hand) = (self.now(), self.in_hand.borrow());
        let by = Instant::now() + self.linger;
        let Some(budget) = &*in_hand else { return Some(by) };
        let allowed = self.holder.borrow().entitlement(now, budget);
        let used = self.used.get();
        if used <= allowed.unleased {
            return Some(by);
        }
        match allowed.expires_at {
            Some(until) if used <= allowed.units => Some(by.min(self.instant(until))),
            _ => {
                self.too_late.set(self.too_late.get() + 1);
                None
            }
        }
    }

    /// A job came: when there may be more, if a budget leaves nothing for it.
    pub fn arrived(&self, job: &Job, tenant: Option<&str>) -> Option<Span> {
        let now = self.now();
        let mut rates = self.rates.borrow_mut();
        let mut of_rate = tenant.and_then(|tenant| rates.get_mut(tenant));
        let mut tries = self.tries.borrow_mut();
        if let Some((budget, door)) = &mut of_rate {
            self.renew(now, budget, door);
            door.asked.add(now, 1.0);
            if let Err(more) = door.bucket.try_take(now) {
                return Some(Self::turned_away(more));
            }
        }
        if let Some((budget, door)) = &mut *tries {
            self.renew(now, budget, door);
            if !job.is_retry {
                door.bucket.deposit();
                return None;
            }
            door.asked.add(now, 1.0);
            if let Err(more) = door.bucket.try_take(now) {
                if let Some((_, door)) = &mut of_rate {
                    door.bucket.refund();
                }
                return Some(Self::turned_away(more));
            }
        }
        None
    }

    fn turned_away(more: Option<Span>) -> Span {
        more.unwrap_or(Span::from_ms(LEARNED_OVER_MS))
    }

    fn renew(&self, now: Time, budget: &str, door: &mut Door) {
        let part = self.holder.borrow().entitlement(now, budget).units;
        door.bucket.resize(now, door.terms.measure, door.terms.total, part);
    }

    /// The ask that is due.
    pub fn ask(&self) -> Option<LeaseRequest> {
        let now = self.now();
        let mut holder = self.holder.borrow_mut();
        if now < holder.next_request_at() {
            return None;
        }
        let mut wants = Vec::new();
        for (budget, door) in self.rates.borrow_mut().values_mut() {
            wants.push((budget.clone(), door.wants(now)));
        }
        if let Some((budget, door)) = &mut *self.tries.borrow_mut() {
            wants.push((budget.clone(), door.wants(now)));
        }
        // Of these nothing is in hand: a part that is gone is used from no more at once.
        wants.into_iter().for_each(|(budget, wants)| {
            holder.record_usage(now, &budget, Usage { in_use: 0, wanted: wants })
        });
        holder.take_request(now)
    }

    /// When the next ask is due, on the module's clock.
    pub fn asks_at(&self, module: Time) -> Time {
        let next = self.holder.borrow().next_request_at();
        module + next.since(self.now()) * (1.0 / self.rate)
    }

    /// An answer of the keeper's; `false` if it changes nothing.
    pub fn granted(&self, grant: &LeaseGrant) -> bool {
        self.holder.borrow_mut().on_grant(self.now(), grant)
    }

    pub fn nudged(&self) {
        self.holder.borrow_mut().on_nudge(self.now());
    }

    pub fn connected(&self) {
        self.holder.borrow_mut().on_connected(self.now());
    }

    /// The node leaves: from now on it gives back what it does not use.
    pub fn leave(&self) {
        self.holder.borrow_mut().start_drain(self.now());
        self.stirred.ring();
    }

    pub async fn stirred(&self) {
        self.stirred.heard().await;
    }

    pub fn refused(&self) -> u64 {
        self.holder.borrow().ignored_grants()
    }
}
