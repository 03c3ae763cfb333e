//! The in-flight table: routes events to the tasks of the jobs in flight, by job id, and tracks which of these jobs
//! still have to be answered.

use super::event_log::UnservedJob;
use super::outcome::CallEnd;
use super::result_cache::JobOwner;
use super::run_command::LossWindow;
use crate::protocol::Body;
use crate::protocol::executor::RunEnd;
use crate::protocol::jsonrpc::{Answer, JobRequest};
use crate::transport::clients::ClientConnection;
use async_channel::{Receiver, Sender, bounded};
use hazelgrade::api::{Job, JobId};
use hazelgrade::time::Span;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// Capacity of the event queue of a job's task. The task handles events in order and waits for nothing else, so few
/// events are queued at any time.
const EVENT_QUEUE_CAPACITY: usize = 16;

/// An event for the task of a job.
#[derive(Debug)]
pub enum JobEvent {
    // Decided by the controller:
    /// Start the run.
    StartRun,
    /// Send this final answer to the caller.
    Answer(Answer),
    /// Start the call that the run waits for.
    StartCall {
        /// Time that the database has to reply.
        timeout: Span,
    },
    /// Let the run continue without the call that it waits for.
    SkipCall,
    /// Cancel the run.
    CancelRun,
    /// Wait for the result of the original job, of which this job is a retry.
    AwaitOriginal,
    // Reported by the executor:
    /// The run waits for a call.
    CallRequested {
        /// Number of the executor's event; identifies the call when it is skipped.
        cursor: u64,
        /// Body of the call to the database.
        body: Body,
    },
    /// The run has ended.
    RunEnded {
        /// How the run ended.
        end: RunEnd,
        /// Duration of the run by the executor's clock.
        elapsed: Span,
        /// Result of the run; empty if there is none.
        body: Body,
    },
    /// The executor refused to start the run, because the job is unknown to it.
    StartRefused,
    /// The link to the executor is up again, and all events that were missed have been handled. Commands that were sent
    /// within this window may have been lost.
    LinkRestored(LossWindow),
    /// The executor has restarted: all earlier runs have ended.
    ExecutorRestarted,
    // Reported by the database, other jobs, the client and the timers of the job:
    /// The call has ended.
    CallEnded(CallEnd),
    /// The original job, of which this job is a retry, has ended.
    OriginalEnded {
        /// Result of the original job, if the job succeeded.
        result: Option<Body>,
    },
    /// The caller has disconnected or has aborted the job.
    CallerDisconnected,
    /// No event of the run has arrived in time after a command to the run that may have been lost.
    RunSilent,
}

/// The destination of the answer to a job.
#[derive(Clone)]
pub struct Responder {
    /// The connection over which the job arrived.
    pub connection: Rc<ClientConnection<JobId>>,
    /// The id of the call on that connection.
    pub call_id: u64,
    /// When the job was read.
    pub read_at: Instant,
    /// How long the job waited before it was read, by its time stamp.
    pub unread: Span,
}

impl Responder {
    /// Describes the job under this id for the log.
    pub fn unserved<'a>(&self, id: &'a JobId) -> UnservedJob<'a> {
        let held = self.read_at.elapsed();
        UnservedJob { id, connection: self.connection.number, unread_ms: self.unread.as_ms(), held }
    }
}

/// Tells whether two requests with the same job id request the same job. Their time stamps and ranks may differ.
#[derive(PartialEq)]
pub struct JobFingerprint {
    owner: JobOwner,
    body: Body,
}

impl JobFingerprint {
    /// Returns the fingerprint of a request as it was decoded, for a job of this owner.
    pub fn new(request: &JobRequest, owner: JobOwner) -> JobFingerprint {
        JobFingerprint { owner, body: request.body.clone() }
    }
}

