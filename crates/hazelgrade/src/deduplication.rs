//! Idempotency records of keyed jobs. A record is kept until no retry of its job can arrive any more, so that the job
//! runs only once.

use crate::api::{Job, JobId};
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// The idempotency record of a keyed job.
struct Record {
    /// Until when a retry of the job may be received.
    expires: Time,
    /// Until when a retry that was received before `expires` may still be read and refer to the job.
    retained_until: Time,
    job_class: usize,
    received_at: Time,
    /// When the record was created. A retry received between `received_at` and `stored_at` can't have been linked to
    /// the record.
    stored_at: Time,
    is_retry: bool,
    has_run: bool,
}

impl Record {
    /// Returns whether the recorded job has run and `job`, which is linked to no record, may be a duplicate of it.
    /// There are two conditions: both jobs waited unread on the machine at the same time, and one of them is marked as
    /// a retry. If callers don't mark retries, the second condition is instead that the jobs were received at least
    /// `min_gap` apart, the shortest time that a caller waits before a retry.
    fn may_be_duplicated_by(&self, job: &Job, read_at: Time, retries_marked: bool, min_gap: Span) -> bool {
        let gap = job.received_at.since(self.received_at) + self.received_at.since(job.received_at);
        let is_plausible_retry = if retries_marked { self.is_retry || job.is_retry } else { gap >= min_gap };
        let unread_together =
            self.stored_at != read_at && job.received_at < self.stored_at && self.received_at < read_at;
        self.has_run && self.job_class == job.job_class && unread_together && is_plausible_retry
    }
}

/// The idempotency records by job id.
#[derive(Default)]
pub(crate) struct IdempotencyRecords {
    records: BTreeMap<JobId, Record>,
}

impl IdempotencyRecords {
    /// Removes the records to which no retry can refer any more.
    pub fn remove_outdated(&mut self, now: Time) {
        self.records.retain(|_, record| record.retained_until > now);
    }

    /// Returns whether the job has a record.
    pub fn contains(&self, id: &JobId) -> bool {
        self.records.contains_key(id)
    }

    /// Returns the number of unexpired records, which count as memory in use.
    pub fn live_count(&self, now: Time) -> f64 {
        self.records.values().filter(|record| record.expires > now).count() as f64
    }

    /// Adds a record that expires at `expires`. The record is retained for another `max_unread`, as a retry that was
    /// received in time may wait unread.
    pub fn insert(&mut self, now: Time, job: &Job, expires: Time, max_unread: Span) {
        let record = Record {
            expires,
            retained_until: expires.max(now) + max_unread,
            job_class: job.job_class,
            received_at: job.received_at,
            stored_at: now,
            is_retry: job.is_retry,
            has_run: false,
        };
        self.records.insert(job.id.clone(), record);
    }

    /// Marks a job as started. Returns the remaining lifetime of the record, or `None` if the job has no record.
    pub fn mark_run(&mut self, now: Time, id: &JobId) -> Option<Span> {
        let record = self.records.get_mut(id)?;
        record.has_run = true;
        Some(record.expires.since(now))
    }

    /// Removes the record of a job that has not run. Returns whether a record was removed.
    pub fn remove_unless_run(&mut self, id: &JobId) -> bool {
        let removable = self.records.get(id).is_some_and(|record| !record.has_run);
        if removable {
            self.records.remove(id);
        }
        removable
    }

    /// Returns whether `job`, which was read at `read_at` and is linked to no record, may duplicate a job that has run.
    pub fn may_duplicate_run(&self, job: &Job, read_at: Time, retries_marked: bool, min_gap: Span) -> bool {
        self.records.values().any(|record| record.may_be_duplicated_by(job, read_at, retries_marked, min_gap))
    }
}
