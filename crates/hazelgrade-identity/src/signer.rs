//! Makes keys and tokens, for the operators' tool and for tests. Private keys are wiped from memory when they are
//! dropped.

use crate::token::Claims;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use jsonwebtoken::{Algorithm, EncodingKey, Header};
use ring::rand::SystemRandom;
use ring::signature::{ECDSA_P256_SHA256_FIXED_SIGNING, EcdsaKeyPair, Ed25519KeyPair, KeyPair};
use zeroize::Zeroizing;

/// Why a key can't be made or read, or a token can't be signed.
#[derive(Debug, thiserror::Error)]
pub enum SignerError {
    /// The algorithm is neither `EdDSA` nor `ES256`.
    #[error("expected the algorithm EdDSA or ES256")]
    UnknownAlgorithm,
    /// The operating system gave no random numbers for a new key.
    #[error("the system gave no random numbers")]
    NoRandomNumbers,
    /// The bytes are not a private key of a known algorithm.
    #[error("expected a private key in PKCS #8, Ed25519 or P-256")]
    MalformedKey,
    /// The token could not be signed.
    #[error("{0}")]
    Signing(#[from] jsonwebtoken::errors::Error),
}

/// The public half of a key, as in a JWK (RFC 7517): coordinates in base64url.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublicKey {
    /// The `x` coordinate, or the whole key for EdDSA.
    pub x: String,
    /// The `y` coordinate; `None` for EdDSA.
    pub y: Option<String>,
}

/// A private key that signs tokens.
pub struct Signer {
    algorithm: Algorithm,
    pkcs8: Zeroizing<Vec<u8>>,
    public: Vec<u8>,
}

impl std::fmt::Debug for Signer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Signer({:?})", self.algorithm)
    }
}

impl Signer {
    /// Makes a new key for an algorithm, `EdDSA` or `ES256`.
    ///
    /// # Errors
    /// The algorithm is another, or the operating system gives no random numbers.
    pub fn generate(algorithm: &str) -> Result<Signer, SignerError> {
        let random = SystemRandom::new();
        let generated = match algorithm {
            "EdDSA" => Ed25519KeyPair::generate_pkcs8(&random),
            "ES256" => EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, &random),
            _ => return Err(SignerError::UnknownAlgorithm),
        };
        let pkcs8 = generated.map_err(|_| SignerError::NoRandomNumbers)?;
        Signer::from_pkcs8(Zeroizing::new(pkcs8.as_ref().to_vec()))
    }

    /// Reads a private key in PKCS #8.
    ///
    /// # Errors
    /// The bytes are not a private key for Ed25519 or P-256.
    pub fn from_pkcs8(pkcs8: Zeroizing<Vec<u8>>) -> Result<Signer, SignerError> {
        if let Ok(pair) = Ed25519KeyPair::from_pkcs8(&pkcs8) {
            let public = pair.public_key().as_ref().to_vec();
            return Ok(Signer { algorithm: Algorithm::EdDSA, pkcs8, public });
        }
        let random = SystemRandom::new();
        let pair = EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, &pkcs8, &random);
        let pair = pair.map_err(|_| SignerError::MalformedKey)?;
        let public = pair.public_key().as_ref().to_vec();
        Ok(Signer { algorithm: Algorithm::ES256, pkcs8, public })
    }

    /// The private key in PKCS #8.
    pub fn pkcs8(&self) -> &[u8] {
        &self.pkcs8
    }

    /// The name of the algorithm: `EdDSA` or `ES256`.
    pub fn algorithm(&self) -> &'static str {
        if self.algorithm == Algorithm::EdDSA { "EdDSA" } else { "ES256" }
    }

    /// The public half of the key.
    pub fn public_key(&self) -> PublicKey {
        let encode = |bytes: &[u8]| URL_SAFE_NO_PAD.encode(bytes);
        match self.algorithm {
            Algorithm::EdDSA => PublicKey { x: encode(&self.public), y: None },
            // An uncompressed point: a marker byte, then x and y.
            _ => PublicKey { x: encode(&self.public[1..33]), y: Some(encode(&self.public[33..65])) },
        }
    }

    /// Signs claims as a token whose header names the key by its id.
    ///
    /// # Errors
    /// The error of the cryptographic library.
    pub fn sign(&self, key_id: &str, claims: &Claims) -> Result<String, SignerError> {
        let mut header = Header::new(self.algorithm);
        header.kid = Some(key_id.to_owned());
        let key = match self.algorithm {
            Algorithm::EdDSA => EncodingKey::from_ed_der(&self.pkcs8),
            _ => EncodingKey::from_ec_der(&self.pkcs8),
        };
        Ok(jsonwebtoken::encode(&header, claims, &key)?)
    }
}
