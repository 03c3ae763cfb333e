//! The messages between a control service and its subscribers: JSON-RPC 2.0, one message per line.
//!
//! The protocol follows the xDS transport protocol. A subscriber reports the version that it has in effect, and an
//! offer contains a nonce. The answer with that nonce either acknowledges the version or rejects it with a reason. A
//! node that rejects a version keeps the configuration that is in effect.
//!
//! Names and values on the wire are fixed, because programs in service use them. Only the encoder and the decoder
//! contain these names, and map them to the names of the types in this module.

mod decode;
mod encode;
mod limits;
mod message;
mod rejection;

pub use decode::DecodeError;
pub use limits::{MAX_LINE_BYTES, MAX_SUBSCRIBER_LINE_BYTES};
pub use message::{Content, Offer, PublisherMessage, SubscriberMessage};
pub use rejection::Rejection;
