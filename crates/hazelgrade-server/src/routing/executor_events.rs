//! Handles the executor's events: each is handled once and passed to its job.
//!
//! The executor numbers its events. The cursor is the number of the last event that was handled: it is sent on each new
//! link, and the executor repeats all events after it. Commands have no numbers. As the executor handles commands in
//! order, its answer to a request for gauges confirms every command that was sent before the request.

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

/// Ticket of the gauges that are requested on a new link: their answer comes after all repeated events.
const CAUGHT_UP_TICKET: &str = "all-heard";
/// Ticket of the last request for gauges on a link that is replaced because the address has changed.
const LAST_REQUEST_TICKET: &str = "parting";
/// How much the executor's uptime and this process's clock may differ.
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
    /// Index of [`executor::CORE_USE_GAUGE`] among the gauges.
    core_use_index: Option<usize>,
    /// Number of the last event that was handled.
    cursor: Cell<u64>,
    /// When the current link was opened.
    link_opened_at: Cell<Instant>,
    /// When the last request on a replaced link was sent.
    last_request_at: Cell<Instant>,
    uptime: Cell<Option<Uptime>>,
    /// Commands sent from this time on may have been lost; set when a link ends.
    lost_from: Cell<Option<Instant>>,
    malformed_lines: Cell<u64>,
    /// The cursor at the last request to repeat events.
    repeat_requested_at: Cell<Option<u64>>,
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
            link_opened_at: Cell::new(Instant::now()),
            last_request_at: Cell::new(Instant::now()),
            uptime: Cell::new(None),
            lost_from: Cell::new(None),
            malformed_lines: Cell::new(0),
            repeat_requested_at: Cell::new(None),
        }
    }

    /// Keeps the link open until the future is dropped.
    pub async fn run(&self, tasks: &LocalExecutor<'static>) {
        self.link.run(tasks, executor::MAX_LINE_BYTES, self).await;
    }

    fn handle(&self, event: Event) -> Result<(), ConnectionEnd> {
        match event {
            Event::Welcome { is_new, uptime } => self.handle_welcome(is_new, uptime),
            Event::RunEnded { cursor, id, end, elapsed, body } => {
                if self.advance_cursor(cursor)? {
                    self.in_flight.send(&id, JobEvent::RunEnded { end, elapsed, body });
                }
            }
            Event::CallRequested { cursor, id, body } => {
                if self.advance_cursor(cursor)? {
                    self.in_flight.send(&id, JobEvent::CallRequested { cursor, body });
                }
            }
            Event::Gauges { ticket, values } => self.handle_gauges(&ticket, &values),
            Event::CommandRefused { is_start, command, id } => {
                tracing::debug!(command, ?id, "executor refused a command");
                if let Some(id) = id.filter(|_| is_start) {
                    self.in_flight.send(&id, JobEvent::StartRefused);
                }
            }
            Event::Log { cursor, text } => {
                if self.advance_cursor(cursor)? {
                    tracing::debug!(text, "executor log");
                }
            }
            Event::Unknown { name, cursor } => {
                cursor.map(|cursor| self.advance_cursor(cursor)).transpose()?;
                tracing::debug!(event = name, "unknown executor event");
            }
        }
        Ok(())
    }

    /// Advances the cursor to an event; returns `false` if the event was handled before. A gap before the event ends
    /// the link, so that the new link repeats the missing events. If they are still missing then, they are skipped.
    fn advance_cursor(&self, cursor: u64) -> Result<bool, ConnectionEnd> {
        if cursor > self.cursor.get() + 1 {
            self.request_repeat()?;
        }
        let is_new = cursor > self.cursor.get();
        self.cursor.set(self.cursor.get().max(cursor));
        Ok(is_new)
    }

    /// Ends the link with an error, so that the executor repeats the events after the cursor. Does nothing the second
    /// time for the same cursor.
    fn request_repeat(&self) -> Result<(), ConnectionEnd> {
        let cursor = Some(self.cursor.get());
        if self.repeat_requested_at.replace(cursor) == cursor {
            Ok(())
        } else {
            Err(ConnectionEnd::Malformed)
        }
    }

    fn handle_malformed_line(&self, error: executor::DecodeError) -> Result<(), ConnectionEnd> {
        let count = self.malformed_lines.get() + 1;
        self.malformed_lines.set(count);
        if count.is_power_of_two() {
            tracing::warn!(%error, count, "malformed executor event");
        }
        self.request_repeat()
    }

    fn handle_welcome(&self, is_new: bool, uptime: Span) {
        let current = Uptime { reported_at: Instant::now(), uptime };
        let previous = self.uptime.replace(Some(current));
        tracing::info!(is_new, uptime_ms = uptime.as_ms(), "executor connected");
        self.driver.start_rounds();
        if is_new && previous.is_some_and(|previous| self.has_restarted(previous, uptime)) {
            tracing::warn!("executor restarted: its runs have ended");
            self.in_flight.broadcast(|| JobEvent::ExecutorRestarted);
            self.lost_from.set(None);
        }
        // The previous link may have lost commands, even if the executor was not up yet.
        if self.lost_from.get().is_some() {
            self.link.send(&executor::encode(&Command::Gauges { ticket: CAUGHT_UP_TICKET }));
        }
    }

    /// Whether the executor has restarted since it last reported its uptime: it has been up for less than that uptime
    /// plus the time since.
    fn has_restarted(&self, previous: Uptime, uptime: Span) -> bool {
        let since = self.link_opened_at.get().saturating_duration_since(previous.reported_at);
        let since = since.saturating_sub(MAX_CLOCK_DIFFERENCE);
        uptime < previous.uptime + Span::from_ms(since.as_secs_f64() * 1000.0)
    }

    fn handle_gauges(&self, ticket: &str, values: &[f64]) {
        match ticket {
            CAUGHT_UP_TICKET => {
                if let Some(lost_from) = self.lost_from.take() {
                    let lost_until = self.link_opened_at.get();
                    self.in_flight.broadcast(|| JobEvent::LinkRestored { lost_from, lost_until });
                }
            }
            LAST_REQUEST_TICKET => {
                self.driver.confirm_commands_until(self.last_request_at.get());
                self.link.old_link_done();
            }
            _ => {
                let core_use = self.core_use_index.and_then(|index| values.get(index)).copied();
                self.driver.on_gauges(ticket, core_use.filter(|value| value.is_finite()));
            }
        }
    }
}

impl LinkHandler for ExecutorEvents {
    fn first_line(&self) -> String {
        self.link_opened_at.set(Instant::now());
        executor::encode(&Command::Join { cursor: self.cursor.get() })
    }

    fn last_line(&self) -> String {
        self.last_request_at.set(Instant::now());
        executor::encode(&Command::Gauges { ticket: LAST_REQUEST_TICKET })
    }

    fn line(&self, line: &[u8]) -> Result<(), ConnectionEnd> {
        match executor::decode(line) {
            Ok(event) => self.handle(event),
            Err(error) => self.handle_malformed_line(error),
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
