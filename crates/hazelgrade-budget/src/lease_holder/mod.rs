//! A node's side of budgets, as a state machine: the time, grants and what is in use come in, requests go out. At any
//! time [`LeaseHolder::entitlement`] is what may be used.
//!
//! A lease counts from its request, on a monotonic clock. Only the answer to the latest request is accepted: one
//! that is late, doubled or from an earlier generation of the lessor changes nothing. After the lease only unleased
//! units may be used; work that is in flight then goes on, and counts until it ends.

mod lease;

pub use lease::{Entitlement, Usage};

use crate::Units;
use crate::protocol::{KnownLessor, LeaseGrant, LeaseRequest, MAX_LINES};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use lease::{HeldLease, bounded_span};
use std::collections::BTreeMap;

/// Time between requests until a lessor states one, in milliseconds.
const INITIAL_RENEW_WITHIN_MS: f64 = 300.0;
/// Shortest time between requests, whatever a lessor states, in milliseconds.
const MIN_REQUEST_GAP_MS: f64 = 5.0;
/// Longest time between requests, whatever a lessor states, in milliseconds.
const MAX_RENEW_WITHIN_MS: f64 = 60_000.0;
/// A request without an answer is given up after the usual time between requests, the next one after twice that, and so
/// on up to this many times the usual time: half a lease. If requests followed faster than answers arrive, no answer
/// would ever be accepted.
const MAX_BACKOFF_FACTOR: f64 = 2.5;
/// The most doublings that are computed; [`MAX_BACKOFF_FACTOR`] bounds the time before that.
const MAX_BACKOFF_DOUBLINGS: i32 = 8;
/// Ratio by which times between requests vary at random, so that a fleet does not send them in step.
const JITTER_RATIO: f64 = 0.2;

/// The latest request.
#[derive(Clone, Debug, Default)]
struct LatestRequest {
    sequence: u64,
    sent_at: Option<Time>,
    /// When it was sent, while an answer to it is awaited.
    awaited_since: Option<Time>,
    /// Requests before it that were given up without an answer, in a row.
    unanswered: i32,
    /// Whether something changed since, so that the next request follows its answer at once.
    is_outdated: bool,
}

/// A node's leases of all budgets that bind it, from one lessor.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    name: String,
    incarnation: u64,
    latest: LatestRequest,
    /// Sequence number of the latest request whose answer was accepted.
    last_accepted: u64,
    known_lessor: Option<KnownLessor>,
    renew_within: Span,
    next_request_at: Time,
    draining: bool,
    leases: BTreeMap<String, HeldLease>,
    random: MultiplyWithCarry,
    ignored_grants: u64,
}

impl LeaseHolder {
    /// A holder without any lease.
    ///
    /// `incarnation` is drawn at random by each process; `unleased` are the units that this node may use without a
    /// lease, by budget; `random` draws the jitter between requests.
    pub fn new(
        now: Time,
        name: &str,
        incarnation: u64,
        unleased: &BTreeMap<String, Units>,
        random: MultiplyWithCarry,
    ) -> LeaseHolder {
        let leases =
            unleased.iter().map(|(budget, units)| (budget.clone(), HeldLease::unleased_only(*units)));
        LeaseHolder {
            name: name.to_owned(),
            incarnation,
            latest: LatestRequest::default(),
            last_accepted: 0,
            known_lessor: None,
            renew_within: Span::from_ms(INITIAL_RENEW_WITHIN_MS),
            next_request_at: now,
            draining: false,
            leases: leases.collect(),
            random,
            ignored_grants: 0,
        }
    }

    /// Binds the node by these budgets, at most [`MAX_LINES`]. Others stay only while the node has units of them.
    pub fn bind(&mut self, now: Time, budgets: &[String]) {
        for budget in budgets.iter().take(MAX_LINES) {
            self.leases.entry(budget.clone()).or_default();
        }
        self.leases.retain(|budget, lease| budgets.contains(budget) || lease.has_units(now));
        self.next_request_at = now;
    }

    /// What may be used of a budget; nothing of one that does not bind the node.
    pub fn entitlement(&self, now: Time, budget: &str) -> Entitlement {
        self.leases.get(budget).map_or(Entitlement::NONE, |lease| lease.entitlement(now))
    }

    /// Notes what is in use of a budget. A request follows at once if more is wanted than may be used, or if units
    /// beyond that came out of use.
    pub fn record_usage(&mut self, now: Time, budget: &str, usage: Usage) {
        let Some(lease) = self.leases.get_mut(budget) else { return };
        if lease.record_usage(now, usage) {
            self.request_soon(now);
        }
    }

