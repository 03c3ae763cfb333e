//! Operators' commands on what a site owns. Each has an id and is carried out once.

use super::{Action, Ownership};
use crate::Units;
use hazelgrade::time::{Span, Time};
use std::collections::BTreeMap;
use std::fmt;

/// The most command ids that are remembered.
const MAX_COMPLETED_COMMANDS: usize = 256;

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// A command with this id was carried out before.
    AlreadyDone {
        /// Id of the command.
        id: String,
    },
    /// Units were sent to another site.
    Sent {
        /// How many units.
        units: Units,
        /// Name of the budget.
        budget: String,
        /// The other site.
        to: String,
    },
    /// The site had been declared lost before.
    AlreadyRetired {
        /// The lost site.
        site: String,
    },
    /// The site is declared lost.
    Retired {
        /// The lost site.
        site: String,
        /// What was taken over from it; nothing yet while other sites have not reported their transfers with it.
        taken_over: Option<TakenOver>,
    },
}

/// Units that were taken over, by budget.
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

/// Why a command was not carried out. Nothing was changed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The document in effect has no such budget.
    #[error("there is no budget {budget}")]
    UnknownBudget {
        /// The name that was given.
        budget: String,
    },
    /// Units can't be moved to this site.
    #[error("{site} is no other site of this budget")]
    NotAReceiver {
        /// The name that was given.
        site: String,
    },
    /// More units were to be moved than are free.
    #[error("{units} of {budget} are not free here: {free} are")]
    NotFree {
        /// Units that were to be moved.
        units: Units,
        /// Name of the budget.
        budget: String,
        /// Units that are free.
        free: Units,
    },
    /// There is no such other site.
    #[error("{site} is no other site")]
    UnknownSite {
        /// The name that was given.
        site: String,
    },
    /// Grants of the site may still be in use.
    #[error("what {site} granted may be in use for {} ms more: say it again then", .wait.as_ms().ceil())]
    TooEarly {
        /// The site that was to be retired.
        site: String,
        /// Time until it may be retired.
        wait: Span,
    },
}

/// `3 of calls, 2 of retries`.
pub(super) fn units_by_budget(units: &BTreeMap<String, Units>) -> String {
    let shown: Vec<String> = units.iter().map(|(budget, units)| format!("{units} of {budget}")).collect();
    shown.join(", ")
}

impl Ownership {
    fn is_completed(&self, id: &str) -> bool {
        self.ledger.completed_commands.iter().any(|completed| completed == id)
    }

    /// Remembers that a command was carried out.
    fn complete(&mut self, id: &str) {
        self.ledger.completed_commands.push(id.to_owned());
        if self.ledger.completed_commands.len() > MAX_COMPLETED_COMMANDS {
            self.ledger.completed_commands.remove(0);
        }
    }

    /// Moves units to another site, at most `free`. With an id that was carried out before nothing changes.
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
            return Err(CommandError::NotAReceiver { site: to.to_owned() });
        }
        if units > free {
            return Err(CommandError::NotFree { units, budget: budget.to_owned(), free });
        }
        self.complete(id);
        self.debit(to, budget, units, actions);
        Ok(CommandOutcome::Sent { units, budget: budget.to_owned(), to: to.to_owned() })
    }

    /// The earliest time at which nothing that a site granted can be in use, if it stopped right after its last report;
    /// `max_grant_time` is the longest time for which a grant may be used. `None` if it never reported.
    pub fn safe_to_retire_at(&self, site: &str, max_grant_time: Span) -> Option<Time> {
        let last_report = self.peers.get(site).and_then(|peer| peer.last_report);
        last_report.map(|at| at + max_grant_time)
    }

    /// Declares a site lost for good; what it owned is owned here once all other sites reported their transfers
    /// with it.
    ///
    /// # Errors
    /// The site is unknown, or it is earlier than `safe_at`.
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
        // It may have been about something else: that is no reason to say that this site is declared lost.
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
        self.complete(id);
        actions.push(Action::Store(self.ledger.clone()));
        actions.push(Action::Log(format!("{site} is declared lost")));
        self.take_over(actions);
        let taken_over = self.ledger.retired.get(site).and_then(|retired| retired.taken_over.clone());
        Ok(CommandOutcome::Retired { site: site.to_owned(), taken_over: taken_over.map(TakenOver) })
    }
}
