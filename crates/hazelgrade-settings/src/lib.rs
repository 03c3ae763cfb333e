//! Decodes the settings object that every instance is started with, once for all hosts: into a controller, and into
//! what the host itself goes by. [`slots`] assigns the controller's slots to names when job classes and tenants come
//! and go.
#![warn(missing_docs)]

pub mod slots;

mod decode;
mod error;
mod host;
mod section;

pub use decode::{DecodedSettings, decode};
pub use error::SettingsError;
pub use host::{HostSettings, JobClassEntry};
