//! Tokens good and bad, keys that come and go under load, and rights against a plain model.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::{Document, Kind};
use hazelgrade_identity::desk::{Certificate, Desk, Known, REMEMBERED};
use hazelgrade_identity::issue::Signer;
use hazelgrade_identity::token::{Claims, verify};
use hazelgrade_identity::{Identity, Refused};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;

const NOW_S: f64 = 1_800_000_000.0;
const HERE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

fn at(seconds: f64) -> Time {
    Time::from_ms(seconds * 1000.0)
}

fn key(kid: &str, signer: &Signer, from: f64, signs: f64, until: f64, rest: &str) -> String {
    let (x, y) = signer.public();
    let y = y.map_or(String::new(), |y| format!("y = \"{y}\"\n"));
    format!(
        "[key.{kid}]\nalgorithm = \"{}\"\nx = \"{x}\"\n{y}active_from_s = {from}\nsigns_until_s = {signs}\nvalid_until_s = {until}\n{rest}\n",
        signer.algorithm()
    )
}

const CALLERS: &str = "audience = \"agenda\"\nskew_s = 90\nlongest_token_s = 600\n\
    [caller.front-desk]\nuse_cases = [\"search\", \"hold\"]\ncustomers = [\"north\"]\ncertificates = [\"spiffe://agenda/front\"]\n\
    [caller.booking]\nuse_cases = [\"*\"]\ncustomers = [\"*\"]\nnetworks = [\"127.0.0.0/8\"]\n\
    [caller.gone]\nuse_cases = [\"search\"]\ncustomers = [\"north\"]\nrevoked = true\n";

fn read(text: &str) -> Result<Document, String> {
    Document::read_as(Kind::Identity, text, "i.toml").map_err(|faults| faults[0].to_string())
}

fn compiled(text: &str) -> Identity {
    let mut identity = Identity::of(&read(text).expect("it is right")).expect("it is right");
    identity.compile(
        &BTreeMap::from([("search", 0), ("hold", 1), ("urgent", 2)]),
        &BTreeMap::from([("north", 0), ("south", 1)]),
    );
    identity
}

fn usual(signer: &Signer) -> String {
    format!("{CALLERS}{}", key("k1", signer, NOW_S - 1000.0, NOW_S + 1000.0, NOW_S + 2000.0, ""))
}

fn claims(caller: &str) -> Claims {
    Claims {
        sub: caller.into(),
        aud: "agenda".into(),
        exp: NOW_S + 300.0,
        iat: NOW_S,
        nbf: None,
        jti: Some("t1".into()),
    }
}

fn refusal(identity: &Identity, token: &str) -> Option<Refused> {
    verify(identity, token, at(NOW_S)).err()
}

