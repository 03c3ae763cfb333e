//! What the executor reports: each event is handled once and passed on to its job.
//!
//! The executor numbers its events; the number of the last one that was handled, the cursor, is sent when the link is
//! opened anew, and the executor repeats all events after it. Commands carry no numbers. Gauges are answered in the
//! order of commands, so the answer to a request for gauges confirms every command that was sent before it.

use super::controller_driver::ControllerDriver;
use super::in_flight::{InFlightTable, JobEvent};
use crate::protocol::executor::{self, Command, Event};
use crate::transport::executor::{ExecutorLink, LinkHandler};
use async_executor::LocalExecutor;
use hazelgrade::time::Span;
use hazelgrade_net::connection_end::ConnectionEnd;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Ticket of the gauges that are requested after a new link: their answer comes after all repeated events.
const CAUGHT_UP_TICKET: &str = "all-heard";
/// Ticket of the gauges that are requested last on a link that is left for a new address.
const LAST_TICKET: &str = "parting";
/// How far the executor's uptime and the clock here may differ.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(100);

/// The executor's uptime, as it last reported it.
#[derive(Clone, Copy)]
struct Uptime {
    reported_at: Instant,
    uptime: Span,
}

/// Handles the events of the executor.
pub struct ExecutorEvents {
    driver: Rc<ControllerDriver>,
    in_flight: Rc<InFlightTable>,
    link: Rc<ExecutorLink>,
    /// Index of the core use among the gauges.
    core_use_index: Option<usize>,
    /// Number of the last event that was handled.
    cursor: Cell<u64>,
    /// When the current link was opened.
    joined_at: Cell<Instant>,
    /// When the last request on a link that is left was sent.
    last_request_at: Cell<Instant>,
    uptime: Cell<Option<Uptime>>,
    /// Once a link has ended: since when commands may have been lost.
    lost_from: Cell<Option<Instant>>,
    malformed_lines: Cell<u64>,
    /// The cursor at which the event after it was last requested again.
    requested_again_at: Cell<Option<u64>>,
}

impl ExecutorEvents {
    /// Handles the events of `link`; `gauges` are the names of the executor's gauges, in order.
    pub fn new(
        driver: Rc<ControllerDriver>,
        in_flight: Rc<InFlightTable>,
        link: Rc<ExecutorLink>,
        gauges: &[String],
    ) -> ExecutorEvents {
        ExecutorEvents {
            driver,
            in_flight,
            link,
            core_use_index: gauges.iter().position(|name| name == executor::CORE_USE_GAUGE),
            cursor: Cell::new(0),
            joined_at: Cell::new(Instant::now()),
            last_request_at: Cell::new(Instant::now()),
            uptime: Cell::new(None),
            lost_from: Cell::new(None),
            malformed_lines: Cell::new(0),
            requested_again_at: Cell::new(None),
        }
    }

    /// Keeps the link open for good.
    pub async fn run(&self, tasks: &LocalExecutor<'static>) {
        self.link.run(tasks, executor::LONGEST_LINE, self).await;
    }

    fn handle(&self, event: Event) -> Result<(), ConnectionEnd> {
        match event {
            Event::Welcome { is_new, uptime } => self.welcome(is_new, uptime),
            Event::RunEnded { cursor, id, end, elapsed, body } => {
                if self.is_new(cursor)? {
                    self.in_flight.send(&id, JobEvent::RunEnded { end, elapsed, body });
                }
            }
            Event::CallRequested { cursor, id, body } => {
                if self.is_new(cursor)? {
                    self.in_flight.send(&id, JobEvent::CallRequested { cursor, body });
                }
            }
            Event::Gauges { ticket, values } => self.gauges(&ticket, &values),
            Event::CommandRefused { is_start, command, id } => {
                tracing::debug!(command, ?id, "executor refused a command");
                if let Some(id) = id.filter(|_| is_start) {
                    self.in_flight.send(&id, JobEvent::StartRefused);
                }
            }
            Event::Log { cursor, text } => {
                if self.is_new(cursor)? {
                    tracing::debug!(text, "executor log");
                }
            }
            Event::Unknown { name, cursor } => {
                cursor.map(|cursor| self.is_new(cursor)).transpose()?;
                tracing::debug!(event = name, "unknown executor event");
            }
        }
        Ok(())
    }