    /// Makes the next request due as soon as the gap between requests allows, or after the awaited answer.
    fn request_soon(&mut self, now: Time) {
        if self.latest.awaited_since.is_some() {
            self.latest.is_outdated = true;
            return;
        }
        let earliest = self.latest.sent_at.map_or(now, |at| at + Span::from_ms(MIN_REQUEST_GAP_MS));
        self.next_request_at = self.next_request_at.min(earliest.max(now));
    }

    /// The lessor wants a request at once.
    pub fn on_nudge(&mut self, now: Time) {
        self.request_soon(now);
    }

    /// A connection to the lessor is up; requests on an earlier one are not answered any more.
    pub fn on_connected(&mut self, now: Time) {
        self.next_request_at = now;
        self.latest.awaited_since = None;
        self.latest.unanswered = 0;
    }

    /// Wants nothing from now on, and returns units as they become free.
    pub fn start_drain(&mut self, now: Time) {
        self.draining = true;
        // An answer that is still to come is outdated: the next request follows at once.
        self.latest.awaited_since = None;
        self.next_request_at = now;
    }

    /// When the next request is due.
    pub fn next_request_at(&self) -> Time {
        self.next_request_at
    }

    /// The request that is due, if one is; it counts as sent.
    pub fn take_request(&mut self, now: Time) -> Option<LeaseRequest> {
        if now < self.next_request_at || self.leases.is_empty() {
            return None;
        }
        let unanswered = if self.latest.awaited_since.is_some() { self.latest.unanswered + 1 } else { 0 };
        self.latest = LatestRequest {
            sequence: self.latest.sequence + 1,
            sent_at: Some(now),
            awaited_since: Some(now),
            unanswered,
            is_outdated: false,
        };
        let jitter = self.jitter_factor();
        let backoff = 2f64.powi(unanswered.min(MAX_BACKOFF_DOUBLINGS)).min(MAX_BACKOFF_FACTOR);
        self.next_request_at = now + self.renew_within * (jitter * backoff);
        let draining = self.draining;
        let lines = self.leases.iter_mut().map(|(budget, lease)| lease.request_line(now, budget, draining));
        Some(LeaseRequest {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.latest.sequence,
            last_accepted: self.last_accepted,
            known_lessor: self.known_lessor.clone(),
            draining,
            lines: lines.collect(),
        })
    }

    fn jitter_factor(&mut self) -> f64 {
        1.0 + JITTER_RATIO * (self.random.next_f64() - 0.5)
    }

    /// Applies a grant. Returns `false` if it is ignored because it does not answer the latest request or is of an
    /// earlier generation.
    pub fn on_grant(&mut self, now: Time, grant: &LeaseGrant) -> bool {
        // A lease counts from its request: an answer to any other is of no use.
        let answered = self.latest.awaited_since.filter(|_| grant.sequence == self.latest.sequence);
        let Some(requested_at) = answered.filter(|_| !self.is_of_earlier_generation(grant)) else {
            self.ignored_grants += 1;
            return false;
        };
        self.latest.awaited_since = None;
        self.latest.unanswered = 0;
        self.last_accepted = grant.sequence;
        self.known_lessor = Some(KnownLessor { site: grant.lessor.clone(), generation: grant.generation });
        let least = Span::from_ms(MIN_REQUEST_GAP_MS);
        self.renew_within = bounded_span(grant.renew_within_ms, MAX_RENEW_WITHIN_MS).max(least);
        let jitter = self.jitter_factor();
        self.next_request_at = now.max(requested_at + self.renew_within * jitter);
        for line in &grant.lines {
            if let Some(lease) = self.leases.get_mut(&line.budget) {
                lease.apply_grant(now, requested_at, line, self.draining);
            }
        }
        if self.latest.is_outdated || self.leases.values().any(HeldLease::is_shrunk) {
            self.request_soon(now);
        }
        true
    }

    fn is_of_earlier_generation(&self, grant: &LeaseGrant) -> bool {
        self.known_lessor
            .as_ref()
            .is_some_and(|known| known.site == grant.lessor && grant.generation < known.generation)
    }

    /// Whether nothing is in use and all leases are returned or over.
    pub fn has_returned_all(&self, now: Time) -> bool {
        self.leases.values().all(|lease| lease.is_returned(now))
    }

    /// The number that this process drew at its start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Grants that were ignored: late, doubled, or of an earlier generation.
    pub fn ignored_grants(&self) -> u64 {
        self.ignored_grants
    }

    /// The budgets that bind the node.
    pub fn budgets(&self) -> impl Iterator<Item = &String> {
        self.leases.keys()
    }
}
