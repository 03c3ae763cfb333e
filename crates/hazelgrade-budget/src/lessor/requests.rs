//! A lessor's answers to lease holders' requests.

use super::leased_budget::{LeasedBudget, RecordedRequest};
use super::{Action, Connection, Holder, HolderId, Lessor, MAX_HOLDERS, REQUESTS_PER_LEASE};
use crate::Units;
use crate::protocol::{GrantLine, LeaseGrant, LeaseRequest, MAX_LINES, RequestLine};
use hazelgrade::time::{Span, Time};

/// Longest time until a holder has to send its next request, in milliseconds.
const MAX_RENEW_WITHIN_MS: f64 = 60_000.0;

/// State that determines the answer to a request and is the same for all of its lines.
struct AnswerContext {
    now: Time,
    /// Whether new grants are blocked.
    blocked: bool,
    draining: bool,
    /// Time since a request last showed that the holder had accepted an answer.
    since_accepted: Span,
}

impl Lessor {
    /// Answers a request, at once or as soon as the record is stored. A request is not answered if it has too many
    /// lines, is no later than a request already handled, or comes from a new holder when there are [`MAX_HOLDERS`].
    pub(super) fn on_request(
        &mut self,
        now: Time,
        connection: Connection,
        request: LeaseRequest,
        actions: &mut Vec<Action>,
    ) {
        let id = HolderId::from_request(&request);
        self.check_generation(now, &request, actions);
        if request.lines.len() > MAX_LINES
            || (self.holders.len() >= MAX_HOLDERS && !self.holders.contains_key(&id))
            || self.holders.get(&id).is_some_and(|holder| request.sequence <= holder.sequence)
            || !self.ensure_record_stored(connection, &request, actions)
        {
            return;
        }
        let last_accepted_at = self.record_holder(now, &id, connection, &request, actions);
        let context = AnswerContext {
            now,
            blocked: self.grants_blocked(now).is_some(),
            draining: request.draining,
            since_accepted: now.since(last_accepted_at),
        };
        let grant = self.grant(&context, &id, &request);
        actions.push(Action::Grant(connection, grant));
        if request.draining && !self.budgets.values().any(|budget| budget.contains(&id)) {
            self.holders.remove(&id);
            self.log(now, format!("{} has left and given all back", id.name), actions);
        }
    }

    /// Blocks grants if the holder knows a later generation of this lessor, because the store then is an old copy.
    fn check_generation(&mut self, now: Time, request: &LeaseRequest, actions: &mut Vec<Action>) {
        let Some(known) = &request.known_lessor else { return };
        if known.site == self.record.site && known.generation > self.record.generation {
            self.on_stale_store(now, request.holder.clone(), actions);
        }
    }

    /// Returns whether the record is stored, as a grant requires. If it is not, the record is stored first and the
    /// request is queued until then.
    fn ensure_record_stored(
        &mut self,
        connection: Connection,
        request: &LeaseRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.record.granted = true;
        if self.stored.as_ref() == Some(&self.record) {
            return true;
        }
        if self.pending_requests.len() < MAX_HOLDERS {
            // Only the latest request of a holder is answered.
            self.pending_requests.retain(|(_, other)| {
                (&other.holder, other.incarnation) != (&request.holder, request.incarnation)
            });
            self.pending_requests.push_back((connection, request.clone()));
        }
        self.store(actions);
        false
    }

    /// Records that a holder sent a request. Returns the time at which the holder last showed that it had accepted an
    /// answer.
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

    /// Grants units for all lines of a request, and returns the answer.
    fn grant(&mut self, context: &AnswerContext, id: &HolderId, request: &LeaseRequest) -> LeaseGrant {
        let mut renew_within = Span::from_ms(MAX_RENEW_WITHIN_MS);
        let mut lines = Vec::new();
        for line in &request.lines {
            let Some(budget) = self.budgets.get_mut(&line.budget) else {
                lines.push(empty_grant_line(&line.budget));
                continue;
            };
            let granted = budget.answer(context, id, line);
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

/// Returns the answer for a budget that is not in the document.
fn empty_grant_line(budget: &str) -> GrantLine {
    GrantLine { budget: budget.to_owned(), units: 0, lease_ms: 0.0, max_use_ms: 0.0, retry_after_ms: None }
}

impl LeasedBudget {
    /// Records one line of a request and grants units for it.
    fn answer(&mut self, context: &AnswerContext, id: &HolderId, line: &RequestLine) -> GrantLine {
        let AnswerContext { now, blocked, draining, .. } = *context;
        self.expire(now);
        if draining && line.held == 0 {
            self.remove(id);
            return self.grant_line(line, 0, None);
        }
        let regrantable = self.regrantable(id, line, blocked);
        let unresponsive = context.since_accepted > self.terms.lease;
        let recorded = self.record_request(now, id, line, draining, unresponsive);
        self.update_target(now, id, recorded, draining || unresponsive);
        let target = if blocked { regrantable } else { self.leases.get(id).map_or(0, |lease| lease.target) };
        let booked_by_others = self.booked() - u64::from(line.held);
        let available = if blocked { 0 } else { u64::from(self.leasable()).saturating_sub(booked_by_others) };
        let units = target.min(u64::from(regrantable).max(available) as Units);
        self.record_grant(now, id, line, units);
        let is_below_demand = line.wanted > units + line.unleased;
        let retry_after = is_below_demand.then(|| self.terms.lease * (1.0 / REQUESTS_PER_LEASE));
        self.grant_line(line, units, retry_after)
    }

    /// Returns the units that may be granted although no units are free: units that the request states as held and
    /// that are booked for the holder. The booking is the upper limit, because a request that was delayed for long
    /// states what was held when it was sent. While grants are blocked after a start, the holder may not be booked
    /// for any units yet; the units that the request states as held then count as booked.
    fn regrantable(&self, id: &HolderId, line: &RequestLine, blocked: bool) -> Units {
        let booked = match self.leases.get(id) {
            Some(lease) => lease.booked,
            None if blocked => line.held,
            None => 0,
        };
        line.held.min(booked)
    }

    /// Divides the budget again if a holder is new or has changed. The target of a new holder that arrives too soon
    /// after the latest division for another one is its minimum share.
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
