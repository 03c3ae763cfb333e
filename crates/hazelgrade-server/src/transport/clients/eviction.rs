//! Which connections are closed when there is no room for another one.

use super::connection::ClientConnection;
use hazelgrade_net::connection_end::ConnectionEnd;
use std::rc::Rc;
use std::time::Duration;

/// A younger connection may have its first call on the way.
const MIN_IDLE: Duration = Duration::from_millis(250);
/// Connections that are closed at once; also, how many may watch health before they count as a flood.
const BATCH: usize = 16;

/// What kind of peer a connection has, in the order in which connections are closed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It has shown nothing, or is one of a flood of health checks.
    Stranger,
    /// It comes back for health checks.
    WatchesHealth,
    /// Its jobs have run.
    Trusted,
}

/// Closes some idle connections, those that were idle for longest: first of strangers, then of those that watch this
/// instance's health, last of trusted ones. While some of a rank are only too young they are waited for, which is
/// short; with more than a few that watch health all of these count as strangers. `accepting` connections are
/// expected to be strangers.
pub(super) fn evict_idle<T: Clone + PartialEq>(connections: &[Rc<ClientConnection<T>>], accepting: usize) {
    let half_closed = connections.iter().filter(|connection| connection.half_closed.get());
    let closing = half_closed.map(|connection| connection.linger_aborted.notify()).count();
    let idle: Vec<_> = connections.iter().filter(|connection| connection.can_be_evicted()).collect();
    let is_flood = idle.iter().filter(|connection| connection.watches_health()).count() > BATCH;
    let rank = |connection: &ClientConnection<T>| {
        if connection.is_trusted() {
            Rank::Trusted
        } else if connection.watches_health() && !is_flood {
            Rank::WatchesHealth
        } else {
            Rank::Stranger
        }
    };
    let expected = (closing + accepting > 0).then_some(Rank::Stranger);
    let Some(lowest) = idle.iter().map(|connection| rank(connection)).chain(expected).min() else { return };
    let mut candidates: Vec<_> = idle
        .into_iter()
        .filter(|connection| rank(connection) == lowest && connection.idle_for() >= MIN_IDLE)
        .collect();
    candidates.sort_by_key(|connection| (connection.health_checks(), connection.last_used()));
    let count = if lowest == Rank::Stranger { BATCH } else { 1 };
    candidates.iter().take(count).for_each(|connection| connection.request_close(ConnectionEnd::Idle));
}
