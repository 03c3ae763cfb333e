//! Answers that the front end gives itself, to jobs that it does not admit and to messages that it does not accept.

use super::FrontEnd;
use crate::protocol::jsonrpc::{self, Answer, JobRequest, RequestError};
use crate::routing::event_log::{UnservedCause, UnservedJob};
use crate::transport::clients::ClientConnection;
use hazelgrade::api::JobId;
use hazelgrade::time::Span;
use hazelgrade_identity::DenyReason;
use std::time::Duration;

/// The answer to a job that the front end rejects: the job did not run, and other servers may run it at once.
pub(super) const REJECTED: Answer = Answer::Rejected { not_elsewhere: false, retry_after: Span::ZERO };

impl FrontEnd {
    /// Rejects a job whose job class is not served, and fails one with an unknown name; any other invalid message counts
    /// as a violation.
    pub(super) fn handle_invalid_message(&self, connection: &ClientConnection<JobId>, error: &RequestError) {
        match error.call_id.filter(|_| error.not_served) {
            Some(call_id) => {
                self.context.counters.borrow_mut().not_served += 1;
                self.answer(connection, call_id, &REJECTED);
                self.log_rejected(connection, "-", Span::ZERO, UnservedCause::NotServed);
                self.context.count_rejection(connection);
            }
            None if error.reason.is_unknown_name() => self.answer_unknown_name(connection, error),
            None => self.answer_violation(connection, error),
        }
    }

    /// Answers a job whose class or tenant this instance does not know. It counts as a rejection and not as a violation:
    /// the end of the connection would take the client's other jobs with it.
    fn answer_unknown_name(&self, connection: &ClientConnection<JobId>, error: &RequestError) {
        self.invalid_messages.set(self.invalid_messages.get() + 1);
        connection.send(&jsonrpc::encode_error(error));
        self.log_rejected(connection, "-", Span::ZERO, UnservedCause::NotServed);
        connection.count_jobless_message();
        self.context.count_rejection(connection);
    }

    /// Sends the answer to a job that is not admitted. If the job or another try of it may have run or may still run, the
    /// answer is a failure: a rejection or a denial would say that the job never ran, and its caller could send it to
    /// another instance.
    pub(super) fn answer_unadmitted(
        &self,
        connection: &ClientConnection<JobId>,
        request: &JobRequest,
        answer: &Answer,
    ) {
        let is_untrue = answer.says_never_ran() && self.may_have_run(request);
        let answer = if is_untrue { &Answer::Failed } else { answer };
        self.answer(connection, request.call_id, answer);
    }

    /// Sends an answer to a call that was not admitted.
    pub(super) fn answer(&self, connection: &ClientConnection<JobId>, call_id: u64, answer: &Answer) {
        connection.send(&jsonrpc::encode(call_id, answer, self.context.driver.load_signal()));
    }

    /// Denies a call that its caller has no right to make. The job did not run, and no other server would run it.
    pub(super) fn deny(
        &self,
        connection: &ClientConnection<JobId>,
        request: &JobRequest,
        reason: DenyReason,
    ) {
        {
            let mut counters = self.context.counters.borrow_mut();
            counters.denied += 1;
            counters.unverified += u64::from(reason.suggests_wrong_policy());
        }
        self.answer_unadmitted(connection, request, &Answer::Denied(reason.message()));
        self.log_rejected(connection, &request.job.id, Span::ZERO, UnservedCause::Denied);
        // Denials count as rejections: a connection with many rejections, none of whose jobs has run, is read slowly.
        self.context.count_rejection(connection);
    }

    /// Counts a `hello` that did not identify the caller: as a violation, unless this node may only lack the caller's key,
    /// and then as a rejection.
    pub(super) fn record_failed_hello(
        &self,
        connection: &ClientConnection<JobId>,
        call_id: u64,
        reason: DenyReason,
    ) {
        if reason.suggests_late_key_set() {
            return self.context.count_rejection(connection);
        }
        self.context.event_log.violation(connection.number, Some(call_id), &reason);
        connection.count_violation();
    }

    /// Rejects a job whose deadline passed before the job was read.
    pub(super) fn reject_expired(
        &self,
        connection: &ClientConnection<JobId>,
        request: &JobRequest,
        unread: Span,
    ) {
        let mut counters = self.context.counters.borrow_mut();
        counters.rejected += 1;
        counters.expired_unread += 1;
        drop(counters);
        self.answer_unadmitted(connection, request, &REJECTED);
        self.log_rejected(connection, &request.job.id, unread, UnservedCause::ExpiredUnread);
        self.context.count_rejection(connection);
    }

    /// Answers a job whose time stamp can't be true. It counts as a rejection and not as a violation: the clocks of this
    /// machine may have been stepped between the stamp and now.
    pub(super) fn answer_invalid_time(&self, connection: &ClientConnection<JobId>, request: &JobRequest) {
        self.invalid_messages.set(self.invalid_messages.get() + 1);
        let error = jsonrpc::invalid_time(request.call_id);
        connection.send(&jsonrpc::encode_error(&error));
        self.context.event_log.violation(connection.number, error.call_id, &error.reason);
        self.context.count_rejection(connection);
    }

    /// Rejects a job whose connection had the maximum number of open calls for too long.
    pub(super) fn reject_without_free_call(
        &self,
        connection: &ClientConnection<JobId>,
        request: &JobRequest,
    ) {
        self.context.counters.borrow_mut().rejected += 1;
        self.answer_unadmitted(connection, request, &REJECTED);
        self.log_rejected(connection, &request.job.id, Span::ZERO, UnservedCause::NoFreeCall);
        self.context.count_rejection(connection);
    }

    /// Answers a job whose id is in use, and counts a violation.
    pub(super) fn answer_duplicate_id(
        &self,
        connection: &ClientConnection<JobId>,
        request: &JobRequest,
        answer: &Answer,
    ) {
        // Another job under an id that is in use never ran, unless it repeats a third one.
        let is_untrue = answer.says_never_ran() && self.is_known_retry(request);
        let answer = if is_untrue { &Answer::Failed } else { answer };
        self.answer(connection, request.call_id, answer);
        self.context.event_log.violation(
            connection.number,
            Some(request.call_id),
            &UnservedCause::DuplicateId,
        );
        connection.count_violation();
    }

    /// Answers a message that violates the protocol, and counts the violation.
    pub(super) fn answer_violation(&self, connection: &ClientConnection<JobId>, error: &RequestError) {
        self.invalid_messages.set(self.invalid_messages.get() + 1);
        connection.send(&jsonrpc::encode_error(error));
        self.context.event_log.violation(connection.number, error.call_id, &error.reason);
        connection.count_violation();
    }

    fn log_rejected(
        &self,
        connection: &ClientConnection<JobId>,
        id: &str,
        unread: Span,
        cause: UnservedCause,
    ) {
        let job = UnservedJob {
            id,
            connection: connection.number,
            unread_ms: unread.as_ms(),
            held: Duration::ZERO,
        };
        self.context.event_log.job_rejected(job, cause, 0.0);
    }
}
