//! JSON-RPC 2.0, one message a line: what clients send, and what they are answered.

mod error;
mod request;
mod response;

pub use error::{
    InvalidField, Reason, RequestError, call_id_in_use, invalid_time, line_too_long, too_many_violations,
};
pub use request::{ClientMessage, JobRequest, LONGEST_LINE, decode};
pub use response::{Answer, DRAINING, encode, encode_check, encode_error, encode_hello};
