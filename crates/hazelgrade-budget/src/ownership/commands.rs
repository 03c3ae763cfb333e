//! Operators' commands on the units that a site owns. Each command has an id and is carried out once.

use super::{Action, Ownership};
use crate::Units;
use hazelgrade::time::{Span, Time};
use std::collections::BTreeMap;
use std::fmt;

/// Limit of the ids of completed commands that are kept.
const MAX_COMPLETED_COMMANDS: usize = 256;

/// Result of a command that was carried out or had been carried out before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// A command with this id had been carried out before.
    AlreadyDone {
        /// Id of the command.
        id: String,
    },
    /// Units were sent to another site.
    Sent {
        /// Number of units.
        units: Units,
        /// Name of the budget.
        budget: String,
        /// Name of the receiving site.
        to: String,
    },
    /// The site had already been declared lost.
    AlreadyRetired {
        /// The lost site.
        site: String,
    },
    /// The site has been declared lost.
    Retired {
        /// The lost site.
        site: String,
        /// Units that were taken over from the lost site; `None` while other sites have yet to report their transfers
        /// with the lost site.
        taken_over: Option<TakenOver>,
    },
}

/// Units that were taken over from a lost site, by budget name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenOver(pub BTreeMap<String, Units>);

impl fmt::Display for TakenOver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&units_by_budget(&self.0))
    }
}

impl fmt::Display for CommandOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandOutcome::AlreadyDone { id } => write!(f, "{id} was done before"),
            CommandOutcome::Sent { units, budget, to } => {
                write!(f, "{units} of {budget} are on their way to {to}")
            }
            CommandOutcome::AlreadyRetired { site } => write!(f, "{site} was declared lost before"),
            CommandOutcome::Retired { site, taken_over: Some(taken_over) } => {
                write!(f, "{site} is declared lost: {taken_over} are owned here now")
            }
            CommandOutcome::Retired { site, taken_over: None } => {
                write!(f, "{site} is declared lost; what it owned comes here when all other sites have heard")
            }
        }
    }
}

/// Why a command was not carried out. A command that fails changes nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The document in effect has no budget of this name.
    #[error("there is no budget {budget}")]
    UnknownBudget {
        /// The name that was given.
        budget: String,
    },
    /// Units can't be moved to this site, because it is unknown, this site itself, or declared lost.
    #[error("{site} is no other site of this budget")]
    InvalidReceiver {
        /// The name that was given.
        site: String,
    },
    /// The command asks to move more units than are free.
    #[error("{units} of {budget} are not free here: {free} are")]
    InsufficientFreeUnits {
        /// Units that the command asks to move.
        units: Units,
        /// Name of the budget.
        budget: String,
        /// Units that are free.
        free: Units,
    },
    /// No other site has this name.
    #[error("{site} is no other site")]
    UnknownSite {
        /// The name that was given.
        site: String,
    },
    /// Units that the site granted may still be in use.
    #[error("what {site} granted may be in use for {} ms more: say it again then", .wait.as_ms().ceil())]
    TooEarly {
        /// Name of the site that the command asks to retire.
        site: String,
        /// Time until the site may be retired.
        wait: Span,
    },
}

/// Formats units by budget for operators: `3 of calls, 2 of retries`.
pub(super) fn units_by_budget(units: &BTreeMap<String, Units>) -> String {
    let parts: Vec<String> = units.iter().map(|(budget, units)| format!("{units} of {budget}")).collect();
    parts.join(", ")
}

impl Ownership {
    fn is_completed(&self, id: &str) -> bool {
        self.ledger.completed_commands.iter().any(|completed| completed == id)
    }

    /// Records the id of a command that was carried out; the oldest id is dropped beyond [`MAX_COMPLETED_COMMANDS`].
    fn record_completed(&mut self, id: &str) {
        self.ledger.completed_commands.push(id.to_owned());
        if self.ledger.completed_commands.len() > MAX_COMPLETED_COMMANDS {
            self.ledger.completed_commands.remove(0);
        }
    }

    /// Moves units to another site, at most `free` ones. If a command with this id was carried out before, nothing
    /// changes.
    ///
    /// # Errors
    /// The budget or the site is unknown, or the units are not free.
    pub fn move_units(
        &mut self,
        id: &str,
        to: &str,
        budget: &str,
        units: Units,
        free: Units,
        actions: &mut Vec<Action>,
    ) -> Result<CommandOutcome, CommandError> {
        if self.is_completed(id) {
            return Ok(CommandOutcome::AlreadyDone { id: id.to_owned() });
        }
        if !self.terms.contains_key(budget) {
            return Err(CommandError::UnknownBudget { budget: budget.to_owned() });
        }
        if !self.peers.contains_key(to) || self.ledger.is_retired(to) {
            return Err(CommandError::InvalidReceiver { site: to.to_owned() });
        }
        if units > free {
            return Err(CommandError::InsufficientFreeUnits { units, budget: budget.to_owned(), free });
        }
        self.record_completed(id);
        self.debit(to, budget, units, actions);
        Ok(CommandOutcome::Sent { units, budget: budget.to_owned(), to: to.to_owned() })
    }

    /// Returns the earliest time at which no unit that `site` granted can be in use, provided that the site stopped
    /// right after its last report; `None` if the site has never reported. `max_grant_time` is the longest time for
    /// which a grant may be used.
    pub fn safe_to_retire_at(&self, site: &str, max_grant_time: Span) -> Option<Time> {
        let last_report = self.peers.get(site).and_then(|peer| peer.last_report);
        last_report.map(|at| at + max_grant_time)
    }

    /// Declares a site lost for good. This site takes over the units that the lost site owned, once all other sites
    /// have reported their transfers with the lost site.
    ///
    /// # Errors
    /// The site is unknown, or `now` is before `safe_at`.
    pub fn retire(
        &mut self,
        id: &str,
        now: Time,
        site: &str,
        safe_at: Time,
        actions: &mut Vec<Action>,
    ) -> Result<CommandOutcome, CommandError> {
        if self.ledger.is_retired(site) {
            return Ok(CommandOutcome::AlreadyRetired { site: site.to_owned() });
        }
        // The earlier command with this id may have been a different one, so the outcome must not claim that the site
        // is lost.
        if self.is_completed(id) {
            return Ok(CommandOutcome::AlreadyDone { id: id.to_owned() });
        }
        if !self.peers.contains_key(site) {
            return Err(CommandError::UnknownSite { site: site.to_owned() });
        }
        if now < safe_at {
            return Err(CommandError::TooEarly { site: site.to_owned(), wait: safe_at.since(now) });
        }
        let times = self.ledger.retired.get(site).map_or(1, |before| before.times + 1);
        let successor = self.site.clone();
        self.declare_lost(site, times, &successor);
        self.record_completed(id);
        actions.push(Action::Store(self.ledger.clone()));
        actions.push(Action::Log(format!("site {site} was declared lost by an operator")));
        self.take_over(actions);
        let taken_over = self.ledger.retired.get(site).and_then(|retired| retired.taken_over.clone());
        Ok(CommandOutcome::Retired { site: site.to_owned(), taken_over: taken_over.map(TakenOver) })
    }
}