#[test]
fn each_way_in_which_a_token_is_bad_is_told_from_the_others() {
    for algorithm in ["EdDSA", "ES256"] {
        let (signer, other) =
            (Signer::new(algorithm).expect("a key"), Signer::new(algorithm).expect("a key"));
        let identity = compiled(&usual(&signer));
        let with = |change: &dyn Fn(&mut Claims)| {
            let mut claims = claims("front-desk");
            change(&mut claims);
            refusal(&identity, &signer.sign("k1", &claims).expect("signed"))
        };
        assert_eq!(with(&|_| {}), None);
        assert_eq!(with(&|claims| claims.aud = "other".into()), Some(Refused::Audience));
        // Clocks 90 s apart are allowed for, and no more.
        assert_eq!(with(&|claims| (claims.iat, claims.exp) = (NOW_S - 400.0, NOW_S - 89.0)), None);
        assert_eq!(
            with(&|claims| (claims.iat, claims.exp) = (NOW_S - 400.0, NOW_S - 91.0)),
            Some(Refused::Expired)
        );
        assert_eq!(with(&|claims| claims.iat = NOW_S + 89.0), None);
        assert_eq!(with(&|claims| claims.iat = NOW_S + 91.0), Some(Refused::TooEarly));
        assert_eq!(with(&|claims| claims.nbf = Some(NOW_S + 91.0)), Some(Refused::TooEarly));
        assert_eq!(with(&|claims| claims.exp = NOW_S + 601.0), Some(Refused::TooLong));
        assert_eq!(with(&|claims| claims.exp = f64::MAX), Some(Refused::Unreadable));
        assert_eq!(with(&|claims| claims.sub = "nobody".into()), Some(Refused::UnknownCaller));
        assert_eq!(with(&|claims| claims.sub = "gone".into()), Some(Refused::Revoked));
        let token = signer.sign("k1", &claims("front-desk")).expect("signed");
        assert_eq!(
            refusal(&identity, &signer.sign("k9", &claims("front-desk")).expect("signed")),
            Some(Refused::UnknownKey)
        );
        assert_eq!(
            refusal(&identity, &other.sign("k1", &claims("front-desk")).expect("signed")),
            Some(Refused::Signature)
        );
        // Every part cut or changed.
        let parts: Vec<&str> = token.split('.').collect();
        let header = |text: &str| URL_SAFE_NO_PAD.encode(text);
        let none = format!("{}.{}.", header("{\"alg\":\"none\",\"kid\":\"k1\"}"), parts[1]);
        assert_eq!(refusal(&identity, &none), Some(Refused::Unreadable));
        for swapped in ["HS256", if algorithm == "EdDSA" { "ES256" } else { "EdDSA" }] {
            let swapped = format!(
                "{}.{}.{}",
                header(&format!("{{\"alg\":\"{swapped}\",\"kid\":\"k1\"}}")),
                parts[1],
                parts[2]
            );
            assert_eq!(refusal(&identity, &swapped), Some(Refused::Algorithm));
        }
        let raised = header("{\"sub\":\"booking\",\"aud\":\"agenda\",\"exp\":1800000300,\"iat\":1800000000}");
        assert_eq!(
            refusal(&identity, &format!("{}.{raised}.{}", parts[0], parts[2])),
            Some(Refused::Signature)
        );
        (0..token.len()).for_each(|cut| assert!(refusal(&identity, &token[..cut]).is_some(), "{cut}"));
        assert_eq!(refusal(&identity, &"x".repeat(5000)), Some(Refused::Unreadable));
        let revoked = |rest: &str| refusal(&compiled(&format!("{}{rest}", usual(&signer))), &token);
        assert_eq!(revoked("[revoked]\ntokens = [\"t1\"]\n"), Some(Refused::Revoked));
        assert_eq!(revoked("[revoked]\ntokens = [\"t2\"]\n"), None);
    }
}

