//! Signed tokens: JWT (RFC 7519), verified with the key of the policy that the token's `kid` names. The algorithm is
//! always the key's, never the one that the token states.

use crate::caller_rights::CallerId;
use crate::deny_reason::DenyReason;
use crate::key::{KeyState, VerificationKey};
use crate::policy::AccessPolicy;
use hazelgrade::time::Time;
use jsonwebtoken::Validation;
use jsonwebtoken::errors::ErrorKind;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// The longest token, in bytes; a usual header, claims and signature take a quarter of it.
pub const MAX_TOKEN_BYTES: usize = 2048;

/// Times in a token must be below this, in seconds since 1970.
const MAX_TIME_S: f64 = 1e11;

/// The claims of a token, by their names in RFC 7519; times in seconds since 1970.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claims {
    /// Subject: the caller's name.
    pub sub: String,
    /// Audience: who the token is meant for.
    pub aud: String,
    /// When the token expires.
    pub exp: f64,
    /// When the token was issued.
    pub iat: f64,
    /// The token is not valid before this time; by default it is valid from its issue on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nbf: Option<f64>,
    /// The token's id, by which it can be revoked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jti: Option<String>,
}

/// A token whose signature and claims were verified once. Whether it is still valid is checked for each job.
#[derive(Clone, Debug)]
pub struct VerifiedToken {
    /// The caller's name.
    pub caller: String,
    /// The id of the key that signed it.
    pub key_id: String,
    /// The token's id, if it has one.
    pub token_id: Option<String>,
    /// When it expires, the allowed clock skew included.
    pub expires_at: Time,
}

/// Verifies a token under a policy.
///
/// # Errors
/// The first check that the token fails: its form, key, algorithm, signature, audience, times, revocation, caller.
pub fn verify(policy: &AccessPolicy, token: &str, now: Time) -> Result<VerifiedToken, DenyReason> {
    if token.len() > MAX_TOKEN_BYTES {
        return Err(DenyReason::MalformedToken);
    }
    // A header with the algorithm `none` does not decode.
    let header = jsonwebtoken::decode_header(token).map_err(|_| DenyReason::MalformedToken)?;
    let key_id = header.kid.ok_or(DenyReason::UnknownKey)?;
    let key = policy.key(&key_id).ok_or(DenyReason::UnknownKey)?;
    if header.alg != key.algorithm {
        return Err(DenyReason::AlgorithmMismatch);
    }
    check_key_accepts(policy, key, now)?;
    let claims = decode(token, key)?;
    let expires_at = check_claims(policy, key, &claims, now)?;
    let verified = VerifiedToken { caller: claims.sub, key_id, token_id: claims.jti, expires_at };
    valid_caller(policy, &verified, now)?;
    Ok(verified)
}

fn check_key_accepts(policy: &AccessPolicy, key: &VerificationKey, now: Time) -> Result<(), DenyReason> {
    match key.state(now) {
        KeyState::Active | KeyState::Retiring => Ok(()),
        // The signer's clock may be ahead.
        KeyState::Announced if key.active_from.since(now) <= policy.clock_skew => Ok(()),
        KeyState::Revoked => Err(DenyReason::Revoked),
        KeyState::Announced | KeyState::Expired => Err(DenyReason::KeyNotValid),
    }
}

/// Checks the signature and decodes the claims.
fn decode(token: &str, key: &VerificationKey) -> Result<Claims, DenyReason> {
    let mut validation = Validation::new(key.algorithm);
    // `check_claims` checks times and audience, by the caller's clock.
    validation.validate_exp = false;
    validation.validate_nbf = false;
    validation.validate_aud = false;
    validation.required_spec_claims = HashSet::new();
    match jsonwebtoken::decode::<Claims>(token, &key.decoding, &validation) {
        Ok(decoded) => Ok(decoded.claims),
        Err(error) if matches!(error.kind(), ErrorKind::InvalidSignature) => Err(DenyReason::BadSignature),
        Err(_) => Err(DenyReason::MalformedToken),
    }
}

/// Checks audience and times; returns when the token expires, the allowed clock skew included.
fn check_claims(
    policy: &AccessPolicy,
    key: &VerificationKey,
    claims: &Claims,
    now: Time,
) -> Result<Time, DenyReason> {
    if claims.aud != policy.audience {
        return Err(DenyReason::WrongAudience);
    }
    let expires = time_of_claim(claims.exp)?;
    let latest_start = now + policy.clock_skew;
    for start_s in claims.nbf.into_iter().chain([claims.iat]) {
        if time_of_claim(start_s)? > latest_start {
            return Err(DenyReason::NotYetValid);
        }
    }
    let issued = time_of_claim(claims.iat)?;
    if issued > key.signs_until + policy.clock_skew {
        return Err(DenyReason::KeyNotValid);
    }
    if expires.since(issued) > policy.max_token_lifetime {
        return Err(DenyReason::LifetimeTooLong);
    }
    Ok(expires + policy.clock_skew)
}

fn time_of_claim(seconds: f64) -> Result<Time, DenyReason> {
    let is_in_range = seconds.is_finite() && (0.0..MAX_TIME_S).contains(&seconds);
    if is_in_range { Ok(Time::from_ms(seconds * 1000.0)) } else { Err(DenyReason::MalformedToken) }
}

/// The caller of a token that was verified before, if the token is still valid under this policy at `now`.
pub(crate) fn valid_caller(
    policy: &AccessPolicy,
    token: &VerifiedToken,
    now: Time,
) -> Result<CallerId, DenyReason> {
    if token.expires_at <= now {
        return Err(DenyReason::Expired);
    }
    let key = policy.key(&token.key_id).ok_or(DenyReason::UnknownKey)?;
    match key.state(now) {
        KeyState::Revoked => return Err(DenyReason::Revoked),
        KeyState::Expired => return Err(DenyReason::KeyNotValid),
        KeyState::Announced | KeyState::Active | KeyState::Retiring => {}
    }
    if token.token_id.as_ref().is_some_and(|token_id| policy.is_token_revoked(token_id)) {
        return Err(DenyReason::Revoked);
    }
    let caller = policy.caller_by_name(&token.caller).ok_or(DenyReason::UnknownCaller)?;
    if policy.is_caller_revoked(caller) { Err(DenyReason::Revoked) } else { Ok(caller) }
}
