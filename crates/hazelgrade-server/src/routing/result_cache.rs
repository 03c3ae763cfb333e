//! The result cache stores the results of keyed jobs (jobs with an idempotency key) for their retries. It finds the
//! original job of a retry and the result with which the retry is answered. The controller decides which idempotency
//! records are stored and for how long.

use crate::protocol::Body;
use hazelgrade::api::JobId;
use hazelgrade::time::{Span, Time};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// The names of a job's class and of those for whom it runs, which stay the same across versions of the configuration.
/// Slots do not: a tenant has another slot, or none, once tenants are configured for the first time or no longer. Nor
/// does the tenant that a caller's rights determine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobOwner {
    /// The name of the job class.
    pub job_class: Rc<str>,
    /// The tenant that the request names or, if it names none and its caller is not known, the configured one.
    pub tenant: Option<Rc<str>>,
    /// The caller of a request that names no tenant.
    pub caller: Option<Rc<str>>,
}

/// Identifies a keyed job across retries by job class, tenant, idempotency key and body. The idempotency key alone is
/// not enough: anyone who has seen the key could obtain the result with another body, or store another job under it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey {
    owner: JobOwner,
    idempotency_key: Rc<str>,
    /// Keyed hash of the body, stored instead of the body because bodies may have kilobytes. As the hash is keyed,
    /// clients cannot construct collisions.
    body_digest: u64,
}

/// A keyed job that has ended and is still stored in the cache.
pub struct FinishedJob {
    /// The key of the finished job.
    pub key: JobKey,
    /// Result of the job, if the job succeeded and its result is still stored.
    pub result: Option<Body>,
}

/// The idempotency record of a job key.
struct Record {
    id: JobId,
    expires_at: Time,
}

/// A keyed job that is in flight or for which a retry may still arrive.
struct KeyedJob {
    key: JobKey,
    /// How long a retry may stay unread: a retry that was received before the record expired may be read this much
    /// later.
    max_unread_time: Span,
    in_flight: bool,
    /// Whether the job does not run but waits for the result of its original job.
    awaits_original: bool,
    record_expires_at: Option<Time>,
    /// Set once the job has ended; `Some(None)` if the job has no result or its result was dropped.
    result: Option<Option<Body>>,
    /// Retries that wait for the result of this job.
    waiting: Vec<JobId>,
}

impl KeyedJob {
    /// Returns when the job is removed after its end; `None` if the job has no idempotency record.
    fn removed_at(&self) -> Option<Time> {
        self.record_expires_at.map(|expires_at| expires_at + self.max_unread_time)
    }

    /// Returns the size of the stored result; 0 if no result is stored.
    fn result_bytes(&self) -> usize {
        self.result.as_ref().and_then(Option::as_ref).map_or(0, |body| body.len())
    }
}

#[derive(Default)]
struct Tables {
    records: BTreeMap<JobKey, Record>,
    jobs: BTreeMap<JobId, KeyedJob>,
    /// Keyed jobs in flight, by key; jobs with the same key are in the order of their arrival.
    in_flight: BTreeMap<JobKey, Vec<JobId>>,
    /// Keyed jobs that have ended, ordered by the time at which they are removed.
    finished: BTreeSet<(Time, JobId)>,
    /// The entries of `finished` whose result is stored.
    with_result: BTreeSet<(Time, JobId)>,
    result_bytes: usize,
    max_result_bytes: usize,
}

impl Tables {
    /// Returns the job of which a job with this key that was received at this time is a retry.
    fn original(&self, key: &JobKey, received_at: Time) -> Option<JobId> {
        let record = self.records.get(key).filter(|record| record.expires_at > received_at);
        let is_original = |id: &&JobId| self.jobs.get(*id).is_some_and(|job| !job.awaits_original);
        let in_flight = || self.in_flight.get(key).and_then(|ids| ids.iter().find(is_original));
        record.map(|record| &record.id).or_else(in_flight).cloned()
    }

    /// Adds a job that has ended.
    fn add_finished(&mut self, id: &JobId, removed_at: Time) {
        let bytes = self.jobs.get(id).map_or(0, KeyedJob::result_bytes);
        self.finished.insert((removed_at, id.clone()));
        if bytes > 0 {
            self.with_result.insert((removed_at, id.clone()));
            self.result_bytes += bytes;
        }
    }

    /// Removes the result of a job from the accounting of stored results.
    fn release_result(&mut self, removed_at: Time, id: &JobId) {
        if self.with_result.remove(&(removed_at, id.clone())) {
            let bytes = self.jobs.get(id).map_or(0, KeyedJob::result_bytes);
            self.result_bytes = self.result_bytes.saturating_sub(bytes);
        }
    }

    /// Removes a job that has ended, and the job's idempotency record.
    fn remove_finished(&mut self, id: &JobId) {
        if let Some(at) = self.jobs.get(id).and_then(KeyedJob::removed_at) {
            self.release_result(at, id);
            self.finished.remove(&(at, id.clone()));
        }
        if let Some(job) = self.jobs.remove(id) {
            self.remove_record(&job.key, id);
        }
    }

