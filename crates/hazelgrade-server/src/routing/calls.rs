//! Calls in hand below, and on which connection each was made.

use super::hand::{Hand, Turn};
use super::outcome::CallEnd;
use crate::protocol::database::{self, Reply};
use crate::transport::database::Database;
use crate::transport::ending::ConnectionEnd;
use async_executor::LocalExecutor;
use hazelgrade::desk::JobId;
use hazelgrade::time::Span;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub struct Calls {
    database: Option<Database>,
    made: RefCell<BTreeMap<JobId, u64>>,
    hand: Rc<Hand>,
}

impl Calls {
    pub fn new(database: Option<Database>, hand: Rc<Hand>) -> Calls {
        Calls { database, made: RefCell::default(), hand }
    }

    /// Makes a call; its end comes to the job as a turn.
    pub fn make(&self, id: &JobId, within: Span, body: &[u8]) {
        match &self.database {
            Some(database) => {
                let connection = database.send(&database::encode_call(id, within, body));
                self.made.borrow_mut().insert(id.clone(), connection);
            }
            None => self.hand.send(id, Turn::Called(CallEnd::Lost(ConnectionEnd::Unreachable))),
        }
    }

    /// Gives up a call, if one is in hand.
    pub fn give_up(&self, id: &JobId) {
        if let (Some(_), Some(database)) = (self.made.borrow_mut().remove(id), &self.database) {
            database.send_if_open(database::encode_give_up(id).as_bytes());
        }
    }

    /// Holds the connection, and hands each end of a call to its job.
    pub async fn keep(&self, tasks: &LocalExecutor<'static>) {
        let Some(database) = &self.database else { return std::future::pending().await };
        let decode = |line: &[u8]| match database::decode(line) {
            Ok((id, reply, length)) => Ok(((id, reply), length)),
            Err(error) => {
                tracing::warn!(error, "the database sent a line that can't be read");
                Err(ConnectionEnd::Unreadable)
            }
        };
        let replied = |(id, reply): (JobId, Reply), body| {
            if self.made.borrow_mut().remove(&id).is_some() {
                self.hand.send(&id, Turn::Called(CallEnd::Replied(reply, body)));
            }
        };
        let ended = |connection: u64, end: ConnectionEnd| {
            let lost: Vec<JobId> = {
                let made = self.made.borrow();
                made.iter().filter(|(_, on)| **on == connection).map(|(id, _)| id.clone()).collect()
            };
            if end != ConnectionEnd::Idle {
                tracing::info!(?end, calls = lost.len(), "the database connection ended");
            }
            for id in lost {
                self.made.borrow_mut().remove(&id);
                self.hand.send(&id, Turn::Called(CallEnd::Lost(end)));
            }
        };
        let busy = || !self.made.borrow().is_empty();
        database.keep(tasks, database::LONGEST_LINE, decode, replied, busy, ended).await;
    }
}
