//! The front end: decodes the messages of clients, admits jobs and starts their tasks, and detects callers that
//! disconnect. The front end answers health checks and invalid messages itself.

mod refusals;
mod retries;

use super::callers::Caller;
use super::context::RequestContext;
use super::in_flight::{JobFingerprint, Responder};
use super::job;
use super::result_cache::JobKey;
use crate::protocol::jsonrpc::{self, Answer, ClientMessage, JobRequest, RequestError};
use crate::transport::clients::{Accepting, ClientConnection, ClientConnections, EndedConnection};
use crate::transport::listener::AcceptedConnection;
use crate::transport::tls::Tls;
use async_executor::LocalExecutor;
use hazelgrade::api::{Idempotency, JobId};
use hazelgrade::time::{Span, Time};
use hazelgrade_identity::DenyReason;
use hazelgrade_identity::authenticator::Credentials;
use hazelgrade_net::connection_end::ConnectionEnd;
use refusals::REJECTED;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long after its receipt a job may wait until its connection may open another call, as a ratio of the deadline of
/// its class. Past that it is rejected, so that neither its answer nor those to the messages behind it come late.
const MAX_FREE_CALL_WAIT_RATIO: f64 = 0.125;
/// How much earlier than it was sent a job may appear to have expired: time stamps are whole milliseconds, and the bytes
/// are on their way for a moment.
const TIME_STAMP_TOLERANCE: Duration = Duration::from_millis(50);

/// Accepts the connections of clients and handles their messages.
pub struct FrontEnd {
    /// The state that the front end shares with the tasks of jobs.
    pub context: Rc<RequestContext>,
    /// All connections from clients.
    pub connections: ClientConnections<JobId>,
    /// The executor of the tasks of connections and jobs.
    pub tasks: Rc<LocalExecutor<'static>>,
    /// Number of messages since the start that violated the protocol.
    pub invalid_messages: Cell<u64>,
    /// Encrypts connections, if TLS is configured.
    pub tls: Rc<Tls>,
}

impl FrontEnd {
    /// Starts the task that serves an accepted connection.
    pub fn start(self: &Rc<Self>, accepted: AcceptedConnection) {
        let accepting = self.connections.accepted();
        self.tasks.spawn(self.clone().serve(accepting, accepted)).detach();
    }

    /// Serves a connection until it ends, and then records that the callers of its open calls have disconnected.
    async fn serve(self: Rc<Self>, accepting: Accepting, connection: AcceptedConnection) {
        let AcceptedConnection { stream, peer } = connection;
        let accepted = match self.tls.accept(stream, self.context.driver.clock.now()).await {
            Ok(accepted) => accepted,
            Err(end) => {
                return self.context.event_log.handshake_failed(end);
            }
        };
        let credentials = Credentials { token: None, certificate: accepted.certificate };
        let caller = Caller { address: peer.ip(), credentials: RefCell::new(credentials) };
        let on_line = async |connection: &Rc<ClientConnection<JobId>>, line: &[u8]| {
            self.handle_line(connection, &caller, line).await;
        };
        let EndedConnection { end, open_calls, summary } = self
            .connections
            .serve(&self.tasks, accepting, accepted.stream, jsonrpc::MAX_LINE_BYTES, on_line, closing_line)
            .await;
        self.context.event_log.connection_ended(&summary, end, &open_calls);
        open_calls.iter().for_each(|id| self.context.caller_disconnected(id));
    }

    /// Decodes and handles one line from a client.
    async fn handle_line(&self, connection: &Rc<ClientConnection<JobId>>, caller: &Caller, line: &[u8]) {
        let settings = self.context.settings.borrow().clone();
        match jsonrpc::decode(line, &settings) {
            Ok(ClientMessage::Job(request)) => self.handle_job(connection, caller, *request, None).await,
            Ok(ClientMessage::Abort { call_id, job_id }) => self.handle_abort(connection, call_id, job_id),
            Ok(ClientMessage::Hello { call_id, token }) => {
                self.handle_hello(connection, caller, call_id, &token);
            }
            Ok(ClientMessage::HealthCheck { call_id }) => self.handle_health_check(connection, call_id),
            Err(mut error) => match error.unserved_job.take() {
                Some(request) => self.handle_job(connection, caller, *request, Some(&error)).await,
                None => self.handle_invalid_message(connection, &error),
            },
        }
    }

