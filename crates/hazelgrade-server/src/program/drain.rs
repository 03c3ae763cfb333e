//! Leaving: from the notice to the exit.

use crate::protocol::jsonrpc;
use crate::routing::controller_driver::ControllerEvent;
use crate::routing::front_end::FrontEnd;
use crate::transport::listener::take_backlog;
use async_executor::Task;
use async_io::{Async, Timer};
use hazelgrade::time::{Span, Time};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The listener closes this long before the stop, at the latest.
const CLOSED_BEFORE: Duration = Duration::from_millis(150);
/// With no client connected for this long, nobody comes any more.
const ALONE_FOR: Duration = Duration::from_millis(1500);
/// With every answer written, it exits this long before the stop, whatever peers still hold their connections.
const EXIT_BEFORE: Duration = Duration::from_millis(20);
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Answers all that comes from the notice until the stop is near or all clients have left; `true` if every answer was written.
pub async fn leave(
    front: &Rc<FrontEnd>,
    accepting: Task<()>,
    listener: Rc<Async<TcpListener>>,
    noticed: Time,
    stop: Duration,
) -> bool {
    let parts = &front.context;
    let late = Duration::from_secs_f64(parts.driver.clock.now().since(noticed).as_ms() / 1000.0).min(stop);
    let began = Instant::now().checked_sub(late).unwrap_or_else(Instant::now);
    let stopped_at = noticed + Span::from_ms(stop.as_secs_f64() * 1000.0);
    tracing::info!(
        in_hand = parts.in_flight.count(),
        owed = parts.in_flight.unanswered(),
        stop_ms = stop.as_millis(),
        "leaving"
    );
    parts.driver.start_rounds();
    parts.driver.notify(ControllerEvent::DrainStarted(stopped_at));
    front.connections.broadcast(jsonrpc::DRAINING);
    let settled = || parts.in_flight.unanswered() == 0 && front.connections.all_idle();
    let mut alone_since = None;
    while began.elapsed() + CLOSED_BEFORE < stop {
        Timer::after(LOOK_EVERY).await;
        let alone = front.connections.count() == 0 && settled();
        alone_since = alone.then(|| alone_since.unwrap_or_else(Instant::now));
        if alone_since.is_some_and(|since: Instant| since.elapsed() >= ALONE_FOR) {
            break;
        }
    }
    // What the system has accepted counts, even unread: all of it is taken before the listener goes.
    accepting.cancel().await;
    let take = || take_backlog(&listener, &front.connections, |stream| front.start(stream));
    while !take() && began.elapsed() < stop {
        front.connections.make_room();
        Timer::after(LOOK_EVERY).await;
    }
    drop(listener);
    // The module's last answers come shortly before the stop. A connection on which nothing is owed is ended as any other,
    // so that nothing that is still on its way to its peer goes with the process.
    let by = || stop.saturating_sub(if settled() { EXIT_BEFORE } else { Duration::ZERO });
    while (front.connections.count() > 0 || !settled()) && began.elapsed() < by() {
        Timer::after(LOOK_EVERY).await;
        front.connections.close_idle();
    }
    let (tally, owed, connections) =
        (*parts.counters.borrow(), parts.in_flight.unanswered(), front.connections.count());
    tracing::info!(?tally, owed, connections, after_ms = began.elapsed().as_millis(), "left");
    settled()
}
