pub mod identity;
pub mod streaming;
