//! Shutdown: from the signal to the exit. [`drain`] has its order.

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

/// The listener closes this long before the platform kills the process, at the latest.
const LISTENER_CLOSES_BEFORE_STOP: Duration = Duration::from_millis(150);
/// With no client connected for this long, no more will come.
const NO_CLIENTS_FOR: Duration = Duration::from_millis(1500);
/// With every answer written, it exits this long before it would be killed, even if peers still hold connections.
const EXITS_BEFORE_STOP: Duration = Duration::from_millis(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Tells the subscriptions to documents that the node drains.
#[derive(Default)]
pub struct DrainNotices {
    pub serving: Rc<Notify>,
    pub identity: Rc<Notify>,
    pub budgets: Rc<Notify>,
}

impl DrainNotices {
    fn notify(&self) {
        self.serving.notify();
        self.identity.notify();
        self.budgets.notify();
    }
}

/// Drains the node: answers all that comes until the stop is near or all clients have left. `true` if every answer was
/// written.
///
/// `requested_at` is when shutdown was requested; `stop` is how long after it the platform kills the process.
pub async fn drain(
    services: &Services,
    notices: &DrainNotices,
    accepting: Task<()>,
    listener: Rc<Async<TcpListener>>,
    requested_at: Time,
    stop: Duration,
) -> bool {
    announce(services, notices);
    let drain = Drain::new(&services.front, requested_at, stop);
    drain.tell_controller_and_clients(requested_at);
    drain.wait_for_clients_to_leave().await;
    // What the system has accepted counts, even unread: all of it is taken before the listener closes.
    accepting.cancel().await;
    drain.take_backlog(&listener).await;
    drop(listener);
    drain.write_last_answers().await;
    drain.log_end();
    drain.is_settled()
}

/// The registry hears that the node is not ready, control services and lessors that it drains.
fn announce(services: &Services, notices: &DrainNotices) {
    services.is_draining.set(true);
    notices.notify();
    if let Some(budget_share) = services.rounds.budget_share() {
        budget_share.start_drain();
    }
    services.rounds.request_heartbeat();
}

struct Drain<'a> {
    front: &'a Rc<FrontEnd>,
    began: Instant,
    stop: Duration,
}

impl Drain<'_> {
    fn new(front: &Rc<FrontEnd>, requested_at: Time, stop: Duration) -> Drain<'_> {
        let elapsed = front.context.driver.clock.now().since(requested_at);
        let elapsed = Duration::from_secs_f64(elapsed.as_ms() / 1000.0).min(stop);
        let began = Instant::now().checked_sub(elapsed).unwrap_or_else(Instant::now);
        Drain { front, began, stop }
    }

    fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// No answer is owed, and all that was written has left the process.
    fn is_settled(&self) -> bool {
        self.front.context.in_flight.unanswered() == 0 && self.front.connections.all_idle()
    }

    fn tell_controller_and_clients(&self, requested_at: Time) {
        let context = &self.front.context;
        let stop_at = requested_at + Span::from_ms(self.stop.as_secs_f64() * 1000.0);
        tracing::info!(
            in_flight = context.in_flight.count(),
            unanswered = context.in_flight.unanswered(),
            stop_ms = self.stop.as_millis(),
            "draining"
        );
        context.driver.start_rounds();
        context.driver.notify(ControllerEvent::DrainStarted(stop_at));
        self.front.connections.broadcast(jsonrpc::DRAINING);
    }

    async fn wait_for_clients_to_leave(&self) {
        let mut no_clients_since: Option<Instant> = None;
        while self.elapsed() + LISTENER_CLOSES_BEFORE_STOP < self.stop {
            Timer::after(POLL_INTERVAL).await;
            if self.front.connections.count() > 0 || !self.is_settled() {
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
        let clients = &self.front.connections;
        while !take_backlog(listener, clients, |stream| self.front.start(stream))
            && self.elapsed() < self.stop
        {
            clients.make_room();
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// The controller's last answers come shortly before the stop. A connection on which nothing is owed is closed as
    /// any other, so that nothing on its way to the peer is lost with the process.
    async fn write_last_answers(&self) {
        let clients = &self.front.connections;
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
        let context = &self.front.context;
        tracing::info!(
            counters = ?*context.counters.borrow(),
            unanswered = context.in_flight.unanswered(),
            connections = self.front.connections.count(),
            after_ms = self.elapsed().as_millis(),
            "drained"
        );
    }
}