    /// Removes the idempotency record of a key, if the record belongs to this job.
    fn remove_record(&mut self, key: &JobKey, id: &JobId) {
        if self.records.get(key).is_some_and(|record| record.id == *id) {
            self.records.remove(key);
        }
    }

    /// Removes a job from the table of jobs in flight.
    fn remove_in_flight(&mut self, key: &JobKey, id: &JobId) {
        if let Some(ids) = self.in_flight.get_mut(key) {
            ids.retain(|in_flight| in_flight != id);
            if ids.is_empty() {
                self.in_flight.remove(key);
            }
        }
    }

    /// Removes the finished jobs whose removal is due.
    fn remove_expired(&mut self, now: Time) {
        while let Some((_, id)) = self.finished.first().filter(|(at, _)| *at <= now).cloned() {
            self.remove_finished(&id);
        }
    }

    /// Drops results in the order of their removal times until the stored results are within the size limit.
    fn drop_excess_results(&mut self) {
        let exceeds_limit = |tables: &Tables| tables.result_bytes > tables.max_result_bytes;
        while let Some((at, id)) = self.with_result.first().filter(|_| exceeds_limit(self)).cloned() {
            self.release_result(at, &id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.result = Some(None);
            }
        }
    }
}

/// The keyed jobs that are in flight or may still be retried, with their results.
pub struct ResultCache {
    tables: RefCell<Tables>,
    /// Hashes bodies with a random key.
    body_hasher: RandomState,
}

impl ResultCache {
    /// Creates an empty cache that stores at most `max_result_bytes` of results in total, in base64. When the limit is
    /// exceeded, the results that would expire first are dropped.
    pub fn new(max_result_bytes: usize) -> ResultCache {
        let tables = RefCell::new(Tables { max_result_bytes, ..Tables::default() });
        ResultCache { tables, body_hasher: RandomState::new() }
    }

    /// Returns the key of a job. Keys from different caches cannot be compared, as each cache hashes with its own key.
    pub fn job_key(&self, owner: JobOwner, idempotency_key: &str, body: &Body) -> JobKey {
        JobKey {
            owner,
            idempotency_key: idempotency_key.into(),
            body_digest: self.body_hasher.hash_one(body),
        }
    }

    /// Returns the finished job that is stored under this id, if there is one.
    pub fn finished(&self, id: &JobId) -> Option<FinishedJob> {
        let tables = self.tables.borrow();
        let job = tables.jobs.get(id).filter(|job| !job.in_flight)?;
        Some(FinishedJob { key: job.key.clone(), result: job.result.clone().flatten() })
    }

    /// Returns the job of which a job with this key would be a retry: one whose record has not expired at `received_at`,
    /// or one that is in flight.
    pub fn original(&self, key: &JobKey, received_at: Time) -> Option<JobId> {
        self.tables.borrow().original(key, received_at)
    }

    /// Adds a keyed job whose id is not in use, and returns its original job if the job is a retry of a known one. A
    /// retry may stay unread for `max_unread_time`.
    pub fn arrived(
        &self,
        id: &JobId,
        key: JobKey,
        received_at: Time,
        max_unread_time: Span,
    ) -> Option<JobId> {
        let mut tables = self.tables.borrow_mut();
        let original = tables.original(&key, received_at);
        tables.in_flight.entry(key.clone()).or_default().push(id.clone());
        let job = KeyedJob {
            key,
            max_unread_time,
            in_flight: true,
            awaits_original: false,
            record_expires_at: None,
            result: None,
            waiting: Vec::new(),
        };
        tables.jobs.insert(id.clone(), job);
        original
    }

    /// Stores the idempotency record of a job in flight for `lifetime`. Replaces an earlier record under the job's key.
    pub fn store_record(&self, id: &JobId, now: Time, lifetime: Span) {
        let mut tables = self.tables.borrow_mut();
        let Some(job) = tables.jobs.get_mut(id).filter(|job| job.in_flight) else { return };
        let expires_at = now + lifetime;
        job.record_expires_at = Some(expires_at);
        let key = job.key.clone();
        tables.records.insert(key, Record { id: id.clone(), expires_at });
    }

    /// Removes the idempotency record of a job. A job that has ended is removed too.
    pub fn remove_record(&self, id: &JobId) {
        let mut tables = self.tables.borrow_mut();
        match tables.jobs.get_mut(id) {
            Some(job) if job.in_flight => {
                job.record_expires_at = None;
                let key = job.key.clone();
                tables.remove_record(&key, id);
            }
            _ => tables.remove_finished(id),
        }
    }

    /// Returns the result with which the retry `id` is answered; `Some(None)` if there is no result. Returns `None`
    /// while the original job is in flight: the retry is then among those that [`ResultCache::finish`] returns.
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

    /// Records that a job has ended, with its result if it succeeded. Returns the retries that wait for the result.
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
