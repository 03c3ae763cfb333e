//! Authenticates callers and decides whether a caller may make a request.

use super::clock::Clock;
use crate::protocol::jsonrpc::JobRequest;
use hazelgrade::time::Time;
use hazelgrade_identity::policy::NoValidKey;
use hazelgrade_identity::{AccessPolicy, Authenticator, Authorization, Credentials, DenyReason};
use hazelgrade_settings::HostSettings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// The caller at the other end of a connection.
pub struct Caller {
    /// The remote address of the connection.
    pub address: IpAddr,
    /// The token and the client certificate that identify the caller.
    pub credentials: RefCell<Credentials>,
}

/// Authenticates and authorizes callers. Every request is allowed until authentication is enabled.
#[derive(Default)]
pub struct Callers {
    enabled: Cell<bool>,
    authenticator: RefCell<Option<Authenticator>>,
    /// Serial numbers of the client certificates that operators have revoked.
    revoked_certificates: RefCell<BTreeSet<String>>,
}

impl Callers {
    /// Enables authentication: from now on a job needs a caller with the right to request it. All jobs are denied
    /// until a key set is available.
    pub fn enable(&self) {
        self.enabled.set(true);
    }

    /// Returns whether callers are authenticated.
    pub fn is_enabled(&self) -> bool {
        self.enabled.get()
    }

    /// Replaces keys, callers and rights from the next job on. With `is_rollback`, `policy` replaces a later policy
    /// that failed, and everything that the later policy revoked stays revoked. If no key of `policy` is valid now,
    /// returns an error and changes nothing.
    pub fn replace(
        &self,
        mut policy: AccessPolicy,
        settings: &HostSettings,
        clock: &Clock,
        is_rollback: bool,
    ) -> Result<(), NoValidKey> {
        let indexes = NameIndexes::new(settings);
        policy.compile(&indexes.job_classes, &indexes.tenants);
        let now = clock.now();
        let mut authenticator = self.authenticator.borrow_mut();
        match &mut *authenticator {
            Some(authenticator) => {
                authenticator.set_unix_offset_ms(clock.unix_offset_ms());
                if is_rollback {
                    authenticator.roll_back_policy(policy, now)
                } else {
                    authenticator.replace_policy(policy, now)
                }
            }
            None => {
                let unix_now = Time::from_ms(now.as_ms() + clock.unix_offset_ms());
                *authenticator = Some(Authenticator::new(policy, unix_now)?);
                Ok(())
            }
        }
    }

    /// Removes the key set, so that all requests are denied.
    pub fn clear(&self) {
        self.authenticator.replace(None);
    }

    /// Replaces the serial numbers of revoked certificates. The change also affects established connections.
    pub fn set_revoked_certificates(&self, serials: BTreeSet<String>) {
        self.revoked_certificates.replace(serials);
    }

    /// Resolves the names in the policy against changed job classes and tenants.
    pub fn settings_changed(&self, settings: &HostSettings) {
        if let Some(authenticator) = &mut *self.authenticator.borrow_mut() {
            let indexes = NameIndexes::new(settings);
            authenticator.compile(&indexes.job_classes, &indexes.tenants);
        }
    }

    /// Authenticates the caller of a connection by a token, and returns the caller's name.
    pub fn authenticate(&self, clock: &Clock, caller: &Caller, token: &str) -> Result<String, DenyReason> {
        let now = clock.now();
        let mut authenticator = self.authenticator.borrow_mut();
        let authenticator = authenticator.as_mut().ok_or(DenyReason::UnknownKey)?;
        authenticator.set_unix_offset_ms(clock.unix_offset_ms());
        match authenticator.verify_token(now, token, caller.address) {
            Ok(verified) => {
                let name = verified.caller.clone();
                caller.credentials.borrow_mut().token = Some(verified);
                Ok(name)
            }
            Err(reason) => {
                authenticator.record_denial(now, &caller.credentials.borrow(), reason);
                Err(reason)
            }
        }
    }

    /// Returns the name of the caller of a request, as far as it is known without verifying a token.
    pub fn caller_name(&self, caller: &Caller, token: Option<&str>) -> Option<String> {
        let mut authenticator = self.authenticator.borrow_mut();
        authenticator.as_mut()?.caller_name(&caller.credentials.borrow(), token)
    }

    /// Decides whether a caller may request a job. Sets the job's tenant if the request does not name one, and records
    /// in the job whether the caller is over its rate limit. A token in the request takes precedence over the
    /// connection's credentials.
    pub fn authorize(
        &self,
        clock: &Clock,
        caller: &Caller,
        request: &mut JobRequest,
    ) -> Result<(), DenyReason> {
        if !self.enabled.get() {
            return Ok(());
        }
        let mut authenticator = self.authenticator.borrow_mut();
        let authenticator = authenticator.as_mut().ok_or(DenyReason::UnknownKey)?;
        authenticator.set_unix_offset_ms(clock.unix_offset_ms());
        let now = clock.now();
        let tenant = request.tenant_name.as_ref().map(|_| request.job.tenant);
        let token = request
            .token
            .as_deref()
            .map(|token| authenticator.verify_token(now, token, caller.address))
            .transpose();
        let credentials = caller.credentials.borrow();
        let decision = token.and_then(|token| {
            if self.has_revoked_certificate(&credentials) {
                return Err(DenyReason::Revoked);
            }
            let from_token = token.map(|token| Credentials { token: Some(token), certificate: None });
            let effective = from_token.as_ref().unwrap_or(&credentials);
            authenticator.authorize_and_count(now, effective, request.job.job_class, tenant, caller.address)
        });
        match decision {
            Ok(Authorization { tenant, over_limit }) => {
                request.job.tenant = tenant;
                request.job.over_caller_limit = over_limit;
                Ok(())
            }
            Err(reason) => {
                authenticator.record_denial(now, &credentials, reason);
                Err(reason)
            }
        }
    }

    /// Returns whether the credentials contain a certificate that operators have revoked.
    fn has_revoked_certificate(&self, credentials: &Credentials) -> bool {
        let revoked = self.revoked_certificates.borrow();
        credentials.certificate.as_ref().is_some_and(|certificate| revoked.contains(&certificate.serial))
    }

    /// Logs the audit records that are due. Each record counts the denials of one caller for one reason.
    pub fn audit(&self, now: Time) {
        let records = self
            .authenticator
            .borrow_mut()
            .as_mut()
            .map(|authenticator| authenticator.take_due_audit_records(now))
            .unwrap_or_default();
        for record in records {
            let caller = record.caller.as_deref().unwrap_or("-");
            tracing::warn!(caller, reason = record.reason.message(), count = record.count, "requests denied");
        }
    }
}

/// Maps the names of job classes and tenants to their indexes in the settings. A job class that is not in use any more
/// is included: the retry of a job that ran before may name it.
struct NameIndexes<'a> {
    job_classes: BTreeMap<&'a str, usize>,
    tenants: BTreeMap<&'a str, usize>,
}

impl NameIndexes<'_> {
    fn new(settings: &HostSettings) -> NameIndexes<'_> {
        let job_classes = settings.job_classes.iter().enumerate();
        let tenants = settings.tenants.iter().enumerate();
        NameIndexes {
            job_classes: job_classes.map(|(index, job_class)| (job_class.name.as_str(), index)).collect(),
            tenants: tenants.filter_map(|(index, name)| Some((name.as_deref()?, index))).collect(),
        }
    }
}
