//! Identity documents that are wrong, and rights compared with a plain model.

#![allow(clippy::expect_used)]

mod common;

use common::{CALLERS, HERE, NOW_S, at, claims, compiled, key, read, usual_document};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade_identity::signer::Signer;
use hazelgrade_identity::{AccessPolicy, Authenticator, DenyReason};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::net::IpAddr;

#[test]
fn a_policy_that_would_lock_everybody_out_or_lose_tokens_is_an_error_with_its_field() {
    let signer = Signer::generate("EdDSA").expect("a key");
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
    let network = usual_document(&signer).replace("127.0.0.0/8", "127.0.0.0/99");
    assert!(wrong(&network).contains("field caller.booking.networks: expected networks"));
    // Right as a document, but over by now: found when it is to take effect.
    let over = format!("{CALLERS}{}", of(-5000.0, -4000.0, -1000.0, ""));
    assert!(Authenticator::new(compiled(&over), at(NOW_S)).is_err());
    let mut authenticator = Authenticator::new(compiled(&usual_document(&signer)), at(NOW_S)).expect("a set");
    assert!(authenticator.replace_policy(compiled(&over), at(NOW_S)).is_err());
    assert!(
        authenticator
            .verify_token(at(NOW_S), &signer.sign("k1", &claims("booking")).expect("signed"), HERE)
            .is_ok(),
        "nothing changed"
    );
}

/// What a caller may do, said plainly.
fn plain_rights(
    text: &str,
    caller: &str,
    job_class: &str,
    tenant: Option<&str>,
    from: IpAddr,
) -> Result<String, DenyReason> {
    let document = read(text).expect("right");
    let words = |field: &str| document.fields().text_list(&format!("caller/{caller}/{field}")).to_vec();
    let any = |list: &[String], name: &str| list.iter().any(|one| one == "*" || one == name);
    if document.fields().boolean(&format!("caller/{caller}/revoked")) == Some(true) {
        return Err(DenyReason::Revoked);
    }
    let networks = words("networks");
    let inside = |network: &String| network.parse::<ipnet::IpNet>().expect("a network").contains(&from);
    if !networks.is_empty() && !networks.iter().any(inside) {
        return Err(DenyReason::NetworkNotAllowed);
    }
    if !any(&words("use_cases"), job_class) {
        return Err(DenyReason::JobClassNotAllowed);
    }
    let may: Vec<&str> =
        ["north", "south", "west"].into_iter().filter(|name| any(&words("customers"), name)).collect();
    let tenant = match tenant {
        Some(tenant) => tenant,
        None if may.len() == 1 => may[0],
        None => return Err(DenyReason::TenantNotAllowed),
    };
    if may.contains(&tenant) { Ok(tenant.to_owned()) } else { Err(DenyReason::TenantNotAllowed) }
}

#[test]
fn compiled_rights_agree_with_a_plain_model() {
    fn holds(seed: u64) -> bool {
        let (job_classes, tenants) = (["a", "b", "c", "d"], ["north", "south", "west"]);
        let mut random = MultiplyWithCarry::new(seed);
        let mut some = |of: &[&str], part: f64| {
            let picked: Vec<String> =
                of.iter().filter(|_| random.next_f64() < part).map(|name| format!("{name:?}")).collect();
            format!("[{}]", picked.join(", "))
        };
        let mut text = format!(
            "audience = \"agenda\"\n{}",
            key("k1", &Signer::generate("EdDSA").expect("a key"), 0.0, 1e10, 2e10, "")
        );
        for caller in 0..4 {
            let (asks, serves) =
                (some(&["a", "b", "c", "*", "e"], 0.3), some(&["north", "south", "*", "east"], 0.3));
            let networks = some(&["10.0.0.0/8", "10.1.0.0/16", "::1/128", "127.0.0.0/8"], 0.3);
            let revoked = some(&["x"], 0.2) != "[]";
            text.push_str(&format!("[caller.c{caller}]\nuse_cases = {asks}\ncustomers = {serves}\nnetworks = {networks}\nrevoked = {revoked}\n"));
        }
        let mut policy = AccessPolicy::from_document(&read(&text).expect("right")).expect("right");
        // Places as they may be after names came and went.
        let place = |names: &[&'static str], from: usize| -> BTreeMap<&str, usize> {
            names.iter().enumerate().map(|(place, name)| (*name, from + 3 * place)).collect()
        };
        let (job_class_at, tenant_at) = (place(&job_classes, 2), place(&tenants, 1));
        policy.compile(&job_class_at, &tenant_at);
        let addresses: [IpAddr; 4] =
            ["10.1.2.3", "10.2.0.1", "127.0.0.5", "::1"].map(|text| text.parse().expect("an address"));
        (0..4).all(|caller| {
            let name = format!("c{caller}");
            let id = policy.caller_by_name(&name).expect("known");
            job_classes.iter().all(|job_class| {
                [None, Some("north"), Some("south"), Some("west")].iter().all(|tenant| {
                    addresses.iter().all(|from| {
                        let wants = plain_rights(&text, &name, job_class, *tenant, *from);
                        let says = policy.authorize(
                            id,
                            job_class_at[job_class],
                            tenant.map(|name| tenant_at[name]),
                            *from,
                        );
                        wants.map(|name| tenant_at[name.as_str()]) == says
                    })
                })
            })
        })
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 17)).tests(200).quickcheck(holds as fn(u64) -> bool);
}
