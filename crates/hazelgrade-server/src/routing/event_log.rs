//! Log lines about single jobs and connections at the default level: why a connection was closed, and why a job was
//! rejected, failed or tried again. The number of lines of each kind is bounded, so that neither overload nor a hostile
//! client fills the log; the next line of the kind says how many were left out.

use crate::transport::clients::ConnectionSummary;
use crate::transport::log_limit::LineLimit;
use hazelgrade::api::JobId;
use hazelgrade_net::connection_end::ConnectionEnd;
use std::fmt;
use std::time::{Duration, Instant};

/// Maximum number of job ids in one line.
const MAX_IDS: usize = 4;

/// Why a job was answered without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnservedCause {
    /// The controller gave the job up.
    #[error("given up by the controller")]
    Controller,
    /// The run ended without a result, or may have been lost.
    #[error("run without a result")]
    Run,
    /// The job is a retry of a job that ended without a result.
    #[error("original without a result")]
    Original,
    /// The job's deadline passed before the job was read.
    #[error("expired unread")]
    ExpiredUnread,
    /// The connection had the maximum number of open jobs for too long.
    #[error("no free call")]
    NoFreeCall,
    /// This node does not serve the job's class.
    #[error("class not served")]
    NotServed,
    /// The caller has no right to the job.
    #[error("denied")]
    Denied,
    /// The executor does not know the job.
    #[error("unknown to the executor")]
    UnknownToExecutor,
    /// A job with the same id is in flight or was finished before.
    #[error("job id in use")]
    DuplicateId,
}

/// A job that was answered without a result.
#[derive(Clone, Copy)]
pub struct UnservedJob<'a> {
    /// The id of the job.
    pub id: &'a str,
    /// Number of the job's connection.
    pub connection: u64,
    /// How long the job waited before it was read, by its time stamp, in milliseconds.
    pub unread_ms: f64,
    /// How long the job was held after it was read.
    pub held: Duration,
}

/// What was tried again.
#[derive(Clone, Copy, Debug)]
pub enum Repeated {
    /// A command to the executor whose receipt is not known to have failed or succeeded.
    Command,
    /// A call to the database.
    Call,
}

/// Writes the bounded lines.
#[derive(Default)]
pub struct EventLog {
    connections: LineLimit,
    handshakes: LineLimit,
    throttled: LineLimit,
    violations: LineLimit,
    rejections: LineLimit,
    failures: LineLimit,
    repeated: LineLimit,
}

impl EventLog {
    /// Logs the end of a client connection, with its cause and the jobs that were open.
    pub fn connection_ended(&self, summary: &ConnectionSummary, end: ConnectionEnd, open_jobs: &[JobId]) {
        let Some(left_out) = self.connections.permit(Instant::now()) else { return };
        tracing::info!(
            connection = summary.number,
            cause = %end,
            open_ms = summary.open_for.as_millis(),
            trusted = summary.is_trusted,
            messages = summary.messages,
            rejections = summary.rejections,
            violations = summary.violations,
            throttled_ms = summary.throttled.as_millis(),
            awaiting_free_call_ms = summary.awaiting_free_call.as_millis(),
            dropped_bytes = summary.dropped_bytes,
            open_jobs = open_jobs.len(),
            jobs = %Ids(open_jobs),
            left_out,
            "client connection ended"
        );
    }

    /// Logs a TLS handshake with a client that failed.
    pub fn handshake_failed(&self, end: ConnectionEnd) {
        if let Some(left_out) = self.handshakes.permit(Instant::now()) {
            tracing::info!(cause = %end, left_out, "TLS handshake with a client failed");
        }
    }

    /// Logs that a client connection is read more slowly from now on.
    pub fn connection_throttled(&self, connection: u64) {
        if let Some(left_out) = self.throttled.permit(Instant::now()) {
            tracing::info!(connection, left_out, "client connection throttled after rejections");
        }
    }

    /// Logs a message that is not valid.
    pub fn violation(&self, connection: u64, call_id: Option<u64>, reason: &dyn fmt::Display) {
        if let Some(left_out) = self.violations.permit(Instant::now()) {
            tracing::info!(connection, call_id, %reason, left_out, "message violates the protocol");
        }
    }

    /// Logs a job that was rejected.
    pub fn job_rejected(&self, job: UnservedJob, cause: UnservedCause, retry_after_ms: f64) {
        let Some(left_out) = self.rejections.permit(Instant::now()) else { return };
        let UnservedJob { id, connection, unread_ms, held } = job;
        let held_ms = held.as_millis();
        tracing::info!(job = id, connection, %cause, unread_ms, held_ms, retry_after_ms, left_out, "job rejected");
    }

    /// Logs a job that failed.
    pub fn job_failed(&self, job: UnservedJob, cause: UnservedCause) {
        let Some(left_out) = self.failures.permit(Instant::now()) else { return };
        let UnservedJob { id, connection, unread_ms, held } = job;
        let held_ms = held.as_millis();
        tracing::info!(job = id, connection, %cause, unread_ms, held_ms, left_out, "job failed");
    }

    /// Logs a command or a call of a job that is tried again.
    pub fn repeated(&self, id: &JobId, what: Repeated) {
        if let Some(left_out) = self.repeated.permit(Instant::now()) {
            tracing::info!(job = &**id, ?what, left_out, "tried again");
        }
    }
}

/// Shows the first few ids of a list.
struct Ids<'a>(&'a [JobId]);

impl fmt::Display for Ids<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        for (index, id) in self.0.iter().take(MAX_IDS).enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(formatter, "{separator}{}", &**id)?;
        }
        Ok(())
    }
}
