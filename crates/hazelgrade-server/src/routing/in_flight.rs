//! The jobs in flight, by id: routes events to their tasks, and tracks which of them still have to be answered.

use super::outcome::CallEnd;
use crate::protocol::Body;
use crate::protocol::executor::RunEnd;
use crate::protocol::jsonrpc::{Answer, JobRequest};
use crate::transport::clients::ClientConnection;
use async_channel::{Receiver, Sender, bounded};
use hazelgrade::api::JobId;
use hazelgrade::time::{Span, Time};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// Events that may be queued for a job's task, which handles them in order and waits for nothing else.
const EVENT_QUEUE_LENGTH: usize = 16;

/// An event for a job that has arrived.
#[derive(Debug)]
pub enum JobEvent {
    // Decided by the controller:
    /// Start the run.
    StartRun,
    /// Send this final answer.
    Answer(Answer),
    /// Make the call that the run waits for.
    StartCall {
        /// The time that the database has to reply.
        timeout: Span,
    },
    /// Let the run continue without the call that it waits for.
    SkipCall,
    /// Cancel the run.
    CancelRun,
    /// Wait for the result of the job that this one repeats.
    AwaitOriginal,
    // Reported by the executor:
    /// The run waits for a call.
    CallRequested {
        /// Number of the executor's event, by which the call can be skipped.
        cursor: u64,
        /// The request for the database.
        body: Body,
    },
    /// The run has ended.
    RunEnded {
        /// How it ended.
        end: RunEnd,
        /// How long it took, by the executor's clock.
        elapsed: Span,
        /// Its result; empty where it has none.
        body: Body,
    },
    /// The executor did not start the run, as it does not know the job.
    StartRefused,
    /// The link is up again; commands sent in this interval may have been lost with the old one.
    LinkRestored {
        /// The first moment at which a command may have been lost.
        lost_from: Instant,
        /// From this moment on commands went over the new link.
        lost_until: Instant,
    },
    /// The executor was restarted: no earlier run is running.
    ExecutorRestarted,
    // Reported by others:
    /// The call has ended.
    CallEnded(CallEnd),
    /// The job that this one repeats has ended.
    OriginalEnded {
        /// Its result, if it succeeded.
        result: Option<Body>,
    },
    /// The caller disconnected or aborted the job.
    CallerDisconnected,
}

/// Where the answer to a job goes.
#[derive(Clone)]
pub struct Responder {
    /// The connection that the job came from.
    pub connection: Rc<ClientConnection<JobId>>,
    /// The id of the call on that connection.
    pub call_id: u64,
}

/// Distinguishes two jobs with the same id.
#[derive(PartialEq)]
pub struct JobFingerprint {
    job_class: usize,
    tenant: usize,
    received_at: Time,
    queued_kb: f64,
    priority_rank: f64,
    body: Body,
}

impl JobFingerprint {
    /// The fingerprint of a request as it was decoded.
    pub fn new(request: &JobRequest) -> JobFingerprint {
        let job = &request.job;
        JobFingerprint {
            job_class: job.job_class,
            tenant: job.tenant,
            received_at: job.received_at,
            queued_kb: job.queued_kb,
            priority_rank: job.priority_rank,
            body: request.body.clone(),
        }
    }
}

struct Entry {
    events: Sender<JobEvent>,
    /// `None` once the job has been answered.
    responder: Option<Responder>,
    fingerprint: JobFingerprint,
}

/// All jobs in flight.
#[derive(Default)]
pub struct InFlightTable {
    jobs: RefCell<BTreeMap<JobId, Entry>>,
    /// Events for jobs that have ended or never arrived, since the start.
    pub unknown_jobs: Cell<u64>,
}

impl InFlightTable {
    /// Inserts a job and returns the receiver of its events.
    pub fn insert(&self, id: JobId, fingerprint: JobFingerprint, responder: Responder) -> Receiver<JobEvent> {
        let (sender, events) = bounded(EVENT_QUEUE_LENGTH);
        let entry = Entry { events: sender, responder: Some(responder), fingerprint };
        self.jobs.borrow_mut().insert(id, entry);
        events
    }

    /// Removes a job that has ended.
    pub fn remove(&self, id: &JobId) {
        self.jobs.borrow_mut().remove(id);
    }

    /// Whether any job in flight matches a predicate on job class and tenant.
    pub fn any(&self, matches: impl Fn(usize, usize) -> bool) -> bool {
        let jobs = self.jobs.borrow();
        jobs.values().any(|entry| matches(entry.fingerprint.job_class, entry.fingerprint.tenant))
    }

    /// The number of jobs in flight.
    pub fn count(&self) -> usize {
        self.jobs.borrow().len()
    }

    /// The number of jobs in flight that have not been answered.
    pub fn unanswered(&self) -> usize {
        self.jobs.borrow().values().filter(|entry| entry.responder.is_some()).count()
    }

    /// Whether a job is in flight and has not been answered.
    pub fn is_unanswered(&self, id: &JobId) -> bool {
        self.jobs.borrow().get(id).is_some_and(|entry| entry.responder.is_some())
    }

    /// The connection of a job's caller, until the job has been answered.
    pub fn caller(&self, id: &JobId) -> Option<Rc<ClientConnection<JobId>>> {
        self.jobs.borrow().get(id)?.responder.as_ref().map(|responder| responder.connection.clone())
    }

    /// Takes the responder of a job, so that the job is answered at most once.
    pub fn take_responder(&self, id: &JobId) -> Option<Responder> {
        self.jobs.borrow_mut().get_mut(id)?.responder.take()
    }

    /// Whether the job in flight under this id has this fingerprint; `None` if there is none. The answer still goes to
    /// the first caller: otherwise anyone who has seen the id could receive it.
    pub fn has_fingerprint(&self, id: &JobId, fingerprint: &JobFingerprint) -> Option<bool> {
        self.jobs.borrow().get(id).map(|entry| entry.fingerprint == *fingerprint)
    }

    /// Sends an event to the task of a job. Events for jobs that are not in flight are counted.
    pub fn send(&self, id: &JobId, event: JobEvent) {
        match self.jobs.borrow().get(id) {
            Some(entry) if entry.events.try_send(event).is_ok() => {}
            Some(_) => tracing::error!(%id, "event queue of a job is full"),
            None => self.unknown_jobs.set(self.unknown_jobs.get() + 1),
        }
    }

    /// Sends an event to the tasks of all jobs in flight.
    pub fn broadcast(&self, event: impl Fn() -> JobEvent) {
        let ids: Vec<JobId> = self.jobs.borrow().keys().cloned().collect();
        ids.iter().for_each(|id| self.send(id, event()));
    }
}
