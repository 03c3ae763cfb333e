//! Errors of a policy.

/// An error in an identity document that the document's own checks don't find, with its field.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// A coordinate of a public key does not have the right length or encoding.
    #[error("field key.{key_id}.{field}: expected 32 bytes in base64url")]
    Coordinate {
        /// The key's id.
        key_id: String,
        /// `x` or `y`.
        field: &'static str,
    },
    /// The coordinates are not those of a public key.
    #[error("field key.{key_id}.x: {source}")]
    PublicKey {
        /// The key's id.
        key_id: String,
        /// The error of the cryptographic library.
        source: jsonwebtoken::errors::Error,
    },
    /// Two callers have the same certificate name.
    #[error("field caller.{caller}.certificates: {certificate} names another caller too")]
    AmbiguousCertificate {
        /// The second caller.
        caller: String,
        /// The name in the certificate.
        certificate: String,
    },
}

/// No key of a policy verifies tokens at the time at which the policy is to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no key of the set is valid now: nobody could be let in")]
pub struct NoValidKey;
