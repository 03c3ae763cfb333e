//! The lessor of a site's budgets, as a state machine: its inputs are lease requests and the time, its outputs are
//! grants and records to store.
//!
//! For each lease holder, the lessor books the most units that the holder may hold: those stated in the holder's
//! latest request or those granted in the answer, whichever are more. The lessor grants new units only from the
//! leasable units that are not booked. A holder's units become free again when a request of the holder shows that it
//! no longer holds them, or when its lease and the longest use time are certainly over.
//!
//! After a start, the lessor knows no holder. Until every lease that an earlier start may have granted is over, the
//! lessor grants each holder no more than the holder's request states as held: those units were granted before the
//! start and may still be in use.

mod division;
mod events;
mod leased_budget;
mod report;
mod requests;

pub use events::{Action, Connection, Event, GrantsBlocked, HistoryEntry, StaleStore, StoreFailed};
pub use report::{BudgetBalance, BudgetReport, LeaseReport};

use crate::ownership::UnconfirmedSites;
use crate::protocol::LeaseRequest;
use crate::stored::LessorRecord;
use crate::terms::BudgetTerms;
use crate::{MAX_CLOCK_DRIFT_RATIO, Units};
use hazelgrade::time::{Span, Time};
use leased_budget::{ExpiredLease, LeasedBudget};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Limit of lease holders known at once. Requests of further holders get no answer until a holder is removed.
pub const MAX_HOLDERS: usize = 8192;
/// Number of requests that a holder sends during one lease.
const REQUESTS_PER_LEASE: f64 = 5.0;
/// Number of past events kept for [`Lessor::history`].
const MAX_HISTORY: usize = 256;

/// Identity of a lease holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderId {
    name: String,
    incarnation: u64,
}

impl HolderId {
    fn from_request(request: &LeaseRequest) -> HolderId {
        HolderId { name: request.holder.clone(), incarnation: request.incarnation }
    }
}

/// State of a lease holder apart from its leases.
#[derive(Clone, Debug)]
struct Holder {
    /// Sequence number of the holder's latest request.
    sequence: u64,
    /// Sequence number of the latest request whose answer the holder accepted.
    last_accepted: u64,
    /// Time at which the lessor learned of `last_accepted`.
    last_accepted_at: Time,
    connection: Option<Connection>,
    last_request_at: Time,
    /// Whether the holder was nudged since its latest request.
    nudged: bool,
    known_since: Time,
}

/// The lessor of one site.
#[derive(Clone, Debug)]
pub struct Lessor {
    record: LessorRecord,
    /// The record as last stored successfully; `None` until the first write succeeds.
    stored: Option<LessorRecord>,
    /// Whether a write of the record is in progress.
    storing: bool,
    /// Time until which leases granted before this start, or before the latest reopening, may be in use.
    recovered_at: Time,
    /// Time of this start, kept until the first terms are known, if an earlier start granted anything.
    awaiting_first_terms_since: Option<Time>,
    /// Longest time for which a grant under the present terms may be used, in milliseconds.
    present_max_grant_ms: f64,
    /// Time until which leases under earlier terms of this start may be in use.
    earlier_terms_over_at: Time,
    /// Set if the store is an old copy. Nothing new is granted then until an operator reopens the lessor.
    stale_store: Option<StaleStore>,
    /// Other sites that have not reported since the start.
    unconfirmed: Option<UnconfirmedSites>,
    budgets: BTreeMap<String, LeasedBudget>,
    holders: BTreeMap<HolderId, Holder>,
    /// Requests that wait for the record to be stored.
    pending_requests: VecDeque<(Connection, LeaseRequest)>,
    history: VecDeque<HistoryEntry>,
}

/// Returns the longest time for which a grant may be used, by the lessor's clock.
fn max_grant_time(terms: &BudgetTerms) -> Span {
    (terms.lease + terms.max_use_time) * (1.0 + MAX_CLOCK_DRIFT_RATIO)
}

/// Converts `units` to [`Units`], saturating at the largest value.
fn saturated(units: u64) -> Units {
    units.min(u64::from(Units::MAX)) as Units
}

impl Lessor {
    /// Creates a lessor at its start from the record that the previous start stored. The returned action stores the
    /// new record.
    pub fn new(now: Time, record: LessorRecord) -> (Lessor, Action) {
        let record = LessorRecord { generation: record.generation + 1, ..record };
        let recovered_at = if record.granted {
            now + Span::from_ms(record.max_grant_ms) * (1.0 + MAX_CLOCK_DRIFT_RATIO)
        } else {
            now
        };
        let lessor = Lessor {
            awaiting_first_terms_since: record.granted.then_some(now),
            record: record.clone(),
            stored: None,
            storing: true,
            recovered_at,
            present_max_grant_ms: 0.0,
            earlier_terms_over_at: now,
            stale_store: None,
            unconfirmed: None,
            budgets: BTreeMap::new(),
            holders: BTreeMap::new(),
            pending_requests: VecDeque::new(),
            history: VecDeque::new(),
        };
        (lessor, Action::Store(record))
    }

