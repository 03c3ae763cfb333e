//! Keys and tokens that an earlier build made: this build verifies them, and signs the same claims to the same bytes.
//!
//! The files in `recorded` were written by `hazelgrade keys new` and `hazelgrade keys token` of commit 7080dd1. The private
//! keys are of no use anywhere else.

#![allow(clippy::expect_used)]

use base64::Engine;
use base64::engine::general_purpose::{STANDARD, URL_SAFE_NO_PAD};
use hazelgrade::time::Time;
use hazelgrade_config::{Document, Kind};
use hazelgrade_identity::signer::Signer;
use hazelgrade_identity::token::{Claims, verify};
use hazelgrade_identity::{AccessPolicy, DenyReason};
use zeroize::Zeroizing;

struct Recorded {
    document: &'static str,
    private_key: &'static str,
    token: &'static str,
    /// The two JSON parts of the token.
    header: &'static str,
    claims: &'static str,
    token_id: &'static str,
    issued_s: f64,
}

const EDDSA: Recorded = Recorded {
    document: include_str!("recorded/eddsa.toml"),
    private_key: include_str!("recorded/eddsa.key"),
    token: include_str!("recorded/eddsa.token"),
    header: r#"{"typ":"JWT","alg":"EdDSA","kid":"k1"}"#,
    claims: r#"{"sub":"front-desk","aud":"agenda","exp":1796289062.0,"iat":1796288462.0,"jti":"front-desk-661b6ffb5f298"}"#,
    token_id: "front-desk-661b6ffb5f298",
    issued_s: 1_796_288_462.0,
};

const ES256: Recorded = Recorded {
    document: include_str!("recorded/es256.toml"),
    private_key: include_str!("recorded/es256.key"),
    token: include_str!("recorded/es256.token"),
    header: r#"{"typ":"JWT","alg":"ES256","kid":"k1"}"#,
    claims: r#"{"sub":"front-desk","aud":"agenda","exp":1796289062.0,"iat":1796288462.0,"jti":"front-desk-661b6ffb63fe5"}"#,
    token_id: "front-desk-661b6ffb63fe5",
    issued_s: 1_796_288_462.0,
};

fn at(seconds: f64) -> Time {
    Time::from_ms(seconds * 1000.0)
}

fn compiled(document: &str) -> AccessPolicy {
    let document = Document::read_as(Kind::Identity, document, "recorded.toml").expect("it is right");
    AccessPolicy::from_document(&document).expect("it is right")
}

fn signer(recorded: &Recorded) -> Signer {
    let pkcs8 = STANDARD.decode(recorded.private_key.trim()).expect("base64");
    Signer::from_pkcs8(Zeroizing::new(pkcs8)).expect("a private key")
}

fn claims(recorded: &Recorded) -> Claims {
    Claims {
        sub: "front-desk".into(),
        aud: "agenda".into(),
        iat: recorded.issued_s,
        exp: recorded.issued_s + 600.0,
        nbf: None,
        jti: Some(recorded.token_id.into()),
    }
}

#[test]
fn a_recorded_token_is_verified_with_its_recorded_key_and_document() {
    for recorded in [EDDSA, ES256] {
        let (policy, token) = (compiled(recorded.document), recorded.token.trim());
        let verified = verify(&policy, token, at(recorded.issued_s)).expect("it is valid");
        assert_eq!(verified.caller, "front-desk");
        let expired = verify(&policy, token, at(recorded.issued_s + 690.0)).err();
        assert_eq!(expired, Some(DenyReason::Expired), "600 s and the skew of clocks later");
        let revokes = format!("{}\n[revoked]\ntokens = [\"{}\"]\n", recorded.document, recorded.token_id);
        let revoked = verify(&compiled(&revokes), token, at(recorded.issued_s)).err();
        assert_eq!(revoked, Some(DenyReason::Revoked), "by its id");
    }
}

#[test]
fn a_recorded_token_names_its_header_and_claims_as_written_here() {
    for recorded in [EDDSA, ES256] {
        let parts: Vec<&str> = recorded.token.trim().split('.').collect();
        let decoded =
            |part: &str| String::from_utf8(URL_SAFE_NO_PAD.decode(part).expect("base64url")).expect("text");
        assert_eq!((decoded(parts[0]), decoded(parts[1])), (recorded.header.into(), recorded.claims.into()));
        // The same bytes from the same claims.
        let signed = signer(&recorded).sign("k1", &claims(&recorded)).expect("signed");
        let signed: Vec<&str> = signed.split('.').collect();
        assert_eq!((signed[0], signed[1]), (parts[0], parts[1]));
    }
    // A signature of Ed25519 is the same each time.
    assert_eq!(signer(&EDDSA).sign("k1", &claims(&EDDSA)).expect("signed"), EDDSA.token.trim());
}

#[test]
fn all_claims_have_the_names_of_rfc_7519() {
    let all = Claims { nbf: Some(5.0), ..claims(&EDDSA) };
    let all = serde_json::to_value(&all).expect("JSON");
    let names: Vec<&String> = all.as_object().expect("an object").keys().collect();
    assert_eq!(names, ["aud", "exp", "iat", "jti", "nbf", "sub"]);
}
