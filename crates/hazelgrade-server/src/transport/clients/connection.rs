//! The state of one connection: its open calls, how far its peer is trusted, and what it waits for.

use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::notify::Notify;
use hazelgrade_net::write_queue::WriteQueue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Calls that a client may have open on one connection.
pub const MAX_OPEN_CALLS: usize = 32;
/// The same before a job of it has run. With this limit all connections fit into the smallest memory limit.
const MAX_OPEN_CALLS_UNTRUSTED: usize = 16;
/// Capacity for the answers to all open calls, at 4 KiB in base64 each, and some health checks; in bytes.
const WRITE_QUEUE_BYTES: usize = 256 * 1024;
/// How long a message may take from its first byte to its last, and the first message from the start of the connection.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may stay without an open call: clients either close idle ones earlier or never.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Violations that are tolerated; at the next one the connection is closed.
const MAX_VIOLATIONS: u32 = 4;
/// Rejections that an untrusted connection may have before it is read more slowly.
const MAX_FAST_REJECTIONS: u32 = 8;

/// A connection of a client. Open calls are identified by their ids; `T` is the value stored for each.
pub struct ClientConnection<T> {
    pub(super) write_queue: Rc<WriteQueue>,
    open: RefCell<BTreeMap<u64, T>>,
    /// Notified when a call is closed, and when what bounds the open calls has changed.
    pub(super) calls_changed: Notify,
    last_used: Cell<Instant>,
    trusted: Cell<bool>,
    health_checks: Cell<u32>,
    violations: Cell<u32>,
    rejections: Cell<u32>,
    /// When the message that is being read began; until the first one, when the connection was opened.
    pub(super) message_started: Cell<Option<Instant>>,
    /// Whether the last check found the message overdue. It takes two checks: after a pause of the process, messages
    /// that came meanwhile are read first.
    overdue_before: Cell<bool>,
    /// Whether its reader waits for bytes: everything that came has been handled.
    pub(super) reader_waits: Cell<bool>,
    /// Why it must be closed once it is idle.
    pub(super) close_reason: Cell<Option<ConnectionEnd>>,
    close_requested: Notify,
    /// Whether the peer was sent the end of the stream. What it still sends is read and dropped.
    pub(super) half_closed: Cell<bool>,
    /// Ends the wait for the peer's close.
    pub(super) linger_aborted: Notify,
    /// Notified when a write to the peer has blocked for too long.
    pub(super) write_stalled: Notify,
}

impl<T: Clone + PartialEq> ClientConnection<T> {
    pub(super) fn new() -> ClientConnection<T> {
        ClientConnection {
            write_queue: Rc::new(WriteQueue::new(WRITE_QUEUE_BYTES)),
            open: RefCell::default(),
            calls_changed: Notify::default(),
            last_used: Cell::new(Instant::now()),
            trusted: Cell::new(false),
            health_checks: Cell::new(0),
            violations: Cell::new(0),
            rejections: Cell::new(0),
            message_started: Cell::new(Some(Instant::now())),
            overdue_before: Cell::new(false),
            reader_waits: Cell::new(false),
            close_reason: Cell::new(None),
            close_requested: Notify::default(),
            half_closed: Cell::new(false),
            linger_aborted: Notify::default(),
            write_stalled: Notify::default(),
        }
    }

    /// Queues a message for the peer. After the half-close it is dropped: no answer is due any more.
    pub fn send(&self, message: &str) {
        self.last_used.set(Instant::now());
        if !self.half_closed.get() {
            self.write_queue.push(message.as_bytes());
        }
    }

    /// Opens a call; returns `false` if one with its id is open already.
    pub fn add_call(&self, call_id: u64, call: T) -> bool {
        self.last_used.set(Instant::now());
        self.open.borrow_mut().insert(call_id, call).is_none()
    }

    /// The open call with this id.
    pub fn open_call(&self, call_id: u64) -> Option<T> {
        self.open.borrow().get(&call_id).cloned()
    }

    /// Whether this call is open.
    pub fn has_open(&self, call: &T) -> bool {
        self.open.borrow().values().any(|open| open == call)
    }

    /// Whether any call is open.
    pub(super) fn has_open_calls(&self) -> bool {
        !self.open.borrow().is_empty()
    }