    /// Authorizes the caller of a job, and admits or denies the job. With `unserved`, the job is admitted only if it is a
    /// retry of a known job: what a retry is known by is the same in all versions of the configuration.
    async fn handle_job(
        &self,
        connection: &Rc<ClientConnection<JobId>>,
        caller: &Caller,
        mut request: JobRequest,
        unserved: Option<&RequestError>,
    ) {
        self.identify(caller, &mut request);
        if let Some(error) = unserved.filter(|_| !self.may_have_run(&request)) {
            return self.handle_invalid_message(connection, error);
        }
        if !connection.wait_for_free_call(self.free_call_deadline(&request)).await {
            return self.reject_without_free_call(connection, &request);
        }
        if unserved.is_some() && self.context.callers.is_enabled() && !self.is_tenant_resolved(&request) {
            return self.deny(connection, &request, DenyReason::TenantNotAllowed);
        }
        let authorized = self.context.callers.authorize(&self.context.driver.clock, caller, &mut request);
        // A token that was not known before has been verified now, and is not needed any more.
        self.identify(caller, &mut request);
        request.token = None;
        if let Err(reason) = authorized {
            return self.deny(connection, &request, reason);
        }
        // What is known of the job may have expired during the wait.
        match unserved.filter(|_| !self.may_have_run(&request)) {
            Some(error) => self.handle_invalid_message(connection, error),
            None => self.admit(connection, request),
        }
    }

    /// Returns until when a job may stay unread because its connection has the maximum number of open calls.
    fn free_call_deadline(&self, request: &JobRequest) -> Instant {
        let clock = &self.context.driver.clock;
        let deadline = self.context.settings.borrow().job_classes[request.job.job_class].deadline;
        let now = clock.now();
        let age = now.since(clock.time_of_stamp(request.job.received_at).unwrap_or(now));
        let wait_ms = (deadline * MAX_FREE_CALL_WAIT_RATIO).as_ms() - age.as_ms();
        Instant::now() + Duration::from_secs_f64(wait_ms.max(0.0) / 1000.0)
    }

    /// Aborts a job: records that its caller no longer waits. A connection can abort only its own calls.
    fn handle_abort(
        &self,
        connection: &ClientConnection<JobId>,
        call_id: Option<u64>,
        job_id: Option<JobId>,
    ) {
        let by_call = call_id.and_then(|call_id| connection.open_call(call_id));
        match job_id.filter(|id| connection.has_open(id)).or(by_call) {
            Some(id) => self.context.caller_disconnected(&id),
            None => connection.count_jobless_message(),
        }
    }

    /// Authenticates the caller of a connection, and answers with the caller's name or the reason of the denial.
    fn handle_hello(&self, connection: &ClientConnection<JobId>, caller: &Caller, call_id: u64, token: &str) {
        connection.count_jobless_message();
        let authenticated = self.context.callers.authenticate(&self.context.driver.clock, caller, token);
        if let Err(reason) = authenticated {
            self.record_failed_hello(connection, call_id, reason);
        }
        let name = authenticated.as_deref().map_err(|reason| reason.message());
        connection.send(&jsonrpc::encode_hello(call_id, name));
    }

    /// Answers a health check.
    fn handle_health_check(&self, connection: &ClientConnection<JobId>, call_id: u64) {
        connection.count_health_check();
        let driver = &self.context.driver;
        connection.send(&jsonrpc::encode_check(call_id, driver.is_healthy(), driver.load_signal()));
    }

    /// Checks a job whose caller was authorized, and starts the task of the job.
    fn admit(&self, connection: &Rc<ClientConnection<JobId>>, mut request: JobRequest) {
        let context = &self.context;
        let id = request.job.id.clone();
        let call_id = request.call_id;
        if connection.open_call(call_id).is_some() {
            return self.answer_violation(connection, &jsonrpc::call_id_in_use());
        }
        let fingerprint = JobFingerprint::new(&request, self.owner(&request));
        if self.answer_if_in_flight(connection, &request, &fingerprint) {
            return;
        }
        let Some(received_at) = context.driver.clock.time_of_stamp(request.job.received_at) else {
            return self.answer_invalid_time(connection, &request);
        };
        let (deadline, is_idempotent) = {
            let settings = context.settings.borrow();
            let job_class = &settings.job_classes[request.job.job_class];
            (job_class.deadline, job_class.idempotency == Idempotency::Idempotent)
        };
        if !self.check_age(connection, &request, received_at, deadline) {
            return;
        }
        let is_original = |key: &JobKey| context.result_cache.original(key, received_at).is_none();
        // An idempotent job may run again, unless it is a retry of one that was promised to run once.
        let key = self.job_key(&request).filter(|key| !(is_idempotent && is_original(key)));
        if self.answer_if_finished(connection, &request, key.as_ref())
            || self.answer_if_started(connection, &request)
        {
            return;
        }
        connection.add_call(call_id, id.clone());
        let job = &mut request.job;
        job.received_at = received_at;
        job.from_known_caller = connection.is_trusted();
        job.retry_of = key.and_then(|key| context.result_cache.arrived(&id, key, received_at, deadline));
        self.take_tokens(&mut request);
        context.counters.borrow_mut().arrived += 1;
        let unread = context.driver.clock.now().since(received_at);
        let responder =
            Responder { connection: connection.clone(), call_id, read_at: Instant::now(), unread };
        let events = context.in_flight.insert(&request.job, fingerprint, responder);
        self.tasks.spawn(job::run(request, events, context.clone())).detach();
    }

