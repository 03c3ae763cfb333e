//! Wire format of client connections: JSON-RPC 2.0 with one message per line. Decodes the messages of clients and
//! encodes the answers.

mod error;
mod message;
mod request;
mod response;

pub use error::{
    InvalidField, Reason, RequestError, call_id_in_use, invalid_time, line_too_long, too_many_violations,
};
pub use request::{ClientMessage, JobRequest, MAX_LINE_BYTES, decode};
pub use response::{Answer, DRAINING, encode, encode_check, encode_error, encode_hello};
