//! The reasons for which a caller is denied.

use std::fmt::{Display, Formatter};

/// Why a token, a certificate or a job is denied.
///
/// The order of the variants is the order of the reasons in the audit log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DenyReason {
    /// Neither a token nor a certificate names the caller.
    NoCredentials,
    /// The token can't be parsed.
    MalformedToken,
    /// The policy has no key with the token's key id.
    UnknownKey,
    /// The key is not active yet, or its validity is over.
    KeyNotValid,
    /// The token names another algorithm than its key's.
    AlgorithmMismatch,
    /// The signature is wrong.
    BadSignature,
    /// The token is meant for another audience.
    WrongAudience,
    /// The token or the certificate has expired.
    Expired,
    /// The token is not valid yet, or issued in the future.
    NotYetValid,
    /// The token's lifetime is longer than the policy allows.
    LifetimeTooLong,
    /// The policy has no such caller.
    UnknownCaller,
    /// The key, the caller, the token or the certificate was revoked.
    Revoked,
    /// The caller may not connect from this network.
    NetworkNotAllowed,
    /// The caller may not request this job class.
    JobClassNotAllowed,
    /// The caller may not request jobs for this tenant.
    TenantNotAllowed,
    /// The source sent too many bad tokens recently, so this one was not verified.
    SourcePenalized,
}

impl DenyReason {
    /// Every reason, in order.
    pub const ALL: [DenyReason; 16] = [
        DenyReason::NoCredentials,
        DenyReason::MalformedToken,
        DenyReason::UnknownKey,
        DenyReason::KeyNotValid,
        DenyReason::AlgorithmMismatch,
        DenyReason::BadSignature,
        DenyReason::WrongAudience,
        DenyReason::Expired,
        DenyReason::NotYetValid,
        DenyReason::LifetimeTooLong,
        DenyReason::UnknownCaller,
        DenyReason::Revoked,
        DenyReason::NetworkNotAllowed,
        DenyReason::JobClassNotAllowed,
        DenyReason::TenantNotAllowed,
        DenyReason::SourcePenalized,
    ];

    /// Whether the policy's keys and callers may be the cause: many such denials suggest that the policy is wrong.
    pub fn suggests_wrong_policy(self) -> bool {
        matches!(
            self,
            DenyReason::UnknownKey
                | DenyReason::KeyNotValid
                | DenyReason::BadSignature
                | DenyReason::UnknownCaller
        )
    }

    /// Whether the token may be valid under a key set that this node has not received yet. Such a denial costs no check
    /// of a signature, unless a known key signed the token outside its time.
    pub fn suggests_late_key_set(self) -> bool {
        matches!(self, DenyReason::UnknownKey | DenyReason::KeyNotValid)
    }

    /// The text for callers and the log; it contains nothing from the token.
    pub fn message(self) -> &'static str {
        match self {
            DenyReason::NoCredentials => "no token or certificate names the caller",
            DenyReason::MalformedToken => "the token can't be read",
            DenyReason::UnknownKey => "no key of that id is known",
            DenyReason::KeyNotValid => "the key is not valid now",
            DenyReason::AlgorithmMismatch => "the token's algorithm is not its key's",
            DenyReason::BadSignature => "the signature is wrong",
            DenyReason::WrongAudience => "the token is for another audience",
            DenyReason::Expired => "the token has expired",
            DenyReason::NotYetValid => "the token is not valid yet",
            DenyReason::LifetimeTooLong => "the token lives for too long",
            DenyReason::UnknownCaller => "the caller is not known",
            DenyReason::Revoked => "revoked",
            DenyReason::NetworkNotAllowed => "not from this network",
            DenyReason::JobClassNotAllowed => "the caller may not ask for this use case",
            DenyReason::TenantNotAllowed => "the caller may not ask for this customer",
            DenyReason::SourcePenalized => "too many bad tokens came from there",
        }
    }
}

impl Display for DenyReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.message())
    }
}

impl std::error::Error for DenyReason {}