    /// Closes a call.
    pub fn close_call(&self, call_id: u64) {
        self.open.borrow_mut().remove(&call_id);
        self.calls_changed.notify();
    }

    /// Closes all calls and returns those that were open.
    pub(super) fn take_open_calls(&self) -> Vec<T> {
        self.open.take().into_values().collect()
    }

    /// Waits while it has the maximum number of open calls.
    pub async fn wait_for_free_call(&self) {
        let max_open = || if self.trusted.get() { MAX_OPEN_CALLS } else { MAX_OPEN_CALLS_UNTRUSTED };
        while self.open.borrow().len() >= max_open() && !self.has_too_many_violations() {
            self.calls_changed.notified().await;
        }
    }

    /// Marks it as trusted: a job of it has run.
    pub fn mark_trusted(&self) {
        self.trusted.set(true);
        self.calls_changed.notify();
    }

    /// Whether a job of it has run.
    pub fn is_trusted(&self) -> bool {
        self.trusted.get()
    }

    /// Counts a health check of the peer.
    pub fn count_health_check(&self) {
        self.health_checks.set(self.health_checks.get().saturating_add(1));
    }

    pub(super) fn health_checks(&self) -> u32 {
        self.health_checks.get()
    }

    /// Whether the peer repeats health checks, as a load balancer does. One that made a single check is as idle as one
    /// that made none.
    pub(super) fn watches_health(&self) -> bool {
        !self.trusted.get() && self.health_checks.get() > 1
    }

    /// Counts a job of it that was rejected.
    pub fn count_rejection(&self) {
        self.rejections.set(self.rejections.get().saturating_add(1));
    }

    /// Whether it is read slowly: it was rejected often, and no job of it has run.
    pub(super) fn is_throttled(&self) -> bool {
        !self.trusted.get() && self.rejections.get() > MAX_FAST_REJECTIONS
    }

    /// Counts an invalid message. After too many the connection is not read any more.
    pub fn count_violation(&self) {
        self.violations.set(self.violations.get().saturating_add(1));
        self.calls_changed.notify();
    }

    pub(super) fn has_too_many_violations(&self) -> bool {
        self.violations.get() > MAX_VIOLATIONS
    }

    /// How long ago a call was opened or a message was sent.
    pub(super) fn idle_for(&self) -> Duration {
        self.last_used.get().elapsed()
    }

    pub(super) fn last_used(&self) -> Instant {
        self.last_used.get()
    }

    /// Whether nothing is outstanding: everything that came has been handled, no call is open, and every answer was
    /// handed to the system.
    pub fn is_idle(&self) -> bool {
        self.reader_waits.get() && !self.has_open_calls() && self.write_queue.pending() == 0
    }

    /// Whether it is idle and not half-closed yet.
    pub(super) fn can_close(&self) -> bool {
        self.is_idle() && !self.half_closed.get()
    }

    /// Whether it may be evicted: it can be closed, and no message of a trusted peer has begun.
    pub(super) fn can_be_evicted(&self) -> bool {
        self.can_close() && !(self.trusted.get() && self.message_started.get().is_some())
    }

    /// Requests its reader to close it. Messages that came before are read first, and a connection in use stays open.
    pub(super) fn request_close(&self, reason: ConnectionEnd) {
        self.close_reason.set(Some(reason));
        self.close_requested.notify();
    }

    /// Waits until it must be closed. The reader polls this only when there is nothing to read.
    pub(super) async fn close_requested(&self) -> Result<(), ConnectionEnd> {
        self.reader_waits.set(true);
        loop {
            if let Some(reason) = self.close_reason.take()
                && self.is_idle()
            {
                return Err(reason);
            }
            self.close_requested.notified().await;
        }
    }

    /// For a periodic check: the time limit that has passed, if any. A message times out if two checks find it overdue.
    pub(super) fn expired_timeout(&self) -> Option<ConnectionEnd> {
        let overdue = self.message_started.get().is_some_and(|since| since.elapsed() >= MESSAGE_TIMEOUT);
        if self.is_idle() && self.overdue_before.replace(overdue) && overdue {
            return Some(ConnectionEnd::TimedOut);
        }
        let idle = self.is_idle() && self.idle_for() >= IDLE_TIMEOUT;
        idle.then_some(ConnectionEnd::Idle)
    }
}
