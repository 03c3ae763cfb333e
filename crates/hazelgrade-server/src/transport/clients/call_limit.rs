//! Limits on the calls that clients may have open, whose memory must fit into the smallest memory limit.
//!
//! The protocol allows [`MAX_OPEN_CALLS`] on a connection. An untrusted connection may always have
//! [`RESERVED_CALLS`]; those beyond share a pool, so that hostile clients on all connections together can't take more
//! memory than that, and a new connection of an honest client may still use what the protocol allows.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum number of open calls on one connection.
pub const MAX_OPEN_CALLS: usize = 32;
/// Number of open calls that an untrusted connection may have in any case.
const RESERVED_CALLS: usize = 16;
/// Maximum number of open calls beyond [`RESERVED_CALLS`] on all untrusted connections together.
const MAX_POOLED_CALLS: usize = 1024;

/// The open calls of all untrusted connections beyond those that each may have in any case.
#[derive(Default)]
pub struct CallPool {
    in_use: Cell<usize>,
}

/// The part of one connection in the pool.
pub struct PooledCalls {
    pool: Rc<CallPool>,
    in_use: Cell<usize>,
}

impl PooledCalls {
    /// Returns the part of a connection without open calls.
    pub fn new(pool: Rc<CallPool>) -> PooledCalls {
        PooledCalls { pool, in_use: Cell::new(0) }
    }

    /// Returns whether a connection with `open` calls may open another one.
    pub fn has_free_call(&self, open: usize, is_trusted: bool) -> bool {
        let is_pooled = !is_trusted && open >= RESERVED_CALLS;
        open < MAX_OPEN_CALLS && (!is_pooled || self.pool.in_use.get() < MAX_POOLED_CALLS)
    }

    /// Records that the connection has `open` calls now.
    pub fn record(&self, open: usize, is_trusted: bool) {
        let pooled = if is_trusted { 0 } else { open.saturating_sub(RESERVED_CALLS) };
        let others = self.pool.in_use.get().saturating_sub(self.in_use.replace(pooled));
        self.pool.in_use.set(others + pooled);
    }
}

impl Drop for PooledCalls {
    fn drop(&mut self) {
        self.record(0, false);
    }
}
