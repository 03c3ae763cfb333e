//! Passes received messages to the publishers and the lessor, and performs the actions of the publishers.

use super::ControlService;
use super::counter_file::write_counter;
use super::status;
use crate::protocol::{PublisherMessage, SubscriberMessage};
use crate::publisher::{Action, ConnectionId, Event};
use hazelgrade_budget::protocol::OperatorCommand;
use hazelgrade_config::Kind;
use serde_json::{Value, json};
use std::collections::VecDeque;

/// The JSON-RPC error code of the answer to an operator's command that can't be carried out.
const COMMAND_REJECTED_CODE: i64 = -32011;

impl ControlService {
    /// Returns the kind of document that a connection is subscribed to. A connection counts as subscribed to the
    /// serving document until it subscribes to another kind.
    pub(super) fn subscribed_kind(&self, connection: ConnectionId) -> Kind {
        self.subscribed_kinds.borrow().get(&connection).copied().unwrap_or_default()
    }

    /// Handles a message that was received on a connection.
    pub(super) fn on_message(&self, connection: ConnectionId, message: SubscriberMessage) {
        let mut send = |to, message: &PublisherMessage| self.send(to, message);
        match (message, &self.lessor) {
            (SubscriberMessage::LeaseRequest(request), Some(lessor)) => {
                lessor.on_lease_request(connection, request, &mut send);
            }
            (SubscriberMessage::SiteReport(report), Some(lessor)) => {
                if let Some(answer) = lessor.on_site_report(&report, &mut send) {
                    send(connection, &PublisherMessage::SiteReport(answer));
                }
            }
            // Without a lessor there are no grants; nodes continue with the units that they may use without a lease.
            (SubscriberMessage::LeaseRequest(_) | SubscriberMessage::SiteReport(_), None) => {}
            (SubscriberMessage::BudgetCommand { request_id, command }, _) => {
                self.on_budget_command(connection, request_id, &command);
            }
            (message, _) => self.on_document_message(connection, message),
        }
    }

    /// Carries out an operator's command on budgets and sends the result or the reason of the rejection.
    fn on_budget_command(&self, connection: ConnectionId, request_id: u64, command: &OperatorCommand) {
        let result = match &self.lessor {
            Some(lessor) => {
                let result = lessor.on_command(command, &mut |to, message| self.send(to, message));
                result.map_err(|error| error.to_string())
            }
            None => Err("no budgets are kept here".to_owned()),
        };
        match result {
            Ok(result) => self.send_result(connection, request_id, &result),
            Err(reason) => {
                let error = json!({"code": COMMAND_REJECTED_CODE, "message": reason});
                let answer = json!({"jsonrpc": "2.0", "id": request_id, "error": error});
                self.send_line(connection, &format!("{answer}\n"));
            }
        }
    }

    /// Sends the JSON-RPC answer to a request that succeeded.
    fn send_result(&self, connection: ConnectionId, request_id: u64, result: &Value) {
        let answer = json!({"jsonrpc": "2.0", "id": request_id, "result": result});
        self.send_line(connection, &format!("{answer}\n"));
    }

    /// Passes a message on a document to the publisher of the document's kind.
    fn on_document_message(&self, connection: ConnectionId, message: SubscriberMessage) {
        if let SubscriberMessage::Subscribe { kind, .. } = &message {
            self.set_subscribed_kind(connection, *kind);
        }
        self.notify_publisher(self.subscribed_kind(connection), Event::Received { connection, message });
    }

    /// Assigns a connection to the publisher of the kind of document that the connection subscribes to.
    fn set_subscribed_kind(&self, connection: ConnectionId, kind: Kind) {
        let previous = self.subscribed_kind(connection);
        if kind == previous {
            return;
        }
        self.notify_publisher(previous, Event::Disconnected { connection });
        self.subscribed_kinds.borrow_mut().insert(connection, kind);
        self.notify_publisher(kind, Event::Connected { connection });
    }

    /// Passes an event to a publisher, performs the publisher's actions, and passes the events that result from the
    /// actions to the publisher as well.
    pub(super) fn notify_publisher(&self, kind: Kind, event: Event) {
        let Some(publisher) = self.publishers.get(&kind) else { return };
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            publisher.borrow_mut().handle(self.now(), event, &mut actions);
            events.extend(actions.into_iter().filter_map(|action| self.perform(kind, action)));
        }
        if kind == Kind::Budgets {
            self.update_lessor();
        }
    }

    /// Passes the published document of the budgets to the lessor.
    fn update_lessor(&self) {
        let Some(lessor) = &self.lessor else { return };
        let Some(publisher) = self.publishers.get(&Kind::Budgets) else { return };
        let publisher = publisher.borrow();
        if let Some(current) = publisher.current() {
            let send = &mut |to, message: &PublisherMessage| self.send(to, message);
            lessor.on_document(current, publisher.previous(), publisher.rollout(), send);
        }
    }

    /// Performs an action; returns the event that results from the action at once, if any.
    fn perform(&self, kind: Kind, action: Action) -> Option<Event> {
        match action {
            Action::Send { connection, message } => self.send(connection, &message),
            Action::Close { connection } => self.close(connection),
            Action::StoreCounter(counter) => {
                // The write blocks the thread. The file is small and rarely written, and publishing has to wait for the
                // disk in any case.
                let result = write_counter(&self.config.documents, kind, &counter);
                return Some(Event::CounterStored(result.map_err(|error| error.to_string())));
            }
            Action::ReportStatus { connection, request_id } => {
                let report = status::report(&self.publishers, &self.document_errors.borrow());
                self.send_result(connection, request_id, &report);
            }
            Action::Log(text) => tracing::info!("{text}"),
        }
        None
    }
}
