//! The subscriber's connection to a control service.

use super::Subscriber;
use super::event::Action;
use super::state::{Connection, SILENCE_TIMEOUT_MS};
use crate::protocol::{PublisherMessage, SubscriberMessage};
use hazelgrade::time::{Span, Time};

impl Subscriber {
    pub(super) fn connect(&mut self, now: Time, actions: &mut Vec<Action>) {
        let delay = self.backoff.next_delay(&mut self.random, self.retry_after.take());
        actions.push(Action::Connect { control_service: self.control_service_index, at: now + delay });
        self.connection = Connection::Connecting;
    }

    pub(super) fn on_connected(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.connection = Connection::Open { last_received: now };
        self.connection_count += 1;
        actions.push(Action::Send(SubscriberMessage::Subscribe {
            node: self.node.clone(),
            program: self.program.clone(),
            kind: self.kind,
            lineage: self.followed_lineage(),
            in_effect: self.version_in_effect().map(|in_effect| in_effect.version),
            on_trial: self.candidate.is_some(),
            latest_known: self.stored.latest_known,
        }));
        actions.extend(self.unreported_trial_end.take().map(Action::Send));
    }

    pub(super) fn on_disconnected(&mut self, now: Time, actions: &mut Vec<Action>) {
        // The control service of the next connection offers its current version again.
        self.waiting_offer = None;
        if self.retry_after.is_none() {
            self.control_service_index = (self.control_service_index + 1) % self.control_service_count;
        }
        self.connect(now, actions);
    }

    pub(super) fn on_message(&mut self, now: Time, message: PublisherMessage, actions: &mut Vec<Action>) {
        let Connection::Open { last_received } = &mut self.connection else { return };
        *last_received = now;
        match message {
            // The lease holder handles messages about leases. For the subscriber they only show that the connection
            // works.
            PublisherMessage::LeaseGrant(_)
            | PublisherMessage::RequestLeases
            | PublisherMessage::SiteReport(_) => self.backoff.reset(),
            PublisherMessage::Ping => {
                self.backoff.reset();
                actions.push(Action::Send(SubscriberMessage::Pong));
            }
            PublisherMessage::RetryAfter(delay) => {
                self.retry_after = Some(delay);
                actions.push(Action::Disconnect);
            }
            PublisherMessage::Offer(offer) => {
                self.backoff.reset();
                self.on_offer(offer, actions);
            }
        }
    }

    /// Sends a message if the connection with this number is still open.
    pub(super) fn send_on(&self, connection: u64, message: SubscriberMessage, actions: &mut Vec<Action>) {
        if connection == self.connection_count && matches!(self.connection, Connection::Open { .. }) {
            actions.push(Action::Send(message));
        }
    }

    /// The time at which the connection counts as dead unless another message is received before.
    pub(super) fn silence_deadline(&self) -> Option<Time> {
        match self.connection {
            Connection::Open { last_received } => Some(last_received + Span::from_ms(SILENCE_TIMEOUT_MS)),
            Connection::Closed | Connection::Connecting => None,
        }
    }

    /// Closes the connection if no message has been received on it for the silence timeout.
    pub(super) fn check_silence(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Connection::Open { last_received } = self.connection else { return };
        if now.since(last_received) >= Span::from_ms(SILENCE_TIMEOUT_MS) {
            actions.push(Action::Log(format!(
                "no message from the control service for {SILENCE_TIMEOUT_MS} ms; closing the connection"
            )));
            actions.push(Action::Disconnect);
            // Prevents a second `Disconnect` before `Event::Disconnected` follows.
            self.connection = Connection::Closed;
        }
    }
}
