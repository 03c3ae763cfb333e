//! Decodes the settings object that every instance is started with, for all kinds of hosts: into a controller and the
//! host's own settings. [`slots`] assigns the controller's slots to names when job classes and tenants are added and
//! removed.
#![warn(missing_docs)]

pub mod slots;

mod decode;
mod error;
mod host;
mod section;

pub use decode::{DecodedSettings, decode};
pub use error::SettingsError;
pub use host::{HostSettings, JobClassEntry, JobClassSlot};
