//! Handles each event of the executor once, and passes it to the task of its job.
//!
//! The executor numbers its events. The cursor is the number of the last event that was handled. The cursor is sent on
//! each new link, and the executor then repeats all events after the cursor. Commands have no numbers. As the executor
//! handles commands in order, its answer to a request for gauges confirms every command sent before that request.

use super::controller_driver::ControllerDriver;
use super::in_flight::{InFlightTable, JobEvent};
use super::run_command::LossWindow;
use crate::protocol::executor::{self, Command, Event};
use crate::transport::executor::{ExecutorLink, LinkHandler};
use crate::transport::log_limit::LineLimit;
use async_executor::LocalExecutor;
use hazelgrade::time::Span;
use hazelgrade_net::connection_end::ConnectionEnd;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Ticket of the gauges requested on a new link. The executor answers this request after all repeated events.
const CAUGHT_UP_TICKET: &str = "all-heard";
/// Ticket of the last gauges request on a link that is replaced because the executor's address has changed.
const LAST_REQUEST_TICKET: &str = "parting";
/// Tolerated difference between the executor's uptime and the time elapsed on this process's clock.
const MAX_UPTIME_ERROR: Duration = Duration::from_millis(100);

/// The uptime that the executor last reported.
#[derive(Clone, Copy)]
struct ReportedUptime {
    reported_at: Instant,
    uptime: Span,
}

/// Handles the events that the executor sends over its link.
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
    /// When the last gauges request on a replaced link was sent.
    last_request_at: Cell<Instant>,
    uptime: Cell<Option<ReportedUptime>>,
    /// Set when a link ends: commands sent from this instant on may have been lost.
    lost_from: Cell<Option<Instant>>,
    malformed_lines: Cell<u64>,
    log_limit: LineLimit,
    /// The cursor at the time of the last request to repeat events.
    repeat_requested_at: Cell<Option<u64>>,
}

impl ExecutorEvents {
    /// Creates the handler of the events on `link`. `gauges` lists the names of the executor's gauges, in order.
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
            log_limit: LineLimit::default(),
            repeat_requested_at: Cell::new(None),
        }
    }

    /// Keeps the link to the executor open until the future is dropped.
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
                    tracing::debug!(text, "message from the executor");
                }
            }
            Event::Unknown { name, cursor } => {
                cursor.map(|cursor| self.advance_cursor(cursor)).transpose()?;
                tracing::debug!(event = name, "ignored an executor event of unknown type");
            }
        }
        Ok(())
    }

    /// Advances the cursor to an event; returns `false` if the event was handled before. A gap before the event ends
    /// the link, so that the executor repeats the missing events on a new link. Events that are still missing on the
    /// new link are skipped.
    fn advance_cursor(&self, cursor: u64) -> Result<bool, ConnectionEnd> {
        if cursor > self.cursor.get() + 1 {
            self.request_repeat()?;
        }
        let is_new = cursor > self.cursor.get();
        self.cursor.set(self.cursor.get().max(cursor));
        Ok(is_new)
    }

    /// Returns the error that ends the link, so that the executor repeats the events after the cursor on a new link.
    /// Returns `Ok` if a repeat from the same cursor was requested just before.
    fn request_repeat(&self) -> Result<(), ConnectionEnd> {
        let cursor = Some(self.cursor.get());
        if self.repeat_requested_at.replace(cursor) == cursor {
            Ok(())
        } else {
            Err(ConnectionEnd::Malformed)
        }
    }

    /// Handles a line that could not be decoded, and requests the events after the cursor again.
    fn handle_malformed_line(&self, error: executor::DecodeError) -> Result<(), ConnectionEnd> {
        let count = self.malformed_lines.get() + 1;
        self.malformed_lines.set(count);
        if count.is_power_of_two() {
            tracing::warn!(%error, count, "malformed event from the executor");
        }
        self.request_repeat()
    }

    fn handle_welcome(&self, is_new: bool, uptime: Span) {
        let current = ReportedUptime { reported_at: Instant::now(), uptime };
        let previous = self.uptime.replace(Some(current));
        tracing::info!(is_new, uptime_ms = uptime.as_ms(), "executor connected");
        self.driver.start_rounds();
        if is_new && previous.is_some_and(|previous| self.has_restarted(previous, uptime)) {
            tracing::warn!("executor restarted: all earlier runs have ended");
            self.in_flight.broadcast(|| JobEvent::ExecutorRestarted);
            self.lost_from.set(None);
        }
        // Commands may have been lost with the previous link, even if the executor was not up when that link ended.
        if self.lost_from.get().is_some() {
            // While this link is being replaced, the request is dropped and made on the next link.
            let _ = self.link.send(&executor::encode(&Command::Gauges { ticket: CAUGHT_UP_TICKET }));
        }
    }

    /// Returns whether the executor has restarted since its last report: `uptime` is then shorter than the previously
    /// reported uptime plus the time elapsed since that report.
    fn has_restarted(&self, previous: ReportedUptime, uptime: Span) -> bool {
        let elapsed = self.link_opened_at.get().saturating_duration_since(previous.reported_at);
        let elapsed = elapsed.saturating_sub(MAX_UPTIME_ERROR);
        uptime < previous.uptime + Span::from_ms(elapsed.as_secs_f64() * 1000.0)
    }

    fn handle_gauges(&self, ticket: &str, values: &[f64]) {
        match ticket {
            CAUGHT_UP_TICKET => {
                if let Some(from) = self.lost_from.take() {
                    let lost = LossWindow { from, until: self.link_opened_at.get() };
                    self.in_flight.broadcast(|| JobEvent::LinkRestored(lost));
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
        if end != ConnectionEnd::Unreachable
            && end != ConnectionEnd::Moved
            && let Some(left_out) = self.log_limit.permit(Instant::now())
        {
            tracing::warn!(?end, left_out, "executor link ended");
        }
    }
}
