//! A site's lessor of budgets, as a state machine: requests and the time come in, grants and what has to be stored
//! go out.
//!
//! The lessor books for each lease holder the most units that it may hold: what its latest request says, or what
//! was granted in the answer, whichever is more. It grants no more than the owned units leave free beyond the sum
//! of all bookings. Units of a holder are free again when its request says that it no longer holds
//! them, or when its lease and the longest use are certainly over.
//!
//! A lessor that starts knows no holder. Until every lease that an earlier start may have granted is over, it
//! grants each holder no more than its request says it holds: that was granted before and is still in use.

mod book;
mod division;
mod events;
mod report;
mod requests;

pub use events::{Action, Connection, Event, GrantsBlocked, HistoryEntry, StaleStore, StoreFailed};
pub use report::{BudgetBalance, BudgetReport, LeaseReport};

use crate::ownership::UnconfirmedSites;
use crate::protocol::LeaseRequest;
use crate::stored::LessorRecord;
use crate::terms::BudgetTerms;
use crate::{MAX_CLOCK_DRIFT_RATIO, Units};
use book::{BudgetBook, ExpiredLease};
use hazelgrade::time::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The most lease holders known at once. A further one gets no answer until one is removed.
pub const MAX_HOLDERS: usize = 8192;
/// Requests that a holder sends during one lease.
const REQUESTS_PER_LEASE: f64 = 5.0;
/// Events that are remembered for [`Lessor::history`].
const MAX_HISTORY: usize = 256;

/// A lease holder: its name, and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HolderId {
    name: String,
    incarnation: u64,
}

impl HolderId {
    fn of_request(request: &LeaseRequest) -> HolderId {
        HolderId { name: request.holder.clone(), incarnation: request.incarnation }
    }
}

/// What the lessor knows of a lease holder besides its leases.
#[derive(Clone, Debug)]
struct Holder {
    /// Sequence number of its latest request.
    sequence: u64,
    /// Sequence number of its latest request whose answer it accepted, and when the lessor learned that.
    last_accepted: u64,
    last_accepted_at: Time,
    connection: Option<Connection>,
    last_request_at: Time,
    /// Whether it was nudged since its latest request.
    nudged: bool,
    known_since: Time,
}

/// The lessor of one site.
#[derive(Clone, Debug)]
pub struct Lessor {
    record: LessorRecord,
    /// The record as it is known to be stored.
    stored: Option<LessorRecord>,
    /// Whether the record is being written.
    storing: bool,
    /// Leases of earlier starts may be in use before this.
    recovered_at: Time,
    /// When this start was, until its first terms are known, if an earlier start granted anything.
    awaiting_first_terms_since: Option<Time>,
    /// The longest time for which a grant by the present terms may be used, in milliseconds.
    present_max_grant_ms: f64,
    /// Leases by earlier terms of this start may be in use before this.
    earlier_terms_until: Time,
    /// Set if the store is an old copy: nothing new is granted until an operator reopens the lessor.
    stale_store: Option<StaleStore>,
    /// Other sites that are still to report.
    unconfirmed: Option<UnconfirmedSites>,
    budgets: BTreeMap<String, BudgetBook>,
    holders: BTreeMap<HolderId, Holder>,
    /// Requests that wait for the record to be stored.
    waiting: VecDeque<(Connection, LeaseRequest)>,
    history: VecDeque<HistoryEntry>,
}

/// How long a grant may be used at most, by the lessor's clock.
fn max_grant_time(terms: &BudgetTerms) -> Span {
    (terms.lease + terms.max_use_time) * (1.0 + MAX_CLOCK_DRIFT_RATIO)
}

/// `units`, or the largest value of [`Units`] if that is less.
fn saturated(units: u64) -> Units {
    units.min(u64::from(Units::MAX)) as Units
}

