//! The state that all request handling shares: the controller driver, the in-flight table, the links to peers and the
//! counters.

use super::callers::Callers;
use super::controller_driver::{ControllerDriver, ControllerEvent};
use super::counters::Counters;
use super::dependency_calls::DependencyCalls;
use super::event_log::{EventLog, UnservedCause};
use super::in_flight::{InFlightTable, JobEvent};
use super::result_cache::ResultCache;
use super::started_jobs::StartedJobs;
use crate::protocol::executor::{Command, encode};
use crate::protocol::jsonrpc::{self, Answer};
use crate::transport::clients::ClientConnection;
use crate::transport::executor::{ExecutorLink, NoLink};
use hazelgrade::api::JobId;
use hazelgrade_settings::HostSettings;
use std::cell::RefCell;
use std::rc::Rc;

/// State that is shared by all jobs and connections of an instance.
pub struct RequestContext {
    /// Runs the controller and dispatches its decisions to the tasks of jobs.
    pub driver: Rc<ControllerDriver>,
    /// The jobs that the front end has admitted and that have not ended.
    pub in_flight: Rc<InFlightTable>,
    /// Results of keyed jobs, with which their retries are answered.
    pub result_cache: Rc<ResultCache>,
    /// The ids of the jobs that were started.
    pub started_jobs: RefCell<StartedJobs>,
    /// The calls to the database.
    pub dependency_calls: Rc<DependencyCalls>,
    /// The link to the executor.
    pub executor: Rc<ExecutorLink>,
    /// The settings by which requests are decoded. A change does not affect jobs that have already arrived.
    pub settings: RefCell<Rc<HostSettings>>,
    /// Counts of jobs by how they ended.
    pub counters: RefCell<Counters>,
    /// Authenticates callers and decides which jobs they may request.
    pub callers: Callers,
    /// The log lines about single jobs and connections.
    pub event_log: EventLog,
}

impl RequestContext {
    /// Sends the final answer to a job, unless the job was answered before or its caller has disconnected.
    ///
    /// `cause` tells why a job is rejected or fails.
    pub fn answer(&self, id: &JobId, answer: &Answer, cause: UnservedCause) {
        let mut counters = self.counters.borrow_mut();
        let Some(responder) = self.in_flight.take_responder(id) else {
            counters.late_answers += 1;
            return;
        };
        tracing::trace!(job = &**id, answer = answer.name(), "job answered");
        match answer {
            Answer::Succeeded(_) => counters.succeeded += 1,
            Answer::Rejected { retry_after, .. } => {
                counters.rejected += 1;
                let job = responder.unserved(id);
                self.event_log.job_rejected(job, cause, retry_after.as_ms());
                self.count_rejection(&responder.connection);
            }
            Answer::Denied(_) => counters.denied += 1,
            Answer::Failed => {
                counters.failed += 1;
                self.event_log.job_failed(responder.unserved(id), cause);
            }
        }
        let line = jsonrpc::encode(responder.call_id, answer, self.driver.load_signal());
        responder.connection.send(&line);
        responder.connection.close_call(responder.call_id);
    }

    /// Counts a rejection of a job requested on a connection.
    pub fn count_rejection(&self, connection: &ClientConnection<JobId>) {
        if connection.count_rejection() {
            self.event_log.connection_throttled(connection.number);
        }
    }

    /// Records that the caller of a job no longer waits for the answer. The controller is notified before the job's
    /// task: otherwise the controller could still start the run of a job whose task has ended.
    pub fn caller_disconnected(&self, id: &JobId) {
        if let Some(responder) = self.in_flight.take_responder(id) {
            self.counters.borrow_mut().callers_disconnected += 1;
            responder.connection.close_call(responder.call_id);
            self.driver.notify(ControllerEvent::CallerDisconnected { id: id.clone() });
            self.in_flight.send(id, JobEvent::CallerDisconnected);
        }
    }

    /// Marks the connection of a job's caller as trusted, because the executor has run the job.
    pub fn trust_caller(&self, id: &JobId) {
        if let Some(connection) = self.in_flight.caller(id) {
            connection.mark_trusted();
        }
    }

    /// Counts a job that is unknown to the executor. The job also counts as a protocol violation of its caller, unless the
    /// executor has run jobs of the same connection: then the fault is more likely the executor's.
    pub fn count_unknown_to_executor(&self, id: &JobId) {
        let mut counters = self.counters.borrow_mut();
        counters.unknown_to_executor += 1;
        if counters.unknown_to_executor.is_power_of_two() {
            tracing::warn!(
                count = counters.unknown_to_executor,
                "executor refused to start a run: unknown job"
            );
        }
        let caller = self.in_flight.caller(id).filter(|connection| !connection.is_trusted());
        if let Some(connection) = caller {
            self.event_log.violation(connection.number, None, &UnservedCause::UnknownToExecutor);
            connection.count_violation();
        }
    }

    /// Sends a command to the executor.
    ///
    /// # Errors
    /// [`NoLink`] if the command was dropped because there is no link to the executor.
    pub fn send_command(&self, command: &Command) -> Result<(), NoLink> {
        self.executor.send(&encode(command))
    }
}
