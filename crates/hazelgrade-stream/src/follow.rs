//! A node's side on a socket: carries out what the subscriber wants, and tells it what happened.

use crate::protocol::{LONGEST_LINE, LONGEST_SAID, Published, Said};
use crate::subscriber::{Action, Event, Subscriber};
use crate::trial::Sample;
use async_channel::{Sender, bounded};
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future::{BoxedLocal, or};
use futures_lite::io::{AsyncBufReadExt, BufReader};
use hazelgrade::time::{Span, Time};
use hazelgrade_config::Document;
use hazelgrade_net::connect::connect;
use hazelgrade_net::connection_end::ConnectionEnd;
use hazelgrade_net::lines::read_line;
use hazelgrade_net::notify::Notify;
use hazelgrade_net::write_queue::WriteQueue;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A message that has begun must be whole by then: the longest takes a second on a slow line.
const MESSAGE_WITHIN: Duration = Duration::from_secs(10);
/// Events that may wait; the reader of the connection waits for room.
const EVENTS: usize = 16;
/// What the node says is small; a control service that takes none of it is silent as well.
const OUTBOX_BYTES: usize = 8 * LONGEST_SAID;

/// What the node around it does.
pub trait Host {
    fn now(&self) -> Time;
    /// Has the bytes kept, off the serving thread; done when they are on the disk.
    fn keep(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>>;
    /// Serves by this from the next round on; by nothing, not ready, if there is none. `back`: it is what was served before a
    /// version that failed.
    fn take_effect(&self, document: Option<&Document>, back: bool) -> Result<(), String>;
    /// Service since this was asked last.
    fn sample(&self) -> Sample;
    /// What is said beside the configuration on the same connection, once it is due.
    fn say(&self) -> Option<Said> {
        None
    }
    /// When there may be something to say.
    fn says_at(&self) -> Option<Time> {
        None
    }
    /// Waits until `says_at` may have changed.
    fn stirred(&self) -> BoxedLocal<()> {
        Box::pin(std::future::pending())
    }
    /// A connection stands; nothing that was said on the one before is answered any more.
    fn connected(&self) {}
    /// What comes beside the configuration.
    fn heard(&self, _published: &Published) {}
}

/// Which connection an event is of; 0 for those of none.
type Of = u64;

struct Connection {
    count: Of,
    outbox: Option<Rc<WriteQueue>>,
    /// Connects, then reads; ends with the connection.
    _task: Task<()>,
}

pub struct Follow<H> {
    pub host: Rc<H>,
    pub controls: Vec<SocketAddr>,
    pub tasks: Rc<LocalExecutor<'static>>,
    /// Rung when the notice to leave comes.
    pub leaving: Rc<Notify>,
}

fn lasting(span: Span) -> Duration {
    Duration::from_secs_f64(span.as_ms() / 1000.0)
}

enum Told {
    Stands(Rc<WriteQueue>),
    Stirred,
    Event(Event),
}

impl<H: Host + 'static> Follow<H> {
    /// Follows the control services until it is dropped. `first` are the actions of the subscriber's start.
    pub async fn run(&self, mut subscriber: Subscriber, first: Vec<Action>) {
        let (events, told) = bounded(EVENTS);
        let mut connection = None;
        let mut connections = 0;
        let mut next_sample = self.host.now() + subscriber.sample_every();
        let mut todo: VecDeque<Action> = first.into();
        let mut happened: VecDeque<Event> = VecDeque::new();
        loop {
            // What follows from one event is carried out before the next is heard.
            while let Some(action) = todo.pop_front() {
                self.carry_out(action, &events, &mut connection, &mut connections, &mut happened);
                while let Some(event) = happened.pop_front() {
                    self.tell(&mut subscriber, event, &mut todo);
                }
            }
            let now = self.host.now();
            if next_sample <= now {
                next_sample = now + subscriber.sample_every();
                self.tell(&mut subscriber, Event::Served(self.host.sample()), &mut todo);
                continue;
            }
            let outbox = connection.as_ref().and_then(|connection| connection.outbox.as_ref());
            if let Some(outbox) = outbox
                && let Some(said) = self.host.say()
            {
                outbox.push(said.encode().as_bytes());
                continue;
            }
            let says_at = self.host.says_at().filter(|_| outbox.is_some());
            let wake = subscriber.wakes_at().into_iter().chain(says_at).fold(next_sample, Time::min);
            let woke = async {
                Timer::after(lasting(wake.since(now))).await;
                Some((0, Told::Event(Event::Woke)))
            };
            let left = async {
                self.leaving.notified().await;
                Some((0, Told::Event(Event::Leaving)))
            };
            let stirred = async {
                self.host.stirred().await;
                Some((0, Told::Stirred))
            };
            let next = or(async { told.recv().await.ok() }, or(left, or(stirred, woke))).await;
            let Some((of, told)) = next else { return };
            let count = connection.as_ref().map_or(0, |connection: &Connection| connection.count);
            if of != 0 && of != count {
                continue; // of a connection that was ended
            }
            match told {
                Told::Stands(outbox) => {
                    if let Some(connection) = &mut connection {
                        connection.outbox = Some(outbox);
                    }
                    self.host.connected();
                    self.tell(&mut subscriber, Event::Up, &mut todo);
                }
                Told::Stirred => {}
                Told::Event(event) => {
                    if let Event::Heard(published) = &event {
                        self.host.heard(published);
                    }
                    if let Event::Down = event {
                        connection = None;
                    }
                    self.tell(&mut subscriber, event, &mut todo);
                }
            }
        }
    }

