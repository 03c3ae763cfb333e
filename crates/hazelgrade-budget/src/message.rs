//! What holders and keepers say to each other. Each message may come late, twice or never.

use crate::Units;
use crate::parts::Retired;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lines in a message: one for each budget, and a node is bound by no more than these.
pub const MOST_LINES: usize = 64;

/// From a holder. It takes only the answer to its latest ask, so that what it holds is known as soon as a later one comes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    pub holder: String,
    /// Drawn when the process starts: two processes under one name are two holders.
    pub run: u64,
    /// Grows with each ask of this run.
    pub count: u64,
    /// The latest ask whose answer was taken.
    pub taken: u64,
    /// The keeper whose grant it took last, and which start of it.
    pub known: Option<(String, u64)>,
    /// It wants nothing any more and gives back what is free.
    pub leaving: bool,
    pub of: Vec<Line>,
}

/// What a holder has of one budget, beyond what it may use without a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub budget: String,
    /// What it may use, or what it has in hand if that is more.
    pub holds: Units,
    /// In hand now.
    pub used: Units,
    /// Used, and rejected for want of more.
    pub wants: Units,
    /// What it uses without any keeper.
    pub alone: Units,
}

/// From a keeper, as the answer to an ask.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    pub keeper: String,
    /// Grows with each start of the keeper.
    pub generation: u64,
    /// The ask that this answers.
    pub count: u64,
    /// The holder is to ask again at latest after this.
    pub again_ms: f64,
    pub of: Vec<Given>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Given {
    pub budget: String,
    pub units: Units,
    /// Counted by the holder from when it asked.
    pub lease_ms: f64,
    /// What is begun under this lease must be over so long after.
    pub longest_use_ms: f64,
    /// Where it is short: about when more may come.
    pub more_in_ms: Option<f64>,
}

/// An operator's word to a keeper. Those that change something have an id and are carried out once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// Who holds what, and since when.
    Show,
    History,
    Move {
        id: String,
        to: String,
        budget: String,
        units: Units,
    },
    /// A site is lost for good.
    Retire {
        id: String,
        site: String,
    },
    /// What closed the keeper has been seen to.
    Open,
}

/// Between the keepers of two sites: totals that only grow, so that it may come in any order and any number of times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Parts {
    pub from: String,
    pub to: String,
    pub generation: u64,
    /// The start of the other that this one heard last.
    pub known: u64,
    /// The digest of the document that this one goes by, and whether what it holds is within it.
    pub version: String,
    pub settled: bool,
    pub of: Vec<Moved>,
    /// How often this site gave up all it owned, as it was declared lost.
    pub gave_up: u64,
    /// Sites that were declared lost.
    pub retired: BTreeMap<String, Retired>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moved {
    pub budget: String,
    /// All that was ever sent to the other.
    pub sent: u64,
    /// All that ever came from it.
    pub seen: u64,
    /// What is wanted here beyond what is owned.
    pub short: Units,
    /// What is to come back: what this site lent out of its part and wants now, or lacks as its part was made smaller.
    pub recalls: Units,
}