/// A job in flight.
struct InFlightJob {
    events: Sender<JobEvent>,
    /// `None` once the job has been answered.
    responder: Option<Responder>,
    fingerprint: JobFingerprint,
    slots: JobSlots,
}

/// The slots of a job's class and tenant, which stay reserved while the job is in flight.
#[derive(Clone, Copy, Debug)]
pub struct JobSlots {
    /// The slot of the job class.
    pub job_class: usize,
    /// The slot of the tenant.
    pub tenant: usize,
}

/// All jobs in flight.
#[derive(Default)]
pub struct InFlightTable {
    jobs: RefCell<BTreeMap<JobId, InFlightJob>>,
    /// Events since the start for jobs that had ended or had never arrived.
    pub unknown_jobs: Cell<u64>,
}

impl InFlightTable {
    /// Inserts a job, and returns the receiver of the job's events.
    pub fn insert(&self, job: &Job, fingerprint: JobFingerprint, responder: Responder) -> Receiver<JobEvent> {
        let (sender, events) = bounded(EVENT_QUEUE_CAPACITY);
        let slots = JobSlots { job_class: job.job_class, tenant: job.tenant };
        let entry = InFlightJob { events: sender, responder: Some(responder), fingerprint, slots };
        self.jobs.borrow_mut().insert(job.id.clone(), entry);
        events
    }

    /// Removes a job that has ended.
    pub fn remove(&self, id: &JobId) {
        self.jobs.borrow_mut().remove(id);
    }

    /// Returns whether the slots of any job in flight match a predicate.
    pub fn any(&self, matches: impl Fn(JobSlots) -> bool) -> bool {
        self.jobs.borrow().values().any(|entry| matches(entry.slots))
    }

    /// Returns the number of jobs in flight.
    pub fn count(&self) -> usize {
        self.jobs.borrow().len()
    }

    /// Returns the number of jobs in flight that have not been answered.
    pub fn unanswered(&self) -> usize {
        self.jobs.borrow().values().filter(|entry| entry.responder.is_some()).count()
    }

    /// Returns whether a job is in flight and has not been answered.
    pub fn is_unanswered(&self, id: &JobId) -> bool {
        self.jobs.borrow().get(id).is_some_and(|entry| entry.responder.is_some())
    }

    /// Returns the connection of a job's caller; `None` once the job has been answered.
    pub fn caller(&self, id: &JobId) -> Option<Rc<ClientConnection<JobId>>> {
        self.jobs.borrow().get(id)?.responder.as_ref().map(|responder| responder.connection.clone())
    }

    /// Takes the responder of a job, so that the job is answered at most once.
    pub fn take_responder(&self, id: &JobId) -> Option<Responder> {
        self.jobs.borrow_mut().get_mut(id)?.responder.take()
    }

    /// Returns whether the job in flight under this id has the given fingerprint; `None` if no job is in flight under
    /// the id. Even if the fingerprints match, the job's answer goes to its first caller only: otherwise anyone who has
    /// seen the id could receive the answer.
    pub fn has_fingerprint(&self, id: &JobId, fingerprint: &JobFingerprint) -> Option<bool> {
        self.jobs.borrow().get(id).map(|entry| entry.fingerprint == *fingerprint)
    }

    /// Sends an event to the task of a job. An event for a job that is not in flight is dropped and counted.
    pub fn send(&self, id: &JobId, event: JobEvent) {
        match self.jobs.borrow().get(id) {
            Some(entry) if entry.events.try_send(event).is_ok() => {}
            Some(_) => tracing::error!(%id, "event dropped: event queue of the job is full"),
            None => self.unknown_jobs.set(self.unknown_jobs.get() + 1),
        }
    }

    /// Sends an event to the tasks of all jobs in flight.
    pub fn broadcast(&self, event: impl Fn() -> JobEvent) {
        let ids: Vec<JobId> = self.jobs.borrow().keys().cloned().collect();
        ids.iter().for_each(|id| self.send(id, event()));
    }
}
