//! How a lessor answers a lease holder's request.

use super::book::{BudgetBook, RecordedRequest};
use super::{Action, Connection, Holder, HolderId, Lessor, MAX_HOLDERS, REQUESTS_PER_LEASE};
use crate::Units;
use crate::protocol::{GrantLine, LeaseGrant, LeaseRequest, MAX_LINES, RequestLine};
use hazelgrade::time::{Span, Time};

/// Longest time until a holder's next request, in milliseconds.
const MAX_RENEW_WITHIN_MS: f64 = 60_000.0;

/// What determines the answer to a request, the same for all of its lines.
struct Answering {
    now: Time,
    /// Whether nothing new may be granted.
    blocked: bool,
    draining: bool,
    /// Time since the holder last showed that it accepted an answer.
    since_accepted: Span,
}

impl Lessor {
    /// Answers a request, at once or when the record is stored. There is no answer to one that is too long, outdated or
    /// from a holder too many.
    pub(super) fn on_request(
        &mut self,
        now: Time,
        connection: Connection,
        request: LeaseRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = HolderId::of_request(&request);
        self.check_generation(now, &request, actions);
        if request.lines.len() > MAX_LINES
            || (self.holders.len() >= MAX_HOLDERS && !self.holders.contains_key(&id))
            || self.holders.get(&id).is_some_and(|holder| request.sequence <= holder.sequence)
            || !self.may_grant(connection, &request, actions)
        {
            return;
        }
        let last_accepted_at = self.record_holder(now, &id, connection, &request, actions);
        let answering = Answering {
            now,
            blocked: self.grants_blocked(now).is_some(),
            draining: request.draining,
            since_accepted: now.since(last_accepted_at),
        };
        let grant = self.grant(&answering, &id, &request);
        actions.push(Action::Grant(connection, grant));
        if request.draining && !self.budgets.values().any(|book| book.contains(&id)) {
            self.holders.remove(&id);
            self.log(now, format!("{} has left and given all back", id.name), actions);
        }
    }

    /// A holder that knows a later generation shows that the store is an old copy.
    fn check_generation(&mut self, now: Time, request: &LeaseRequest, actions: &mut Vec<Action>) {
        let Some(known) = &request.known_lessor else { return };
        if known.site == self.record.site && known.generation > self.record.generation {
            self.on_stale_store(now, request.holder.clone(), actions);
        }
    }

    /// Whether all that a grant needs is stored. If not, it is stored first and the request waits.
    fn may_grant(
        &mut self,
        connection: Connection,
        request: &LeaseRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.record.granted = true;
        if self.stored.as_ref() == Some(&self.record) {
            return true;
        }
        if self.waiting.len() < MAX_HOLDERS {
            // Of the requests of one holder only the latest counts.
            self.waiting.retain(|(_, other)| {
                (&other.holder, other.incarnation) != (&request.holder, request.incarnation)
            });
            self.waiting.push_back((connection, request.clone()));
        }
        self.store(actions);
        false
    }

    /// Notes a holder's request; returns when the holder last showed that it accepted an answer.
    fn record_holder(
        &mut self,
        now: Time,
        id: &HolderId,
        connection: Connection,
        request: &LeaseRequest,
        actions: &mut Vec<Action>,
    ) -> Time {
        if !self.holders.contains_key(id) {
            self.log(now, format!("{} comes, run {:016x}", id.name, id.incarnation), actions);
        }
        let holder = self.holders.entry(id.clone()).or_insert(Holder {
            sequence: request.sequence,
            last_accepted: request.last_accepted,
            last_accepted_at: now,
            connection: Some(connection),
            last_request_at: now,
            nudged: false,
            known_since: now,
        });
        holder.sequence = request.sequence;
        holder.connection = Some(connection);
        holder.last_request_at = now;
        holder.nudged = false;
        if request.last_accepted > holder.last_accepted {
            holder.last_accepted = request.last_accepted;
            holder.last_accepted_at = now;
        }
        holder.last_accepted_at
    }

