//! Communication with the lessors of other sites: transfers of units, reports, and the connections to their control
//! services.

use super::LessorService;
use crate::line_reader::read_bounded_line;
use crate::protocol::{MAX_LINE_BYTES, PublisherMessage, SubscriberMessage};
use crate::publisher::ConnectionId;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::or;
use futures_lite::io::BufReader;
use hazelgrade::time::Time;
use hazelgrade_budget::ownership;
use hazelgrade_budget::protocol::SiteReport;
use hazelgrade_net::connect::connect;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::stream::SharedSocket;
use hazelgrade_net::write_queue::WriteQueue;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The delay before a new connection is opened after the previous one ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// A connection without any message for this time counts as broken, because the other lessor answers each report.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// The most bytes that may be queued for writing on a connection.
const WRITE_QUEUE_BYTES: usize = 256 * 1024;

impl LessorService {
    /// Handles a report from the lessor of another site; returns the report to send as the answer, or `None` while the
    /// ledger is not stored.
    pub(crate) fn on_site_report(
        &self,
        report: &SiteReport,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) -> Option<SiteReport> {
        let mut actions = Vec::new();
        self.ownership.borrow_mut().on_report(self.now(), report, &mut actions);
        self.perform_ownership_actions(actions, send);
        self.report_for(&report.from)
    }

    /// Returns this site's report to another site, or `None` while the ledger is not stored.
    fn report_for(&self, site: &str) -> Option<SiteReport> {
        if self.is_ledger_unsaved.get() {
            return None;
        }
        let lessor = self.lessor.borrow();
        let ownership = self.ownership.borrow();
        let budgets = ownership.terms().keys();
        let overcommitted = budgets.clone().any(|name| lessor.overcommitted(name) > 0);
        let shortfalls = budgets.map(|name| (name.clone(), lessor.balance(name).shortfall)).collect();
        Some(ownership.report_to(site, overcommitted, &shortfalls))
    }

    /// Transfers recalled units and free surplus units to other sites. The caller has to perform the returned actions.
    pub(super) fn send_units_to_sites(&self) -> Vec<ownership::Action> {
        let lessor = self.lessor.borrow();
        let now = self.now();
        let mut ownership = self.ownership.borrow_mut();
        let names: Vec<String> = ownership.terms().keys().cloned().collect();
        let free = names.iter().map(|name| {
            let units = lessor.free(now, name).min(lessor.balance(name).surplus);
            (name.clone(), units)
        });
        let free = free.collect();
        let not_overcommitted: Vec<String> =
            names.iter().filter(|name| lessor.overcommitted(name) == 0).cloned().collect();
        let mut actions = Vec::new();
        ownership.send_units(&free, &not_overcommitted, &mut actions);
        if self.is_ledger_unsaved.get() {
            actions.push(ownership::Action::Store(ownership.ledger().clone()));
        }
        actions
    }

    /// Sends reports of this site to all connected sites.
    pub(super) fn report_to_sites(&self) {
        for (site, write_queue) in &*self.site_connections.borrow() {
            if let Some(report) = self.report_for(site) {
                write_queue.push(SubscriberMessage::SiteReport(report).encode().as_bytes());
            }
        }
    }

    /// Returns the time from which no units that another site leased out can be in use, provided that the site no
    /// longer runs. The time is counted from the site's last report, or from the start of this lessor if there was no
    /// report.
    pub(super) fn safe_to_retire_at(&self, site: &str) -> Time {
        let longest = self.max_lease_and_use.get();
        let since_report = self.ownership.borrow().safe_to_retire_at(site, longest);
        since_report.unwrap_or(Time::from_ms(0.0) + longest)
    }

    /// Keeps a connection to the control service of another site open until the future is dropped.
    pub(crate) async fn connect_to_site(
        self: Rc<Self>,
        site: String,
        address: SocketAddr,
        executor: Rc<LocalExecutor<'static>>,
        mut send: impl FnMut(ConnectionId, &PublisherMessage),
    ) {
        loop {
            let end = match connect(address).await {
                Ok(stream) => {
                    let stream = Rc::new(stream);
                    let write_queue = Rc::new(WriteQueue::new(WRITE_QUEUE_BYTES));
                    let writer = write_queue.clone().spawn_writer(&executor, stream.clone());
                    self.site_connections.borrow_mut().insert(site.clone(), write_queue);
                    let end = or(self.read_site(SharedSocket(stream), &mut send), writer).await;
                    self.site_connections.borrow_mut().remove(&site);
                    end
                }
                Err(_) => ConnectionEnd::Unreachable,
            };
            tracing::debug!(site, ?end, "connection to the lessor of another site ended");
            Timer::after(RECONNECT_DELAY).await;
        }
    }

    /// Reads and handles messages from another site's control service; returns how the connection ended.
    async fn read_site(
        &self,
        stream: SharedSocket,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) -> ConnectionEnd {
        let mut reader = BufReader::new(stream);
        let mut line = Vec::new();
        loop {
            let timed_out = async {
                Timer::after(MESSAGE_TIMEOUT).await;
                Err(ConnectionEnd::TimedOut)
            };
            let read = read_bounded_line(&mut reader, &mut line, MAX_LINE_BYTES, MESSAGE_TIMEOUT);
            if let Err(end) = or(read, timed_out).await {
                return end;
            }
            match PublisherMessage::decode(&line) {
                Ok(PublisherMessage::SiteReport(report)) => {
                    self.on_site_report(&report, send);
                }
                Ok(_) => {}
                Err(error) => {
                    tracing::warn!(%error, "lessor of another site sent a malformed message; closing the connection");
                    return ConnectionEnd::Malformed;
                }
            }
        }
    }
}
