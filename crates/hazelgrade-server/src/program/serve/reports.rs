//! Periodic reports of an instance: heartbeats to the registry, and a summary in the log.

use crate::protocol::registry;
use crate::routing::controller_driver::ControllerDriver;
use crate::routing::front_end::FrontEnd;
use crate::transport::registry::Registry;
use async_io::Timer;
use futures_lite::future::or;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The interval between heartbeats. The registry unlists an instance after three seconds without a heartbeat, and
/// single datagrams may be lost.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The interval at which the summary is logged while jobs arrive.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Sends heartbeats to the registry.
pub struct Heartbeat {
    /// The registry that receives the heartbeats.
    pub registry: Rc<Registry>,
    /// The name of this node.
    pub node: String,
    /// The controller driver, which knows whether the instance is healthy.
    pub driver: Rc<ControllerDriver>,
    /// Whether shutdown was requested. Heartbeats report "not ready" from then on.
    pub is_draining: Rc<Cell<bool>>,
    /// Whether heartbeats report "not ready" while the instance is unhealthy.
    pub readiness_follows_health: bool,
}

impl Heartbeat {
    /// Sends a heartbeat at each interval, and immediately when the health changes or a heartbeat is requested.
    pub async fn run(&self) {
        loop {
            let is_ready =
                !self.is_draining.get() && (self.driver.is_healthy() || !self.readiness_follows_health);
            self.registry.send(&registry::encode(&self.node, is_ready));
            self.driver.record_liveness();
            let interval = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
            };
            or(self.driver.health_changed(), interval).await;
        }
    }
}

/// Logs a summary of the counters after each interval in which jobs arrived.
pub async fn log_summaries(front_end: &FrontEnd) {
    let mut arrived_before = 0;
    loop {
        Timer::after(SUMMARY_INTERVAL).await;
        let context = &front_end.context;
        let counters = *context.counters.borrow();
        if counters.arrived == arrived_before {
            continue;
        }
        arrived_before = counters.arrived;
        tracing::info!(
            ?counters,
            in_flight = context.in_flight.count(),
            connections = front_end.connections.count(),
            rounds = context.driver.round_count.get(),
            longest_round_us = context.driver.longest_round.take().as_micros(),
            dependency_connections = context.dependency_calls.connections(),
            calls_lost = context.dependency_calls.lost.get(),
            unknown_call_replies = context.dependency_calls.unknown_replies.get(),
            unknown_jobs = context.in_flight.unknown_jobs.get(),
            invalid_messages = front_end.invalid_messages.get(),
            closed_for_violation = front_end.connections.closed_for_violation.get(),
            handshakes_failed = front_end.tls.failed_handshakes(),
            "summary"
        );
        if let Some(budget_share) = context.driver.budget_share() {
            tracing::info!(
                jobs_rejected = budget_share.jobs_rejected.get(),
                calls_expired = budget_share.calls_expired.get(),
                grants_ignored = budget_share.ignored_grants(),
                "summary of budgets"
            );
        }
    }
}
