//! Policies, keys and claims for tests.

#![allow(dead_code, reason = "each test target uses a part")]

use hazelgrade::time::Time;
use hazelgrade_config::{Document, Kind};
use hazelgrade_identity::AccessPolicy;
use hazelgrade_identity::signer::{PublicKey, Signer};
use hazelgrade_identity::token::Claims;
use std::collections::BTreeMap;
use std::net::IpAddr;

pub const NOW_S: f64 = 1_800_000_000.0;

pub const HERE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

pub fn at(seconds: f64) -> Time {
    Time::from_ms(seconds * 1000.0)
}

pub fn key(kid: &str, signer: &Signer, from: f64, signs: f64, until: f64, rest: &str) -> String {
    let PublicKey { x, y } = signer.public_key();
    let y = y.map_or(String::new(), |y| format!("y = \"{y}\"\n"));
    format!(
        "[key.{kid}]\nalgorithm = \"{}\"\nx = \"{x}\"\n{y}active_from_s = {from}\nsigns_until_s = {signs}\nvalid_until_s = {until}\n{rest}\n",
        signer.algorithm()
    )
}

pub const CALLERS: &str = "audience = \"agenda\"\nskew_s = 90\nlongest_token_s = 600\n\
    [caller.front-desk]\nuse_cases = [\"search\", \"hold\"]\ncustomers = [\"north\"]\ncertificates = [\"spiffe://agenda/front\"]\n\
    [caller.booking]\nuse_cases = [\"*\"]\ncustomers = [\"*\"]\nnetworks = [\"127.0.0.0/8\"]\n\
    [caller.gone]\nuse_cases = [\"search\"]\ncustomers = [\"north\"]\nrevoked = true\n";

pub fn read(text: &str) -> Result<Document, String> {
    Document::read_as(Kind::Identity, text, "i.toml").map_err(|faults| faults[0].to_string())
}

pub fn compiled(text: &str) -> AccessPolicy {
    let mut policy = AccessPolicy::from_document(&read(text).expect("it is right")).expect("it is right");
    policy.compile(
        &BTreeMap::from([("search", 0), ("hold", 1), ("urgent", 2)]),
        &BTreeMap::from([("north", 0), ("south", 1)]),
    );
    policy
}

pub fn usual_document(signer: &Signer) -> String {
    format!("{CALLERS}{}", key("k1", signer, NOW_S - 1000.0, NOW_S + 1000.0, NOW_S + 2000.0, ""))
}

pub fn claims(caller: &str) -> Claims {
    Claims {
        sub: caller.into(),
        aud: "agenda".into(),
        exp: NOW_S + 300.0,
        iat: NOW_S,
        nbf: None,
        jti: Some("t1".into()),
    }
}
