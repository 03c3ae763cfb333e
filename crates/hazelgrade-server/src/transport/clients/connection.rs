//! State of one client connection: its open calls, whether its peer is trusted, and what the reader is waiting for.

use super::activity::{Activity, ConnectionSummary};
use super::allowance::MessageAllowance;
use super::call_limit::PooledCalls;
use super::throttle::SharedThrottle;
use async_io::Timer;
use futures_lite::future::or;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::notify::Notify;
use hazelgrade_net::write_queue::{QueuedBytes, WriteQueue};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Capacity of the write queue of a connection, in bytes. Holds the answers to all open calls, at 4 KiB in base64 each,
/// and the answers to some health checks.
const WRITE_QUEUE_BYTES: usize = 256 * 1024;
/// Maximum time from the first byte of a message to its last. For the first message, the time counts from the start of
/// the connection.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may stay idle. Clients close idle connections either before this time or never, so a
/// connection that is idle for longer would not be closed by its client.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of protocol violations that are tolerated; the next violation closes the connection.
const MAX_VIOLATIONS: u32 = 4;
/// Number of rejections that an untrusted connection may have without being throttled.
const MAX_UNTHROTTLED_REJECTIONS: u32 = 8;

/// A connection from a client. Open calls are identified by their ids; `T` is the value stored for each open call.
pub struct ClientConnection<T> {
    /// Number of the connection since the start of the process.
    pub number: u64,
    pub(super) activity: Activity,
    pub(super) throttle: Rc<SharedThrottle>,
    allowance: MessageAllowance,
    /// Length of the message that is being handled, in bytes.
    pub(super) message_bytes: Cell<usize>,
    pub(super) write_queue: Rc<WriteQueue>,
    /// What is queued for all clients together.
    pub(super) unwritten: Rc<QueuedBytes>,
    open_calls: RefCell<BTreeMap<u64, T>>,
    pooled_calls: PooledCalls,
    /// Notified when a call is closed, and when the maximum number of open calls or the number of violations has
    /// changed.
    pub(super) calls_changed: Notify,
    last_used: Cell<Instant>,
    trusted: Cell<bool>,
    /// When the first byte of the message being read arrived; before the first message, when the connection was opened.
    pub(super) message_started: Cell<Option<Instant>>,
    /// Whether the previous check found the message overdue. Two checks in a row are needed for a time-out, so that
    /// after a pause of the process the messages that arrived meanwhile are read first.
    was_overdue: Cell<bool>,
    /// What has not been read yet was received after this instant.
    unread_since: Cell<Instant>,
    /// Whether the reader is waiting for bytes, which means that every message received so far has been handled.
    pub(super) reader_waits: Cell<bool>,
    /// The reason of a pending request to close the connection once it is idle.
    pub(super) close_reason: Cell<Option<ConnectionEnd>>,
    close_requested: Notify,
    /// Whether a probe was sent to the peer, because it had closed its sending side.
    pub(super) probed: Cell<bool>,
    /// Whether the write side has been shut down. Bytes that the peer sends after that are read and dropped.
    pub(super) half_closed: Cell<bool>,
    /// Notified to end the linger before the peer has closed its side.
    pub(super) linger_aborted: Notify,
    /// Notified when a write to the peer has been blocked for longer than the write timeout.
    pub(super) write_stalled: Notify,
}

impl<T: Clone + PartialEq> ClientConnection<T> {
    pub(super) fn new(
        number: u64,
        connected_after: Instant,
        throttle: Rc<SharedThrottle>,
        pooled_calls: PooledCalls,
        unwritten: Rc<QueuedBytes>,
    ) -> ClientConnection<T> {
        ClientConnection {
            number,
            activity: Activity::new(),
            throttle,
            allowance: MessageAllowance::new(Instant::now()),
            message_bytes: Cell::new(0),
            write_queue: Rc::new(WriteQueue::sharing(WRITE_QUEUE_BYTES, unwritten.clone())),
            unwritten,
            open_calls: RefCell::default(),
            pooled_calls,
            calls_changed: Notify::default(),
            last_used: Cell::new(Instant::now()),
            trusted: Cell::new(false),
            message_started: Cell::new(Some(Instant::now())),
            was_overdue: Cell::new(false),
            unread_since: Cell::new(connected_after),
            reader_waits: Cell::new(false),
            close_reason: Cell::new(None),
            close_requested: Notify::default(),
            probed: Cell::new(false),
            half_closed: Cell::new(false),
            linger_aborted: Notify::default(),
            write_stalled: Notify::default(),
        }
    }

