//! Makes keys and tokens, for the operators' tool and for tests. Private keys are wiped when they are dropped.

use crate::token::Claims;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jsonwebtoken::{Algorithm, EncodingKey, Header};
use ring::rand::SystemRandom;
use ring::signature::{ECDSA_P256_SHA256_FIXED_SIGNING, EcdsaKeyPair, Ed25519KeyPair, KeyPair};
use zeroize::Zeroizing;

/// A key that signs.
pub struct Signer {
    algorithm: Algorithm,
    pkcs8: Zeroizing<Vec<u8>>,
    public: Vec<u8>,
}

impl std::fmt::Debug for Signer {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "Signer({:?})", self.algorithm)
    }
}

impl Signer {
    /// A new key: `EdDSA` or `ES256`.
    pub fn new(algorithm: &str) -> Result<Signer, String> {
        let chance = SystemRandom::new();
        let made = match algorithm {
            "EdDSA" => Ed25519KeyPair::generate_pkcs8(&chance),
            "ES256" => EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, &chance),
            _ => return Err("expected the algorithm EdDSA or ES256".into()),
        };
        let made = made.map_err(|_| "the system gave no random numbers")?;
        Signer::of_pkcs8(Zeroizing::new(made.as_ref().to_vec()))
    }

    /// Of a private key as it was kept.
    pub fn of_pkcs8(pkcs8: Zeroizing<Vec<u8>>) -> Result<Signer, String> {
        if let Ok(pair) = Ed25519KeyPair::from_pkcs8(&pkcs8) {
            let public = pair.public_key().as_ref().to_vec();
            return Ok(Signer { algorithm: Algorithm::EdDSA, pkcs8, public });
        }
        let chance = SystemRandom::new();
        let pair = EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, &pkcs8, &chance);
        let pair = pair.map_err(|_| "expected a private key in PKCS #8, Ed25519 or P-256")?;
        let public = pair.public_key().as_ref().to_vec();
        Ok(Signer { algorithm: Algorithm::ES256, pkcs8, public })
    }

    pub fn pkcs8(&self) -> &[u8] {
        &self.pkcs8
    }

    pub fn algorithm(&self) -> &'static str {
        if self.algorithm == Algorithm::EdDSA { "EdDSA" } else { "ES256" }
    }

    /// `x`, and `y` for a curve that has one, as in a JWK.
    pub fn public(&self) -> (String, Option<String>) {
        let text = |bytes: &[u8]| URL_SAFE_NO_PAD.encode(bytes);
        match self.algorithm {
            Algorithm::EdDSA => (text(&self.public), None),
            // An uncompressed point: a mark, then x and y.
            _ => (text(&self.public[1..33]), Some(text(&self.public[33..65]))),
        }
    }

    pub fn sign(&self, kid: &str, claims: &Claims) -> Result<String, String> {
        let mut header = Header::new(self.algorithm);
        header.kid = Some(kid.to_owned());
        let key = match self.algorithm {
            Algorithm::EdDSA => EncodingKey::from_ed_der(&self.pkcs8),
            _ => EncodingKey::from_ec_der(&self.pkcs8),
        };
        jsonwebtoken::encode(&header, claims, &key).map_err(|error| error.to_string())
    }
}
