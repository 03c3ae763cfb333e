//! The node's side of a configuration stream on a socket: performs the actions of a [`Subscriber`] and passes events to
//! the subscriber.

mod connection;
mod host;
mod notification;

pub use host::Host;

use crate::protocol::SubscriberMessage;
use crate::stored::StoredState;
use crate::subscriber::{Action, Event, Subscriber};
use async_channel::{Receiver, Sender, bounded};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use connection::open;
use futures_lite::future::or;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::Document;
use hazelgrade_net::notify::Notify;
use hazelgrade_net::write_queue::WriteQueue;
use notification::{ConnectionEvent, ConnectionNumber, Notification};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The most notifications that may be queued. While the queue is full, the reader of the connection waits.
const MAX_QUEUED_NOTIFICATIONS: usize = 16;

/// Keeps a subscriber connected to one of its control services.
pub struct SubscriberClient<H> {
    /// The node that the subscriber configures.
    pub host: Rc<H>,
    /// The addresses of the control services; the subscriber names a control service by its index in this list.
    pub control_services: Vec<SocketAddr>,
    /// Runs the tasks that connect, read, write and store.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Notified when the node begins to drain.
    pub drain_started: Rc<Notify>,
}

/// A connection that is open or being opened.
struct Connection {
    number: ConnectionNumber,
    /// `None` until the connection is open.
    write_queue: Option<Rc<WriteQueue>>,
    /// The task that connects and reads. Dropping the task closes the connection.
    _task: Task<()>,
}

/// The state of a running client: the subscriber, its queued actions, and its connection.
struct Session<'a, H> {
    client: &'a SubscriberClient<H>,
    subscriber: Subscriber,
    actions: VecDeque<Action>,
    connection: Option<Connection>,
    last_connection_number: ConnectionNumber,
    notification_sender: Sender<Notification>,
}

fn to_duration(span: Span) -> Duration {
    Duration::from_secs_f64(span.as_ms() / 1000.0)
}

impl<H: Host + 'static> SubscriberClient<H> {
    /// Connects a subscriber and performs its actions until the future is dropped. `initial_actions` are the actions of
    /// the subscriber's start.
    pub async fn run(&self, subscriber: Subscriber, initial_actions: Vec<Action>) {
        let (notification_sender, notifications) = bounded(MAX_QUEUED_NOTIFICATIONS);
        let mut next_sample = self.host.now() + subscriber.sample_interval();
        let mut session = Session {
            client: self,
            subscriber,
            actions: initial_actions.into(),
            connection: None,
            last_connection_number: 0,
            notification_sender,
        };
        loop {
            session.perform_actions();
            let now = self.host.now();
            if next_sample <= now {
                next_sample = now + session.subscriber.sample_interval();
                session.handle(Event::Sampled(self.host.sample()));
                continue;
            }
            if session.send_host_message() {
                continue;
            }
            let Some(notification) = session.wait(&notifications, now, next_sample).await else { return };
            session.on_notification(notification);
        }
    }
}