impl Lessor {
    /// A lessor at its start. `record` is what the previous start stored; the returned action stores the new one.
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
            earlier_terms_until: now,
            stale_store: None,
            unconfirmed: None,
            budgets: BTreeMap::new(),
            holders: BTreeMap::new(),
            waiting: VecDeque::new(),
            history: VecDeque::new(),
        };
        (lessor, Action::Store(record))
    }

    /// The site that this lessor serves.
    pub fn site(&self) -> &str {
        &self.record.site
    }

    /// Number of starts, this one included.
    pub fn generation(&self) -> u64 {
        self.record.generation
    }

    /// Why nothing new is granted, or `None` if grants are made.
    pub fn grants_blocked(&self, now: Time) -> Option<GrantsBlocked> {
        if let Some(stale_store) = &self.stale_store {
            return Some(GrantsBlocked::StaleStore(stale_store.clone()));
        }
        if now < self.recovered_at {
            return Some(GrantsBlocked::Recovering { left: self.recovered_at.since(now) });
        }
        self.unconfirmed.clone().map(GrantsBlocked::Unconfirmed)
    }

    /// Allows grants again on an operator's command, from when every lease that may have been granted is over.
    pub fn reopen(&mut self, now: Time) {
        self.stale_store = None;
        let leases_over = now + Span::from_ms(self.record.max_grant_ms) * (1.0 + MAX_CLOCK_DRIFT_RATIO);
        self.recovered_at = self.recovered_at.max(leases_over);
        self.log(now, "opened by an operator's word".into(), &mut Vec::new());
    }

    /// Past events, oldest first; the latest few hundred.
    pub fn history(&self) -> impl Iterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// When [`Event::Timer`] is due, if no other event comes before.
    pub fn wakes_at(&self, now: Time) -> Option<Time> {
        let expiries = self.budgets.values().filter_map(|book| book.next_expiry());
        let divisions = self.budgets.values().filter_map(|book| book.next_division(now));
        let recovery = (now < self.recovered_at).then_some(self.recovered_at);
        let shorter = self.max_grant_shrinks_at().filter(|at| now < *at);
        expiries.chain(divisions).chain(recovery).chain(shorter).min()
    }

    /// Takes in an event; what the caller is to do is added to `actions`, in order.
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
        self.settle(now, actions);
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
        self.budgets.values_mut().for_each(BudgetBook::request_division);
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
        // A budget that is gone from the document grants nothing, and is forgotten when nobody holds any of it.
        for (name, book) in &mut self.budgets {
            if !terms.contains_key(name) && book.owned() > 0 {
                book.set_owned(0);
            }
        }
        self.budgets.retain(|name, book| terms.contains_key(name) || !book.is_unused());
        let max_grant_ms = terms.values().map(|terms| max_grant_time(terms).as_ms()).fold(0.0, f64::max);
        if let Some(started_at) = self.awaiting_first_terms_since.take_if(|_| !terms.is_empty()) {
            // An old copy of the store may know shorter terms than those of the latest grants.
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
        let Some(book) = self.budgets.get_mut(name) else {
            self.budgets.insert(name.to_owned(), BudgetBook::new(terms.clone(), owned));
            return self.log(now, format!("{name}: {owned} of {total} owned here"), actions);
        };
        let owned_before = book.owned();
        if *book.terms() == *terms && owned_before == owned {
            return;
        }
        book.set_terms(terms.clone());
        book.set_owned(owned);
        self.log(now, format!("{name}: {owned} of {total} owned here, {owned_before} before"), actions);
    }

    /// Notes the longest grant by the present terms. Those of budgets that are gone from the document count until nobody
    /// holds any of them.
    fn update_present_max_grant(&mut self, now: Time) {
        let longest = self.budgets.values().map(|book| max_grant_time(book.terms()).as_ms());
        let present_max_grant_ms = longest.fold(0.0, f64::max);
        if present_max_grant_ms < self.present_max_grant_ms {
            let leases_over = Span::from_ms(self.present_max_grant_ms) * (1.0 + MAX_CLOCK_DRIFT_RATIO);
            self.earlier_terms_until = self.earlier_terms_until.max(now + leases_over);
        }
        self.present_max_grant_ms = present_max_grant_ms;
    }

    /// When the stored longest grant may be lowered to that of the present terms: once all leases of earlier starts and
    /// of earlier terms are over. `None` if it is not longer, or no terms are known.
    fn max_grant_shrinks_at(&self) -> Option<Time> {
        let is_longer = self.record.max_grant_ms > self.present_max_grant_ms;
        (is_longer && !self.budgets.is_empty()).then(|| self.recovered_at.max(self.earlier_terms_until))
    }

    /// Lowers the stored longest grant if it may be: the next start waits for so long.
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
            // The next request tries again; nothing is granted meanwhile.
            self.waiting.clear();
            return self.log(now, format!("nothing is granted, the book can't be kept: {error}"), actions);
        }
        self.stored = Some(self.record.clone());
        for (connection, request) in std::mem::take(&mut self.waiting) {
            self.on_request(now, connection, request, actions);
        }
    }

    /// Removes leases that are over, divides budgets again where that is due, and nudges holders that are to return
    /// units or can have more.
    fn settle(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.update_present_max_grant(now);
        self.shrink_max_grant(now, actions);
        let mut log = Vec::new();
        let mut to_nudge = BTreeSet::new();
        let blocked = self.grants_blocked(now).is_some();
        for (name, book) in &mut self.budgets {
            for expired in book.expire(now) {
                let ExpiredLease { holder, units } = expired;
                log.push(format!("{name}: {units} of {holder} are back, its lease is over"));
            }
            if book.is_division_requested() {
                book.divide(now);
            }
            if !blocked {
                to_nudge.extend(book.take_holders_to_nudge());
            }
        }
        for id in to_nudge {
            let Some(holder) = self.holders.get_mut(&id).filter(|holder| !holder.nudged) else { continue };
            if let Some(connection) = holder.connection {
                holder.nudged = true;
                actions.push(Action::Nudge(connection));
            }
        }
        self.holders.retain(|id, _| self.budgets.values().any(|book| book.contains(id)));
        log.into_iter().for_each(|text| self.log(now, text, actions));
    }
}
