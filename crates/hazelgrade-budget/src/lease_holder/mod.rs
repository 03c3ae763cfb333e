//! The lease holder of a node, as a state machine: its inputs are the time, grants and the node's usage, its outputs
//! are lease requests. [`LeaseHolder::entitlement`] returns what the node may use at any time.
//!
//! A lease counts from the time of its request, on a monotonic clock. Only the answer to the latest request is
//! accepted; an answer that is late, duplicated or from an earlier generation of the lessor changes nothing. After
//! the lease has expired, only unleased units may be used for new work. Work in flight continues, and its units count
//! as in use until it ends.

mod lease;

pub use lease::{Entitlement, Usage};

use crate::Units;
use crate::protocol::{KnownLessor, LeaseGrant, LeaseRequest, MAX_LINES};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use lease::{HeldLease, bounded_span};
use std::collections::BTreeMap;

/// Time between requests until a lessor has stated one, in milliseconds.
const INITIAL_RENEW_WITHIN_MS: f64 = 300.0;
/// Shortest time between requests, regardless of what a lessor states, in milliseconds.
const MIN_REQUEST_GAP_MS: f64 = 5.0;
/// Longest time between requests, regardless of what a lessor states, in milliseconds.
const MAX_RENEW_WITHIN_MS: f64 = 60_000.0;
/// Upper limit of the exponential backoff, as a multiple of the usual time between requests: half a lease. A request
/// without an answer is abandoned after the usual time, the next one after twice that time, and so on. If requests
/// were sent faster than answers arrive, no answer would ever be accepted.
const MAX_BACKOFF_FACTOR: f64 = 2.5;
/// Limit of the doublings that are computed; [`MAX_BACKOFF_FACTOR`] limits the backoff before this one is reached.
const MAX_BACKOFF_DOUBLINGS: i32 = 8;
/// Ratio by which the time between requests varies at random, so that the nodes of a fleet do not send in step.
const JITTER_RATIO: f64 = 0.2;

/// State of the latest request.
#[derive(Clone, Debug, Default)]
struct LatestRequest {
    sequence: u64,
    sent_at: Option<Time>,
    /// Time at which the request was sent, as long as its answer is awaited.
    awaited_since: Option<Time>,
    /// Number of consecutive requests before this one that were abandoned without an answer.
    unanswered: i32,
    /// Whether usage changed or a nudge arrived after the request, so that the next request follows the answer at
    /// once.
    is_outdated: bool,
}

