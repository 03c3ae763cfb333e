//! Verification of good and bad tokens.

#![allow(clippy::expect_used)]

mod common;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use common::{CALLERS, NOW_S, at, claims, compiled, key, usual_document};
use hazelgrade_identity::signer::Signer;
use hazelgrade_identity::token::{Claims, verify};
use hazelgrade_identity::{AccessPolicy, DenyReason};
use quickcheck::Gen;

fn denial(policy: &AccessPolicy, token: &str) -> Option<DenyReason> {
    verify(policy, token, at(NOW_S)).err()
}

#[test]
fn each_fault_of_a_token_has_its_own_reason() {
    for algorithm in ["EdDSA", "ES256"] {
        let (signer, other) =
            (Signer::generate(algorithm).expect("a key"), Signer::generate(algorithm).expect("a key"));
        let policy = compiled(&usual_document(&signer));
        let with = |change: &dyn Fn(&mut Claims)| {
            let mut claims = claims("front-desk");
            change(&mut claims);
            denial(&policy, &signer.sign("k1", &claims).expect("signed"))
        };
        assert_eq!(with(&|_| {}), None);
        assert_eq!(with(&|claims| claims.aud = "other".into()), Some(DenyReason::WrongAudience));
        // Clocks 90 s apart are allowed for, and no more.
        assert_eq!(with(&|claims| (claims.iat, claims.exp) = (NOW_S - 400.0, NOW_S - 89.0)), None);
        assert_eq!(
            with(&|claims| (claims.iat, claims.exp) = (NOW_S - 400.0, NOW_S - 91.0)),
            Some(DenyReason::Expired)
        );
        assert_eq!(with(&|claims| claims.iat = NOW_S + 89.0), None);
        assert_eq!(with(&|claims| claims.iat = NOW_S + 91.0), Some(DenyReason::NotYetValid));
        assert_eq!(with(&|claims| claims.nbf = Some(NOW_S + 91.0)), Some(DenyReason::NotYetValid));
        assert_eq!(with(&|claims| claims.exp = NOW_S + 601.0), Some(DenyReason::LifetimeTooLong));
        assert_eq!(with(&|claims| claims.exp = f64::MAX), Some(DenyReason::MalformedToken));
        assert_eq!(with(&|claims| claims.sub = "nobody".into()), Some(DenyReason::UnknownCaller));
        assert_eq!(with(&|claims| claims.sub = "gone".into()), Some(DenyReason::Revoked));
        let token = signer.sign("k1", &claims("front-desk")).expect("signed");
        assert_eq!(
            denial(&policy, &signer.sign("k9", &claims("front-desk")).expect("signed")),
            Some(DenyReason::UnknownKey)
        );
        assert_eq!(
            denial(&policy, &other.sign("k1", &claims("front-desk")).expect("signed")),
            Some(DenyReason::BadSignature)
        );
        // Every part cut or changed.
        let parts: Vec<&str> = token.split('.').collect();
        let header = |text: &str| URL_SAFE_NO_PAD.encode(text);
        let none = format!("{}.{}.", header("{\"alg\":\"none\",\"kid\":\"k1\"}"), parts[1]);
        assert_eq!(denial(&policy, &none), Some(DenyReason::MalformedToken));
        for swapped in ["HS256", if algorithm == "EdDSA" { "ES256" } else { "EdDSA" }] {
            let swapped = format!(
                "{}.{}.{}",
                header(&format!("{{\"alg\":\"{swapped}\",\"kid\":\"k1\"}}")),
                parts[1],
                parts[2]
            );
            assert_eq!(denial(&policy, &swapped), Some(DenyReason::AlgorithmMismatch));
        }
        let raised = header("{\"sub\":\"booking\",\"aud\":\"agenda\",\"exp\":1800000300,\"iat\":1800000000}");
        assert_eq!(
            denial(&policy, &format!("{}.{raised}.{}", parts[0], parts[2])),
            Some(DenyReason::BadSignature)
        );
        (0..token.len()).for_each(|cut| assert!(denial(&policy, &token[..cut]).is_some(), "{cut}"));
        assert_eq!(denial(&policy, &"x".repeat(5000)), Some(DenyReason::MalformedToken));
        let revoked = |rest: &str| denial(&compiled(&format!("{}{rest}", usual_document(&signer))), &token);
        assert_eq!(revoked("[revoked]\ntokens = [\"t1\"]\n"), Some(DenyReason::Revoked));
        assert_eq!(revoked("[revoked]\ntokens = [\"t2\"]\n"), None);
    }
}

#[test]
fn arbitrary_bytes_as_a_token_are_denied_without_a_panic() {
    let policy = compiled(&usual_document(&Signer::generate("EdDSA").expect("a key")));
    let any = move |bytes: Vec<u8>| {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let dotted = format!("{}.{}.{text}", URL_SAFE_NO_PAD.encode(&bytes), URL_SAFE_NO_PAD.encode(&bytes));
        denial(&policy, &text).is_some() && denial(&policy, &dotted).is_some()
    };
    for seed in 0..2000 {
        let mut gen_ = Gen::from_size_and_seed(200, seed);
        let bytes: Vec<u8> = quickcheck::Arbitrary::arbitrary(&mut gen_);
        assert!(any(bytes));
    }
    // The corpus of what was once worth a look.
    for text in [
        "",
        ".",
        "..",
        "...",
        "e30.e30.e30",
        "eyJhbGciOiJub25lIn0.e30.",
        "eyJhbGciOiJFZERTQSIsImtpZCI6ImsxIn0..",
        "\u{0}.\u{0}.\u{0}",
    ] {
        assert!(any(text.as_bytes().to_vec()), "{text:?}");
    }
}

#[test]
fn a_retiring_key_is_accepted_for_tokens_issued_before_only() {
    let signer = Signer::generate("EdDSA").expect("a key");
    let policy = compiled(&format!(
        "{CALLERS}{}",
        key("k1", &signer, NOW_S - 1000.0, NOW_S - 200.0, NOW_S + 1000.0, "")
    ));
    let issued = |ago: f64| {
        signer
            .sign("k1", &Claims { iat: NOW_S - ago, exp: NOW_S + 100.0, ..claims("booking") })
            .expect("signed")
    };
    assert_eq!(denial(&policy, &issued(210.0)), None);
    assert_eq!(denial(&policy, &issued(111.0)), None, "within the skew of clocks");
    assert_eq!(denial(&policy, &issued(0.0)), Some(DenyReason::KeyNotValid));
}