    fn tell(&self, subscriber: &mut Subscriber, event: Event, todo: &mut VecDeque<Action>) {
        let mut out = Vec::new();
        subscriber.take(self.host.now(), event, &mut out);
        todo.extend(out);
    }

    fn carry_out(
        &self,
        action: Action,
        events: &Sender<(Of, Told)>,
        connection: &mut Option<Connection>,
        connections: &mut Of,
        happened: &mut VecDeque<Event>,
    ) {
        match action {
            Action::Connect { place, at } => {
                *connections += 1;
                let Some(address) = self.controls.get(place).copied() else { return };
                let wait = lasting(at.since(self.host.now()));
                let task = open(address, wait, *connections, events.clone(), self.tasks.clone());
                let _task = self.tasks.spawn(task);
                *connection = Some(Connection { count: *connections, outbox: None, _task });
            }
            Action::Say(said) => {
                if let Some(outbox) = connection.as_ref().and_then(|connection| connection.outbox.as_ref()) {
                    outbox.push(said.encode().as_bytes());
                }
            }
            Action::HangUp => {
                *connection = None;
                happened.push_back(Event::Down);
            }
            Action::Keep { ticket, kept } => {
                let (keeping, events) = (self.host.keep(kept.encode()), events.clone());
                let kept = async move {
                    let done = keeping.await;
                    // Closed only when nobody follows any more.
                    let _ = events.send((0, Told::Event(Event::Stored { ticket, done }))).await;
                };
                self.tasks.spawn(kept).detach();
            }
            Action::TakeEffect { document, back } => {
                let done = self.host.take_effect(document.as_deref(), back);
                if let Err(why) = &done {
                    tracing::error!(why, "a configuration can't take effect here");
                }
                happened.push_back(Event::TookEffect(done));
            }
            Action::Note(text) => tracing::info!("configuration: {text}"),
        }
    }
}

/// Connects when it is time and reads until the connection ends.
async fn open(
    address: SocketAddr,
    wait: Duration,
    count: Of,
    events: Sender<(Of, Told)>,
    tasks: Rc<LocalExecutor<'static>>,
) {
    Timer::after(wait).await;
    let end = match connect(address).await {
        Ok(stream) => {
            let stream = Rc::new(stream);
            let outbox = Rc::new(WriteQueue::new(OUTBOX_BYTES));
            let writer = outbox.clone().spawn_writer(&tasks, stream.clone());
            if events.send((count, Told::Stands(outbox))).await.is_err() {
                return;
            }
            or(read(&stream, count, &events), writer).await
        }
        Err(_) => ConnectionEnd::Unreachable,
    };
    tracing::debug!(%address, ?end, "the connection to the control service ended");
    let _ = events.send((count, Told::Event(Event::Down))).await;
}

async fn read(stream: &Async<TcpStream>, count: Of, events: &Sender<(Of, Told)>) -> ConnectionEnd {
    let mut reader = BufReader::new(stream);
    let mut line = Vec::new();
    loop {
        match bounded_line(&mut reader, &mut line, LONGEST_LINE, MESSAGE_WITHIN).await {
            Ok(()) => {}
            Err(ConnectionEnd::TooLong) => {
                let garbled = Event::Garbled("a message longer than any document".into());
                let _ = events.send((count, Told::Event(garbled))).await;
                return ConnectionEnd::TooLong;
            }
            Err(end) => return end,
        }
        let event = match Published::decode(&line) {
            Ok(published) => Event::Heard(published),
            Err(why) => Event::Garbled(why),
        };
        if events.send((count, Told::Event(event))).await.is_err() {
            return ConnectionEnd::Closed;
        }
    }
}

/// Reads a line that must be whole within a time from its first byte.
pub(crate) async fn bounded_line(
    reader: &mut BufReader<&Async<TcpStream>>,
    line: &mut Vec<u8>,
    most: usize,
    within: Duration,
) -> Result<(), ConnectionEnd> {
    if reader.fill_buf().await.map_err(|error| ConnectionEnd::from_io_error(&error))?.is_empty() {
        return Err(ConnectionEnd::Closed);
    }
    let late = async {
        Timer::after(within).await;
        Err(ConnectionEnd::TimedOut)
    };
    or(read_line(reader, line, most), late).await
}
