//! Remembered jobs: which one a repeat repeats, and the result that a repeat is answered from. The module says
//! what is remembered and for how long; nothing here decides.

use crate::protocol::Body;
use hazelgrade::desk::JobId;
use hazelgrade::time::{Span, Time};
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Use case and mark.
type Key = (usize, String);

struct Entry {
    holder: JobId,
    until: Time,
}

/// A job with a mark, while it is in hand or its entry lives.
struct Marked {
    key: Key,
    in_hand: bool,
    kept_until: Option<Time>,
    result: Option<Option<Body>>,
    /// Repeats that wait for its result.
    waiting: Vec<JobId>,
}

#[derive(Default)]
struct Table {
    entries: BTreeMap<Key, Entry>,
    jobs: BTreeMap<JobId, Marked>,
    result_bytes: usize,
    /// Results that are kept take this many bytes at most; past it, the one that runs out first goes.
    most_bytes: usize,
}

pub struct Repeats(RefCell<Table>);

impl Table {
    fn forget(&mut self, id: &JobId) {
        if let Some(marked) = self.jobs.remove(id) {
            let bytes = marked.result.flatten().map_or(0, |body| body.len());
            self.result_bytes = self.result_bytes.saturating_sub(bytes);
            if self.entries.get(&marked.key).is_some_and(|entry| entry.holder == *id) {
                self.entries.remove(&marked.key);
            }
        }
    }
}

impl Repeats {
    pub fn new(most_bytes: usize) -> Repeats {
        Repeats(RefCell::new(Table { most_bytes, ..Table::default() }))
    }

    /// A job with a mark arrives: gives the one that it repeats, if that is known.
    pub fn arrived(&self, id: &JobId, key: Key, reached: Time) -> Option<JobId> {
        let mut table = self.0.borrow_mut();
        let kept = table.entries.get(&key).filter(|entry| entry.until > reached);
        let in_hand = || table.jobs.iter().find(|(_, job)| job.in_hand && job.key == key).map(|(id, _)| id);
        let prior = kept.map(|entry| &entry.holder).or_else(in_hand).cloned();
        let marked = Marked { key, in_hand: true, kept_until: None, result: None, waiting: Vec::new() };
        table.jobs.insert(id.clone(), marked);
        prior
    }

    pub fn remember(&self, id: &JobId, now: Time, span: Span) {
        let mut table = self.0.borrow_mut();
        let Some(marked) = table.jobs.get_mut(id) else { return };
        marked.kept_until = Some(now + span);
        let key = marked.key.clone();
        table.entries.insert(key, Entry { holder: id.clone(), until: now + span });
    }

    pub fn forget(&self, id: &JobId) {
        let mut table = self.0.borrow_mut();
        match table.jobs.get_mut(id) {
            Some(marked) if marked.in_hand => {
                marked.kept_until = None;
                let key = marked.key.clone();
                if table.entries.get(&key).is_some_and(|entry| entry.holder == *id) {
                    table.entries.remove(&key);
                }
            }
            _ => table.forget(id),
        }
    }

    /// The result that a repeat shares: `None` while it is not there yet, then the repeat waits for it;
    /// `Some(None)` where there is none to be had.
    pub fn share(&self, id: &JobId, prior: &JobId) -> Option<Option<Body>> {
        let mut table = self.0.borrow_mut();
        let Some(marked) = table.jobs.get_mut(prior) else { return Some(None) };
        if marked.result.is_none() && marked.in_hand {
            marked.waiting.push(id.clone());
            return None;
        }
        Some(marked.result.clone().flatten())
    }

    /// A job leaves the hand, with its result if it has one: gives the repeats that wait for it.
    pub fn done(&self, id: &JobId, now: Time, result: Option<Body>) -> Vec<JobId> {
        let mut table = self.0.borrow_mut();
        let Some(marked) = table.jobs.get_mut(id) else { return Vec::new() };
        let waiting = std::mem::take(&mut marked.waiting);
        (marked.in_hand, marked.result) = (false, Some(result.clone()));
        table.result_bytes += result.map_or(0, |body| body.len());
        let over: Vec<JobId> = {
            let over = |job: &Marked| !job.in_hand && job.kept_until.is_none_or(|until| until <= now);
            table.jobs.iter().filter(|(_, job)| over(job)).map(|(id, _)| id.clone()).collect()
        };
        over.iter().for_each(|id| table.forget(id));
        while table.result_bytes > table.most_bytes {
            let kept = table.jobs.iter().filter(|(_, job)| matches!(job.result, Some(Some(_))));
            let Some(first) = kept.min_by_key(|(_, job)| job.kept_until).map(|(id, _)| id.clone()) else {
                break;
            };
            if let Some(body) = table.jobs.get_mut(&first).and_then(|job| job.result.replace(None)).flatten()
            {
                table.result_bytes = table.result_bytes.saturating_sub(body.len());
            }
        }
        waiting
    }
}
