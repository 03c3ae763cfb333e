//! Carries out operators' commands on budgets. Operators' tools read the results by their field names.

use super::LessorService;
use super::error::BudgetCommandError;
use crate::protocol::PublisherMessage;
use crate::publisher::ConnectionId;
use hazelgrade_budget::ownership::PeerStatus;
use hazelgrade_budget::protocol::OperatorCommand;
use serde_json::{Value, json};

impl LessorService {
    /// Carries out a command; returns the result for the operator.
    pub(crate) fn on_command(
        &self,
        command: &OperatorCommand,
        send: &mut impl FnMut(ConnectionId, &PublisherMessage),
    ) -> Result<Value, BudgetCommandError> {
        let now = self.now();
        let mut actions = Vec::new();
        let result = match command {
            OperatorCommand::Show => return Ok(self.status()),
            OperatorCommand::History => return Ok(self.history()),
            OperatorCommand::Move { id, to, budget, units } => {
                let free = self.lessor.borrow().free(now, budget);
                let mut ownership = self.ownership.borrow_mut();
                let moved = ownership.move_units(id, to, budget, *units, free, &mut actions);
                moved.map(|outcome| outcome.to_string()).map_err(|error| error.to_string())
            }
            OperatorCommand::Retire { id, site } => {
                let safe_to_retire_at = self.safe_to_retire_at(site);
                let retired =
                    self.ownership.borrow_mut().retire(id, now, site, safe_to_retire_at, &mut actions);
                retired.map(|outcome| outcome.to_string()).map_err(|error| error.to_string())
            }
            OperatorCommand::Open => {
                self.lessor.borrow_mut().reopen(now);
                self.ownership.borrow_mut().confirm_all();
                Ok("new grants begin when every lease is over that may have been given".to_owned())
            }
        };
        self.perform_ownership_actions(actions, send);
        if self.is_ledger_unsaved.get() {
            return Err(BudgetCommandError::NotStored);
        }
        result.map(Value::String).map_err(BudgetCommandError::Rejected)
    }

    /// Returns the recorded events, each as its age in milliseconds and its text.
    fn history(&self) -> Value {
        let now = self.now();
        let lessor = self.lessor.borrow();
        let entries = lessor.history().map(|entry| json!([now.since(entry.at).as_ms(), entry.text]));
        Value::Array(entries.collect())
    }

    /// Returns the state of the budgets, of their leases and of the other sites.
    fn status(&self) -> Value {
        let now = self.now();
        let lessor = self.lessor.borrow();
        let ownership = self.ownership.borrow();
        let sites = ownership.peers().map(|PeerStatus { site, last_report }| {
            json!({
                "site": site,
                "heard_ms_ago": last_report.map(|at| now.since(at).as_ms()),
                "safe_in_ms": self.safe_to_retire_at(site).since(now).as_ms(),
                "lost": ownership.ledger().retired.get(site).is_some_and(|retired| !retired.readmitted),
            })
        });
        json!({
            "site": lessor.site(),
            "generation": lessor.generation(),
            "held_up": lessor.grants_blocked(now),
            "budgets": lessor.report(now),
            "sites": sites.collect::<Vec<Value>>(),
        })
    }
}
