//! The jobs in hand: by their ids, where each one's turns go, and who is owed its answer.

use super::outcome::CallEnd;
use crate::protocol::Body;
use crate::protocol::executor::RunEnd;
use crate::protocol::jsonrpc::{Answer, Asked};
use crate::transport::clients::Client;
use async_channel::{Receiver, Sender, bounded};
use hazelgrade::api::JobId;
use hazelgrade::time::{Span, Time};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// What may wait for a job's task at once; it takes them as they come and never waits for anything else.
const TURNS: usize = 16;

/// What may happen to a job once it has arrived.
#[derive(Debug)]
pub enum Turn {
    // Decided by the module:
    Run,
    Answer(Answer),
    Call(Span),
    SkipCall,
    Stop,
    Share,
    // Told by the executor:
    AtCall {
        cursor: u64,
        body: Body,
    },
    Ended {
        end: RunEnd,
        lasted: Span,
        body: Body,
    },
    NotDone,
    /// The link is back; commands sent from the first time up to the second may have been lost with the old one.
    Relinked(Instant, Instant),
    /// The executor started anew: nothing that ran before runs now.
    RunsOver,
    // Told by others:
    Called(CallEnd),
    Shared(Option<Body>),
    CallerGone,
}

/// A connection, and the number of a call on it.
#[derive(Clone)]
pub struct Asker {
    pub client: Rc<Client<JobId>>,
    pub call: u64,
}

/// A job word for word, as far as it can be told apart from another under its id.
#[derive(PartialEq)]
pub struct Words(usize, usize, Time, f64, f64, Body);

impl Words {
    pub fn of(asked: &Asked) -> Words {
        let job = &asked.job;
        Words(
            job.job_class,
            job.tenant,
            job.received_at,
            job.queued_kb,
            job.priority_rank,
            asked.body.clone(),
        )
    }
}

struct Slot {
    turns: Sender<Turn>,
    asker: Option<Asker>,
    words: Words,
}

#[derive(Default)]
pub struct Hand {
    jobs: RefCell<BTreeMap<JobId, Slot>>,
    pub unknown: Cell<u64>,
}

impl Hand {
    pub fn take(&self, id: JobId, words: Words, asker: Asker) -> Receiver<Turn> {
        let (sender, turns) = bounded(TURNS);
        self.jobs.borrow_mut().insert(id, Slot { turns: sender, asker: Some(asker), words });
        turns
    }

    pub fn let_go(&self, id: &JobId) {
        self.jobs.borrow_mut().remove(id);
    }

    /// Whether a job in hand names a place, by what `place` takes of a job's job class and tenant.
    pub fn names(&self, place: impl Fn(usize, usize) -> bool) -> bool {
        self.jobs.borrow().values().any(|slot| place(slot.words.0, slot.words.1))
    }

    pub fn count(&self) -> usize {
        self.jobs.borrow().len()
    }

    /// How many are still owed an answer.
    pub fn owed(&self) -> usize {
        self.jobs.borrow().values().filter(|slot| slot.asker.is_some()).count()
    }

    pub fn is_owed(&self, id: &JobId) -> bool {
        self.jobs.borrow().get(id).is_some_and(|slot| slot.asker.is_some())
    }

    /// Who asked for it, while an answer is owed.
    pub fn asker(&self, id: &JobId) -> Option<Rc<Client<JobId>>> {
        self.jobs.borrow().get(id)?.asker.as_ref().map(|asker| asker.client.clone())
    }

    /// Takes the right to answer: whoever gets it answers, and nobody after.
    pub fn to_answer(&self, id: &JobId) -> Option<Asker> {
        self.jobs.borrow_mut().get_mut(id)?.asker.take()
    }

    /// Whether a job that comes now is in hand under its id, and word for word. The answer stays with whoever
    /// asked first: a stranger that has seen the id would take it else.
    pub fn has(&self, id: &JobId, words: &Words) -> Option<bool> {
        self.jobs.borrow().get(id).map(|slot| slot.words == *words)
    }

    pub fn send(&self, id: &JobId, turn: Turn) {
        match self.jobs.borrow().get(id) {
            Some(slot) if slot.turns.try_send(turn).is_ok() => {}
            Some(_) => tracing::error!(%id, "a job has more turns waiting than it can have"),
            None => self.unknown.set(self.unknown.get() + 1),
        }
    }

    pub fn send_all(&self, turn: impl Fn() -> Turn) {
        let ids: Vec<JobId> = self.jobs.borrow().keys().cloned().collect();
        ids.iter().for_each(|id| self.send(id, turn()));
    }
}