    /// Returns the site that this lessor serves.
    pub fn site(&self) -> &str {
        &self.record.site
    }

    /// Returns the number of starts, including this one.
    pub fn generation(&self) -> u64 {
        self.record.generation
    }

    /// Returns why nothing new is granted; `None` if new grants are made.
    pub fn grants_blocked(&self, now: Time) -> Option<GrantsBlocked> {
        if let Some(stale_store) = &self.stale_store {
            return Some(GrantsBlocked::StaleStore(stale_store.clone()));
        }
        if now < self.recovered_at {
            return Some(GrantsBlocked::Recovering { left: self.recovered_at.since(now) });
        }
        self.unconfirmed.clone().map(GrantsBlocked::Unconfirmed)
    }

    /// Allows new grants again on an operator's command, once every lease that may have been granted is over.
    pub fn reopen(&mut self, now: Time) {
        self.stale_store = None;
        let leases_over = now + Span::from_ms(self.record.max_grant_ms) * (1.0 + MAX_CLOCK_DRIFT_RATIO);
        self.recovered_at = self.recovered_at.max(leases_over);
        self.log(now, "opened by an operator's word".into(), &mut Vec::new());
    }

    /// Returns the latest few hundred past events, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// Returns the time at which [`Event::Timer`] is due, if no other event comes before.
    pub fn wakes_at(&self, now: Time) -> Option<Time> {
        let expiries = self.budgets.values().filter_map(|budget| budget.next_expiry());
        let divisions = self.budgets.values().filter_map(|budget| budget.next_division(now));
        let recovery = (now < self.recovered_at).then_some(self.recovered_at);
        let shrink_at = self.max_grant_shrinks_at().filter(|at| now < *at);
        expiries.chain(divisions).chain(recovery).chain(shrink_at).min()
    }

