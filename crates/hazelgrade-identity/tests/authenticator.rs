//! Tokens and certificates on connections while keys, rights and policies change.

#![allow(clippy::expect_used, clippy::too_many_lines)]

mod common;

use common::{HERE, NOW_S, at, claims, compiled, key, read, usual_document};
use hazelgrade::time::Span;
use hazelgrade_identity::authenticator::MAX_CACHED_TOKENS;
use hazelgrade_identity::signer::Signer;
use hazelgrade_identity::token::Claims;
use hazelgrade_identity::{AccessPolicy, Authenticator, ClientCertificate, Credentials, DenyReason};
use std::rc::Rc;

/// A minute of test clock in which a key is rotated each second, by lead and overlap as the operators' tool does it; callers
/// sign with what they know, which is up to half a second old. Nothing valid is refused, and of a caller that was revoked
/// nothing is served from the moment on at which the set says so.
#[test]
fn key_rotation_each_second_denies_no_valid_job_and_a_revoked_caller_gets_nothing() {
    let lived = |made: f64| (made + 0.5, made + 3.0, made + 6.0);
    let mut signers: Vec<(f64, Signer)> = (-3..61)
        .map(|second| {
            (
                NOW_S + f64::from(second),
                Signer::generate(if second % 2 == 0 { "EdDSA" } else { "ES256" }).expect("a key"),
            )
        })
        .collect();
    signers.sort_by(|a, b| a.0.total_cmp(&b.0));
    let set = |now: f64| {
        let known =
            signers.iter().enumerate().filter(|(_, (made, _))| *made <= now && lived(*made).2 > now - 1.0);
        let keys: String = known
            .map(|(place, (made, signer))| {
                let (from, signs, until) = lived(*made);
                key(&format!("k{place}"), signer, from, signs, until, "")
            })
            .collect();
        let revoked = if now >= NOW_S + 30.0 { "revoked = true\n" } else { "" };
        format!(
            "audience = \"agenda\"\nskew_s = 0\nlongest_token_s = 3\n{keys}\
             [caller.booking]\nuse_cases = [\"*\"]\ncustomers = [\"north\"]\n\
             [caller.leaves]\nuse_cases = [\"*\"]\ncustomers = [\"north\"]\n{revoked}"
        )
    };
    let mut authenticator = Authenticator::new(compiled(&set(NOW_S)), at(NOW_S)).expect("a set");
    let (mut served, mut refused_after, mut connections) = (0, 0, Vec::new());
    for tick in 0..600 {
        let now = NOW_S + f64::from(tick) / 10.0;
        if tick % 10 == 0 {
            authenticator.replace_policy(compiled(&set(now)), at(now)).expect("there is always a key");
        }
        // Sign with the newest key that was active half a second ago; the token lives for two seconds.
        let knew = now - 0.5;
        let (place, (_, signer)) = signers
            .iter()
            .enumerate()
            .rfind(|(_, (made, _))| lived(*made).0 <= knew && *made <= knew)
            .expect("a key");
        for caller in ["booking", "leaves"] {
            let claims = Claims {
                sub: caller.into(),
                aud: "agenda".into(),
                iat: now,
                exp: now + 2.0,
                nbf: None,
                jti: None,
            };
            let token = signer.sign(&format!("k{place}"), &claims).expect("signed");
            let revoked = caller == "leaves" && now >= NOW_S + 30.0;
            match authenticator.verify_token(at(now), &token, HERE) {
                Ok(verified) => connections.push((
                    now + 2.0,
                    caller,
                    Credentials { token: Some(verified), certificate: None },
                )),
                Err(refused) => assert!(
                    revoked && matches!(refused, DenyReason::Revoked | DenyReason::SourcePenalized),
                    "{refused:?} at {tick}"
                ),
            }
        }
        // All that is in flight, on old connections too.
        connections.retain(|(expires, _, _)| *expires > now);
        for (_, caller, known) in &connections {
            let may = authenticator.authorize(at(now), known, 0, None, HERE);
            if *caller == "leaves" && now >= NOW_S + 30.0 {
                assert_eq!(may, Err(DenyReason::Revoked), "served after it was revoked");
                refused_after += 1;
            } else {
                assert_eq!(may, Ok(0), "a valid job is refused at {tick}");
                served += 1;
            }
        }
    }
    assert!(served > 10_000 && refused_after > 100, "{served} served, {refused_after} refused");
}

