//! The messages of each peer, decoded once into typed values and encoded once. Names on the wire appear here and
//! nowhere else. No I/O.

pub mod database;
pub mod executor;
pub mod jsonrpc;
pub mod registry;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// A body in base64, as clients and the executor send it; most are only passed on.
pub type Body = std::rc::Rc<str>;

/// The bytes of a body; `None` if it is not valid base64.
pub fn to_bytes(body: &str) -> Option<Vec<u8>> {
    STANDARD.decode(body).ok()
}

/// The body of these bytes.
pub fn from_bytes(bytes: &[u8]) -> Body {
    STANDARD.encode(bytes).into()
}

/// Whether `text` is base64 for at most `max_bytes` bytes (up to 4 KiB); allocates nothing.
pub fn is_body(text: &str, max_bytes: usize) -> bool {
    let mut scratch = [0; 4098];
    let room = scratch.len().min(max_bytes + 2);
    matches!(STANDARD.decode_slice(text, &mut scratch[..room]), Ok(length) if length <= max_bytes)
}