    /// Answers a job whose id is already in flight, and counts a violation, unless the caller of the job in flight is gone.
    /// Returns `false` if the id is not in flight.
    fn answer_if_in_flight(
        &self,
        connection: &ClientConnection<JobId>,
        request: &JobRequest,
        fingerprint: &JobFingerprint,
    ) -> bool {
        let Some(is_same) = self.context.in_flight.has_fingerprint(&request.job.id, fingerprint) else {
            return false;
        };
        // The outcome of the job in flight is not known yet, so a duplicate of that job fails. A different job under
        // the same id does not run and is rejected.
        if is_same && !self.context.in_flight.is_unanswered(&request.job.id) {
            // The connection of the first copy is gone, and its caller sent the job once more.
            self.answer(connection, request.call_id, &Answer::Failed);
            self.context.count_rejection(connection);
            return true;
        }
        let answer = if is_same { Answer::Failed } else { REJECTED };
        self.answer_duplicate_id(connection, request, &answer);
        true
    }

    /// Answers a job whose id belongs to a stored finished job, and counts a violation. Returns `false` if no finished
    /// job is stored under the id. While a finished job is stored, neither a duplicate of that job nor a different job
    /// runs under its id.
    fn answer_if_finished(
        &self,
        connection: &ClientConnection<JobId>,
        request: &JobRequest,
        key: Option<&JobKey>,
    ) -> bool {
        let Some(finished) = self.context.result_cache.finished(&request.job.id) else { return false };
        let stored = finished.result.map_or(Answer::Failed, Answer::Succeeded);
        let answer = if key == Some(&finished.key) { stored } else { REJECTED };
        self.answer_duplicate_id(connection, request, &answer);
        true
    }

    /// Answers a job whose id was started before and has ended: the job fails, as its effect can't be excluded. It counts
    /// no violation, because a client may send a job once more after its connection broke. Returns `false` if the id was
    /// not started.
    fn answer_if_started(&self, connection: &ClientConnection<JobId>, request: &JobRequest) -> bool {
        let is_started = self.context.started_jobs.borrow().contains(&request.job.id);
        if is_started {
            self.context.counters.borrow_mut().copies_of_started += 1;
            self.answer(connection, request.call_id, &Answer::Failed);
            self.context.count_rejection(connection);
        }
        is_started
    }

    /// Answers a job whose deadline has passed, and returns `false` for it. Returns `true` for any other job.
    ///
    /// A job that expired while it may have waited for this node to read it is rejected. Any other one was sent with a
    /// wrong time stamp.
    fn check_age(
        &self,
        connection: &ClientConnection<JobId>,
        request: &JobRequest,
        received_at: Time,
        deadline: Span,
    ) -> bool {
        let now = self.context.driver.clock.now();
        let expires_at = received_at + deadline;
        let expired = expires_at < now;
        let max_unread = connection.max_unread() + TIME_STAMP_TOLERANCE;
        let expired_unread = now.since(expires_at) <= Span::from_ms(max_unread.as_secs_f64() * 1000.0);
        if !expired {
            return true;
        }
        if expired_unread || connection.is_trusted() {
            self.reject_expired(connection, request, now.since(received_at));
        } else {
            self.answer_invalid_time(connection, request);
        }
        false
    }

    /// Takes a job's tokens from this node's share of the budgets, if budgets are enabled. Records the retry-after in
    /// the job if a token is missing.
    fn take_tokens(&self, request: &mut JobRequest) {
        if let Some(share) = self.context.driver.budget_share() {
            let settings = self.context.settings.borrow();
            let tenant = settings.tenants.get(request.job.tenant).and_then(Option::as_deref);
            request.job.lease_retry_after = share.take_tokens(&request.job, tenant);
        }
    }
}

/// Returns the line that is sent to a client before its connection is closed with this end.
fn closing_line(end: ConnectionEnd) -> Option<String> {
    match end {
        ConnectionEnd::TooLong => Some(jsonrpc::encode_error(&jsonrpc::line_too_long())),
        ConnectionEnd::ProtocolViolation => Some(jsonrpc::encode_error(&jsonrpc::too_many_violations())),
        _ => None,
    }
}
