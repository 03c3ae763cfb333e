//! What an instance reports: heartbeats to the registry, and a summary in the log.

use crate::protocol::registry;
use crate::routing::front::Front;
use crate::routing::rounds::Rounds;
use crate::transport::registry::Registry;
use async_io::Timer;
use futures_lite::future::or;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Heartbeats may be lost; this many are sent in the three seconds after which an instance is taken off the list.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Sends heartbeats to the registry.
pub struct Heartbeat {
    pub registry: Rc<Registry>,
    pub node: String,
    pub rounds: Rc<Rounds>,
    pub is_draining: Rc<Cell<bool>>,
    pub readiness_follows_health: bool,
}

impl Heartbeat {
    /// Sends one at each interval and at each change of health.
    pub async fn run(&self) {
        loop {
            let is_ready = !self.is_draining.get() && (self.rounds.good() || !self.readiness_follows_health);
            self.registry.send(&registry::encode(&self.node, is_ready));
            self.rounds.alive();
            let interval = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
            };
            or(self.rounds.health_changed(), interval).await;
        }
    }
}

/// Logs the counters at each interval in which jobs arrived.
pub async fn log_summaries(front: &Front) {
    let mut arrived_before = 0;
    loop {
        Timer::after(SUMMARY_INTERVAL).await;
        let parts = &front.parts;
        let tally = *parts.tally.borrow();
        if tally.arrived == arrived_before {
            continue;
        }
        arrived_before = tally.arrived;
        tracing::info!(
            ?tally,
            in_flight = parts.hand.count(),
            connections = front.clients.count(),
            rounds = parts.rounds.rounds.get(),
            longest_round_us = parts.rounds.longest.take().as_micros(),
            dependency_connections = parts.calls.connections(),
            calls_lost = parts.calls.lost.get(),
            unknown_call_replies = parts.calls.unknown.get(),
            unknown_jobs = parts.hand.unknown.get(),
            malformed_lines = front.bad_lines.get(),
            clients_evicted = front.clients.turned_out.get(),
            handshakes_failed = front.tls.ended(),
            "summary"
        );
        if let Some(seat) = parts.rounds.seat() {
            tracing::info!(
                short = seat.short.get(),
                calls_too_late = seat.too_late.get(),
                grants_rejected = seat.refused(),
                "summary of budgets"
            );
        }
    }
}