#[test]
fn expiry_and_withdrawn_rights_apply_to_the_next_job_on_an_open_connection() {
    let signer = Signer::generate("EdDSA").expect("a key");
    let mut authenticator = Authenticator::new(compiled(&usual_document(&signer)), at(NOW_S)).expect("a set");
    let token = signer.sign("k1", &claims("front-desk")).expect("signed");
    let known =
        Credentials { token: authenticator.verify_token(at(NOW_S), &token, HERE).ok(), certificate: None };
    let may = |authenticator: &Authenticator, after: f64, job_class, tenant| {
        authenticator.authorize(at(NOW_S + after), &known, job_class, tenant, HERE)
    };
    assert_eq!(may(&authenticator, 0.0, 0, None), Ok(0), "its only tenant");
    assert_eq!(may(&authenticator, 0.0, 2, None), Err(DenyReason::JobClassNotAllowed));
    assert_eq!(
        may(&authenticator, 0.0, 0, Some(1)),
        Err(DenyReason::TenantNotAllowed),
        "a claim beyond it is refused, not corrected"
    );
    assert_eq!(may(&authenticator, 389.0, 0, None), Ok(0));
    assert_eq!(may(&authenticator, 391.0, 0, None), Err(DenyReason::Expired));
    let fewer = usual_document(&signer).replace("\"search\", \"hold\"", "\"hold\"");
    authenticator.replace_policy(compiled(&fewer), at(NOW_S)).expect("a set");
    assert_eq!(may(&authenticator, 1.0, 0, None), Err(DenyReason::JobClassNotAllowed));
    assert_eq!(may(&authenticator, 1.0, 1, None), Ok(0));
    assert_eq!(
        authenticator.authorize(at(NOW_S), &Credentials::default(), 0, None, HERE),
        Err(DenyReason::NoCredentials)
    );
}

#[test]
fn a_revoked_certificate_is_denied_on_the_connection_that_it_opened() {
    let signer = Signer::generate("EdDSA").expect("a key");
    let mut authenticator = Authenticator::new(compiled(&usual_document(&signer)), at(NOW_S)).expect("a set");
    let certificate = ClientCertificate {
        names: vec!["spiffe://agenda/front".into()],
        serial: "0A".into(),
        expires_at: Some(at(NOW_S + 10.0)),
    };
    let known = Credentials { token: None, certificate: Some(Rc::new(certificate)) };
    assert_eq!(authenticator.authorize(at(NOW_S), &known, 0, None, HERE), Ok(0));
    assert_eq!(authenticator.authorize(at(NOW_S + 11.0), &known, 0, None, HERE), Err(DenyReason::Expired));
    authenticator
        .replace_policy(
            compiled(&format!("{}[revoked]\ncertificates = [\"0a\"]\n", usual_document(&signer))),
            at(NOW_S),
        )
        .expect("a set");
    assert_eq!(authenticator.authorize(at(NOW_S), &known, 0, None, HERE), Err(DenyReason::Revoked));
    let twice = usual_document(&signer)
        .replace("networks = ", "certificates = [\"spiffe://agenda/front\"]\nnetworks = ");
    assert!(
        AccessPolicy::from_document(&read(&twice).expect("right"))
            .expect_err("wrong")
            .to_string()
            .contains("names another caller too")
    );
}

