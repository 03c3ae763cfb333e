//! Keys, callers and rights, as a document says them, made ready to be looked up: a decision on a job takes no
//! allocation.

use crate::token::{Key, Refused};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use fixedbitset::FixedBitSet;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::document::DEFAULT_MAX_TOKEN_LIFETIME_S;
use hazelgrade_config::{Document, Fields};
use ipnet::IpNet;
use jsonwebtoken::{Algorithm, DecodingKey};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::IpAddr;

/// How far clocks may lie apart, where a document does not say.
const SKEW_S: f64 = 90.0;
/// Stands for all job classes or tenants.
const ALL: &str = "*";

/// A caller's place in its set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub(crate) usize);

/// Where a key is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// Known, and not yet to sign: what is signed with it is not taken.
    Announced,
    Active,
    /// Signs nothing new; what it signed is taken.
    Retiring,
    Over,
    Revoked,
}

#[derive(Debug)]
struct Caller {
    name: String,
    revoked: bool,
    job_classes: Vec<String>,
    tenants: Vec<String>,
    networks: Vec<IpNet>,
    jobs_per_s: Option<f64>,
    /// By place of the site, see `compile`.
    may_ask: FixedBitSet,
    may_for: FixedBitSet,
    /// The one tenant it may ask for, if there is just one.
    only: Option<usize>,
}

#[derive(Debug)]
pub struct Identity {
    pub(crate) audience: String,
    pub(crate) skew: Span,
    pub(crate) longest_token: Span,
    keys: HashMap<String, Key>,
    callers: Vec<Caller>,
    by_name: HashMap<String, CallerId>,
    by_certificate: HashMap<String, CallerId>,
    revoked_tokens: HashSet<String>,
    revoked_certificates: BTreeSet<String>,
}

fn at(seconds: f64) -> Time {
    Time::from_ms(seconds * 1000.0)
}

fn key(fields: &Fields, kid: &str, longest: f64) -> Result<Key, String> {
    let path = |field: &str| format!("key/{kid}/{field}");
    let part = |field: &str| fields.text(&path(field)).unwrap_or_default();
    let bytes = |field: &str| {
        let bytes = URL_SAFE_NO_PAD.decode(part(field)).ok().filter(|bytes| bytes.len() == 32);
        bytes.ok_or_else(|| format!("field key.{kid}.{field}: expected 32 bytes in base64url"))
    };
    let x = bytes("x")?;
    let wrong = |error: jsonwebtoken::errors::Error| format!("field key.{kid}.x: {error}");
    let (algorithm, decoding) = match part("algorithm") {
        "ES256" => {
            bytes("y")?;
            (Algorithm::ES256, DecodingKey::from_ec_components(part("x"), part("y")).map_err(wrong)?)
        }
        _ => (Algorithm::EdDSA, DecodingKey::from_ed_der(&x)),
    };
    let number = |field: &str| fields.number(&path(field));
    let until = number("valid_until_s").unwrap_or(0.0);
    let listed = fields.text_list("revoked/keys").iter().any(|revoked| revoked == kid);
    Ok(Key {
        algorithm,
        decoding,
        active_from: at(number("active_from_s").unwrap_or(0.0)),
        signs_until: at(number("signs_until_s").unwrap_or(until - longest)),
        valid_until: at(until),
        revoked: listed || fields.boolean(&path("revoked")) == Some(true),
    })
}

impl Identity {
    /// Of an identity document; what the document's own checks can't see is told in words with its field.
    pub fn of(document: &Document) -> Result<Identity, String> {
        let fields = document.fields();
        let longest = fields.number("longest_token_s").unwrap_or(DEFAULT_MAX_TOKEN_LIFETIME_S);
        let mut keys = HashMap::new();
        for kid in fields.names("key") {
            keys.insert(kid.to_owned(), key(fields, kid, longest)?);
        }
        let (mut callers, mut by_name, mut by_certificate) = (Vec::new(), HashMap::new(), HashMap::new());
        for name in fields.names("caller") {
            let words = |field: &str| fields.text_list(&format!("caller/{name}/{field}")).to_vec();
            let id = CallerId(callers.len());
            for certificate in words("certificates") {
                if by_certificate.insert(certificate.clone(), id).is_some() {
                    return Err(format!(
                        "field caller.{name}.certificates: {certificate} names another caller too"
                    ));
                }
            }
            by_name.insert(name.to_owned(), id);
            callers.push(Caller {
                name: name.to_owned(),
                revoked: fields.boolean(&format!("caller/{name}/revoked")) == Some(true),
                job_classes: words("use_cases"),
                tenants: words("customers"),
                networks: words("networks").iter().filter_map(|network| network.parse().ok()).collect(),
                jobs_per_s: fields.number(&format!("caller/{name}/jobs_per_s")),
                may_ask: FixedBitSet::new(),
                may_for: FixedBitSet::new(),
                only: None,
            });
        }
        Ok(Identity {
            audience: fields.text("audience").unwrap_or_default().to_owned(),
            skew: Span::from_ms(fields.number("skew_s").unwrap_or(SKEW_S) * 1000.0),
            longest_token: Span::from_ms(longest * 1000.0),
            keys,
            callers,
            by_name,
            by_certificate,
            revoked_tokens: fields.text_list("revoked/tokens").iter().cloned().collect(),
            revoked_certificates: fields
                .text_list("revoked/certificates")
                .iter()
                .map(|serial| serial.to_lowercase())
                .collect(),
        })
    }

