//! Operators' commands on budgets. The names in their results are read by operators' tools.

use super::LessorService;
use super::error::BudgetCommandError;
use crate::protocol::PublisherMessage;
use crate::publisher::ConnectionId;
use hazelgrade_budget::message::Word;
use serde_json::{Value, json};

impl LessorService {
    /// Carries out a command; gives what to tell the operator.
    pub(crate) fn on_command(
        &self,
        command: &Word,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) -> Result<Value, BudgetCommandError> {
        let now = self.now();
        let mut actions = Vec::new();
        let result = match command {
            Word::Show => return Ok(self.status()),
            Word::History => return Ok(self.history()),
            Word::Move { id, to, budget, units } => {
                let free = self.lessor.borrow().free(now, budget);
                self.owner.borrow_mut().moves(id, (to, budget, *units), free, &mut actions)
            }
            Word::Retire { id, site } => {
                let safe_from = self.safe_from(site);
                self.owner.borrow_mut().retire(id, now, site, safe_from, &mut actions)
            }
            Word::Open => {
                self.lessor.borrow_mut().open(now);
                self.owner.borrow_mut().vouch();
                Ok("new grants begin when every lease is over that may have been given".to_owned())
            }
        };
        self.perform_owner_actions(actions, send);
        if self.is_ledger_unsaved.get() {
            return Err(BudgetCommandError::NotStored);
        }
        result.map(Value::String).map_err(|reason| BudgetCommandError::Rejected(reason.to_string()))
    }

    /// What happened, each with the milliseconds since.
    fn history(&self) -> Value {
        let now = self.now();
        let lessor = self.lessor.borrow();
        let entries = lessor.history().map(|(at, text)| json!([now.since(*at).as_ms(), text]));
        Value::Array(entries.collect())
    }

    /// Which lease holder has how much of each budget, and how the other sites are.
    fn status(&self) -> Value {
        let (lessor, owner, now) = (self.lessor.borrow(), self.owner.borrow(), self.now());
        let sites = owner.peers().map(|(site, last_report)| {
            json!({
                "site": site,
                "heard_ms_ago": last_report.map(|at| now.since(at).as_ms()),
                "safe_in_ms": self.safe_from(site).since(now).as_ms(),
                "lost": owner.ledger().retired.get(site).is_some_and(|retired| !retired.back),
            })
        });
        json!({
            "site": lessor.site(),
            "generation": lessor.generation(),
            "held_up": lessor.held_up(now),
            "budgets": lessor.figures(now),
            "sites": sites.collect::<Vec<Value>>(),
        })
    }
}