    /// Queues a message for the peer. After the half-close the message is dropped, because no answer is outstanding
    /// then.
    pub fn send(&self, message: &str) {
        self.last_used.set(Instant::now());
        if !self.half_closed.get() {
            self.write_queue.push(message.as_bytes());
        }
    }

    /// Opens a call; returns `false` if a call with the same id was open already.
    pub fn add_call(&self, call_id: u64, call: T) -> bool {
        self.last_used.set(Instant::now());
        let is_new = self.open_calls.borrow_mut().insert(call_id, call).is_none();
        self.record_open_calls();
        is_new
    }

    /// Returns the open call with this id, if there is one.
    pub fn open_call(&self, call_id: u64) -> Option<T> {
        self.open_calls.borrow().get(&call_id).cloned()
    }

    /// Returns whether this call is open.
    pub fn has_open(&self, call: &T) -> bool {
        self.open_calls.borrow().values().any(|open| open == call)
    }

    /// Returns whether any call is open.
    pub(super) fn has_open_calls(&self) -> bool {
        !self.open_calls.borrow().is_empty()
    }

    /// Closes the call with this id, if it is open.
    pub fn close_call(&self, call_id: u64) {
        self.open_calls.borrow_mut().remove(&call_id);
        self.record_open_calls();
        self.calls_changed.notify();
    }

    /// Closes all open calls and returns them.
    pub(super) fn take_open_calls(&self) -> Vec<T> {
        self.open_calls.take().into_values().collect()
    }

    /// Waits until the connection may open another call or has too many violations, but not beyond `until`. Returns
    /// whether it may open another call.
    pub async fn wait_for_free_call(&self, until: Instant) -> bool {
        let started_at = Instant::now();
        let free_call = async {
            while !self.has_free_call() && !self.has_too_many_violations() {
                self.calls_changed.notified().await;
            }
        };
        let timeout = async {
            Timer::at(until).await;
        };
        or(free_call, timeout).await;
        self.activity.record_wait_for_free_call(started_at);
        self.has_free_call()
    }

    fn has_free_call(&self) -> bool {
        self.pooled_calls.has_free_call(self.open_calls.borrow().len(), self.trusted.get())
    }

    fn record_open_calls(&self) {
        self.pooled_calls.record(self.open_calls.borrow().len(), self.trusted.get());
    }

    /// Returns what happened on the connection so far.
    pub(super) fn summary(&self) -> ConnectionSummary {
        self.activity.summary(self.number, self.trusted.get())
    }

    /// Marks the connection as trusted, because a job requested on it has run.
    pub fn mark_trusted(&self) {
        self.trusted.set(true);
        self.record_open_calls();
        self.calls_changed.notify();
    }

    /// Returns whether the connection is trusted, that is, whether a job requested on it has run.
    pub fn is_trusted(&self) -> bool {
        self.trusted.get()
    }

    /// Counts a health check requested by the peer.
    pub fn count_health_check(&self) {
        self.count_jobless_message();
        self.activity.health_checks.set(self.activity.health_checks.get().saturating_add(1));
    }

    pub(super) fn health_checks(&self) -> u32 {
        self.activity.health_checks.get()
    }

    /// Returns whether the peer repeats health checks, as a load balancer does. A single health check does not count:
    /// such a peer may be as idle as a peer that requested none.
    pub(super) fn is_health_monitor(&self) -> bool {
        !self.trusted.get() && self.activity.health_checks.get() > 1
    }

