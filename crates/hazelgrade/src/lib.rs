//! Decides, inside one server of a fleet, what it takes, runs and rejects.
//!
//! [`control::Controller`] holds all decisions; the other modules hold types and arithmetic only. See
//! `docs/design.md` for the mechanism and its exceptions.

pub mod chance;
pub mod control;
pub mod decay;
pub mod desk;
pub mod time;