impl<H: Host + 'static> Session<'_, H> {
    /// Passes an event to the subscriber and queues the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.subscriber.handle(self.client.host.now(), event, &mut actions);
        self.actions.extend(actions);
    }

    /// Performs all queued actions, including those that result from events of the performed actions.
    fn perform_actions(&mut self) {
        while let Some(action) = self.actions.pop_front() {
            if let Some(event) = self.perform(action) {
                self.handle(event);
            }
        }
    }

    /// Performs an action; returns the event that results from the action at once, if any.
    fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Connect { control_service, at } => {
                self.connect(control_service, at);
                None
            }
            Action::Send(message) => {
                self.send(&message);
                None
            }
            Action::Disconnect => {
                self.connection = None;
                Some(Event::Disconnected)
            }
            Action::Store { ticket, state } => {
                self.store(ticket, &state);
                None
            }
            Action::Apply { document, is_rollback } => Some(self.apply(document.as_deref(), is_rollback)),
            Action::Log(text) => {
                tracing::info!("configuration: {text}");
                None
            }
        }
    }

    fn connect(&mut self, control_service: usize, at: Time) {
        self.last_connection_number += 1;
        let Some(address) = self.client.control_services.get(control_service).copied() else { return };
        let delay = to_duration(at.since(self.client.host.now()));
        let executor = &self.client.executor;
        let number = self.last_connection_number;
        let task =
            executor.spawn(open(address, delay, number, self.notification_sender.clone(), executor.clone()));
        self.connection = Some(Connection { number, write_queue: None, _task: task });
    }

    fn write_queue(&self) -> Option<&Rc<WriteQueue>> {
        self.connection.as_ref().and_then(|connection| connection.write_queue.as_ref())
    }

    fn send(&self, message: &SubscriberMessage) {
        if let Some(write_queue) = self.write_queue() {
            write_queue.push(message.encode().as_bytes());
        }
    }

    /// Sends the next message of the node itself, if the connection is open and a message is due. Returns whether a
    /// message was sent.
    fn send_host_message(&self) -> bool {
        let Some(write_queue) = self.write_queue() else { return false };
        let Some(message) = self.client.host.next_message() else { return false };
        write_queue.push(message.encode().as_bytes());
        true
    }

    fn store(&self, ticket: u64, state: &StoredState) {
        let write = self.client.host.store(state.encode());
        let notification_sender = self.notification_sender.clone();
        let task = async move {
            let result = write.await;
            // The channel is closed only if the client was dropped; the result is then not needed.
            let _ = notification_sender.send(Notification::Event(Event::Stored { ticket, result })).await;
        };
        self.client.executor.spawn(task).detach();
    }

    fn apply(&self, document: Option<&Document>, is_rollback: bool) -> Event {
        let result = self.client.host.apply(document, is_rollback);
        if let Err(reason) = &result {
            tracing::error!(reason, "configuration document can't be applied on this node");
        }
        Event::Applied(result)
    }

    /// Waits for the next notification or timer. Returns `None` once all senders of notifications are dropped.
    async fn wait(
        &self,
        notifications: &Receiver<Notification>,
        now: Time,
        next_sample: Time,
    ) -> Option<Notification> {
        let host = &self.client.host;
        let next_message = host.next_message_at().filter(|_| self.write_queue().is_some());
        let timers = self.subscriber.next_timer().into_iter().chain(next_message);
        let next_timer = timers.fold(next_sample, Time::min);
        let timer_fired = async {
            Timer::after(to_duration(next_timer.since(now))).await;
            Some(Notification::Event(Event::TimerFired))
        };
        let drain_started = async {
            self.client.drain_started.notified().await;
            Some(Notification::Event(Event::DrainStarted))
        };
        let host_message = async {
            host.message_ready().await;
            Some(Notification::HostMessage)
        };
        let received = async { notifications.recv().await.ok() };
        or(received, or(drain_started, or(host_message, timer_fired))).await
    }

    fn on_notification(&mut self, notification: Notification) {
        match notification {
            Notification::Connection { connection, event } => {
                // A task may still report events of a connection that was replaced or closed; these are ignored.
                if self.connection.as_ref().is_some_and(|current| current.number == connection) {
                    self.on_connection_event(event);
                }
            }
            Notification::HostMessage => {}
            Notification::Event(event) => self.handle(event),
        }
    }

    fn on_connection_event(&mut self, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Opened(write_queue) => {
                if let Some(connection) = &mut self.connection {
                    connection.write_queue = Some(write_queue);
                }
                self.client.host.on_connected();
                self.handle(Event::Connected);
            }
            ConnectionEvent::Received(message) => {
                self.client.host.on_message(&message);
                self.handle(Event::Received(message));
            }
            ConnectionEvent::Undecodable(reason) => self.handle(Event::Undecodable(reason)),
            ConnectionEvent::Closed => {
                self.connection = None;
                self.handle(Event::Disconnected);
            }
        }
    }
}