    /// Counts a rejection of a job requested on the connection. Returns whether the connection is throttled from now on.
    pub fn count_rejection(&self) -> bool {
        let was_throttled = self.is_throttled();
        self.activity.rejections.set(self.activity.rejections.get().saturating_add(1));
        self.is_throttled() && !was_throttled
    }

    /// Counts the message that is being handled as one that owes no answer to a job.
    pub fn count_jobless_message(&self) {
        self.allowance.take(Instant::now(), self.message_bytes.get());
    }

    /// Returns whether the connection is throttled: it is untrusted, and more than [`MAX_UNTHROTTLED_REJECTIONS`] of
    /// its jobs were rejected, or it has sent too many messages that are no jobs. All throttled connections together are
    /// read at a limited rate. In a drain only rejections count.
    pub(super) fn is_throttled(&self) -> bool {
        let is_rejected = !self.trusted.get() && self.activity.rejections.get() > MAX_UNTHROTTLED_REJECTIONS;
        is_rejected || (self.allowance.is_exhausted(Instant::now()) && !self.throttle.is_draining())
    }

    /// Counts an invalid message. After more than [`MAX_VIOLATIONS`] the connection is not read any more.
    pub fn count_violation(&self) {
        self.count_jobless_message();
        self.activity.violations.set(self.activity.violations.get().saturating_add(1));
        self.calls_changed.notify();
        self.close_requested.notify();
    }

    pub(super) fn has_too_many_violations(&self) -> bool {
        self.activity.violations.get() > MAX_VIOLATIONS
    }

    /// Returns for how long a message that has just been read may have waited for the reader: since the reader last found
    /// nothing to read, or since the peer can have connected.
    pub fn max_unread(&self) -> Duration {
        self.unread_since.get().elapsed()
    }

    /// Returns the time since the last call was opened or the last message was sent.
    pub(super) fn idle_for(&self) -> Duration {
        self.last_used.get().elapsed()
    }

    pub(super) fn last_used(&self) -> Instant {
        self.last_used.get()
    }

    /// Returns whether nothing is outstanding: every message received has been handled, no call is open, and every
    /// answer has been handed to the operating system.
    pub fn is_idle(&self) -> bool {
        self.reader_waits.get() && !self.has_open_calls() && self.write_queue.pending() == 0
    }

    /// Returns whether the connection is idle and not half-closed yet.
    pub(super) fn can_close(&self) -> bool {
        self.is_idle() && !self.half_closed.get()
    }

    /// Returns whether the connection may be evicted: it can be closed, and it is not a trusted connection on which
    /// part of a message has arrived.
    pub(super) fn can_be_evicted(&self) -> bool {
        self.can_close() && !(self.trusted.get() && self.message_started.get().is_some())
    }

    /// Requests the reader to close the connection. Messages that arrived before the request are read first, and a
    /// connection that is in use stays open.
    pub(super) fn request_close(&self, reason: ConnectionEnd) {
        self.close_reason.set(Some(reason));
        self.close_requested.notify();
    }

    /// Waits until a close is requested and the connection is idle, or until there were too many violations. The reader
    /// polls this future only when there is nothing to read.
    pub(super) async fn close_requested(&self) -> Result<(), ConnectionEnd> {
        self.unread_since.set(Instant::now());
        self.reader_waits.set(true);
        loop {
            if self.has_too_many_violations() {
                return Err(ConnectionEnd::ProtocolViolation);
            }
            if let Some(reason) = self.close_reason.take()
                && self.is_idle()
            {
                return Err(reason);
            }
            self.close_requested.notified().await;
        }
    }

    /// Returns the time limit that has passed, if any; called periodically. A message times out if two checks in a row
    /// find it overdue.
    pub(super) fn expired_timeout(&self) -> Option<ConnectionEnd> {
        let overdue = self.message_started.get().is_some_and(|since| since.elapsed() >= MESSAGE_TIMEOUT);
        if self.is_idle() && self.was_overdue.replace(overdue) && overdue {
            return Some(ConnectionEnd::TimedOut);
        }
        let idle = self.is_idle() && self.idle_for() >= IDLE_TIMEOUT;
        idle.then_some(ConnectionEnd::Idle)
    }
}
