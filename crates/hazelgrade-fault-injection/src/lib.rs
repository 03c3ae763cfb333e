//! Starts many processes of the program, injects faults between them, and keeps one history of what happened, by which
//! the rules are checked. For tests and campaigns; nothing here is part of the program. Everything stays on loopback.
//!
//! What decides is pure and apart from the processes: [`direction`] (what becomes of bytes in one direction of a link),
//! [`plan`] (which fault when, by what has happened), [`history`] (whether the rules were kept), [`shrink`] (the smallest
//! plan that still breaks them).

#![warn(missing_docs)]

/// One direction of a proxied link, as a state machine.
pub mod direction;
mod draw;
mod draw_soak;
/// A group of nodes as processes, with a proxy on each link.
pub mod group;
/// What happened to a group, and the checks of the rules.
pub mod history;
/// Fault plans.
pub mod plan;
/// Runs a fault plan on a group.
pub mod plan_run;
/// Proxies that hold, delay, reset or refuse what passes them.
pub mod proxy;
/// A budget of calls that the nodes of a group share.
pub mod shared_budget;
/// Reduces a fault plan that fails.
pub mod shrink;
/// Many subscribers in one process.
pub mod subscriber_fleet;
