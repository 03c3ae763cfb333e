//! Wire formats of all peers: messages are decoded into typed values and encoded from them. Wire names appear in this
//! module only. The module performs no I/O.

pub mod database;
pub mod executor;
pub mod jsonrpc;
pub mod registry;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// A body in base64, as clients and the executor send it. Most bodies are forwarded without being decoded.
pub type Body = std::rc::Rc<str>;

/// Decodes a body; `None` if the body is not valid base64.
pub fn to_bytes(body: &str) -> Option<Vec<u8>> {
    STANDARD.decode(body).ok()
}

/// Encodes bytes as a body in base64.
pub fn from_bytes(bytes: &[u8]) -> Body {
    STANDARD.encode(bytes).into()
}

/// Returns whether `text` is valid base64 for at most `max_bytes` bytes, where `max_bytes` is at most 4096. Decodes
/// into a buffer on the stack instead of the heap.
pub fn is_body(text: &str, max_bytes: usize) -> bool {
    let mut scratch = [0; 4098];
    let capacity = scratch.len().min(max_bytes + 2);
    matches!(STANDARD.decode_slice(text, &mut scratch[..capacity]), Ok(length) if length <= max_bytes)
}
