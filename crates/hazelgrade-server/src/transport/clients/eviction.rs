//! Selects the connections to close when the limit on client connections is reached.

use super::connection::ClientConnection;
use hazelgrade_net::connection_end::ConnectionEnd;
use std::rc::Rc;
use std::time::Duration;

/// Minimum idle time before a connection is evicted: the next call on a more recently used connection may be in
/// transit.
const MIN_IDLE: Duration = Duration::from_millis(250);
/// Maximum number of untrusted connections that are evicted at once. Also the maximum number of idle health monitors:
/// with more, all of them count as untrusted.
const EVICTION_BATCH: usize = 16;

/// The eviction rank of a connection. Connections of a lower rank are evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// No job requested on the connection has run, and the connection does not count as a health monitor.
    Untrusted,
    /// No job requested on the connection has run, but its peer repeats health checks.
    HealthMonitor,
    /// A job requested on the connection has run.
    Trusted,
}

/// Closes some idle connections of the lowest [`EvictionRank`] present: up to [`EVICTION_BATCH`] untrusted connections,
/// or one connection of another rank. Within the rank, connections with fewer health checks are closed first, and among
/// equals the one that has been idle for longest. If all connections of the rank were used within [`MIN_IDLE`], none is
/// closed, and the caller tries again later.
///
/// Also ends the linger of half-closed connections. The half-closed connections and the `accepting` ones, which are
/// accepted but not in the table yet, count as untrusted: while there are any, no connection of a higher rank is
/// closed.
pub(super) fn evict_idle<T: Clone + PartialEq>(connections: &[Rc<ClientConnection<T>>], accepting: usize) {
    let half_closed = connections.iter().filter(|connection| connection.half_closed.get());
    let half_closed_count = half_closed.map(|connection| connection.linger_aborted.notify()).count();
    let idle: Vec<_> = connections.iter().filter(|connection| connection.can_be_evicted()).collect();
    let has_too_many_monitors =
        idle.iter().filter(|connection| connection.is_health_monitor()).count() > EVICTION_BATCH;
    let rank = |connection: &ClientConnection<T>| {
        if connection.is_trusted() {
            EvictionRank::Trusted
        } else if connection.is_health_monitor() && !has_too_many_monitors {
            EvictionRank::HealthMonitor
        } else {
            EvictionRank::Untrusted
        }
    };
    let pending_rank = (half_closed_count + accepting > 0).then_some(EvictionRank::Untrusted);
    let Some(lowest) = idle.iter().map(|connection| rank(connection)).chain(pending_rank).min() else {
        return;
    };
    let mut candidates: Vec<_> = idle
        .into_iter()
        .filter(|connection| rank(connection) == lowest && connection.idle_for() >= MIN_IDLE)
        .collect();
    candidates.sort_by_key(|connection| (connection.health_checks(), connection.last_used()));
    let count = if lowest == EvictionRank::Untrusted { EVICTION_BATCH } else { 1 };
    candidates.iter().take(count).for_each(|connection| connection.request_close(ConnectionEnd::Idle));
}