    /// `false` for an event that was handled before. One whose number shows that others were missed ends the link, and
    /// the new link repeats all of them. That is done once, then the missing ones are given up.
    fn is_new(&self, cursor: u64) -> Result<bool, ConnectionEnd> {
        if cursor > self.cursor.get() + 1 {
            self.request_again()?;
        }
        let is_new = cursor > self.cursor.get();
        self.cursor.set(self.cursor.get().max(cursor));
        Ok(is_new)
    }

    /// Ends the link, so that the executor repeats the events after the cursor; the second time for the same cursor
    /// goes on without.
    fn request_again(&self) -> Result<(), ConnectionEnd> {
        let cursor = Some(self.cursor.get());
        if self.requested_again_at.replace(cursor) == cursor { Ok(()) } else { Err(ConnectionEnd::Malformed) }
    }

    fn malformed_line(&self, error: executor::DecodeError) -> Result<(), ConnectionEnd> {
        let count = self.malformed_lines.get() + 1;
        self.malformed_lines.set(count);
        if count.is_power_of_two() {
            tracing::warn!(%error, count, "malformed executor event");
        }
        self.request_again()
    }

    fn welcome(&self, is_new: bool, uptime: Span) {
        let now = Uptime { reported_at: Instant::now(), uptime };
        let before = self.uptime.replace(Some(now));
        tracing::info!(is_new, uptime_ms = uptime.as_ms(), "executor connected");
        self.driver.start_rounds();
        if is_new && before.is_some_and(|before| self.has_restarted(before, uptime)) {
            tracing::warn!("executor restarted: its runs have ended");
            self.in_flight.broadcast(|| JobEvent::ExecutorRestarted);
            self.lost_from.set(None);
        }
        // A link that ended may have lost commands, even if the executor was not up yet.
        if self.lost_from.get().is_some() {
            self.link.send(&executor::encode(&Command::Gauges { ticket: CAUGHT_UP_TICKET }));
        }
    }

    /// An executor that was started since the last report has been up for less than the uptime then and the time since
    /// together.
    fn has_restarted(&self, before: Uptime, uptime: Span) -> bool {
        let since = self.joined_at.get().saturating_duration_since(before.reported_at);
        let since = since.saturating_sub(MAX_CLOCK_DIFFERENCE);
        uptime < before.uptime + Span::from_ms(since.as_secs_f64() * 1000.0)
    }

    fn gauges(&self, ticket: &str, values: &[f64]) {
        match ticket {
            CAUGHT_UP_TICKET => {
                if let Some(lost_from) = self.lost_from.take() {
                    let lost_until = self.joined_at.get();
                    self.in_flight.broadcast(|| JobEvent::LinkRestored { lost_from, lost_until });
                }
            }
            LAST_TICKET => {
                self.driver.confirm_commands_until(self.last_request_at.get());
                self.link.old_link_done();
            }
            _ => {
                let core_use = self.core_use_index.and_then(|index| values.get(index)).copied();
                self.driver.gauges_received(ticket, core_use.filter(|value| value.is_finite()));
            }
        }
    }
}

impl LinkHandler for ExecutorEvents {
    fn first_line(&self) -> String {
        self.joined_at.set(Instant::now());
        executor::encode(&Command::Join { cursor: self.cursor.get() })
    }

    fn last_line(&self) -> String {
        self.last_request_at.set(Instant::now());
        executor::encode(&Command::Gauges { ticket: LAST_TICKET })
    }

    fn line(&self, line: &[u8]) -> Result<(), ConnectionEnd> {
        match executor::decode(line) {
            Ok(event) => self.handle(event),
            Err(error) => self.malformed_line(error),
        }
    }

    fn ended(&self, end: ConnectionEnd) {
        if self.lost_from.get().is_none() {
            self.lost_from.set(Some(self.driver.commands_confirmed_until()));
        }
        if end != ConnectionEnd::Unreachable && end != ConnectionEnd::Moved {
            tracing::warn!(?end, "executor link ended");
        }
    }
}
