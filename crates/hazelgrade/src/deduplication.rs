//! Idempotency records: what is stored of a keyed job until no retry of it can come any more, so that it runs once.

use crate::api::{Job, JobId};
use crate::time::{Span, Time};
use std::collections::BTreeMap;

/// What is stored of a keyed job.
struct Record {
    /// Until when a retry may be received.
    expires: Time,
    /// Until when a retry that was received in time may be read and refer to this job.
    removed_at: Time,
    job_class: usize,
    received_at: Time,
    /// When the record was made: a retry received between `received_at` and then can't have been linked to it.
    stored_at: Time,
    is_retry: bool,
    has_run: bool,
}

impl Record {
    /// Whether the recorded job has run and `job`, which is linked to no record, may repeat it. That takes two
    /// conditions: both waited unread on the machine at the same time, and one of them is marked as a retry. Where
    /// retries are not marked, they must instead have been received at least `min_gap` apart, the shortest time that a
    /// caller waits before it tries again.
    fn may_be_repeated_by(&self, job: &Job, read_at: Time, retries_marked: bool, min_gap: Span) -> bool {
        let gap = job.received_at.since(self.received_at) + self.received_at.since(job.received_at);
        let plausible = if retries_marked { self.is_retry || job.is_retry } else { gap >= min_gap };
        let unread_together =
            self.stored_at != read_at && job.received_at < self.stored_at && self.received_at < read_at;
        self.has_run && self.job_class == job.job_class && unread_together && plausible
    }
}

/// The idempotency records by the ids of their jobs.
#[derive(Default)]
pub(crate) struct IdempotencyRecords {
    records: BTreeMap<JobId, Record>,
}

impl IdempotencyRecords {
    /// Removes records that no retry can refer to any more.
    pub fn remove_outdated(&mut self, now: Time) {
        self.records.retain(|_, record| record.removed_at > now);
    }

    /// Whether there is a record of this job.
    pub fn contains(&self, id: &JobId) -> bool {
        self.records.contains_key(id)
    }

    /// Records that count as memory in use.
    pub fn live_count(&self, now: Time) -> f64 {
        self.records.values().filter(|record| record.expires > now).count() as f64
    }

    /// Records a job until `expires`. A retry may wait unread, so the record can be referred to for `max_unread`
    /// longer.
    pub fn insert(&mut self, now: Time, job: &Job, expires: Time, max_unread: Span) {
        let record = Record {
            expires,
            removed_at: expires.max(now) + max_unread,
            job_class: job.job_class,
            received_at: job.received_at,
            stored_at: now,
            is_retry: job.is_retry,
            has_run: false,
        };
        self.records.insert(job.id.clone(), record);
    }

    /// Notes that a job is started; returns how long its record is to be stored, if there is one.
    pub fn mark_run(&mut self, now: Time, id: &JobId) -> Option<Span> {
        let record = self.records.get_mut(id)?;
        record.has_run = true;
        Some(record.expires.since(now))
    }

    /// Removes the record of a job unless it has run; returns whether a record was removed.
    pub fn remove_unless_run(&mut self, id: &JobId) -> bool {
        let removable = self.records.get(id).is_some_and(|record| !record.has_run);
        if removable {
            self.records.remove(id);
        }
        removable
    }

    /// Whether `job`, read at `read_at` and linked to no record, may repeat a job that has run.
    pub fn may_repeat_started(&self, job: &Job, read_at: Time, retries_marked: bool, min_gap: Span) -> bool {
        self.records.values().any(|record| record.may_be_repeated_by(job, read_at, retries_marked, min_gap))
    }
}
