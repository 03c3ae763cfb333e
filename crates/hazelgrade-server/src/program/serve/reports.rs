//! What an instance reports: heartbeats to the registry, and a summary in the log.

use crate::protocol::registry;
use crate::routing::controller_driver::ControllerDriver;
use crate::routing::front_end::FrontEnd;
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
    pub rounds: Rc<ControllerDriver>,
    pub is_draining: Rc<Cell<bool>>,
    pub readiness_follows_health: bool,
}

impl Heartbeat {
    /// Sends one at each interval and at each change of health.
    pub async fn run(&self) {
        loop {
            let is_ready =
                !self.is_draining.get() && (self.rounds.is_healthy() || !self.readiness_follows_health);
            self.registry.send(&registry::encode(&self.node, is_ready));
            self.rounds.record_liveness();
            let interval = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
            };
            or(self.rounds.health_changed(), interval).await;
        }
    }
}

/// Logs the counters at each interval in which jobs arrived.
pub async fn log_summaries(front: &FrontEnd) {
    let mut arrived_before = 0;
    loop {
        Timer::after(SUMMARY_INTERVAL).await;
        let context = &front.context;
        let counters = *context.counters.borrow();
        if counters.arrived == arrived_before {
            continue;
        }
        arrived_before = counters.arrived;
        tracing::info!(
            ?counters,
            in_flight = context.in_flight.count(),
            connections = front.connections.count(),
            rounds = context.driver.round_count.get(),
            longest_round_us = context.driver.longest_round.take().as_micros(),
            dependency_connections = context.dependency_calls.connections(),
            calls_lost = context.dependency_calls.lost.get(),
            unknown_call_replies = context.dependency_calls.unknown_replies.get(),
            unknown_jobs = context.in_flight.unknown_jobs.get(),
            malformed_lines = front.invalid_messages.get(),
            clients_evicted = front.connections.closed_for_violation.get(),
            handshakes_failed = front.tls.failed_handshakes(),
            "summary"
        );
        if let Some(budget_share) = context.driver.budget_share() {
            tracing::info!(
                jobs_rejected = budget_share.jobs_rejected.get(),
                calls_too_late = budget_share.calls_expired.get(),
                grants_rejected = budget_share.ignored_grants(),
                "summary of budgets"
            );
        }
    }
}
