//! Rules of an identity document: signing keys that follow each other without a gap, and callers with rights.

use super::Validator;
use crate::document::DEFAULT_MAX_TOKEN_LIFETIME_S;
use ipnet::IpNet;

/// The time in which a key signs, in seconds since 1970.
struct SigningPeriod<'a> {
    key: &'a str,
    from_s: f64,
    until_s: f64,
}

impl Validator<'_> {
    pub(super) fn check_identity(&mut self) {
        self.require("audience");
        self.check_keys();
        for caller in self.fields.names("caller") {
            self.check_caller(caller);
        }
    }

    fn check_keys(&mut self) {
        let fields = self.fields;
        let max_token_lifetime_s = fields.number("longest_token_s").unwrap_or(DEFAULT_MAX_TOKEN_LIFETIME_S);
        let mut periods = Vec::new();
        for key in fields.names("key") {
            let period = self.check_key(key, max_token_lifetime_s);
            let is_listed = fields.text_list("revoked/keys").iter().any(|revoked| revoked == key);
            if !is_listed && fields.boolean(&format!("key/{key}/revoked")) != Some(true) {
                periods.push(period);
            }
        }
        if periods.is_empty() {
            self.violation("key", "expected at least one key that is not revoked");
        }
        periods.sort_by(|one, other| one.from_s.total_cmp(&other.from_s));
        for pair in periods.windows(2) {
            let before = &pair[0];
            let after = &pair[1];
            if after.from_s > before.until_s {
                let message = format!(
                    "expected it no later than signs_until_s of {}: nobody could sign between",
                    before.key
                );
                self.violation(&format!("key/{}/active_from_s", after.key), message);
            }
        }
    }

    fn check_key<'a>(&mut self, key: &'a str, max_token_lifetime_s: f64) -> SigningPeriod<'a> {
        let fields = self.fields;
        let path_of = |field: &str| format!("key/{key}/{field}");
        for field in ["algorithm", "x", "active_from_s", "valid_until_s"] {
            self.require(&path_of(field));
        }
        let needs_y = fields.text(&path_of("algorithm")) == Some("ES256");
        if needs_y != fields.text(&path_of("y")).is_some() {
            let message = if needs_y { "is missing: ES256 has x and y" } else { "EdDSA has no y" };
            self.violation(&path_of("y"), message);
        }
        let from_s = fields.number(&path_of("active_from_s")).unwrap_or(0.0);
        let valid_until_s = fields.number(&path_of("valid_until_s")).unwrap_or(0.0);
        let until_s =
            fields.number(&path_of("signs_until_s")).unwrap_or(valid_until_s - max_token_lifetime_s);
        if from_s >= until_s {
            self.violation(
                &path_of("active_from_s"),
                "expected it before signs_until_s: the key would sign nothing",
            );
        } else if until_s + max_token_lifetime_s > valid_until_s {
            self.violation(
                &path_of("valid_until_s"),
                "expected it at least longest_token_s after signs_until_s: tokens would outlive their key",
            );
        }
        SigningPeriod { key, from_s, until_s }
    }

    fn check_caller(&mut self, caller: &str) {
        let path_of = |field: &str| format!("caller/{caller}/{field}");
        for field in ["use_cases", "customers"] {
            self.require(&path_of(field));
        }
        let networks = self.fields.text_list(&path_of("networks"));
        if networks.iter().any(|network| network.parse::<IpNet>().is_err()) {
            self.violation(&path_of("networks"), "expected networks like 10.0.0.0/8");
        }
    }
}
