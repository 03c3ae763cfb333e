//! The link to the executor: held open, and opened anew when it ends.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::BufReader;
use hazelgrade_net::bell::Bell;
use hazelgrade_net::connect::connect;
use hazelgrade_net::ending::ConnectionEnd;
use hazelgrade_net::lines::read_line;
use hazelgrade_net::outbox::Outbox;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const OUTBOX_BYTES: usize = 4 * 1024 * 1024;
const AGAIN_AFTER: Duration = Duration::from_millis(20);
/// When the executor has moved, the old link is left once it has said that it got all that was sent there, or
/// after this long: it stays open for longer.
const PART_WITHIN: Duration = Duration::from_millis(200);

/// A link that has been up and is asked, but says nothing for so long, is broken without a word: a new one replaces
/// it, and the runs go on.
const SILENT_FOR: Duration = Duration::from_secs(2);

/// What is said and heard on the link.
pub trait LinkEnds {
    /// The first line on each new one.
    fn hello(&self) -> String;
    /// The last line on one that is left for another address.
    fn parting(&self) -> String;
    /// Takes a line; it may end the link.
    fn line(&self, line: &[u8]) -> Result<(), ConnectionEnd>;
    fn ended(&self, end: ConnectionEnd);
}

pub struct Link {
    address: Cell<SocketAddr>,
    outbox: RefCell<Option<Rc<Outbox>>>,
    moved: Bell,
    parted: Bell,
    /// Since when something that was sent has waited for any word, on a link that is up.
    unanswered: Cell<Option<Instant>>,
}

impl Link {
    pub fn new(address: SocketAddr) -> Link {
        Link {
            address: Cell::new(address),
            outbox: RefCell::default(),
            moved: Bell::default(),
            parted: Bell::default(),
            unanswered: Cell::new(None),
        }
    }

    /// The executor is at another address from now on: the link there replaces this one.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.ring();
        }
    }

    /// It stands, as far as is known.
    pub fn is_up(&self) -> bool {
        self.outbox.borrow().is_some()
    }

    /// All that was sent on the old link has arrived.
    pub fn part(&self) {
        self.parted.ring();
    }

    /// Sends a line, if the link stands; else it is dropped, and whoever sent it says so again later.
    pub fn send(&self, line: &str) {
        if let Some(outbox) = &*self.outbox.borrow() {
            outbox.put(line.as_bytes());
            self.unanswered.set(Some(self.unanswered.get().unwrap_or_else(Instant::now)));
        }
    }

    /// Holds the link for good.
    pub async fn keep(&self, tasks: &LocalExecutor<'static>, longest: usize, ends: &impl LinkEnds) {
        loop {
            let address = self.address.get();
            let end = match connect(address).await {
                Ok(stream) => self.hold(tasks, address, Rc::new(stream), longest, ends).await,
                Err(_) => ConnectionEnd::Unreachable,
            };
            *self.outbox.borrow_mut() = None;
            ends.ended(end);
            if self.address.get() == address {
                Timer::after(AGAIN_AFTER).await;
            }
        }
    }

    async fn hold(
        &self,
        tasks: &LocalExecutor<'static>,
        address: SocketAddr,
        stream: Rc<Async<TcpStream>>,
        longest: usize,
        ends: &impl LinkEnds,
    ) -> ConnectionEnd {
        let outbox = Rc::new(Outbox::new(OUTBOX_BYTES));
        outbox.put(ends.hello().as_bytes());
        *self.outbox.borrow_mut() = Some(outbox.clone());
        let up = Cell::new(false);
        let read = async {
            let (mut source, mut line) = (BufReader::new(&*stream), Vec::new());
            loop {
                if let Err(end) = read_line(&mut source, &mut line, longest).await {
                    break end;
                }
                up.set(true);
                self.unanswered.set(None);
                if let Err(end) = ends.line(&line) {
                    break end;
                }
            }
        };
        let moved = async {
            while self.address.get() == address {
                self.moved.heard().await;
            }
            // What is sent from here on waits for the new link, so that nothing has to be sent twice.
            *self.outbox.borrow_mut() = None;
            outbox.put(ends.parting().as_bytes());
            let late = async {
                Timer::after(PART_WITHIN).await;
            };
            or(self.parted.heard(), late).await;
            ConnectionEnd::Moved
        };
        let silent = async {
            loop {
                Timer::after(SILENT_FOR / 4).await;
                if up.get() && self.unanswered.get().is_some_and(|since| since.elapsed() >= SILENT_FOR) {
                    break ConnectionEnd::Slow;
                }
            }
        };
        or(or(or(read, moved), silent), outbox.clone().writer(tasks, stream.clone())).await
    }
}