#[test]
fn whatever_is_sent_as_a_token_is_refused_and_never_a_panic() {
    let identity = compiled(&usual(&Signer::new("EdDSA").expect("a key")));
    let any = move |bytes: Vec<u8>| {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let dotted = format!("{}.{}.{text}", URL_SAFE_NO_PAD.encode(&bytes), URL_SAFE_NO_PAD.encode(&bytes));
        refusal(&identity, &text).is_some() && refusal(&identity, &dotted).is_some()
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
fn a_set_that_would_lock_everybody_out_or_lose_tokens_is_turned_down_with_its_field() {
    let signer = Signer::new("EdDSA").expect("a key");
    let of = |from: f64, signs: f64, until: f64, rest: &str| {
        key("k1", &signer, NOW_S + from, NOW_S + signs, NOW_S + until, rest)
    };
    let wrong = |text: &str| read(text).expect_err("it is wrong");
    assert!(wrong(CALLERS).contains("field key: expected at least one key that is not revoked"));
    assert!(
        wrong(&format!("{CALLERS}{}", of(0.0, 10.0, 1000.0, "revoked = true\n")))
            .contains("at least one key")
    );
    assert!(
        wrong(&format!("{CALLERS}{}[revoked]\nkeys = [\"k1\"]\n", of(0.0, 10.0, 1000.0, "")))
            .contains("at least one key")
    );
    assert!(wrong(&format!("{CALLERS}{}", of(10.0, 5.0, 1000.0, ""))).contains("the key would sign nothing"));
    assert!(
        wrong(&format!("{CALLERS}{}", of(0.0, 10.0, 100.0, ""))).contains("tokens would outlive their key")
    );
    let second = key("k2", &signer, NOW_S + 50.0, NOW_S + 100.0, NOW_S + 1000.0, "");
    let gap = wrong(&format!("{CALLERS}{}{second}", of(0.0, 10.0, 1000.0, "")));
    assert!(gap.contains("field key.k2.active_from_s") && gap.contains("nobody could sign between"), "{gap}");
    assert!(
        wrong(&format!("{CALLERS}{}{}", of(0.0, 10.0, 1000.0, ""), of(0.0, 10.0, 1000.0, "")))
            .contains("duplicate key")
    );
    let network = usual(&signer).replace("127.0.0.0/8", "127.0.0.0/99");
    assert!(wrong(&network).contains("field caller.booking.networks: expected networks"));
    // Right as a document, but over by now: found when it is to take effect.
    let over = format!("{CALLERS}{}", of(-5000.0, -4000.0, -1000.0, ""));
    assert!(Desk::new(compiled(&over), at(NOW_S)).is_none());
    let mut desk = Desk::new(compiled(&usual(&signer)), at(NOW_S)).expect("a set");
    assert!(desk.replace(compiled(&over), at(NOW_S)).is_err());
    assert!(
        desk.token(at(NOW_S), &signer.sign("k1", &claims("booking")).expect("signed"), HERE).is_ok(),
        "nothing changed"
    );
}

/// What a caller may do, said plainly.
fn plain(
    text: &str,
    caller: &str,
    job_class: &str,
    tenant: Option<&str>,
    from: IpAddr,
) -> Result<String, Refused> {
    let document = read(text).expect("right");
    let words = |field: &str| document.fields().text_list(&format!("caller/{caller}/{field}")).to_vec();
    let any = |list: &[String], name: &str| list.iter().any(|one| one == "*" || one == name);
    if document.fields().boolean(&format!("caller/{caller}/revoked")) == Some(true) {
        return Err(Refused::Revoked);
    }
    let networks = words("networks");
    let inside = |network: &String| network.parse::<ipnet::IpNet>().expect("a network").contains(&from);
    if !networks.is_empty() && !networks.iter().any(inside) {
        return Err(Refused::Network);
    }
    if !any(&words("use_cases"), job_class) {
        return Err(Refused::JobClass);
    }
    let may: Vec<&str> =
        ["north", "south", "west"].into_iter().filter(|name| any(&words("customers"), name)).collect();
    let tenant = match tenant {
        Some(tenant) => tenant,
        None if may.len() == 1 => may[0],
        None => return Err(Refused::Tenant),
    };
    if may.contains(&tenant) { Ok(tenant.to_owned()) } else { Err(Refused::Tenant) }
}

#[test]
fn compiled_rights_say_what_the_plain_ones_say() {
    fn holds(seed: u64) -> bool {
        let (job_classes, tenants) = (["a", "b", "c", "d"], ["north", "south", "west"]);
        let mut chance = MultiplyWithCarry::new(seed);
        let mut some = |of: &[&str], part: f64| {
            let picked: Vec<String> =
                of.iter().filter(|_| chance.next_f64() < part).map(|name| format!("{name:?}")).collect();
            format!("[{}]", picked.join(", "))
        };
        let mut text = format!(
            "audience = \"agenda\"\n{}",
            key("k1", &Signer::new("EdDSA").expect("a key"), 0.0, 1e10, 2e10, "")
        );
        for caller in 0..4 {
            let (asks, serves) =
                (some(&["a", "b", "c", "*", "e"], 0.3), some(&["north", "south", "*", "east"], 0.3));
            let networks = some(&["10.0.0.0/8", "10.1.0.0/16", "::1/128", "127.0.0.0/8"], 0.3);
            let revoked = some(&["x"], 0.2) != "[]";
            text.push_str(&format!("[caller.c{caller}]\nuse_cases = {asks}\ncustomers = {serves}\nnetworks = {networks}\nrevoked = {revoked}\n"));
        }
        let mut identity = Identity::of(&read(&text).expect("right")).expect("right");
        // Places as they may be after names came and went.
        let place = |names: &[&'static str], from: usize| -> BTreeMap<&str, usize> {
            names.iter().enumerate().map(|(place, name)| (*name, from + 3 * place)).collect()
        };
        let (case_at, customer_at) = (place(&job_classes, 2), place(&tenants, 1));
        identity.compile(&case_at, &customer_at);
        let addresses: [IpAddr; 4] =
            ["10.1.2.3", "10.2.0.1", "127.0.0.5", "::1"].map(|text| text.parse().expect("an address"));
        (0..4).all(|caller| {
            let name = format!("c{caller}");
            let id = identity.caller(&name).expect("known");
            job_classes.iter().all(|job_class| {
                [None, Some("north"), Some("south"), Some("west")].iter().all(|tenant| {
                    addresses.iter().all(|from| {
                        let wants = plain(&text, &name, job_class, *tenant, *from);
                        let says =
                            identity.may(id, case_at[job_class], tenant.map(|name| customer_at[name]), *from);
                        wants.map(|name| customer_at[name.as_str()]) == says
                    })
                })
            })
        })
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 17)).tests(200).quickcheck(holds as fn(u64) -> bool);
}

/// A minute of test clock in which a key is rotated each second, by lead and overlap as the operators' tool does it; callers
/// sign with what they know, which is up to half a second old. Nothing valid is refused, and of a caller that was revoked
/// nothing is served from the moment on at which the set says so.
#[test]
fn keys_rotated_each_second_refuse_no_valid_job_and_a_revoked_caller_is_served_nothing() {
    let lived = |made: f64| (made + 0.5, made + 3.0, made + 6.0);
    let mut signers: Vec<(f64, Signer)> = (-3..61)
        .map(|second| {
            (
                NOW_S + f64::from(second),
                Signer::new(if second % 2 == 0 { "EdDSA" } else { "ES256" }).expect("a key"),
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
    let mut desk = Desk::new(compiled(&set(NOW_S)), at(NOW_S)).expect("a set");
    let (mut served, mut refused_after, mut connections) = (0, 0, Vec::new());
    for tick in 0..600 {
        let now = NOW_S + f64::from(tick) / 10.0;
        if tick % 10 == 0 {
            desk.replace(compiled(&set(now)), at(now)).expect("there is always a key");
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
            match desk.token(at(now), &token, HERE) {
                Ok(verified) => {
                    connections.push((now + 2.0, caller, Known { token: Some(verified), certificate: None }))
                }
                Err(refused) => assert!(
                    revoked && matches!(refused, Refused::Revoked | Refused::Doubted),
                    "{refused:?} at {tick}"
                ),
            }
        }
        // All that is in flight, on old connections too.
        connections.retain(|(expires, _, _)| *expires > now);
        for (_, caller, known) in &connections {
            let may = desk.may(at(now), known, 0, None, HERE);
            if *caller == "leaves" && now >= NOW_S + 30.0 {
                assert_eq!(may, Err(Refused::Revoked), "served after it was revoked");
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
fn a_token_that_expires_on_a_living_connection_and_rights_taken_away_bear_on_the_next_job() {
    let signer = Signer::new("EdDSA").expect("a key");
    let mut desk = Desk::new(compiled(&usual(&signer)), at(NOW_S)).expect("a set");
    let token = signer.sign("k1", &claims("front-desk")).expect("signed");
    let known = Known { token: desk.token(at(NOW_S), &token, HERE).ok(), certificate: None };
    let may = |desk: &Desk, after: f64, job_class, tenant| {
        desk.may(at(NOW_S + after), &known, job_class, tenant, HERE)
    };
    assert_eq!(may(&desk, 0.0, 0, None), Ok(0), "its only customer");
    assert_eq!(may(&desk, 0.0, 2, None), Err(Refused::JobClass));
    assert_eq!(
        may(&desk, 0.0, 0, Some(1)),
        Err(Refused::Tenant),
        "a claim beyond it is refused, not corrected"
    );
    assert_eq!(may(&desk, 389.0, 0, None), Ok(0));
    assert_eq!(may(&desk, 391.0, 0, None), Err(Refused::Expired));
    let fewer = usual(&signer).replace("\"search\", \"hold\"", "\"hold\"");
    desk.replace(compiled(&fewer), at(NOW_S)).expect("a set");
    assert_eq!(may(&desk, 1.0, 0, None), Err(Refused::JobClass));
    assert_eq!(may(&desk, 1.0, 1, None), Ok(0));
    assert_eq!(desk.may(at(NOW_S), &Known::default(), 0, None, HERE), Err(Refused::Nameless));
}

#[test]
fn a_revoked_certificate_is_refused_on_the_connection_that_it_opened() {
    let signer = Signer::new("EdDSA").expect("a key");
    let mut desk = Desk::new(compiled(&usual(&signer)), at(NOW_S)).expect("a set");
    let certificate = Certificate {
        names: vec!["spiffe://agenda/front".into()],
        serial: "0A".into(),
        expires: Some(at(NOW_S + 10.0)),
    };
    let known = Known { token: None, certificate: Some(Rc::new(certificate)) };
    assert_eq!(desk.may(at(NOW_S), &known, 0, None, HERE), Ok(0));
    assert_eq!(desk.may(at(NOW_S + 11.0), &known, 0, None, HERE), Err(Refused::Expired));
    desk.replace(compiled(&format!("{}[revoked]\ncertificates = [\"0a\"]\n", usual(&signer))), at(NOW_S))
        .expect("a set");
    assert_eq!(desk.may(at(NOW_S), &known, 0, None, HERE), Err(Refused::Revoked));
    let twice =
        usual(&signer).replace("networks = ", "certificates = [\"spiffe://agenda/front\"]\nnetworks = ");
    assert!(
        Identity::of(&read(&twice).expect("right")).expect_err("wrong").contains("names another caller too")
    );
}

#[test]
fn a_flood_of_bad_tokens_is_refused_unseen_while_known_ones_and_other_sources_go_on() {
    let signer = Signer::new("EdDSA").expect("a key");
    let mut desk = Desk::new(compiled(&usual(&signer)), at(NOW_S)).expect("a set");
    let good = signer.sign("k1", &claims("booking")).expect("signed");
    assert!(desk.token(at(NOW_S), &good, HERE).is_ok());
    let before = desk.checked;
    // 100,000 in a second, all different.
    for count in 0..100_000 {
        let now = at(NOW_S + f64::from(count) / 100_000.0);
        let refused = desk.token(now, &format!("{good}{count}"), HERE).expect_err("bad");
        desk.refused(now, &Known::default(), refused);
    }
    let checked = desk.checked - before;
    assert!(checked < 100, "{checked} signatures looked at");
    let now = at(NOW_S + 1.0);
    assert!(desk.token(now, &good, HERE).is_ok(), "a known token goes on");
    let fresh = signer.sign("k1", &Claims { jti: Some("t9".into()), ..claims("booking") }).expect("signed");
    assert_eq!(desk.token(now, &fresh, HERE).err(), Some(Refused::Doubted), "a new one from there waits");
    assert!(
        desk.token(now, &fresh, "127.0.0.9".parse().expect("an address")).is_ok(),
        "elsewhere it doesn't"
    );
    let later = signer.sign("k1", &Claims { jti: Some("t10".into()), ..claims("booking") }).expect("signed");
    assert!(desk.token(at(NOW_S + 20.0), &later, HERE).is_ok(), "and it is forgotten");
    let lines = desk.audit(at(NOW_S + 2.0));
    assert!(lines.len() <= 3 && lines.iter().map(|line| line.count).sum::<u64>() == 100_000, "{lines:?}");
}

#[test]
fn what_is_remembered_is_bounded() {
    let signer = Signer::new("EdDSA").expect("a key");
    let mut desk = Desk::new(compiled(&usual(&signer)), at(NOW_S)).expect("a set");
    let token = |count: usize| {
        signer.sign("k1", &Claims { jti: Some(count.to_string()), ..claims("booking") }).expect("signed")
    };
    let kept = token(0);
    for count in 0..REMEMBERED + 2000 {
        assert!(desk.token(at(NOW_S), &token(count), HERE).is_ok());
        if count % 100 == 0 {
            assert!(desk.token(at(NOW_S), &kept, HERE).is_ok());
        }
    }
    assert_eq!(desk.remembered(), REMEMBERED);
    let checked = desk.checked;
    assert!(desk.token(at(NOW_S), &kept, HERE).is_ok());
    assert_eq!(desk.checked, checked, "what is used stays");
    assert_eq!(
        checked,
        (REMEMBERED + 2000) as u64,
        "each was checked once: what is used is never forgotten meanwhile"
    );
    let late = Span::from_ms(1e9);
    assert!(desk.token(at(NOW_S) + late, &token(REMEMBERED * 2), HERE).is_err());
}

#[test]
fn a_step_back_to_the_set_before_leaves_what_was_revoked_revoked() {
    let signer = Signer::new("EdDSA").expect("a key");
    let mut desk = Desk::new(compiled(&usual(&signer)), at(NOW_S)).expect("a set");
    let token = |caller: &str, id: &str| {
        signer.sign("k1", &Claims { jti: Some(id.into()), ..claims(caller) }).expect("signed")
    };
    let mut known = |caller: &str, id: &str| Known {
        token: desk.token(at(NOW_S), &token(caller, id), HERE).ok(),
        certificate: None,
    };
    let (front, booking, other) = (known("front-desk", "t1"), known("booking", "t2"), known("booking", "t3"));
    let revokes = usual(&signer).replace("[caller.front-desk]\n", "[caller.front-desk]\nrevoked = true\n");
    desk.replace(compiled(&format!("{revokes}[revoked]\ntokens = [\"t2\"]\n")), at(NOW_S)).expect("a set");
    desk.go_back(compiled(&usual(&signer)), at(NOW_S)).expect("a set");
    assert_eq!(desk.may(at(NOW_S), &front, 0, None, HERE), Err(Refused::Revoked));
    assert_eq!(desk.may(at(NOW_S), &booking, 0, Some(0), HERE), Err(Refused::Revoked));
    assert_eq!(desk.may(at(NOW_S), &other, 0, Some(0), HERE), Ok(0));
    // A set that is published after that is taken as it is.
    desk.replace(compiled(&usual(&signer)), at(NOW_S)).expect("a set");
    assert_eq!(desk.may(at(NOW_S), &front, 0, None, HERE), Ok(0));
}

#[test]
fn a_caller_beyond_its_ceiling_is_told_to_the_module_and_let_in() {
    let signer = Signer::new("EdDSA").expect("a key");
    let limited = usual(&signer).replace("[caller.booking]\n", "[caller.booking]\njobs_per_s = 10\n");
    let mut desk = Desk::new(compiled(&limited), at(NOW_S)).expect("a set");
    let token = signer.sign("k1", &claims("booking")).expect("signed");
    let known = Known { token: desk.token(at(NOW_S), &token, HERE).ok(), certificate: None };
    let mut beyond = |from: f64, gap: f64| {
        let asked = (0..200)
            .map(|count| desk.asks(at(NOW_S + from + f64::from(count) * gap), &known, 0, Some(0), HERE));
        asked.filter(|asked| asked.expect("it is let in").1).count()
    };
    assert_eq!(beyond(0.0, 0.2), 0, "five a second");
    assert!(beyond(50.0, 0.02) > 100, "fifty a second");
}

#[test]
fn what_a_retired_key_signs_anew_is_refused_and_what_it_signed_before_is_taken() {
    let signer = Signer::new("EdDSA").expect("a key");
    let identity = compiled(&format!(
        "{CALLERS}{}",
        key("k1", &signer, NOW_S - 1000.0, NOW_S - 200.0, NOW_S + 1000.0, "")
    ));
    let issued = |ago: f64| {
        signer
            .sign("k1", &Claims { iat: NOW_S - ago, exp: NOW_S + 100.0, ..claims("booking") })
            .expect("signed")
    };
    assert_eq!(refusal(&identity, &issued(210.0)), None);
    assert_eq!(refusal(&identity, &issued(111.0)), None, "within the skew of clocks");
    assert_eq!(refusal(&identity, &issued(0.0)), Some(Refused::KeyNotValid));
}

#[test]
fn lines_of_refusals_are_bounded_whoever_is_refused() {
    let mut audit = hazelgrade_identity::audit::Audit::default();
    for caller in 0..1000 {
        audit.refused(at(NOW_S), Some(&format!("c{caller}")), Refused::JobClass);
    }
    assert!(audit.due(at(NOW_S + 0.5)).is_empty());
    let lines = audit.due(at(NOW_S + 1.0));
    assert!(lines.len() <= 257, "{}", lines.len());
    assert_eq!(lines.iter().map(|line| line.count).sum::<u64>(), 1000, "none is left out of the count");
}
