//! Budgets that all nodes share: the node's side on the stream, and the operator's words to a keeper.

use super::configuration::Deployment;
use super::documents;
use super::streaming::Kit;
use crate::routing::budgets::Seat;
use crate::routing::job::Parts;
use crate::routing::rounds::Event;
use futures_lite::future::{BoxedLocal, FutureExt};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Time;
use hazelgrade_budget::holder::Holder;
use hazelgrade_budget::terms;
use hazelgrade_config::operator::{BudgetConfig, StreamConfig};
use hazelgrade_config::{Document, Kind};
use hazelgrade_net::bell::Bell;
use hazelgrade_store::Store;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::follow::{Follow, Host};
use hazelgrade_stream::kept::{self, Kept};
use hazelgrade_stream::protocol::{Published, Said};
use hazelgrade_stream::subscriber::{Action, Start, Subscriber};
use hazelgrade_stream::trial::Sample;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::SystemTime;

pub type Following = (Follow<Node>, Subscriber, Vec<Action>);

/// Switches budgets on. Until a keeper grants some, calls below are bounded by what the node may use alone.
pub fn start(
    budgeted: &BudgetConfig,
    streamed: &StreamConfig,
    kit: &Kit,
    deployment: &Deployment,
    parts: &Rc<Parts>,
    rate: f64,
) -> Result<Following, String> {
    let file = budgeted.document.as_deref().map(|path| documents::read(Kind::Budgets, path)).transpose()?;
    // Two processes under one name are two holders, so it can't be made from the name or the seed.
    let run = RandomState::new().hash_one((SystemTime::now(), std::process::id()));
    let start = Time::from_ms(0.0);
    let holder = Holder::new(start, &deployment.name, run, &budgeted.standalone, MultiplyWithCarry::new(run));
    let linger = parts.site.borrow().linger;
    let seat = Rc::new(Seat::new(holder, budgeted.call_budget.clone(), linger, rate));
    seat.bind(&BTreeMap::new());
    parts.rounds.by_budgets(seat.clone());
    let store = kit.store.clone();
    let kept = store.as_ref().ok().and_then(|store| {
        let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
        store.get(kept::name(Kind::Budgets)).ok().flatten()
    });
    let kept = match kept.as_deref().map(|kept| Kept::decode(Kind::Budgets, kept)).transpose() {
        Ok(kept) => kept.unwrap_or_default(),
        Err(why) => {
            tracing::error!(why, "the budgets that were kept can't be read");
            Kept::default()
        }
    };
    let start = Start {
        kind: Kind::Budgets,
        node: deployment.name.clone(),
        program: env!("CARGO_PKG_VERSION").into(),
        lineage: streamed.lineage.clone(),
        rules: budgeted.trial,
        controls: streamed.control_services.len(),
        chance: MultiplyWithCarry::new(deployment.seed.rotate_left(8)),
        backoff: Backoff::default(),
        kept,
        file,
    };
    let mut first = Vec::new();
    let subscriber = Subscriber::start(parts.rounds.clock.now(), start, &mut first);
    let host = Rc::new(Node { parts: parts.clone(), seat, store, told: Cell::default() });
    let (controls, tasks) = (streamed.control_services.clone(), Rc::default());
    Ok((Follow { host, controls, tasks, leaving: Rc::new(Bell::default()) }, subscriber, first))
}

/// What budgets reach of a node.
pub struct Node {
    parts: Rc<Parts>,
    seat: Rc<Seat>,
    store: Result<Arc<Mutex<Store>>, String>,
    told: Cell<(u64, u64)>,
}

impl Node {
    /// The module goes by what is allowed now.
    fn allow(&self) {
        let rounds = &self.parts.rounds;
        if let Some(allowance) = self.seat.allowance(rounds.clock.now()) {
            rounds.tell(Event::Allowed(allowance));
        }
    }
}

impl Host for Node {
    fn now(&self) -> Time {
        self.parts.rounds.clock.now()
    }

    fn keep(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        let store = self.store.clone();
        async move {
            let store = store?;
            blocking::unblock(move || {
                let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
                let kept = store.commit(&[(kept::name(Kind::Budgets), Some(&bytes))]);
                kept.map_err(|fault| fault.to_string())
            })
            .await
        }
        .boxed_local()
    }

    fn take_effect(&self, document: Option<&Document>, _back: bool) -> Result<(), String> {
        self.seat.bind(&document.map(terms::read).unwrap_or_default());
        self.allow();
        Ok(())
    }

    fn sample(&self) -> Sample {
        let tally = *self.parts.tally.borrow();
        let answered = tally.succeeded + tally.rejected + tally.failed;
        let (answered_before, satisfied_before) = self.told.replace((answered, tally.succeeded));
        Sample {
            answered: answered.saturating_sub(answered_before) as f64,
            succeeded: tally.succeeded.saturating_sub(satisfied_before) as f64,
            linked: self.parts.link.is_up(),
        }
    }

    fn say(&self) -> Option<Said> {
        let ask = self.seat.ask()?;
        // Whoever leaves has given up something by saying so.
        if ask.leaving {
            self.allow();
        }
        Some(Said::Ask(ask))
    }

    fn says_at(&self) -> Option<Time> {
        Some(self.seat.asks_at(self.parts.rounds.clock.now()))
    }

    fn stirred(&self) -> BoxedLocal<()> {
        let seat = self.seat.clone();
        async move { seat.stirred().await }.boxed_local()
    }

    fn connected(&self) {
        self.seat.connected();
    }

    fn heard(&self, published: &Published) {
        match published {
            Published::Grant(grant) => {
                if self.seat.granted(grant) {
                    self.allow();
                } else {
                    tracing::debug!(count = grant.count, "an answer about budgets that is not the latest");
                }
            }
            Published::Nudge => self.seat.nudged(),
            _ => {}
        }
    }
}
