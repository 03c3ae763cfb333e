//! Authenticates connections and authorizes each job. The policy can be replaced at any time: from the next job on,
//! tokens that were verified before are checked under the new one.

use crate::audit::{AuditLog, AuditRecord};
use crate::caller_rates::CallerRates;
use crate::caller_rights::CallerId;
use crate::certificate::ClientCertificate;
use crate::deny_reason::DenyReason;
use crate::policy::{AccessPolicy, NoValidKey};
use crate::source_penalty::SourcePenalty;
use crate::token::{VerifiedToken, valid_caller, verify};
use crate::token_cache::{TokenCache, token_digest};
use hazelgrade::time::Time;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;

/// The most verified tokens that are cached, at some 200 bytes each.
pub const MAX_CACHED_TOKENS: usize = 16 * 1024;

/// The most callers whose rate is tracked.
const MAX_TRACKED_CALLERS: usize = MAX_CACHED_TOKENS;

/// What identifies the caller of a connection or a job. A token takes precedence over a certificate.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// The token, if one was presented and verified.
    pub token: Option<Rc<VerifiedToken>>,
    /// The client certificate, if one was presented and its chain verified.
    pub certificate: Option<Rc<ClientCertificate>>,
}

/// A job that its caller may request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authorization {
    /// The index of the tenant that the job is for.
    pub tenant: usize,
    /// Whether the caller is over its limit of jobs per second. The job may run all the same; the controller reduces
    /// its priority.
    pub over_limit: bool,
}

/// Authenticates callers and authorizes their jobs under the policy in effect.
pub struct Authenticator {
    policy: AccessPolicy,
    cache: TokenCache,
    penalty: SourcePenalty,
    audit: AuditLog,
    rates: CallerRates,
    signatures_checked: u64,
    /// How far the Unix clock is ahead of the clock of `now`, in milliseconds.
    unix_offset_ms: f64,
}

impl Authenticator {
    /// An authenticator under this policy, for a clock that shows Unix time now.
    ///
    /// # Errors
    /// No key of the policy is valid now.
    pub fn new(policy: AccessPolicy, now: Time) -> Result<Authenticator, NoValidKey> {
        if !policy.has_valid_key(now) {
            return Err(NoValidKey);
        }
        Ok(Authenticator {
            policy,
            cache: TokenCache::new(MAX_CACHED_TOKENS),
            penalty: SourcePenalty::default(),
            audit: AuditLog::default(),
            rates: CallerRates::new(MAX_TRACKED_CALLERS),
            signatures_checked: 0,
            unix_offset_ms: 0.0,
        })
    }

    /// Sets how far the Unix clock is ahead of the clock by which this authenticator is told the time, in milliseconds;
    /// negative if it is behind. What is signed is valid by the Unix clock, rates and limits go by the other one, so that
    /// a step of the Unix clock neither lifts nor prolongs them.
    pub fn set_unix_offset_ms(&mut self, unix_offset_ms: f64) {
        self.unix_offset_ms = unix_offset_ms;
    }

    fn unix(&self, now: Time) -> Time {
        Time::from_ms(now.as_ms() + self.unix_offset_ms)
    }

    /// Puts another policy into effect.
    ///
    /// # Errors
    /// No key of the policy is valid now; the policy before stays in effect.
    pub fn replace_policy(&mut self, policy: AccessPolicy, now: Time) -> Result<(), NoValidKey> {
        if !policy.has_valid_key(self.unix(now)) {
            return Err(NoValidKey);
        }
        self.policy = policy;
        Ok(())
    }

    /// Puts the previous policy back into effect after one that failed its trial; what the failed one revoked stays
    /// revoked.
    ///
    /// # Errors
    /// No key of the policy is valid now; the failed one stays in effect.
    pub fn roll_back_policy(&mut self, mut policy: AccessPolicy, now: Time) -> Result<(), NoValidKey> {
        policy.add_revocations_of(&self.policy);
        self.replace_policy(policy, now)
    }

    /// Resolves the policy's names of job classes and tenants to the node's current indexes.
    pub fn compile(&mut self, job_classes: &BTreeMap<&str, usize>, tenants: &BTreeMap<&str, usize>) {
        self.policy.compile(job_classes, tenants);
    }

