//! The connection to what lies below: opened when a call needs it, closed when it lies idle.

use super::connect::connect;
use super::ending::ConnectionEnd;
use super::lines::{read_body, read_line};
use super::outbox::Outbox;
use crate::bell::Bell;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::or;
use futures_lite::io::BufReader;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const OUTBOX_BYTES: usize = 4 * 1024 * 1024;

pub struct Database {
    address: SocketAddr,
    /// After so long with no call it is closed, well before the peer would: a call that crossed that is lost.
    idle: Duration,
    /// What waits for the connection that stands or is being opened, and its number.
    outbox: RefCell<Option<Rc<Outbox>>>,
    number: Cell<u64>,
    wanted: Bell,
    used: Cell<Instant>,
}

impl Database {
    pub fn new(address: SocketAddr, idle: Duration) -> Database {
        Database {
            address,
            idle,
            outbox: RefCell::default(),
            number: Cell::new(0),
            wanted: Bell::default(),
            used: Cell::new(Instant::now()),
        }
    }

    /// Sends a message on the connection, opening one if none stands; gives the number of the connection.
    pub fn send(&self, message: &[u8]) -> u64 {
        self.used.set(Instant::now());
        let mut outbox = self.outbox.borrow_mut();
        let outbox = outbox.get_or_insert_with(|| {
            self.number.set(self.number.get() + 1);
            self.wanted.ring();
            Rc::new(Outbox::new(OUTBOX_BYTES))
        });
        outbox.put(message);
        self.number.get()
    }

    /// Sends a message only if a connection stands.
    pub fn send_if_open(&self, message: &[u8]) {
        if let Some(outbox) = &*self.outbox.borrow() {
            outbox.put(message);
        }
    }

    /// Opens connections as they are wanted, for good. `on_head` decodes the line of a reply and gives the
    /// length of its body; `on_end` hears which connection ended.
    pub async fn keep<H>(
        &self,
        tasks: &LocalExecutor<'static>,
        longest: usize,
        on_head: impl Fn(&[u8]) -> Result<(H, Option<usize>), ConnectionEnd>,
        on_reply: impl Fn(H, Vec<u8>),
        busy: impl Fn() -> bool,
        on_end: impl Fn(u64, ConnectionEnd),
    ) {
        loop {
            self.wanted.heard().await;
            let Some(outbox) = self.outbox.borrow().clone() else { continue };
            let end = match connect(self.address).await {
                Err(_) => ConnectionEnd::Unreachable,
                Ok(stream) => {
                    let stream = Rc::new(stream);
                    let read = async {
                        let (mut source, mut line) = (BufReader::new(&*stream), Vec::new());
                        loop {
                            if let Err(end) = read_line(&mut source, &mut line, longest).await {
                                break end;
                            }
                            let (head, length) = match on_head(&line) {
                                Ok(head) => head,
                                Err(end) => break end,
                            };
                            let body = match length {
                                Some(length) => read_body(&mut source, length).await,
                                None => Ok(Vec::new()),
                            };
                            match body {
                                Ok(body) => on_reply(head, body),
                                Err(end) => break end,
                            }
                        }
                    };
                    let idle = async {
                        loop {
                            Timer::after(self.idle / 5).await;
                            if !busy() && outbox.unwritten() == 0 && self.used.get().elapsed() >= self.idle {
                                break ConnectionEnd::Idle;
                            }
                        }
                    };
                    or(or(read, idle), outbox.clone().writer(tasks, stream.clone())).await
                }
            };
            *self.outbox.borrow_mut() = None;
            on_end(self.number.get(), end);
        }
    }
}
