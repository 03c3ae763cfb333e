//! Calls to the database, by job. The connection of each call is recorded, so that a reply can end only the call that
//! was sent on the same connection.

use super::in_flight::{InFlightTable, JobEvent};
use super::outcome::CallEnd;
use crate::protocol::database::{self, ReplyHead};
use crate::transport::database::{CallTicket, Database, LostConnection, ReplyHandler};
use async_executor::LocalExecutor;
use hazelgrade::api::JobId;
use hazelgrade::time::Span;
use hazelgrade_net::connection_end::ConnectionEnd;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// The calls of one job that is in flight.
#[derive(Default)]
struct JobCalls {
    /// The call in flight, if there is one.
    current: Option<CallTicket>,
    /// Connections of all calls of the job so far. No two calls of a job use the same connection: a reply names only
    /// the job, so a late or duplicate reply could be taken for the reply to the job's next call.
    used_connections: Vec<u64>,
}

impl JobCalls {
    /// Returns whether the call in flight is on this connection.
    fn is_on(&self, connection: u64) -> bool {
        self.current.is_some_and(|call| call.connection == connection)
    }
}

/// The calls of all jobs that are in flight.
pub struct DependencyCalls {
    database: Option<Rc<Database>>,
    jobs: RefCell<BTreeMap<JobId, JobCalls>>,
    in_flight: Rc<InFlightTable>,
    tasks: Rc<LocalExecutor<'static>>,
    /// Replies since the start that match no call in flight on their connection.
    pub unknown_replies: Cell<u64>,
    /// Lines from the database since the start that could not be decoded.
    pub malformed_lines: Cell<u64>,
    /// Calls since the start whose connection ended before the reply.
    pub lost: Cell<u64>,
}

impl DependencyCalls {
    /// Creates a table without calls. If `database` is `None`, every call ends as unreachable.
    pub fn new(
        database: Option<Database>,
        in_flight: Rc<InFlightTable>,
        tasks: Rc<LocalExecutor<'static>>,
    ) -> DependencyCalls {
        DependencyCalls {
            database: database.map(Rc::new),
            jobs: RefCell::default(),
            in_flight,
            tasks,
            unknown_replies: Cell::new(0),
            malformed_lines: Cell::new(0),
            lost: Cell::new(0),
        }
    }

    /// Starts a call; the end of the call is sent to the job as [`JobEvent::CallEnded`]. A call that cannot be handed
    /// to the operating system before `expires_at` is not sent. `timeout` is the time that the database has to reply.
    pub fn start(self: &Rc<Self>, id: &JobId, timeout: Span, body: &[u8], expires_at: Option<Instant>) {
        let Some(database) = &self.database else {
            return self.in_flight.send(id, JobEvent::CallEnded(CallEnd::NO_DATABASE));
        };
        let mut jobs = self.jobs.borrow_mut();
        let calls = jobs.entry(id.clone()).or_default();
        let message = database::encode_call(id, timeout, body);
        let call = database.call(&self.tasks, self, &message, &calls.used_connections, expires_at);
        calls.current = Some(call);
        calls.used_connections.push(call.connection);
    }

    /// Cancels the call of a job, if a call is in flight.
    pub fn cancel(&self, id: &JobId) {
        if let Some((connection, database)) = self.send_cancel(id) {
            database.call_ended(connection);
        }
    }

    /// Cancels a job's call that has timed out. The connection of the call takes no further calls.
    pub fn cancel_timed_out(&self, id: &JobId) {
        if let Some((connection, database)) = self.send_cancel(id) {
            database.retire(connection);
            database.call_ended(connection);
        }
    }

    /// Sends the cancellation of a job's call in flight. Returns the connection of the call and the database.
    fn send_cancel(&self, id: &JobId) -> Option<(u64, &Rc<Database>)> {
        let call = self.jobs.borrow_mut().get_mut(id).and_then(|calls| calls.current.take())?;
        let connection = call.connection;
        let database = self.database.as_ref()?;
        database.send(connection, database::encode_cancel(id).as_bytes());
        Some((connection, database))
    }

    /// Removes a job that has ended. Cancels the job's call, if a call is in flight.
    pub fn remove_job(&self, id: &JobId) {
        self.cancel(id);
        self.jobs.borrow_mut().remove(id);
    }

    /// Sends calls to `address` from now on.
    pub fn set_address(&self, address: SocketAddr) {
        if let Some(database) = &self.database {
            database.set_address(address);
        }
    }

    /// Returns the number of connections to the database.
    pub fn connections(&self) -> usize {
        self.database.as_ref().map_or(0, |database| database.count())
    }
}

impl ReplyHandler for DependencyCalls {
    type Head = ReplyHead;

    fn decode_head(&self, line: &[u8]) -> Result<ReplyHead, ConnectionEnd> {
        database::decode(line).map_err(|error| {
            let count = self.malformed_lines.get() + 1;
            self.malformed_lines.set(count);
            if count.is_power_of_two() {
                tracing::warn!(%error, count, "closing a database connection after a malformed line");
            }
            ConnectionEnd::Malformed
        })
    }

    fn body_length(&self, head: &ReplyHead) -> Option<usize> {
        head.body_length
    }

    fn reply(&self, connection: u64, head: ReplyHead, body: Vec<u8>) {
        let ReplyHead { id, reply, .. } = head;
        let mut jobs = self.jobs.borrow_mut();
        let calls = jobs.get_mut(&id).filter(|calls| calls.is_on(connection));
        let (Some(calls), Some(database)) = (calls, &self.database) else {
            return self.unknown_replies.set(self.unknown_replies.get() + 1);
        };
        calls.current = None;
        database.call_ended(connection);
        self.in_flight.send(&id, JobEvent::CallEnded(CallEnd::Replied { reply, body }));
    }

    fn ended(&self, lost: LostConnection) {
        for (id, calls) in self.jobs.borrow_mut().iter_mut().filter(|(_, calls)| calls.is_on(lost.number)) {
            let Some(call) = calls.current.take() else { continue };
            self.lost.set(self.lost.get() + 1);
            self.in_flight.send(id, JobEvent::CallEnded(CallEnd::ConnectionLost(lost.call_end(call))));
        }
    }
}
