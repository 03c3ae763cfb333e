//! Keys that verify tokens, and their life cycle.

use crate::policy_error::PolicyError;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hazelgrade::time::Time;
use hazelgrade_config::Fields;
use jsonwebtoken::{Algorithm, DecodingKey};

/// Bytes of a public key's coordinate.
const COORDINATE_BYTES: usize = 32;

/// The state of a key in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// Published ahead of its use: tokens signed with it are not accepted yet.
    Announced,
    /// Signs tokens.
    Active,
    /// Signs no new tokens; those that it signed are accepted.
    Retiring,
    /// Nothing that it signed is accepted any more.
    Expired,
    /// Revoked by the operators, regardless of its times.
    Revoked,
}

/// The public half of a key.
pub(crate) struct VerificationKey {
    /// The only algorithm that the key's tokens may be signed with.
    pub(crate) algorithm: Algorithm,
    pub(crate) decoding: DecodingKey,
    pub(crate) active_from: Time,
    pub(crate) signs_until: Time,
    pub(crate) valid_until: Time,
    pub(crate) revoked: bool,
}

impl std::fmt::Debug for VerificationKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "VerificationKey({:?})", self.algorithm)
    }
}

impl VerificationKey {
    /// The key with this id in an identity document. If the document doesn't state until when the key signs, it signs
    /// until the longest lifetime of a token, in seconds, before its validity ends.
    pub(crate) fn from_fields(
        fields: &Fields,
        key_id: &str,
        max_token_lifetime_s: f64,
    ) -> Result<VerificationKey, PolicyError> {
        let path = |field: &str| format!("key/{key_id}/{field}");
        let seconds = |field: &str| fields.number(&path(field));
        let valid_until_s = seconds("valid_until_s").unwrap_or(0.0);
        let signs_until_s = seconds("signs_until_s").unwrap_or(valid_until_s - max_token_lifetime_s);
        let is_listed_as_revoked = fields.text_list("revoked/keys").iter().any(|revoked| revoked == key_id);
        let (algorithm, decoding) = public_key(fields, key_id)?;
        Ok(VerificationKey {
            algorithm,
            decoding,
            active_from: time_from_s(seconds("active_from_s").unwrap_or(0.0)),
            signs_until: time_from_s(signs_until_s),
            valid_until: time_from_s(valid_until_s),
            revoked: is_listed_as_revoked || fields.boolean(&path("revoked")) == Some(true),
        })
    }

    /// The state of the key at `now`.
    pub(crate) fn state(&self, now: Time) -> KeyState {
        match now {
            _ if self.revoked => KeyState::Revoked,
            now if now < self.active_from => KeyState::Announced,
            now if now < self.signs_until => KeyState::Active,
            now if now < self.valid_until => KeyState::Retiring,
            _ => KeyState::Expired,
        }
    }
}

/// The algorithm and the public key: `x` for EdDSA, `x` and `y` for ES256.
fn public_key(fields: &Fields, key_id: &str) -> Result<(Algorithm, DecodingKey), PolicyError> {
    let text = |field: &str| fields.text(&format!("key/{key_id}/{field}")).unwrap_or_default();
    let coordinate = |field: &'static str| {
        let bytes = URL_SAFE_NO_PAD.decode(text(field)).ok();
        let bytes = bytes.filter(|bytes| bytes.len() == COORDINATE_BYTES);
        bytes.ok_or_else(|| PolicyError::Coordinate { key_id: key_id.to_owned(), field })
    };
    let x = coordinate("x")?;
    if text("algorithm") != "ES256" {
        return Ok((Algorithm::EdDSA, DecodingKey::from_ed_der(&x)));
    }
    coordinate("y")?;
    let decoding = DecodingKey::from_ec_components(text("x"), text("y"))
        .map_err(|source| PolicyError::PublicKey { key_id: key_id.to_owned(), source })?;
    Ok((Algorithm::ES256, decoding))
}

fn time_from_s(seconds: f64) -> Time {
    Time::from_ms(seconds * 1000.0)
}
