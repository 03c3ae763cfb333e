//! Results of keyed jobs, for their retries: finds the job that a retry repeats, and the result that answers it. The
//! controller decides which records are stored and for how long.

use crate::protocol::Body;
use hazelgrade::api::JobId;
use hazelgrade::time::{Span, Time};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, RandomState};

/// Identifies a keyed job across retries: job class, tenant, idempotency key, and body. The idempotency key alone is
/// not enough: anyone who has seen it could obtain the result with another body, or store another job under it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey {
    job_class: usize,
    tenant: usize,
    idempotency_key: String,
    /// A keyed hash of the body, which may have kilobytes; clients can't construct collisions.
    body_digest: u64,
}

/// A keyed job that has ended and is still stored.
pub struct FinishedJob {
    /// Identifies what was requested.
    pub key: JobKey,
    /// Its result, if it succeeded and the result is still stored.
    pub result: Option<Body>,
}

/// The idempotency record of a key.
struct Record {
    id: JobId,
    expires: Time,
}

/// A keyed job, while it is in flight or a retry may still name it.
struct KeyedJob {
    key: JobKey,
    /// How long a retry may stay unread: one that came before the record expired may be read this much later.
    max_unread_time: Span,
    in_flight: bool,
    /// It waits for the result of another job, and does not run.
    awaits_original: bool,
    record_expires: Option<Time>,
    /// Set once it has ended; `Some(None)` if there is no result, or it was dropped.
    result: Option<Option<Body>>,
    /// Retries that wait for its result.
    waiting: Vec<JobId>,
}

impl KeyedJob {
    /// When it is removed after its end; `None` if it has no record.
    fn removed_at(&self) -> Option<Time> {
        self.record_expires.map(|expires| expires + self.max_unread_time)
    }

    fn result_bytes(&self) -> usize {
        self.result.as_ref().and_then(Option::as_ref).map_or(0, |body| body.len())
    }
}

#[derive(Default)]
struct Tables {
    records: BTreeMap<JobKey, Record>,
    jobs: BTreeMap<JobId, KeyedJob>,
    /// The jobs in flight, in the order of their arrival.
    in_flight: BTreeMap<JobKey, Vec<JobId>>,
    /// The jobs that have ended, by the time at which they are removed.
    finished: BTreeSet<(Time, JobId)>,
    /// Those of them with a stored result.
    with_result: BTreeSet<(Time, JobId)>,
    result_bytes: usize,
    max_result_bytes: usize,
}

impl Tables {
    fn add_finished(&mut self, id: &JobId, removed_at: Time) {
        let bytes = self.jobs.get(id).map_or(0, KeyedJob::result_bytes);
        self.finished.insert((removed_at, id.clone()));
        if bytes > 0 {
            self.with_result.insert((removed_at, id.clone()));
            self.result_bytes += bytes;
        }
    }

    fn release_result(&mut self, removed_at: Time, id: &JobId) {
        if self.with_result.remove(&(removed_at, id.clone())) {
            let bytes = self.jobs.get(id).map_or(0, KeyedJob::result_bytes);
            self.result_bytes = self.result_bytes.saturating_sub(bytes);
        }
    }

    /// Removes a job that has ended, and its record.
    fn remove_finished(&mut self, id: &JobId) {
        if let Some(at) = self.jobs.get(id).and_then(KeyedJob::removed_at) {
            self.release_result(at, id);
            self.finished.remove(&(at, id.clone()));
        }
        if let Some(job) = self.jobs.remove(id) {
            self.remove_record(&job.key, id);
        }
    }

    /// Removes the record of a key, if it is that of this job.
    fn remove_record(&mut self, key: &JobKey, id: &JobId) {
        if self.records.get(key).is_some_and(|record| record.id == *id) {
            self.records.remove(key);
        }
    }

    fn remove_in_flight(&mut self, key: &JobKey, id: &JobId) {
        if let Some(ids) = self.in_flight.get_mut(key) {
            ids.retain(|in_flight| in_flight != id);
            if ids.is_empty() {
                self.in_flight.remove(key);
            }
        }
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((_, id)) = self.finished.first().filter(|(at, _)| *at <= now).cloned() {
            self.remove_finished(&id);
        }
    }

    /// Drops results, in the order of their removal times, until the rest fits.
    fn drop_excess_results(&mut self) {
        let is_over = |tables: &Tables| tables.result_bytes > tables.max_result_bytes;
        while let Some((at, id)) = self.with_result.first().filter(|_| is_over(self)).cloned() {
            self.release_result(at, &id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.result = Some(None);
            }
        }
    }
}