    /// Handles an event, and appends the actions that the caller has to perform to `actions`, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Requested(connection, request) => self.on_request(now, connection, request, actions),
            Event::Disconnected(connection) => self.on_disconnected(connection),
            Event::TermsChanged { terms, owned } => self.on_terms(now, terms, &owned, actions),
            Event::OtherSites(confirmed) => self.on_other_sites(now, confirmed, actions),
            Event::Stored(result) => self.on_stored(now, result, actions),
            Event::StaleStore(witness) => self.on_stale_store(now, witness, actions),
            Event::Timer => {}
        }
        self.update_leases(now, actions);
    }

    fn log(&mut self, now: Time, text: String, actions: &mut Vec<Action>) {
        self.history.push_back(HistoryEntry { at: now, text: text.clone() });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        actions.push(Action::Log(text));
    }

    fn on_disconnected(&mut self, connection: Connection) {
        for holder in self.holders.values_mut() {
            if holder.connection == Some(connection) {
                holder.connection = None;
            }
        }
    }

    fn on_other_sites(
        &mut self,
        now: Time,
        confirmed: Result<(), UnconfirmedSites>,
        actions: &mut Vec<Action>,
    ) {
        let unconfirmed = confirmed.err();
        if self.unconfirmed == unconfirmed {
            return;
        }
        let text = match &unconfirmed {
            Some(unconfirmed) => unconfirmed.to_string(),
            None => "all other sites were heard".to_owned(),
        };
        self.log(now, text, actions);
        self.budgets.values_mut().for_each(LeasedBudget::request_division);
        self.unconfirmed = unconfirmed;
    }

    fn on_stale_store(&mut self, now: Time, witness: String, actions: &mut Vec<Action>) {
        if self.stale_store.is_some() {
            return;
        }
        let stale_store = StaleStore { witness };
        self.log(now, format!("nothing new is granted: {stale_store}"), actions);
        self.stale_store = Some(stale_store);
    }

    fn on_terms(
        &mut self,
        now: Time,
        terms: BTreeMap<String, BudgetTerms>,
        owned: &BTreeMap<String, Units>,
        actions: &mut Vec<Action>,
    ) {
        for (name, terms) in &terms {
            self.update_budget(now, name, terms, owned.get(name).copied().unwrap_or(0), actions);
        }
        // A budget that was removed from the document grants nothing, and is removed here once no holder has a lease
        // of it.
        for (name, budget) in &mut self.budgets {
            if !terms.contains_key(name) && budget.owned() > 0 {
                budget.set_owned(0);
            }
        }
        self.budgets.retain(|name, budget| terms.contains_key(name) || !budget.is_unused());
        let max_grant_ms = terms.values().map(|terms| max_grant_time(terms).as_ms()).fold(0.0, f64::max);
        if let Some(started_at) = self.awaiting_first_terms_since.take_if(|_| !terms.is_empty()) {
            // The store may be an old copy with shorter leases than the latest grants have.
            let leases_over = started_at + Span::from_ms(max_grant_ms) * (1.0 + MAX_CLOCK_DRIFT_RATIO);
            self.recovered_at = self.recovered_at.max(leases_over);
        }
        if max_grant_ms > self.record.max_grant_ms {
            self.record.max_grant_ms = max_grant_ms;
            self.store(actions);
        }
    }

    fn update_budget(
        &mut self,
        now: Time,
        name: &str,
        terms: &BudgetTerms,
        owned: Units,
        actions: &mut Vec<Action>,
    ) {
        let total = terms.total;
        let Some(budget) = self.budgets.get_mut(name) else {
            self.budgets.insert(name.to_owned(), LeasedBudget::new(terms.clone(), owned));
            return self.log(now, format!("{name}: {owned} of {total} owned here"), actions);
        };
        let owned_before = budget.owned();
        if *budget.terms() == *terms && owned_before == owned {
            return;
        }
        budget.set_terms(terms.clone());
        budget.set_owned(owned);
        self.log(now, format!("{name}: {owned} of {total} owned here, {owned_before} before"), actions);
    }

    /// Updates the longest grant time under the present terms. Budgets that were removed from the document count
    /// until no holder has a lease of them.
    fn update_present_max_grant(&mut self, now: Time) {
        let longest = self.budgets.values().map(|budget| max_grant_time(budget.terms()).as_ms());
        let present_max_grant_ms = longest.fold(0.0, f64::max);
        if present_max_grant_ms < self.present_max_grant_ms {
            let leases_over = Span::from_ms(self.present_max_grant_ms) * (1.0 + MAX_CLOCK_DRIFT_RATIO);
            self.earlier_terms_over_at = self.earlier_terms_over_at.max(now + leases_over);
        }
        self.present_max_grant_ms = present_max_grant_ms;
    }

    /// Returns the time at which the stored longest grant time may be lowered to that of the present terms: when all
    /// leases of earlier starts and of earlier terms are over. `None` if the stored time is not longer or no terms
    /// are known.
    fn max_grant_shrinks_at(&self) -> Option<Time> {
        let is_stored_longer = self.record.max_grant_ms > self.present_max_grant_ms;
        (is_stored_longer && !self.budgets.is_empty())
            .then(|| self.recovered_at.max(self.earlier_terms_over_at))
    }

    /// Lowers the stored longest grant time if that is allowed by now, because the next start waits for that time.
    fn shrink_max_grant(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.max_grant_shrinks_at().is_some_and(|at| at <= now) {
            self.record.max_grant_ms = self.present_max_grant_ms;
            self.store(actions);
        }
    }

    fn store(&mut self, actions: &mut Vec<Action>) {
        if !self.storing {
            self.storing = true;
            actions.push(Action::Store(self.record.clone()));
        }
    }

    fn on_stored(&mut self, now: Time, result: Result<(), StoreFailed>, actions: &mut Vec<Action>) {
        self.storing = false;
        if let Err(error) = result {
            // The next request triggers another write; nothing is granted before a write succeeds.
            self.pending_requests.clear();
            return self.log(now, format!("nothing is granted, the book can't be kept: {error}"), actions);
        }
        self.stored = Some(self.record.clone());
        for (connection, request) in std::mem::take(&mut self.pending_requests) {
            self.on_request(now, connection, request, actions);
        }
    }

    /// Removes expired leases, makes divisions that are due, and nudges holders that should return units or can get
    /// more.
    fn update_leases(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.update_present_max_grant(now);
        self.shrink_max_grant(now, actions);
        let mut log = Vec::new();
        let mut to_nudge = BTreeSet::new();
        let blocked = self.grants_blocked(now).is_some();
        for (name, budget) in &mut self.budgets {
            for expired in budget.expire(now) {
                let ExpiredLease { holder, units } = expired;
                log.push(format!("{name}: {units} of {holder} are back, its lease is over"));
            }
            if budget.is_division_requested() {
                budget.divide(now);
            }
            if !blocked {
                to_nudge.extend(budget.take_holders_to_nudge());
            }
        }
        for id in to_nudge {
            let Some(holder) = self.holders.get_mut(&id).filter(|holder| !holder.nudged) else { continue };
            if let Some(connection) = holder.connection {
                holder.nudged = true;
                actions.push(Action::Nudge(connection));
            }
        }
        self.holders.retain(|id, _| self.budgets.values().any(|budget| budget.contains(id)));
        log.into_iter().for_each(|text| self.log(now, text, actions));
    }
}
