//! Shutdown, from the signal to the exit. [`drain`] lists the steps in order.

use super::serve::Services;
use crate::protocol::jsonrpc;
use crate::routing::controller_driver::ControllerEvent;
use crate::routing::front_end::FrontEnd;
use crate::transport::listener::take_backlog;
use async_executor::Task;
use async_io::{Async, Timer};
use hazelgrade::time::{Span, Time};
use hazelgrade_net::notify::Notify;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The listener closes at least this long before the platform kills the process.
const LISTENER_CLOSES_BEFORE_STOP: Duration = Duration::from_millis(150);
/// After this long without a connected client, no more clients are expected.
const NO_CLIENTS_FOR: Duration = Duration::from_millis(1500);
/// Once every answer is written, the process exits this long before it would be killed, even with connections open.
const EXITS_BEFORE_STOP: Duration = Duration::from_millis(20);
/// How often the drain checks its progress.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Notifies the subscriptions to documents that the node drains, one for each kind.
#[derive(Default)]
pub struct DrainNotifiers {
    /// For serving documents.
    pub serving: Rc<Notify>,
    /// For identity documents.
    pub identity: Rc<Notify>,
    /// For documents of budgets.
    pub budgets: Rc<Notify>,
}

impl DrainNotifiers {
    fn notify(&self) {
        self.serving.notify();
        self.identity.notify();
        self.budgets.notify();
    }
}

/// Drains the node: keeps answering until the stop is near or all clients have left. Returns whether every answer was
/// written.
///
/// `requested_at` is when shutdown was requested; `stop` is how long after it the platform kills the process.
pub async fn drain(
    services: &Services,
    notifiers: &DrainNotifiers,
    accepting: Task<()>,
    listener: Rc<Async<TcpListener>>,
    requested_at: Time,
    stop: Duration,
) -> bool {
    announce(services, notifiers);
    let drain = Drain::new(&services.front_end, requested_at, stop);
    drain.notify_controller_and_clients(requested_at);
    drain.wait_for_clients_to_leave().await;
    // Connections in the backlog may carry requests: all of them are accepted before the listener closes.
    accepting.cancel().await;
    drain.take_backlog(&listener).await;
    drop(listener);
    drain.write_last_answers().await;
    drain.log_end();
    drain.is_settled()
}

/// Reports "not ready" to the registry, and the drain to control services and lessors.
fn announce(services: &Services, notifiers: &DrainNotifiers) {
    services.is_draining.set(true);
    notifiers.notify();
    if let Some(budget_share) = services.driver.budget_share() {
        budget_share.start_drain();
    }
    services.driver.request_heartbeat();
}

struct Drain<'a> {
    front_end: &'a Rc<FrontEnd>,
    started_at: Instant,
    stop: Duration,
}

impl Drain<'_> {
    fn new(front_end: &Rc<FrontEnd>, requested_at: Time, stop: Duration) -> Drain<'_> {
        let elapsed = front_end.context.driver.clock.now().since(requested_at);
        let elapsed = Duration::from_secs_f64(elapsed.as_ms() / 1000.0).min(stop);
        let started_at = Instant::now().checked_sub(elapsed).unwrap_or_else(Instant::now);
        Drain { front_end, started_at, stop }
    }

    fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether every job is answered, and every answer was handed to the system.
    fn is_settled(&self) -> bool {
        self.front_end.context.in_flight.unanswered() == 0 && self.front_end.connections.all_idle()
    }

    fn notify_controller_and_clients(&self, requested_at: Time) {
        let context = &self.front_end.context;
        let stop_at = requested_at + Span::from_ms(self.stop.as_secs_f64() * 1000.0);
        tracing::info!(
            in_flight = context.in_flight.count(),
            unanswered = context.in_flight.unanswered(),
            stop_ms = self.stop.as_millis(),
            "draining"
        );
        context.driver.start_rounds();
        context.driver.notify(ControllerEvent::DrainStarted(stop_at));
        self.front_end.connections.broadcast(jsonrpc::DRAINING);
    }

    async fn wait_for_clients_to_leave(&self) {
        let mut no_clients_since: Option<Instant> = None;
        while self.elapsed() + LISTENER_CLOSES_BEFORE_STOP < self.stop {
            Timer::after(POLL_INTERVAL).await;
            if self.front_end.connections.count() > 0 || !self.is_settled() {
                no_clients_since = None;
                continue;
            }
            let since = *no_clients_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= NO_CLIENTS_FOR {
                break;
            }
        }
    }

    async fn take_backlog(&self, listener: &Async<TcpListener>) {
        let clients = &self.front_end.connections;
        while !take_backlog(listener, clients, |stream| self.front_end.start(stream))
            && self.elapsed() < self.stop
        {
            clients.evict_idle();
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Waits for the last answers, which the controller gives shortly before the stop. Idle connections are closed
    /// properly, so that no bytes in transit are lost when the process exits.
    async fn write_last_answers(&self) {
        let clients = &self.front_end.connections;
        while clients.count() > 0 || !self.is_settled() {
            let reserve = if self.is_settled() { EXITS_BEFORE_STOP } else { Duration::ZERO };
            if self.elapsed() >= self.stop.saturating_sub(reserve) {
                break;
            }
            Timer::after(POLL_INTERVAL).await;
            clients.close_idle();
        }
    }

    fn log_end(&self) {
        let context = &self.front_end.context;
        tracing::info!(
            counters = ?*context.counters.borrow(),
            unanswered = context.in_flight.unanswered(),
            connections = self.front_end.connections.count(),
            after_ms = self.elapsed().as_millis(),
            "drained"
        );
    }
}
