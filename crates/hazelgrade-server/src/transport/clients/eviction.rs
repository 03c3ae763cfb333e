//! Chooses the connections to close when the limit on connections is reached.

use super::connection::ClientConnection;
use hazelgrade_net::connection_end::ConnectionEnd;
use std::rc::Rc;
use std::time::Duration;

/// A connection that was used more recently is not closed: its next call may be in transit.
const MIN_IDLE: Duration = Duration::from_millis(250);
/// Connections that are closed at once. Also how many may watch health; with more, all of these count as strangers.
const BATCH: usize = 16;

/// The kinds of peers, in the order in which their connections are closed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// No job of it has run, and it does not watch health, or too many do.
    Stranger,
    /// It repeats health checks.
    WatchesHealth,
    /// A job of it has run.
    Trusted,
}

/// Closes some idle connections of the lowest [`Rank`] present: up to [`BATCH`] strangers, or one of another rank.
/// Those with the fewest health checks go first, among these the longest idle. If all of that rank were used within
/// [`MIN_IDLE`], none is closed, and the caller tries again. Also ends the linger of half-closed connections. These and
/// the `accepting` ones count as strangers: while there are any, no higher rank is closed.
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
