//! The link to the executor: held open, and opened anew when it ends.

use super::connect::connect;
use super::ending::ConnectionEnd;
use super::lines::read_line;
use super::outbox::Outbox;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::io::BufReader;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const OUTBOX_BYTES: usize = 4 * 1024 * 1024;
const AGAIN_AFTER: Duration = Duration::from_millis(20);

pub struct Link {
    address: SocketAddr,
    outbox: RefCell<Option<Rc<Outbox>>>,
}

impl Link {
    pub fn new(address: SocketAddr) -> Link {
        Link { address, outbox: RefCell::default() }
    }

    /// Sends a line, if the link stands; else it is dropped, and whoever sent it says so again later.
    pub fn send(&self, line: &str) {
        if let Some(outbox) = &*self.outbox.borrow() {
            outbox.put(line.as_bytes());
        }
    }

    /// Holds the link for good. `hello` is the first line on each new one; `on_line` may end it.
    pub async fn keep(
        &self,
        tasks: &LocalExecutor<'static>,
        longest: usize,
        hello: impl Fn() -> String,
        on_line: impl Fn(&[u8]) -> Result<(), ConnectionEnd>,
        on_end: impl Fn(ConnectionEnd),
    ) {
        loop {
            let end = match connect(self.address).await {
                Ok(stream) => self.hold(tasks, Rc::new(stream), longest, &hello, &on_line).await,
                Err(_) => ConnectionEnd::Unreachable,
            };
            *self.outbox.borrow_mut() = None;
            on_end(end);
            Timer::after(AGAIN_AFTER).await;
        }
    }

    async fn hold(
        &self,
        tasks: &LocalExecutor<'static>,
        stream: Rc<Async<TcpStream>>,
        longest: usize,
        hello: &impl Fn() -> String,
        on_line: &impl Fn(&[u8]) -> Result<(), ConnectionEnd>,
    ) -> ConnectionEnd {
        let outbox = Rc::new(Outbox::new(OUTBOX_BYTES));
        outbox.put(hello().as_bytes());
        *self.outbox.borrow_mut() = Some(outbox.clone());
        let read = async {
            let (mut source, mut line) = (BufReader::new(&*stream), Vec::new());
            loop {
                if let Err(end) = read_line(&mut source, &mut line, longest).await {
                    break end;
                }
                if let Err(end) = on_line(&line) {
                    break end;
                }
            }
        };
        or(read, outbox.writer(tasks, stream.clone())).await
    }
}