#[test]
fn a_flood_of_bad_tokens_is_denied_unverified_while_cached_ones_and_other_sources_pass() {
    let signer = Signer::generate("EdDSA").expect("a key");
    let mut authenticator = Authenticator::new(compiled(&usual_document(&signer)), at(NOW_S)).expect("a set");
    let good = signer.sign("k1", &claims("booking")).expect("signed");
    assert!(authenticator.verify_token(at(NOW_S), &good, HERE).is_ok());
    let before = authenticator.signatures_checked();
    // 100,000 in a second, all different.
    for count in 0..100_000 {
        let now = at(NOW_S + f64::from(count) / 100_000.0);
        let refused = authenticator.verify_token(now, &format!("{good}{count}"), HERE).expect_err("bad");
        authenticator.record_denial(now, &Credentials::default(), refused);
    }
    let checked = authenticator.signatures_checked() - before;
    assert!(checked < 100, "{checked} signatures looked at");
    let now = at(NOW_S + 1.0);
    assert!(authenticator.verify_token(now, &good, HERE).is_ok(), "a known token goes on");
    let fresh = signer.sign("k1", &Claims { jti: Some("t9".into()), ..claims("booking") }).expect("signed");
    assert_eq!(
        authenticator.verify_token(now, &fresh, HERE).err(),
        Some(DenyReason::SourcePenalized),
        "a new one from there waits"
    );
    assert!(
        authenticator.verify_token(now, &fresh, "127.0.0.9".parse().expect("an address")).is_ok(),
        "elsewhere it doesn't"
    );
    let later = signer.sign("k1", &Claims { jti: Some("t10".into()), ..claims("booking") }).expect("signed");
    assert!(authenticator.verify_token(at(NOW_S + 20.0), &later, HERE).is_ok(), "and it is forgotten");
    let lines = authenticator.take_due_audit_records(at(NOW_S + 2.0));
    assert!(lines.len() <= 3 && lines.iter().map(|line| line.count).sum::<u64>() == 100_000, "{lines:?}");
}

/// Guards against rates and limits that a step of the Unix clock lifts or prolongs, and against tokens that are judged by
/// the clock before the step.
#[test]
fn after_a_step_of_the_unix_clock_validity_follows_it_and_limits_do_not() {
    let signer = Signer::generate("EdDSA").expect("a key");
    let mut authenticator = Authenticator::new(compiled(&usual_document(&signer)), at(NOW_S)).expect("a set");
    let token = |count: usize| {
        signer.sign("k1", &Claims { jti: Some(count.to_string()), ..claims("booking") }).expect("signed")
    };
    for count in 0..100 {
        let _ = authenticator.verify_token(at(NOW_S), &format!("{}{count}", token(0)), HERE);
    }
    let penalized = Some(DenyReason::SourcePenalized);
    for step_s in [500.0, -500.0] {
        authenticator.set_unix_offset_ms(step_s * 1000.0);
        assert_eq!(authenticator.verify_token(at(NOW_S), &token(1), HERE).err(), penalized);
    }
    // The token is issued at NOW_S and expires 300 s later; the documents allow clocks that are off by 90 s.
    authenticator.set_unix_offset_ms(500_000.0);
    let later = at(NOW_S + 20.0);
    assert_eq!(authenticator.verify_token(later, &token(2), HERE).err(), Some(DenyReason::Expired));
    authenticator.set_unix_offset_ms(-500_000.0);
    assert_eq!(authenticator.verify_token(later, &token(3), HERE).err(), Some(DenyReason::NotYetValid));
    authenticator.set_unix_offset_ms(-60_000.0);
    assert!(authenticator.verify_token(later, &token(4), HERE).is_ok());
}

/// Guards against denying the valid tokens of all callers behind an address because this node received their key late.
#[test]
fn tokens_of_a_key_that_arrives_late_are_accepted_as_soon_as_it_is_known() {
    let (early, late) =
        (Signer::generate("EdDSA").expect("a key"), Signer::generate("EdDSA").expect("a key"));
    let token = |count: usize| {
        late.sign("k2", &Claims { jti: Some(count.to_string()), ..claims("booking") }).expect("signed")
    };
    let mut authenticator = Authenticator::new(compiled(&usual_document(&early)), at(NOW_S)).expect("a set");
    for count in 0..200 {
        let denied = authenticator.verify_token(at(NOW_S), &token(count), HERE).err();
        assert_eq!(denied, Some(DenyReason::UnknownKey));
    }
    let late_key = key("k2", &late, NOW_S - 1.0, NOW_S + 1000.0, NOW_S + 2000.0, "");
    let with_late_key = format!("{}{late_key}", usual_document(&early));
    authenticator.replace_policy(compiled(&with_late_key), at(NOW_S)).expect("a set");
    assert!(authenticator.verify_token(at(NOW_S), &token(200), HERE).is_ok());
}