/// The keyed jobs that are in flight or may still be retried.
pub struct ResultCache {
    tables: RefCell<Tables>,
    digests: RandomState,
}

impl ResultCache {
    /// An empty cache for results of at most `max_result_bytes` in all, in base64. Beyond that the results that would
    /// expire first are dropped.
    pub fn new(max_result_bytes: usize) -> ResultCache {
        let tables = RefCell::new(Tables { max_result_bytes, ..Tables::default() });
        ResultCache { tables, digests: RandomState::new() }
    }

    /// The key of a job. Keys of different caches can't be compared.
    pub fn job_key(&self, job_class: usize, tenant: usize, idempotency_key: String, body: &Body) -> JobKey {
        JobKey { job_class, tenant, idempotency_key, body_digest: self.digests.hash_one(body) }
    }

    /// The finished job that is stored under this id.
    pub fn finished(&self, id: &JobId) -> Option<FinishedJob> {
        let tables = self.tables.borrow();
        let job = tables.jobs.get(id).filter(|job| !job.in_flight)?;
        Some(FinishedJob { key: job.key.clone(), result: job.result.clone().flatten() })
    }

    /// Adds a keyed job whose id is not in use, and returns the job that it repeats, if that is known. A retry may stay
    /// unread for `max_unread_time`.
    pub fn arrived(
        &self,
        id: &JobId,
        key: JobKey,
        received_at: Time,
        max_unread_time: Span,
    ) -> Option<JobId> {
        let mut tables = self.tables.borrow_mut();
        let record = tables.records.get(&key).filter(|record| record.expires > received_at);
        let runs = |id: &&JobId| tables.jobs.get(*id).is_some_and(|job| !job.awaits_original);
        let in_flight = || tables.in_flight.get(&key).and_then(|ids| ids.iter().find(runs));
        let original = record.map(|record| &record.id).or_else(in_flight).cloned();
        tables.in_flight.entry(key.clone()).or_default().push(id.clone());
        let job = KeyedJob {
            key,
            max_unread_time,
            in_flight: true,
            awaits_original: false,
            record_expires: None,
            result: None,
            waiting: Vec::new(),
        };
        tables.jobs.insert(id.clone(), job);
        original
    }

    /// Stores the idempotency record of a job in flight for `lifetime`, in place of an earlier one under its key.
    pub fn store_record(&self, id: &JobId, now: Time, lifetime: Span) {
        let mut tables = self.tables.borrow_mut();
        let Some(job) = tables.jobs.get_mut(id).filter(|job| job.in_flight) else { return };
        let expires = now + lifetime;
        job.record_expires = Some(expires);
        let key = job.key.clone();
        tables.records.insert(key, Record { id: id.clone(), expires });
    }

    /// Removes the idempotency record of a job.
    pub fn remove_record(&self, id: &JobId) {
        let mut tables = self.tables.borrow_mut();
        match tables.jobs.get_mut(id) {
            Some(job) if job.in_flight => {
                job.record_expires = None;
                let key = job.key.clone();
                tables.remove_record(&key, id);
            }
            _ => tables.remove_finished(id),
        }
    }

    /// The result that a retry is answered with: `None` while the original is in flight, then the retry waits for
    /// [`ResultCache::finish`]; `Some(None)` if there is no result.
    pub fn await_result(&self, id: &JobId, original: &JobId) -> Option<Option<Body>> {
        let mut tables = self.tables.borrow_mut();
        if let Some(job) = tables.jobs.get_mut(id) {
            job.awaits_original = true;
        }
        let Some(job) = tables.jobs.get_mut(original) else { return Some(None) };
        if job.result.is_none() && job.in_flight {
            job.waiting.push(id.clone());
            return None;
        }
        Some(job.result.clone().flatten())
    }

    /// Records that a job has ended, with its result if it succeeded. Returns the retries that wait for it.
    pub fn finish(&self, id: &JobId, now: Time, result: Option<Body>) -> Vec<JobId> {
        let mut tables = self.tables.borrow_mut();
        let Some(job) = tables.jobs.get_mut(id).filter(|job| job.in_flight) else { return Vec::new() };
        let waiting = std::mem::take(&mut job.waiting);
        job.in_flight = false;
        job.result = Some(result);
        let key = job.key.clone();
        let removed_at = job.removed_at();
        tables.remove_in_flight(&key, id);
        match removed_at {
            Some(at) => tables.add_finished(id, at),
            None => tables.remove_finished(id),
        }
        tables.remove_expired(now);
        tables.drop_excess_results();
        waiting
    }
}