    /// The answer to all lines of a request.
    fn grant(&mut self, answering: &Answering, id: &HolderId, request: &LeaseRequest) -> LeaseGrant {
        let mut renew_within = Span::from_ms(MAX_RENEW_WITHIN_MS);
        let mut lines = Vec::new();
        for line in &request.lines {
            let Some(book) = self.budgets.get_mut(&line.budget) else {
                lines.push(empty_grant_line(&line.budget));
                continue;
            };
            let granted = book.answer(answering, id, line);
            renew_within = renew_within.min(Span::from_ms(granted.lease_ms) * (1.0 / REQUESTS_PER_LEASE));
            lines.push(granted);
        }
        LeaseGrant {
            lessor: self.record.site.clone(),
            generation: self.record.generation,
            sequence: request.sequence,
            renew_within_ms: renew_within.as_ms(),
            lines,
        }
    }
}

/// The answer for a budget that the document does not have.
fn empty_grant_line(budget: &str) -> GrantLine {
    GrantLine { budget: budget.to_owned(), units: 0, lease_ms: 0.0, max_use_ms: 0.0, retry_after_ms: None }
}

impl BudgetBook {
    /// Books what a request says of this budget, and grants units.
    fn answer(&mut self, answering: &Answering, id: &HolderId, line: &RequestLine) -> GrantLine {
        let Answering { now, blocked, draining, .. } = *answering;
        self.expire(now);
        if draining && line.held == 0 {
            self.remove(id);
            return self.grant_line(line, 0, None);
        }
        let regrantable = self.regrantable(id, line, blocked);
        let unresponsive = answering.since_accepted > self.terms.lease;
        let recorded = self.record_request(now, id, line, draining, unresponsive);
        self.update_target(now, id, recorded, draining || unresponsive);
        let target = if blocked { regrantable } else { self.leases.get(id).map_or(0, |lease| lease.target) };
        let booked_by_others = self.booked() - u64::from(line.held);
        let room = if blocked { 0 } else { u64::from(self.leasable()).saturating_sub(booked_by_others) };
        let units = target.min(u64::from(regrantable).max(room) as Units);
        self.record_grant(now, id, line, units);
        let is_short = line.wanted > units + line.unleased;
        let retry_after = is_short.then(|| self.terms.lease * (1.0 / REQUESTS_PER_LEASE));
        self.grant_line(line, units, retry_after)
    }

    /// What may be granted without free units: what the holder both says it holds and is booked for. The booking bounds
    /// it because a request that was delayed for long says what was held then. While grants are blocked after a start,
    /// there may be no booking yet, and what the holder says is taken for it.
    fn regrantable(&self, id: &HolderId, line: &RequestLine, blocked: bool) -> Units {
        let booked = match self.leases.get(id) {
            Some(lease) => lease.booked,
            None if blocked => line.held,
            None => 0,
        };
        line.held.min(booked)
    }

    /// Divides again if a holder is new or changed. For a new one that comes too soon after a division, the target is
    /// its minimum share.
    fn update_target(&mut self, now: Time, id: &HolderId, recorded: RecordedRequest, gets_nothing: bool) {
        if recorded.is_new || recorded.changed {
            self.divide(now);
        }
        let min_share = if gets_nothing { 0 } else { self.terms.min_share };
        if recorded.is_new
            && self.is_division_requested()
            && let Some(lease) = self.leases.get_mut(id)
        {
            lease.target = lease.target.max(min_share);
        }
    }

    fn grant_line(&self, line: &RequestLine, units: Units, retry_after: Option<Span>) -> GrantLine {
        GrantLine {
            budget: line.budget.clone(),
            units,
            lease_ms: self.terms.lease.as_ms(),
            max_use_ms: self.terms.max_use_time.as_ms(),
            retry_after_ms: retry_after.map(|span| span.as_ms()),
        }
    }
}
