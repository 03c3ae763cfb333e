//! Shuts the instance down, from the signal to the exit. [`drain`] runs the steps in order.

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
/// If no client has been connected for this long, the drain expects no more clients and ends early.
const NO_CLIENTS_FOR: Duration = Duration::from_millis(1500);
/// Once every answer is written, the process exits this long before the platform would kill it, even if connections are
/// still open.
const EXITS_BEFORE_STOP: Duration = Duration::from_millis(20);
/// How many more times the drain checks after the stop time whether every answer is written. Past the stop time the
/// process only runs if it was paused, and the platform does not count pauses. Polls are counted instead of time, so that
/// after a pause what can be answered is answered first.
const MAX_POLLS_AFTER_STOP: u32 = 100;
/// How often the drain checks whether clients have left and answers are written.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Notifies the document subscriptions that the drain has started. Each kind of document has its own notifier.
#[derive(Default)]
pub struct DrainNotifiers {
    /// The notifier of the subscription to serving documents.
    pub serving: Rc<Notify>,
    /// The notifier of the subscription to identity documents.
    pub identity: Rc<Notify>,
    /// The notifier of the subscription to budget documents.
    pub budgets: Rc<Notify>,
}

impl DrainNotifiers {
    fn notify(&self) {
        self.serving.notify();
        self.identity.notify();
        self.budgets.notify();
    }
}

/// Drains the node: continues to accept and answer jobs until the stop time is near or all clients have left. Returns
/// whether every answer was written.
///
/// `requested_at` is the time of the shutdown request, and the platform kills the process `stop` after that time.
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
    // Connections in the listen backlog may already carry requests, so all of them are accepted before the listener
    // closes.
    accepting.cancel().await;
    drain.take_backlog(&listener).await;
    drop(listener);
    drain.write_last_answers().await;
    drain.log_end();
    drain.is_settled()
}

/// Reports "not ready" to the registry, and reports the drain to control services and lessors.
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

    /// Returns whether every job is answered and every answer was passed to the operating system.
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
        self.front_end.connections.start_drain(jsonrpc::DRAINING);
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
        while !take_backlog(listener, clients, |accepted| self.front_end.start(accepted))
            && self.elapsed() < self.stop
        {
            clients.evict_idle();
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Waits until the last answers are written. The controller answers all remaining jobs shortly before the stop
    /// time. Idle connections are closed properly, so that no bytes in transit are lost when the process exits.
    async fn write_last_answers(&self) {
        let clients = &self.front_end.connections;
        let mut polls_left = MAX_POLLS_AFTER_STOP;
        while clients.count() > 0 || !self.is_settled() {
            if self.is_settled() && self.elapsed() >= self.stop.saturating_sub(EXITS_BEFORE_STOP) {
                break;
            }
            if self.elapsed() >= self.stop {
                polls_left -= 1;
            }
            if polls_left == 0 {
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
