//! Tokens: JWT, signed with a key of the set by its `kid`. The algorithm is the key's, never the token's own.

use crate::set::{Identity, Life};
use hazelgrade::time::Time;
use jsonwebtoken::{Algorithm, DecodingKey, Validation};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// The longest token, in bytes: a header, some claims and a signature take a fourth of it.
pub const LONGEST_TOKEN: usize = 2048;

/// Why a token, a certificate or a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refused {
    /// Nothing names the caller.
    Nameless,
    /// It can't be read as a token.
    Unreadable,
    UnknownKey,
    /// The key is not active yet, or its time is over.
    KeyNotValid,
    /// The token names another algorithm than its key's.
    Algorithm,
    Signature,
    Audience,
    Expired,
    /// Not valid yet, or issued in the future.
    TooEarly,
    /// It would live for longer than any token may.
    TooLong,
    UnknownCaller,
    /// The key, the caller, the token or the certificate was revoked.
    Revoked,
    Network,
    JobClass,
    Tenant,
    /// Too many bad ones came from there lately: not looked at.
    Doubted,
}

impl Refused {
    pub const ALL: [Refused; 16] = [
        Refused::Nameless,
        Refused::Unreadable,
        Refused::UnknownKey,
        Refused::KeyNotValid,
        Refused::Algorithm,
        Refused::Signature,
        Refused::Audience,
        Refused::Expired,
        Refused::TooEarly,
        Refused::TooLong,
        Refused::UnknownCaller,
        Refused::Revoked,
        Refused::Network,
        Refused::JobClass,
        Refused::Tenant,
        Refused::Doubted,
    ];

    /// It lies in the keys that are known: many of these show a wrong set.
    pub fn is_of_keys(self) -> bool {
        matches!(
            self,
            Refused::UnknownKey | Refused::KeyNotValid | Refused::Signature | Refused::UnknownCaller
        )
    }

    /// In words, for the caller and the log: never anything of the token.
    pub fn reason(self) -> &'static str {
        match self {
            Refused::Nameless => "no token or certificate names the caller",
            Refused::Unreadable => "the token can't be read",
            Refused::UnknownKey => "no key of that id is known",
            Refused::KeyNotValid => "the key is not valid now",
            Refused::Algorithm => "the token's algorithm is not its key's",
            Refused::Signature => "the signature is wrong",
            Refused::Audience => "the token is for another audience",
            Refused::Expired => "the token has expired",
            Refused::TooEarly => "the token is not valid yet",
            Refused::TooLong => "the token lives for too long",
            Refused::UnknownCaller => "the caller is not known",
            Refused::Revoked => "revoked",
            Refused::Network => "not from this network",
            Refused::JobClass => "the caller may not ask for this use case",
            Refused::Tenant => "the caller may not ask for this customer",
            Refused::Doubted => "too many bad tokens came from there",
        }
    }
}

/// A key of the set.
pub(crate) struct Key {
    pub algorithm: Algorithm,
    pub decoding: DecodingKey,
    pub active_from: Time,
    pub signs_until: Time,
    pub valid_until: Time,
    pub revoked: bool,
}

impl std::fmt::Debug for Key {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "Key({:?})", self.algorithm)
    }
}

impl Key {
    pub fn life(&self, now: Time) -> Life {
        match now {
            _ if self.revoked => Life::Revoked,
            now if now < self.active_from => Life::Announced,
            now if now < self.signs_until => Life::Active,
            now if now < self.valid_until => Life::Retiring,
            _ => Life::Over,
        }
    }
}

/// What a token says, times in seconds since 1970.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Claims {
    /// The caller.
    pub sub: String,
    pub aud: String,
    pub exp: f64,
    pub iat: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nbf: Option<f64>,
    /// The token's own id, by which it can be revoked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jti: Option<String>,
}

/// A token whose signature is right; whether it counts now is asked for each job.
#[derive(Clone, Debug)]
pub struct Verified {
    pub caller: String,
    pub kid: String,
    pub token: Option<String>,
    pub expires: Time,
}

/// Verifies a token.
pub fn verify(identity: &Identity, token: &str, now: Time) -> Result<Verified, Refused> {
    if token.len() > LONGEST_TOKEN {
        return Err(Refused::Unreadable);
    }
    // `none` is no algorithm that can be read, so it ends here.
    let header = jsonwebtoken::decode_header(token).map_err(|_| Refused::Unreadable)?;
    let kid = header.kid.ok_or(Refused::UnknownKey)?;
    let key = identity.key(&kid).ok_or(Refused::UnknownKey)?;
    if header.alg != key.algorithm {
        return Err(Refused::Algorithm);
    }
    match key.life(now) {
        Life::Active | Life::Retiring => {}
        // The signer's clock may be ahead.
        Life::Announced if key.active_from.since(now) <= identity.skew => {}
        Life::Revoked => return Err(Refused::Revoked),
        Life::Announced | Life::Over => return Err(Refused::KeyNotValid),
    }
    let mut validation = Validation::new(key.algorithm);
    // Times and audience are checked here, by the clock that came in.
    (validation.validate_exp, validation.validate_nbf, validation.validate_aud) = (false, false, false);
    validation.required_spec_claims = HashSet::new();
    let decoded = jsonwebtoken::decode::<Claims>(token, &key.decoding, &validation);
    let claims = decoded.map_err(|error| match error.kind() {
        jsonwebtoken::errors::ErrorKind::InvalidSignature => Refused::Signature,
        _ => Refused::Unreadable,
    })?;
    let claims = claims.claims;
    if claims.aud != identity.audience {
        return Err(Refused::Audience);
    }
    let moment = |seconds: f64| {
        let sane = seconds.is_finite() && (0.0..1e11).contains(&seconds);
        sane.then(|| Time::from_ms(seconds * 1000.0)).ok_or(Refused::Unreadable)
    };
    let expires = moment(claims.exp)? + identity.skew;
    let early = now + identity.skew;
    for from in claims.nbf.into_iter().chain([claims.iat]) {
        if moment(from)? > early {
            return Err(Refused::TooEarly);
        }
    }
    let issued = moment(claims.iat)?;
    if issued > key.signs_until + identity.skew {
        return Err(Refused::KeyNotValid);
    }
    if moment(claims.exp)?.since(issued) > identity.longest_token {
        return Err(Refused::TooLong);
    }
    let verified = Verified { caller: claims.sub, kid, token: claims.jti, expires };
    stands(identity, &verified, now)?;
    Ok(verified)
}

/// Whether a token that was verified before counts now: under this set, at this time.
pub(crate) fn stands(
    identity: &Identity,
    verified: &Verified,
    now: Time,
) -> Result<crate::CallerId, Refused> {
    if verified.expires <= now {
        return Err(Refused::Expired);
    }
    let key = identity.key(&verified.kid).ok_or(Refused::UnknownKey)?;
    match key.life(now) {
        Life::Revoked => return Err(Refused::Revoked),
        Life::Over => return Err(Refused::KeyNotValid),
        _ => {}
    }
    if verified.token.as_ref().is_some_and(|token| identity.token_revoked(token)) {
        return Err(Refused::Revoked);
    }
    let caller = identity.caller(&verified.caller).ok_or(Refused::UnknownCaller)?;
    if identity.caller_stands(caller) { Ok(caller) } else { Err(Refused::Revoked) }
}
