//! The messages of each peer, decoded once into small typed values and encoded once. No input, no output.

pub mod database;
pub mod executor;
pub mod jsonrpc;
pub mod registry;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// A body in base64, as it travels; most only pass through.
pub type Body = std::rc::Rc<str>;

pub fn to_bytes(body: &str) -> Option<Vec<u8>> {
    STANDARD.decode(body).ok()
}

pub fn from_bytes(bytes: &[u8]) -> Body {
    STANDARD.encode(bytes).into()
}

/// Whether this is base64 for `most` bytes at most. Nothing is kept of what it stands for.
pub fn is_body(text: &str, most: usize) -> bool {
    let mut scratch = [0; 4098];
    let room = scratch.len().min(most + 2);
    matches!(STANDARD.decode_slice(text, &mut scratch[..room]), Ok(length) if length <= most)
}
