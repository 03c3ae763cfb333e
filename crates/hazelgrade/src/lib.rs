//! Decides, inside one server of a fleet, what it takes, runs and rejects.
//!
//! [`control::Controller`] holds all decisions; the other modules hold types and arithmetic only. See
//! `docs/design.md` for the mechanism and its exceptions.

pub mod api;
pub mod controller;
pub mod random;
pub mod statistics;
pub mod time;
