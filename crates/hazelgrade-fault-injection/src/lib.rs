//! Starts many processes of the program, puts faults between them, and keeps one account of what happened, by which
//! checkers judge. For tests and campaigns; nothing here is part of the program. Everything stays on loopback.
//!
//! What decides is pure and apart from the processes: `lane` (what becomes of bytes on one way of an edge), `plan`
//! (which fault when, by what has happened), `history` (whether the rules were kept), `shrink` (the least plan that
//! still breaks them).

pub mod direction;
pub mod group;
pub mod history;
pub mod plan;
pub mod plan_run;
pub mod proxy;
pub mod shared_budget;
pub mod shrink;
pub mod subscriber_fleet;
