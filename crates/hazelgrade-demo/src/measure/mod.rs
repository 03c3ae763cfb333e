pub mod streaming;
