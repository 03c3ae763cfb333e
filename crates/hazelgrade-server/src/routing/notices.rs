//! What the executor tells: each notice is heard once and handed to its job.

use super::hand::{Hand, Turn};
use super::rounds::Rounds;
use crate::protocol::executor::{self, Command, Notice};
use crate::transport::executor::{Link, LinkEnds};
use async_executor::LocalExecutor;
use hazelgrade::time::Span;
use hazelgrade_net::ending::ConnectionEnd;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Ticket of the gauges that are asked for after a new link: their answer comes after all missed notices.
const ALL_HEARD: &str = "all-heard";
/// Ticket of the gauges that are asked for last on a link that is left for a new address.
const PARTING: &str = "parting";
/// By so much the executor's word of how long it is up may lie apart from the clock here.
const APART: Duration = Duration::from_millis(100);

pub struct Notices {
    rounds: Rc<Rounds>,
    hand: Rc<Hand>,
    link: Rc<Link>,
    /// The place of the busy part of the cores among the gauges.
    cores_used: Option<usize>,
    heard: Cell<u64>,
    joined: Cell<Instant>,
    parting: Cell<Instant>,
    /// When the executor last said how long it is up, and how long that was.
    up: Cell<Option<(Instant, Span)>>,
    /// Since when commands may have been lost, once a link has ended.
    unproved: Cell<Option<Instant>>,
    unreadable: Cell<u64>,
    /// Up to which notice all was heard when the one after it was last asked for again.
    asked_again: Cell<Option<u64>>,
}

impl Notices {
    pub fn new(rounds: Rc<Rounds>, hand: Rc<Hand>, link: Rc<Link>, gauges: &[String]) -> Notices {
        Notices {
            rounds,
            hand,
            link,
            cores_used: gauges.iter().position(|name| name == "core_use"),
            heard: Cell::new(0),
            joined: Cell::new(Instant::now()),
            parting: Cell::new(Instant::now()),
            up: Cell::new(None),
            unproved: Cell::new(None),
            unreadable: Cell::new(0),
            asked_again: Cell::new(None),
        }
    }

    /// Holds the link for good.
    pub async fn keep(&self, tasks: &LocalExecutor<'static>) {
        self.link.keep(tasks, executor::LONGEST_LINE, self).await;
    }

    /// `false` for a notice that was heard before. One whose number shows that others were missed ends the link, as
    /// does one that can't be read: the new link tells all from there. It is asked once, then it goes on without.
    fn is_new(&self, cursor: u64) -> Result<bool, ConnectionEnd> {
        if cursor > self.heard.get() + 1 {
            self.ask_again()?;
        }
        let new = cursor > self.heard.get();
        self.heard.set(self.heard.get().max(cursor));
        Ok(new)
    }

    fn ask_again(&self) -> Result<(), ConnectionEnd> {
        let heard = Some(self.heard.get());
        if self.asked_again.replace(heard) == heard { Ok(()) } else { Err(ConnectionEnd::Unreadable) }
    }

    fn welcome(&self, fate: &str, up_for: Span) {
        let before = self.up.replace(Some((Instant::now(), up_for)));
        tracing::info!(fate, up_for_ms = up_for.as_ms(), "the executor is there");
        self.rounds.begin();
        if let Some((heard, was_up)) = before {
            // One that was started since says so, and hasn't been up for as long as the one before it and the
            // time since together.
            let since = self.joined.get().saturating_duration_since(heard).saturating_sub(APART);
            if fate == "new" && up_for < was_up + Span::from_ms(since.as_secs_f64() * 1000.0) {
                tracing::warn!("the executor started anew: what ran there is over");
                self.hand.send_all(|| Turn::RunsOver);
                self.unproved.set(None);
            }
        }
        // With a link that ended commands may have been lost, also with one that ended before the executor was up.
        if self.unproved.get().is_some() {
            self.link.send(&executor::encode(&Command::Gauges { ticket: ALL_HEARD }));
        }
    }
}

impl LinkEnds for Notices {
    fn hello(&self) -> String {
        self.joined.set(Instant::now());
        executor::encode(&Command::Join { cursor: self.heard.get() })
    }

    fn parting(&self) -> String {
        self.parting.set(Instant::now());
        executor::encode(&Command::Gauges { ticket: PARTING })
    }

    fn ended(&self, end: ConnectionEnd) {
        if self.unproved.get().is_none() {
            self.unproved.set(Some(self.rounds.proved()));
        }
        if end != ConnectionEnd::Unreachable && end != ConnectionEnd::Moved {
            tracing::warn!(?end, "the executor link ended");
        }
    }

    fn line(&self, line: &[u8]) -> Result<(), ConnectionEnd> {
        let notice = match executor::decode(line) {
            Ok(notice) => notice,
            Err(error) => {
                self.unreadable.set(self.unreadable.get() + 1);
                if self.unreadable.get().is_power_of_two() {
                    tracing::warn!(error, count = self.unreadable.get(), "a notice can't be read");
                }
                return self.ask_again();
            }
        };
        match notice {
            Notice::Welcome { fate, up_for } => self.welcome(&fate, up_for),
            Notice::Ended { cursor, id, end, lasted, body } => {
                if self.is_new(cursor)? {
                    self.hand.send(&id, Turn::Ended { end, lasted, body });
                }
            }
            Notice::AtCall { cursor, id, body } => {
                if self.is_new(cursor)? {
                    self.hand.send(&id, Turn::AtCall { cursor, body });
                }
            }
            Notice::Gauges { ticket, .. } if ticket == ALL_HEARD => {
                if let Some(from) = self.unproved.take() {
                    self.hand.send_all(|| Turn::Relinked(from, self.joined.get()));
                }
            }
            Notice::Gauges { ticket, .. } if ticket == PARTING => {
                self.rounds.prove(self.parting.get());
                self.link.part();
            }
            Notice::Gauges { ticket, figures } => {
                let used = self.cores_used.and_then(|place| figures.get(place)).copied();
                self.rounds.gauges(&ticket, used.filter(|used| used.is_finite()));
            }
            Notice::NotDone { command, id } => {
                tracing::debug!(command, ?id, "a command was not carried out");
                if let Some(id) = id.filter(|_| command == "EXEC") {
                    self.hand.send(&id, Turn::NotDone);
                }
            }
            Notice::Remark { cursor, text } => {
                if self.is_new(cursor)? {
                    tracing::debug!(text, "the executor remarks");
                }
            }
            Notice::Unknown { event, cursor } => {
                cursor.map(|cursor| self.is_new(cursor)).transpose()?;
                tracing::debug!(event, "an unknown notice");
            }
        }
        Ok(())
    }
}
