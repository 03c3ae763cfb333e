//! Leaving: from the notice to the exit.

use crate::protocol::jsonrpc;
use crate::routing::front::Front;
use crate::routing::rounds::Event;
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
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Answers all that comes from the notice until the stop is near or all clients have left; `true` if every answer was written.
pub async fn leave(
    front: &Rc<Front>,
    accepting: Task<()>,
    listener: Rc<Async<TcpListener>>,
    noticed: Time,
    stop: Duration,
) -> bool {
    let parts = &front.parts;
    let late = Duration::from_secs_f64(parts.rounds.clock.now().since(noticed).as_ms() / 1000.0).min(stop);
    let began = Instant::now().checked_sub(late).unwrap_or_else(Instant::now);
    let stopped_at = noticed + Span::from_ms(stop.as_secs_f64() * 1000.0);
    tracing::info!(
        in_hand = parts.hand.count(),
        owed = parts.hand.owed(),
        stop_ms = stop.as_millis(),
        "leaving"
    );
    parts.rounds.begin();
    parts.rounds.tell(Event::Leaving(stopped_at));
    front.clients.tell_all(jsonrpc::DRAINING);
    let settled = || parts.hand.owed() == 0 && front.clients.all_quiet();
    let mut alone_since = None;
    while began.elapsed() + CLOSED_BEFORE < stop {
        Timer::after(LOOK_EVERY).await;
        let alone = front.clients.count() == 0 && settled();
        alone_since = alone.then(|| alone_since.unwrap_or_else(Instant::now));
        if alone_since.is_some_and(|since: Instant| since.elapsed() >= ALONE_FOR) {
            break;
        }
    }
    // What the system has accepted counts, even unread: it is served before the listener goes.
    accepting.cancel().await;
    take_backlog(&listener, |stream| front.start(stream));
    drop(listener);
    Timer::after(LOOK_EVERY * 4).await;
    // The module's last answers come shortly before the stop.
    while !settled() && began.elapsed() < stop {
        Timer::after(LOOK_EVERY).await;
    }
    let (tally, owed) = (*parts.tally.borrow(), parts.hand.owed());
    tracing::info!(?tally, owed, after_ms = began.elapsed().as_millis(), "left");
    settled()
}
