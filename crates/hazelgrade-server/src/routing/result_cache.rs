//! Remembered jobs: which one a repeat repeats, and the result that a repeat is answered from. The module says
//! what is remembered and for how long; nothing here decides.

use crate::protocol::Body;
use hazelgrade::api::JobId;
use hazelgrade::time::{Span, Time};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, RandomState};

/// What makes two tries those of one job: job class, tenant, mark, and what is asked for. A mark alone is no proof: whoever
/// has seen it could ask for the result with words of its own, or have the place taken by a job that nobody has.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    job_class: usize,
    tenant: usize,
    mark: String,
    /// A digest that no client can choose, in place of the body: bodies are kilobytes.
    content: u64,
}

struct Entry {
    holder: JobId,
    until: Time,
}

/// A job with a mark, while it is in hand or a repeat may still name it.
struct Marked {
    key: Key,
    /// A repeat that came before the window was over may lie unread for so long.
    unread_for: Span,
    in_hand: bool,
    /// It waits for the result of another, and runs never.
    shares: bool,
    kept_until: Option<Time>,
    result: Option<Option<Body>>,
    /// Repeats that wait for its result.
    waiting: Vec<JobId>,
}

impl Marked {
    /// When it is gone, once it is out of hand.
    fn gone_at(&self) -> Option<Time> {
        self.kept_until.map(|until| until + self.unread_for)
    }

    fn bytes(&self) -> usize {
        self.result.as_ref().and_then(Option::as_ref).map_or(0, |body| body.len())
    }
}

#[derive(Default)]
struct Table {
    entries: BTreeMap<Key, Entry>,
    jobs: BTreeMap<JobId, Marked>,
    /// Those in hand, in the order that they came.
    in_hand: BTreeMap<Key, Vec<JobId>>,
    /// Those out of hand by when they are gone, and of these those with a result.
    gone: BTreeSet<(Time, JobId)>,
    with_result: BTreeSet<(Time, JobId)>,
    result_bytes: usize,
    /// Results that are kept take this many bytes at most; past it, the one that runs out first goes.
    most_bytes: usize,
}

pub struct ResultCache {
    table: RefCell<Table>,
    digests: RandomState,
}

impl Table {
    /// Out of hand: until when it is known, and what its result takes.
    fn keep(&mut self, id: &JobId, at: Time) {
        let bytes = self.jobs.get(id).map_or(0, Marked::bytes);
        self.gone.insert((at, id.clone()));
        if bytes > 0 {
            self.with_result.insert((at, id.clone()));
            self.result_bytes += bytes;
        }
    }

    fn drop_result(&mut self, at: Time, id: &JobId) {
        if self.with_result.remove(&(at, id.clone())) {
            let bytes = self.jobs.get(id).map_or(0, Marked::bytes);
            self.result_bytes = self.result_bytes.saturating_sub(bytes);
        }
    }

    /// One that is out of hand.
    fn forget(&mut self, id: &JobId) {
        if let Some(at) = self.jobs.get(id).and_then(Marked::gone_at) {
            self.drop_result(at, id);
            self.gone.remove(&(at, id.clone()));
        }
        if let Some(marked) = self.jobs.remove(id)
            && self.entries.get(&marked.key).is_some_and(|entry| entry.holder == *id)
        {
            self.entries.remove(&marked.key);
        }
    }
}

impl ResultCache {
    pub fn new(most_bytes: usize) -> ResultCache {
        let table = RefCell::new(Table { most_bytes, ..Table::default() });
        ResultCache { table, digests: RandomState::new() }
    }

    pub fn key(&self, job_class: usize, tenant: usize, mark: String, body: &Body) -> Key {
        Key { job_class, tenant, mark, content: self.digests.hash_one(body) }
    }

    /// A job that is out of hand and known by this id: what it was, and the result that is kept of it.
    pub fn kept(&self, id: &JobId) -> Option<(Key, Option<Body>)> {
        let table = self.table.borrow();
        let marked = table.jobs.get(id).filter(|marked| !marked.in_hand)?;
        Some((marked.key.clone(), marked.result.clone().flatten()))
    }

    /// A job with a mark arrives, under an id that is known of no other: gives the one that it repeats, if that is known.
    pub fn arrived(&self, id: &JobId, key: Key, reached: Time, unread_for: Span) -> Option<JobId> {
        let mut table = self.table.borrow_mut();
        let kept = table.entries.get(&key).filter(|entry| entry.until > reached);
        let runs = |id: &&JobId| table.jobs.get(*id).is_some_and(|job| !job.shares);
        let in_hand = || table.in_hand.get(&key).and_then(|ids| ids.iter().find(runs));
        let prior = kept.map(|entry| &entry.holder).or_else(in_hand).cloned();
        table.in_hand.entry(key.clone()).or_default().push(id.clone());
        let marked = Marked {
            key,
            unread_for,
            in_hand: true,
            shares: false,
            kept_until: None,
            result: None,
            waiting: Vec::new(),
        };
        table.jobs.insert(id.clone(), marked);
        prior
    }

    pub fn remember(&self, id: &JobId, now: Time, span: Span) {
        let mut table = self.table.borrow_mut();
        let Some(marked) = table.jobs.get_mut(id).filter(|marked| marked.in_hand) else { return };
        marked.kept_until = Some(now + span);
        let key = marked.key.clone();
        table.entries.insert(key, Entry { holder: id.clone(), until: now + span });
    }

    pub fn forget(&self, id: &JobId) {
        let mut table = self.table.borrow_mut();
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
        let mut table = self.table.borrow_mut();
        if let Some(marked) = table.jobs.get_mut(id) {
            marked.shares = true;
        }
        let Some(marked) = table.jobs.get_mut(prior) else { return Some(None) };
        if marked.result.is_none() && marked.in_hand {
            marked.waiting.push(id.clone());
            return None;
        }
        Some(marked.result.clone().flatten())
    }

    /// A job leaves the hand, with its result if it has one: gives the repeats that wait for it.
    pub fn done(&self, id: &JobId, now: Time, result: Option<Body>) -> Vec<JobId> {
        let mut table = self.table.borrow_mut();
        let Some(marked) = table.jobs.get_mut(id).filter(|marked| marked.in_hand) else { return Vec::new() };
        let waiting = std::mem::take(&mut marked.waiting);
        (marked.in_hand, marked.result) = (false, Some(result));
        let (key, gone_at) = (marked.key.clone(), marked.gone_at());
        if let Some(ids) = table.in_hand.get_mut(&key) {
            ids.retain(|in_hand| in_hand != id);
            if ids.is_empty() {
                table.in_hand.remove(&key);
            }
        }
        match gone_at {
            Some(at) => table.keep(id, at),
            None => table.forget(id),
        }
        while let Some((_, id)) = table.gone.first().filter(|(at, _)| *at <= now).cloned() {
            table.forget(&id);
        }
        while let Some((at, id)) =
            table.with_result.first().filter(|_| table.result_bytes > table.most_bytes).cloned()
        {
            table.drop_result(at, &id);
            if let Some(marked) = table.jobs.get_mut(&id) {
                marked.result = Some(None);
            }
        }
        waiting
    }
}