    /// Some key verifies now: without one nobody could be let in.
    pub fn verifies_at(&self, now: Time) -> bool {
        self.keys.values().any(|key| matches!(key.life(now), Life::Active | Life::Retiring))
    }

    /// What another set revoked is revoked here too.
    pub(crate) fn also_revoked(&mut self, other: &Identity) {
        for (kid, key) in &mut self.keys {
            key.revoked |= other.keys.get(kid).is_some_and(|key| key.revoked);
        }
        for caller in &mut self.callers {
            let of_other = other.by_name.get(&caller.name).and_then(|id| other.callers.get(id.0));
            caller.revoked |= of_other.is_some_and(|other| other.revoked);
        }
        self.revoked_tokens.extend(other.revoked_tokens.iter().cloned());
        self.revoked_certificates.extend(other.revoked_certificates.iter().cloned());
    }

    /// Brings the rights to the places of the site: by name of each job class and tenant that is in use.
    pub fn compile(&mut self, job_classes: &BTreeMap<&str, usize>, tenants: &BTreeMap<&str, usize>) {
        let bits = |names: &[String], places: &BTreeMap<&str, usize>| {
            let mut bits = FixedBitSet::with_capacity(places.values().max().map_or(0, |most| most + 1));
            let named =
                places.iter().filter(|(place, _)| names.iter().any(|name| name == *place || name == ALL));
            named.for_each(|(_, place)| bits.insert(*place));
            bits
        };
        for caller in &mut self.callers {
            caller.may_ask = bits(&caller.job_classes, job_classes);
            caller.may_for = bits(&caller.tenants, tenants);
            caller.only = caller.may_for.ones().next().filter(|_| caller.may_for.count_ones(..) == 1);
        }
    }

    pub fn caller(&self, name: &str) -> Option<CallerId> {
        self.by_name.get(name).copied()
    }

    /// The caller whom a certificate names by one of its subject's alternative names.
    pub fn certified<'a>(&self, names: impl IntoIterator<Item = &'a str>) -> Option<CallerId> {
        names.into_iter().find_map(|name| self.by_certificate.get(name).copied())
    }

    /// A certificate's serial, in hex, is on the list of those revoked.
    pub fn certificate_revoked(&self, serial: &str) -> bool {
        self.revoked_certificates.contains(&serial.to_lowercase())
    }

    pub fn name(&self, caller: CallerId) -> &str {
        self.callers.get(caller.0).map_or("", |caller| &caller.name)
    }

    /// A ceiling that the module may hear of; no admission of its own.
    pub fn jobs_per_s(&self, caller: CallerId) -> Option<f64> {
        self.callers.get(caller.0)?.jobs_per_s
    }

    pub(crate) fn key(&self, kid: &str) -> Option<&Key> {
        self.keys.get(kid)
    }

    pub(crate) fn token_revoked(&self, token: &str) -> bool {
        self.revoked_tokens.contains(token)
    }

    /// The tenant that a job is for, if this caller may ask for that from there. Without a tenant named it is the
    /// only one that it may ask for.
    pub fn may(
        &self,
        caller: CallerId,
        job_class: usize,
        tenant: Option<usize>,
        from: IpAddr,
    ) -> Result<usize, Refused> {
        let Some(caller) = self.callers.get(caller.0) else { return Err(Refused::UnknownCaller) };
        if caller.revoked {
            return Err(Refused::Revoked);
        }
        if !caller.networks.is_empty() && !caller.networks.iter().any(|network| network.contains(&from)) {
            return Err(Refused::Network);
        }
        if !caller.may_ask.contains(job_class) {
            return Err(Refused::JobClass);
        }
        let tenant = tenant.or(caller.only).ok_or(Refused::Tenant)?;
        if caller.may_for.contains(tenant) { Ok(tenant) } else { Err(Refused::Tenant) }
    }

    /// May still ask for anything at all.
    pub(crate) fn caller_stands(&self, caller: CallerId) -> bool {
        self.callers.get(caller.0).is_some_and(|caller| !caller.revoked)
    }
}
