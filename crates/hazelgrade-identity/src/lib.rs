//! Who a caller is and what it may ask for. No input or output: time, tokens, addresses and documents come in.
//!
//! `set.rs` makes of an identity document the keys, callers and rights that are looked up; `token.rs` verifies; `book.rs`
//! remembers what was verified, within a bound; `desk.rs` puts them together and answers for each job; `doubt.rs` bounds
//! what bad signatures may cost; `audit.rs` counts refusals. `issue.rs` makes keys and tokens, for the operators' tool.

pub mod audit;
pub mod book;
pub mod certificate;
pub mod desk;
pub mod doubt;
pub mod handshakes;
pub mod issue;
pub mod set;
pub mod token;

pub use desk::Desk;
pub use set::{CallerId, Identity};
pub use token::Refused;