    /// Verifies a token that came from this address, or takes it from the cache if it was verified before.
    ///
    /// # Errors
    /// Why the token is denied. The source is penalized if it sends too many bad ones, but not if this node may only lack
    /// their keys.
    pub fn verify_token(
        &mut self,
        now: Time,
        token: &str,
        source: IpAddr,
    ) -> Result<Rc<VerifiedToken>, DenyReason> {
        let digest = token_digest(token);
        if let Some(cached) = self.cache.get(&digest) {
            return Ok(cached);
        }
        if self.penalty.is_penalized(now, source) {
            return Err(DenyReason::SourcePenalized);
        }
        self.signatures_checked += 1;
        match verify(&self.policy, token, self.unix(now)) {
            Ok(verified) => {
                let verified = Rc::new(verified);
                self.cache.insert(digest, verified.clone());
                Ok(verified)
            }
            Err(reason) => {
                if !reason.suggests_late_key_set() {
                    self.penalty.record_bad_token(now, source);
                }
                Err(reason)
            }
        }
    }

    /// The name of the caller that the credentials identify, whether or not they are valid now and the caller may still
    /// request anything. A token takes precedence; it is known only if it was verified before.
    pub fn caller_name(&mut self, credentials: &Credentials, token: Option<&str>) -> Option<String> {
        if let Some(token) = token {
            return self.cache.get(&token_digest(token)).map(|verified| verified.caller.clone());
        }
        if let Some(verified) = &credentials.token {
            return Some(verified.caller.clone());
        }
        let names = credentials.certificate.as_ref()?.names.iter().map(String::as_str);
        let caller = self.policy.caller_by_certificate(names)?;
        Some(self.policy.caller_name(caller).to_owned())
    }

    /// The caller that the credentials identify, if they are valid now.
    fn authenticate(&self, now: Time, credentials: &Credentials) -> Result<CallerId, DenyReason> {
        if let Some(token) = &credentials.token {
            return valid_caller(&self.policy, token, self.unix(now));
        }
        let certificate = credentials.certificate.as_ref().ok_or(DenyReason::NoCredentials)?;
        if self.policy.is_certificate_revoked(&certificate.serial) {
            return Err(DenyReason::Revoked);
        }
        if certificate.expires_at.is_some_and(|expires_at| expires_at <= self.unix(now)) {
            return Err(DenyReason::Expired);
        }
        let names = certificate.names.iter().map(String::as_str);
        self.policy.caller_by_certificate(names).ok_or(DenyReason::UnknownCaller)
    }

    /// The tenant of a job that the holder of the credentials requests from this address; the job is not counted
    /// against its caller's limit.
    ///
    /// # Errors
    /// Why the caller may not request it.
    pub fn authorize(
        &self,
        now: Time,
        credentials: &Credentials,
        job_class: usize,
        tenant: Option<usize>,
        address: IpAddr,
    ) -> Result<usize, DenyReason> {
        let caller = self.authenticate(now, credentials)?;
        self.policy.authorize(caller, job_class, tenant, address)
    }

    /// Authorizes a job that is requested now and counts it against its caller's limit.
    ///
    /// # Errors
    /// Why the caller may not request it; then it is not counted.
    pub fn authorize_and_count(
        &mut self,
        now: Time,
        credentials: &Credentials,
        job_class: usize,
        tenant: Option<usize>,
        address: IpAddr,
    ) -> Result<Authorization, DenyReason> {
        let caller = self.authenticate(now, credentials)?;
        let tenant = self.policy.authorize(caller, job_class, tenant, address)?;
        let over_limit = match self.policy.jobs_per_s(caller) {
            Some(limit_per_s) => self.rates.count(now, self.policy.caller_name(caller), limit_per_s),
            None => false,
        };
        Ok(Authorization { tenant, over_limit })
    }

    /// Counts a denial for the audit log, under the caller's name only if the policy knows it: any other name could be
    /// made up.
    pub fn record_denial(&mut self, now: Time, credentials: &Credentials, reason: DenyReason) {
        let caller = match (&credentials.token, &credentials.certificate) {
            (Some(token), _) => self.policy.caller_by_name(&token.caller),
            (None, Some(certificate)) => {
                self.policy.caller_by_certificate(certificate.names.iter().map(String::as_str))
            }
            (None, None) => None,
        };
        let name = caller.map(|caller| self.policy.caller_name(caller));
        self.audit.record(now, name, reason);
    }

    /// Takes the audit records that are due for the log.
    pub fn take_due_audit_records(&mut self, now: Time) -> Vec<AuditRecord> {
        self.audit.take_due(now)
    }

    /// Denials that were recorded since the start.
    pub fn denials(&self) -> u64 {
        self.audit.total()
    }

    /// Tokens in the cache.
    pub fn cached_tokens(&self) -> usize {
        self.cache.len()
    }

    /// Tokens that were not in the cache and were verified, since the start.
    pub fn signatures_checked(&self) -> u64 {
        self.signatures_checked
    }
}
