//! Who a caller is and which jobs it may request.
//!
//! The crate does no input or output: time, tokens, addresses and documents come in as parameters.
//!
//! [`AccessPolicy`] is an identity document prepared for lookups: keys, callers, rights and revocations. [`token`]
//! verifies a signed token under a policy. [`Authenticator`] puts both together for a serving node: it verifies each
//! token once, caches the result and authorizes every job under the policy in effect. [`signer`] makes keys and tokens,
//! for the operators' tool and for tests.

#![warn(missing_docs)]

pub mod audit;
pub mod authenticator;
mod caller_rates;
mod caller_rights;
pub mod certificate;
mod deny_reason;
pub mod handshake_limiter;
mod key;
pub mod policy;
mod policy_error;
pub mod signer;
mod source_penalty;
pub mod token;
mod token_cache;

pub use authenticator::{Authenticator, Authorization, Credentials};
pub use caller_rights::CallerId;
pub use certificate::ClientCertificate;
pub use deny_reason::DenyReason;
pub use policy::AccessPolicy;
