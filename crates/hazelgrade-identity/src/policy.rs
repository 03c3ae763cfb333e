//! An identity document prepared for lookups: keys, callers, rights and revocations. Authorizing a job takes no
//! allocation.

use crate::caller_rights::{CallerId, CallerRights};
use crate::deny_reason::DenyReason;
use crate::key::{KeyState, VerificationKey};
pub use crate::policy_error::{NoValidKey, PolicyError};
use hazelgrade::time::{Span, Time};
use hazelgrade_config::document::DEFAULT_MAX_TOKEN_LIFETIME_S;
use hazelgrade_config::{Document, Fields};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::IpAddr;

/// How far the clocks of signers and nodes may differ if a document doesn't state it, in seconds.
const DEFAULT_CLOCK_SKEW_S: f64 = 90.0;

/// Who may request what, and which keys and revocations apply.
#[derive(Debug)]
pub struct AccessPolicy {
    /// What a token's `aud` must be.
    pub(crate) audience: String,
    /// How far the clocks of signers and nodes may differ.
    pub(crate) clock_skew: Span,
    /// The longest lifetime of a token.
    pub(crate) max_token_lifetime: Span,
    keys: HashMap<String, VerificationKey>,
    callers: Callers,
    revoked_tokens: HashSet<String>,
    revoked_certificates: BTreeSet<String>,
}

/// All callers, by index, by name and by certificate name.
#[derive(Debug, Default)]
struct Callers {
    rights: Vec<CallerRights>,
    by_name: HashMap<String, CallerId>,
    by_certificate: HashMap<String, CallerId>,
}

impl Callers {
    fn from_fields(fields: &Fields) -> Result<Callers, PolicyError> {
        let mut callers = Callers::default();
        for name in fields.names("caller") {
            let id = CallerId(callers.rights.len());
            for certificate in fields.text_list(&format!("caller/{name}/certificates")) {
                if callers.by_certificate.insert(certificate.clone(), id).is_some() {
                    return Err(PolicyError::AmbiguousCertificate {
                        caller: name.to_owned(),
                        certificate: certificate.clone(),
                    });
                }
            }
            callers.by_name.insert(name.to_owned(), id);
            callers.rights.push(CallerRights::from_fields(fields, name));
        }
        Ok(callers)
    }

    fn get(&self, id: CallerId) -> Option<&CallerRights> {
        self.rights.get(id.0)
    }
}

impl AccessPolicy {
    /// The policy of an identity document.
    ///
    /// # Errors
    /// An error that the document's own checks don't find, with its field: a malformed public key, or a certificate
    /// name that two callers have.
    pub fn from_document(document: &Document) -> Result<AccessPolicy, PolicyError> {
        let fields = document.fields();
        let max_token_lifetime_s = fields.number("longest_token_s").unwrap_or(DEFAULT_MAX_TOKEN_LIFETIME_S);
        let clock_skew_s = fields.number("skew_s").unwrap_or(DEFAULT_CLOCK_SKEW_S);
        let mut keys = HashMap::new();
        for key_id in fields.names("key") {
            let key = VerificationKey::from_fields(fields, key_id, max_token_lifetime_s)?;
            keys.insert(key_id.to_owned(), key);
        }
        let revoked_certificates = fields.text_list("revoked/certificates").iter();
        Ok(AccessPolicy {
            audience: fields.text("audience").unwrap_or_default().to_owned(),
            clock_skew: Span::from_ms(clock_skew_s * 1000.0),
            max_token_lifetime: Span::from_ms(max_token_lifetime_s * 1000.0),
            keys,
            callers: Callers::from_fields(fields)?,
            revoked_tokens: fields.text_list("revoked/tokens").iter().cloned().collect(),
            revoked_certificates: revoked_certificates.map(|serial| serial.to_lowercase()).collect(),
        })
    }

    /// Whether some key verifies tokens now; without one no token would be accepted.
    pub fn has_valid_key(&self, now: Time) -> bool {
        self.keys.values().any(|key| matches!(key.state(now), KeyState::Active | KeyState::Retiring))
    }

    /// Adds the revocations of another policy to this one.
    pub(crate) fn add_revocations_of(&mut self, other: &AccessPolicy) {
        for (key_id, key) in &mut self.keys {
            key.revoked |= other.keys.get(key_id).is_some_and(|key| key.revoked);
        }
        for caller in &mut self.callers.rights {
            let same_caller = other.caller_by_name(&caller.name).and_then(|id| other.callers.get(id));
            caller.revoked |= same_caller.is_some_and(|other| other.revoked);
        }
        self.revoked_tokens.extend(other.revoked_tokens.iter().cloned());
        self.revoked_certificates.extend(other.revoked_certificates.iter().cloned());
    }

    /// Resolves the names of job classes and tenants that are in use to the node's indexes. Until then nobody may
    /// request anything.
    pub fn compile(&mut self, job_classes: &BTreeMap<&str, usize>, tenants: &BTreeMap<&str, usize>) {
        for caller in &mut self.callers.rights {
            caller.compile(job_classes, tenants);
        }
    }

    /// The caller of this name, if there is one.
    pub fn caller_by_name(&self, name: &str) -> Option<CallerId> {
        self.callers.by_name.get(name).copied()
    }

    /// The caller of the first of a certificate's subject alternative names that is known.
    pub fn caller_by_certificate<'a>(&self, names: impl IntoIterator<Item = &'a str>) -> Option<CallerId> {
        names.into_iter().find_map(|name| self.callers.by_certificate.get(name).copied())
    }

    /// A caller's name; empty if the id is of another policy.
    pub fn caller_name(&self, caller: CallerId) -> &str {
        self.callers.get(caller).map_or("", |caller| &caller.name)
    }

    /// A caller's limit in jobs per second; jobs beyond it are marked. `None` if it is unlimited.
    pub fn jobs_per_s(&self, caller: CallerId) -> Option<f64> {
        self.callers.get(caller)?.jobs_per_s
    }

    /// Whether the certificate of this serial, in hex, is revoked.
    pub fn is_certificate_revoked(&self, serial: &str) -> bool {
        self.revoked_certificates.contains(&serial.to_lowercase())
    }

    pub(crate) fn is_token_revoked(&self, token_id: &str) -> bool {
        self.revoked_tokens.contains(token_id)
    }

    /// Whether the caller is revoked; an unknown caller counts as revoked.
    pub(crate) fn is_caller_revoked(&self, caller: CallerId) -> bool {
        self.callers.get(caller).is_none_or(|caller| caller.revoked)
    }

    pub(crate) fn key(&self, key_id: &str) -> Option<&VerificationKey> {
        self.keys.get(key_id)
    }

    /// The tenant of a job that a caller requests from this address: the requested one, or else the caller's only one.
    /// Job class and tenant are the indexes that were passed to `compile`.
    ///
    /// # Errors
    /// The first check that fails: whether the caller is known and not revoked, its network, the job class, the tenant.
    pub fn authorize(
        &self,
        caller: CallerId,
        job_class: usize,
        tenant: Option<usize>,
        address: IpAddr,
    ) -> Result<usize, DenyReason> {
        let rights = self.callers.get(caller).ok_or(DenyReason::UnknownCaller)?;
        rights.authorize(job_class, tenant, address)
    }
}
