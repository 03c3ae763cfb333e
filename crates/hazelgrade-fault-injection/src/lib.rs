//! Starts many processes of the program, puts faults between them, and keeps one account of what happened, by which
//! checkers judge. For tests and campaigns; nothing here is part of the program. Everything stays on loopback.
//!
//! What decides is pure and apart from the processes: `lane` (what becomes of bytes on one way of an edge), `plan`
//! (which fault when, by what has happened), `account` (whether the rules were kept), `shrink` (the least plan that
//! still breaks them).

pub mod account;
pub mod edge;
pub mod group;
pub mod lane;
pub mod light;
pub mod plan;
pub mod play;
pub mod shared;
pub mod shrink;
