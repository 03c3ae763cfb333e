//! The messages between a control service and its subscribers: JSON-RPC 2.0, one message a line.
//!
//! It works like the xDS transport protocol: a subscriber reports which version it has, an offer carries a nonce, and
//! the answer to that nonce either acknowledges the version or rejects it with a reason; a node that rejects stays with
//! the version it had.
//!
//! Names and values on the wire are fixed, as programs in service use them. Only the encoder and the decoder use
//! them; they map them to the names used here.

mod decode;
mod encode;
mod limits;
mod message;
mod rejection;

pub use decode::DecodeError;
pub use limits::{MAX_LINE_BYTES, MAX_SUBSCRIBER_LINE_BYTES};
pub use message::{Content, Offer, PublisherMessage, SubscriberMessage};
pub use rejection::Rejection;