#[test]
fn the_token_cache_is_bounded_and_keeps_what_is_used() {
    let signer = Signer::generate("EdDSA").expect("a key");
    let mut authenticator = Authenticator::new(compiled(&usual_document(&signer)), at(NOW_S)).expect("a set");
    let token = |count: usize| {
        signer.sign("k1", &Claims { jti: Some(count.to_string()), ..claims("booking") }).expect("signed")
    };
    let kept = token(0);
    for count in 0..MAX_CACHED_TOKENS + 2000 {
        assert!(authenticator.verify_token(at(NOW_S), &token(count), HERE).is_ok());
        if count % 100 == 0 {
            assert!(authenticator.verify_token(at(NOW_S), &kept, HERE).is_ok());
        }
    }
    assert_eq!(authenticator.cached_tokens(), MAX_CACHED_TOKENS);
    let checked = authenticator.signatures_checked();
    assert!(authenticator.verify_token(at(NOW_S), &kept, HERE).is_ok());
    assert_eq!(authenticator.signatures_checked(), checked, "what is used stays");
    assert_eq!(
        checked,
        (MAX_CACHED_TOKENS + 2000) as u64,
        "each was checked once: what is used is never forgotten meanwhile"
    );
    let late = Span::from_ms(1e9);
    assert!(authenticator.verify_token(at(NOW_S) + late, &token(MAX_CACHED_TOKENS * 2), HERE).is_err());
}

#[test]
fn a_rollback_keeps_the_revocations_of_the_failed_policy() {
    let signer = Signer::generate("EdDSA").expect("a key");
    let mut authenticator = Authenticator::new(compiled(&usual_document(&signer)), at(NOW_S)).expect("a set");
    let token = |caller: &str, id: &str| {
        signer.sign("k1", &Claims { jti: Some(id.into()), ..claims(caller) }).expect("signed")
    };
    let mut known = |caller: &str, id: &str| Credentials {
        token: authenticator.verify_token(at(NOW_S), &token(caller, id), HERE).ok(),
        certificate: None,
    };
    let (front, booking, other) = (known("front-desk", "t1"), known("booking", "t2"), known("booking", "t3"));
    let revokes =
        usual_document(&signer).replace("[caller.front-desk]\n", "[caller.front-desk]\nrevoked = true\n");
    authenticator
        .replace_policy(compiled(&format!("{revokes}[revoked]\ntokens = [\"t2\"]\n")), at(NOW_S))
        .expect("a set");
    authenticator.roll_back_policy(compiled(&usual_document(&signer)), at(NOW_S)).expect("a set");
    assert_eq!(authenticator.authorize(at(NOW_S), &front, 0, None, HERE), Err(DenyReason::Revoked));
    assert_eq!(authenticator.authorize(at(NOW_S), &booking, 0, Some(0), HERE), Err(DenyReason::Revoked));
    assert_eq!(authenticator.authorize(at(NOW_S), &other, 0, Some(0), HERE), Ok(0));
    // A set that is published after that is taken as it is.
    authenticator.replace_policy(compiled(&usual_document(&signer)), at(NOW_S)).expect("a set");
    assert_eq!(authenticator.authorize(at(NOW_S), &front, 0, None, HERE), Ok(0));
}

#[test]
fn a_caller_over_its_limit_is_marked_and_authorized() {
    let signer = Signer::generate("EdDSA").expect("a key");
    let limited =
        usual_document(&signer).replace("[caller.booking]\n", "[caller.booking]\njobs_per_s = 10\n");
    let mut authenticator = Authenticator::new(compiled(&limited), at(NOW_S)).expect("a set");
    let token = signer.sign("k1", &claims("booking")).expect("signed");
    let known =
        Credentials { token: authenticator.verify_token(at(NOW_S), &token, HERE).ok(), certificate: None };
    let mut beyond = |from: f64, gap: f64| {
        let asked = (0..200).map(|count| {
            authenticator.authorize_and_count(
                at(NOW_S + from + f64::from(count) * gap),
                &known,
                0,
                Some(0),
                HERE,
            )
        });
        asked.filter(|asked| asked.expect("it is let in").over_limit).count()
    };
    assert_eq!(beyond(0.0, 0.2), 0, "five a second");
    assert!(beyond(50.0, 0.02) > 100, "fifty a second");
}
