//! The messages between a control service and its subscribers: JSON-RPC 2.0, one message a line.
//!
//! The meaning is that of the xDS transport protocol: a subscriber says which version it has, an offer carries a
//! nonce, and the answer to that nonce either acknowledges the version or rejects it with a reason; a node that
//! rejects stays with the version it had.
//!
//! Names and values on the wire are fixed by the programs in service. The encoder and the decoder map them to the
//! names used here; nothing else knows them.

mod decode;
mod encode;
mod limits;
mod message;
mod rejection;

pub use decode::DecodeError;
pub use limits::{MAX_LINE_BYTES, MAX_SUBSCRIBER_LINE_BYTES};
pub use message::{Content, Offer, PublisherMessage, SubscriberMessage};
pub use rejection::Rejection;
