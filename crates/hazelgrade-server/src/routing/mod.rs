//! Between the sockets and the module: the life of a job, the rounds, who has what in hand.

pub mod budgets;
pub mod callers;
pub mod calls;
pub mod clock;
pub mod front;
pub mod hand;
pub mod job;
pub mod notices;
pub mod outcome;
pub mod result_cache;
pub mod rounds;