/// A node's leases of all budgets that bind the node, from one lessor.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    name: String,
    incarnation: u64,
    latest_request: LatestRequest,
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
    /// Creates a lease holder without any lease.
    ///
    /// `incarnation` is a random number drawn by each process at its start, `unleased` are the units that this node
    /// may use without a lease, by budget, and `random` is the source of the jitter between requests.
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
            latest_request: LatestRequest::default(),
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

    /// Sets the budgets that bind the node, at most [`MAX_LINES`]. Other budgets are kept only while the node has
    /// units of them. The next request is due at once.
    pub fn bind(&mut self, now: Time, budgets: &[String]) {
        for budget in budgets.iter().take(MAX_LINES) {
            self.leases.entry(budget.clone()).or_default();
        }
        self.leases.retain(|budget, lease| budgets.contains(budget) || lease.has_units(now));
        self.next_request_at = now;
    }

    /// Returns what the node may use of a budget: [`Entitlement::NONE`] if the budget does not bind the node.
    pub fn entitlement(&self, now: Time, budget: &str) -> Entitlement {
        self.leases.get(budget).map_or(Entitlement::NONE, |lease| lease.entitlement(now))
    }

    /// Records the node's usage of a budget. The next request is due at once if demand grew and exceeds the usable
    /// units, or if units that were in use in excess of the usable ones became free.
    pub fn record_usage(&mut self, now: Time, budget: &str, usage: Usage) {
        let Some(lease) = self.leases.get_mut(budget) else { return };
        if lease.record_usage(now, usage) {
            self.request_soon(now);
        }
    }

    /// Makes the next request due as soon as the minimum gap allows or, if an answer is awaited, after that answer.
    fn request_soon(&mut self, now: Time) {
        if self.latest_request.awaited_since.is_some() {
            self.latest_request.is_outdated = true;
            return;
        }
        let earliest = self.latest_request.sent_at.map_or(now, |at| at + Span::from_ms(MIN_REQUEST_GAP_MS));
        self.next_request_at = self.next_request_at.min(earliest.max(now));
    }

    /// Handles a nudge of the lessor: the next request is due as soon as possible.
    pub fn on_nudge(&mut self, now: Time) {
        self.request_soon(now);
    }

    /// Handles a new connection to the lessor. Requests on an earlier connection are no longer answered, so the next
    /// request is due at once.
    pub fn on_connected(&mut self, now: Time) {
        self.next_request_at = now;
        self.latest_request.awaited_since = None;
        self.latest_request.unanswered = 0;
    }

    /// Starts the drain: from now on the holder wants no units, and returns its units as they become free.
    pub fn start_drain(&mut self, now: Time) {
        self.draining = true;
        // An answer to an earlier request would be outdated, so the next request does not wait for it.
        self.latest_request.awaited_since = None;
        self.next_request_at = now;
    }

    /// Returns the time at which the next request is due.
    pub fn next_request_at(&self) -> Time {
        self.next_request_at
    }

    /// Returns the request that is due, if there is one. The caller has to send it: the holder regards it as sent.
    pub fn take_request(&mut self, now: Time) -> Option<LeaseRequest> {
        if now < self.next_request_at || self.leases.is_empty() {
            return None;
        }
        let unanswered =
            if self.latest_request.awaited_since.is_some() { self.latest_request.unanswered + 1 } else { 0 };
        self.latest_request = LatestRequest {
            sequence: self.latest_request.sequence + 1,
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
            sequence: self.latest_request.sequence,
            last_accepted: self.last_accepted,
            known_lessor: self.known_lessor.clone(),
            draining,
            lines: lines.collect(),
        })
    }

    fn jitter_factor(&mut self) -> f64 {
        1.0 + JITTER_RATIO * (self.random.next_f64() - 0.5)
    }

    /// Applies a grant. Returns `false` if the grant is ignored, because it does not answer the latest request or
    /// comes from an earlier generation of the lessor.
    pub fn on_grant(&mut self, now: Time, grant: &LeaseGrant) -> bool {
        // A lease counts from the time of its request, which is kept for the latest request only.
        let answered =
            self.latest_request.awaited_since.filter(|_| grant.sequence == self.latest_request.sequence);
        let Some(requested_at) = answered.filter(|_| !self.is_of_earlier_generation(grant)) else {
            self.ignored_grants += 1;
            return false;
        };
        self.latest_request.awaited_since = None;
        self.latest_request.unanswered = 0;
        self.last_accepted = grant.sequence;
        self.known_lessor = Some(KnownLessor { site: grant.lessor.clone(), generation: grant.generation });
        let min_renew_within = Span::from_ms(MIN_REQUEST_GAP_MS);
        self.renew_within = bounded_span(grant.renew_within_ms, MAX_RENEW_WITHIN_MS).max(min_renew_within);
        let jitter = self.jitter_factor();
        self.next_request_at = now.max(requested_at + self.renew_within * jitter);
        for line in &grant.lines {
            if let Some(lease) = self.leases.get_mut(&line.budget) {
                lease.apply_grant(now, requested_at, line, self.draining);
            }
        }
        if self.latest_request.is_outdated || self.leases.values().any(HeldLease::is_shrunk) {
            self.request_soon(now);
        }
        true
    }

    fn is_of_earlier_generation(&self, grant: &LeaseGrant) -> bool {
        self.known_lessor
            .as_ref()
            .is_some_and(|known| known.site == grant.lessor && grant.generation < known.generation)
    }

    /// Whether no units are in use and all leases have been returned or have expired.
    pub fn has_returned_all(&self, now: Time) -> bool {
        self.leases.values().all(|lease| lease.is_returned(now))
    }

    /// Returns the random number that this process drew at its start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the number of grants that were ignored: late, duplicated, or from an earlier generation of the lessor.
    pub fn ignored_grants(&self) -> u64 {
        self.ignored_grants
    }

    /// Returns the names of the budgets that bind the node, and of those of which the node still has units.
    pub fn budgets(&self) -> impl Iterator<Item = &String> {
        self.leases.keys()
    }
}
