//! Calls in hand below: on which connection each was made, so that a reply reaches only the call it is for.

use super::hand::{Hand, Turn};
use super::outcome::CallEnd;
use crate::protocol::database::{self, Reply};
use crate::transport::database::{Database, Hears};
use async_executor::LocalExecutor;
use hazelgrade::api::JobId;
use hazelgrade::time::Span;
use hazelgrade_net::ending::ConnectionEnd;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// The calls of a job in hand.
#[derive(Default)]
struct Made {
    /// The connection of the call that is not over.
    on: Option<u64>,
    /// The connections of all its calls. Replies name the job only: a hedged request, or one that comes late, would
    /// pass for the reply to the next call if that went over the same connection.
    over: Vec<u64>,
}

pub struct Calls {
    database: Option<Rc<Database>>,
    made: RefCell<BTreeMap<JobId, Made>>,
    hand: Rc<Hand>,
    tasks: Rc<LocalExecutor<'static>>,
    /// Replies to no call that is in hand on their connection.
    pub unknown: Cell<u64>,
    pub unreadable: Cell<u64>,
    /// Calls that were lost with their connection.
    pub lost: Cell<u64>,
}

impl Calls {
    pub fn new(database: Option<Database>, hand: Rc<Hand>, tasks: Rc<LocalExecutor<'static>>) -> Calls {
        Calls {
            database: database.map(Rc::new),
            made: RefCell::default(),
            hand,
            tasks,
            unknown: Cell::new(0),
            unreadable: Cell::new(0),
            lost: Cell::new(0),
        }
    }

    /// Makes a call; its end comes to the job as a turn. One that is not sent before `by` is lost unsent.
    pub fn make(self: &Rc<Self>, id: &JobId, within: Span, body: &[u8], by: Option<Instant>) {
        let Some(database) = &self.database else {
            return self.hand.send(id, Turn::Called(CallEnd::Lost(ConnectionEnd::Unreachable)));
        };
        let mut table = self.made.borrow_mut();
        let made = table.entry(id.clone()).or_default();
        let message = database::encode_call(id, within, body);
        let connection = database.call(&self.tasks, self, &message, &made.over, by);
        made.on = Some(connection);
        made.over.push(connection);
    }

    /// Gives up a call, if one is in hand. Where nothing was heard of it in its time, nothing more is sent there.
    pub fn give_up(&self, id: &JobId, silent: bool) {
        let on = self.made.borrow_mut().get_mut(id).and_then(|made| made.on.take());
        if let (Some(connection), Some(database)) = (on, &self.database) {
            database.send(connection, database::encode_give_up(id).as_bytes());
            if silent {
                database.retire(connection);
            }
            database.over(connection);
        }
    }

    /// The job makes no more calls.
    pub fn done(&self, id: &JobId) {
        self.give_up(id, false);
        self.made.borrow_mut().remove(id);
    }

    pub fn move_to(&self, address: SocketAddr) {
        if let Some(database) = &self.database {
            database.move_to(address);
        }
    }

    pub fn connections(&self) -> usize {
        self.database.as_ref().map_or(0, |database| database.count())
    }
}

impl Hears for Calls {
    type Head = (JobId, Reply);

    fn head(&self, line: &[u8]) -> Result<((JobId, Reply), Option<usize>), ConnectionEnd> {
        match database::decode(line) {
            Ok((id, reply, length)) => Ok(((id, reply), length)),
            Err(error) => {
                self.unreadable.set(self.unreadable.get() + 1);
                if self.unreadable.get().is_power_of_two() {
                    let count = self.unreadable.get();
                    tracing::warn!(error, count, "the database sent a line that can't be read");
                }
                Err(ConnectionEnd::Unreadable)
            }
        }
    }

    fn reply(&self, connection: u64, (id, reply): (JobId, Reply), body: Vec<u8>) {
        let mut table = self.made.borrow_mut();
        let made = table.get_mut(&id).filter(|made| made.on == Some(connection));
        let (Some(made), Some(database)) = (made, &self.database) else {
            return self.unknown.set(self.unknown.get() + 1);
        };
        made.on = None;
        database.over(connection);
        self.hand.send(&id, Turn::Called(CallEnd::Replied(reply, body)));
    }

    fn ended(&self, connection: u64, end: ConnectionEnd) {
        let mut table = self.made.borrow_mut();
        let on_it = table.iter_mut().filter(|(_, made)| made.on == Some(connection));
        for (id, made) in on_it {
            made.on = None;
            self.lost.set(self.lost.get() + 1);
            self.hand.send(id, Turn::Called(CallEnd::Lost(end)));
        }
    }
}
