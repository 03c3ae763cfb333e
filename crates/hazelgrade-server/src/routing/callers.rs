//! Identifies callers, and decides whether they may make a request.

use crate::protocol::jsonrpc::JobRequest;
use hazelgrade::time::Time;
use hazelgrade_identity::desk::{Desk, Known};
use hazelgrade_identity::{Identity, Refused};
use hazelgrade_settings::HostSettings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// The caller at the other end of a connection.
pub struct Caller {
    /// The address that the connection comes from.
    pub address: IpAddr,
    /// What the connection is identified by.
    pub known: RefCell<Known>,
}

/// Callers and their rights; off at first, and then every request is allowed.
#[derive(Default)]
pub struct Callers {
    enabled: Cell<bool>,
    desk: RefCell<Option<Desk>>,
    /// Serial numbers of the certificates on the operators' list of revoked ones.
    revoked_certificates: RefCell<BTreeSet<String>>,
}

impl Callers {
    /// From now on every job needs a caller with the right to ask for it; until there is a key set, none has it.
    pub fn enable(&self) {
        self.enabled.set(true);
    }

    /// Whether callers are identified.
    pub fn is_enabled(&self) -> bool {
        self.enabled.get()
    }

    /// Replaces keys, callers and rights from the next job on. With `is_rollback`, `identity` is the set before one
    /// that failed; what the failed one revoked stays revoked. The error says why the set can't be used.
    pub fn replace(
        &self,
        mut identity: Identity,
        site: &HostSettings,
        now: Time,
        is_rollback: bool,
    ) -> Result<(), &'static str> {
        let indexes = NameIndexes::new(site);
        identity.compile(&indexes.job_classes, &indexes.tenants);
        let mut desk = self.desk.borrow_mut();
        match &mut *desk {
            Some(desk) if is_rollback => desk.go_back(identity, now),
            Some(desk) => desk.replace(identity, now),
            None => {
                let new = Desk::new(identity, now)
                    .ok_or("no key of the set is valid now: nobody could be let in")?;
                *desk = Some(new);
                Ok(())
            }
        }
    }

    /// Removes the key set: nobody has any right.
    pub fn clear(&self) {
        self.desk.replace(None);
    }

    /// Replaces the serial numbers of revoked certificates, for established connections too.
    pub fn set_revoked_certificates(&self, serials: BTreeSet<String>) {
        self.revoked_certificates.replace(serials);
    }

    /// The job classes and tenants of the site have changed.
    pub fn site_changed(&self, site: &HostSettings) {
        if let Some(desk) = &mut *self.desk.borrow_mut() {
            let indexes = NameIndexes::new(site);
            desk.compile(&indexes.job_classes, &indexes.tenants);
        }
    }

    /// Identifies the caller of a connection by a token, and gives its name.
    pub fn authenticate(&self, now: Time, caller: &Caller, token: &str) -> Result<String, Refused> {
        let mut desk = self.desk.borrow_mut();
        let desk = desk.as_mut().ok_or(Refused::UnknownKey)?;
        match desk.token(now, token, caller.address) {
            Ok(verified) => {
                let name = verified.caller.clone();
                caller.known.borrow_mut().token = Some(verified);
                Ok(name)
            }
            Err(refused) => {
                desk.refused(now, &caller.known.borrow(), refused);
                Err(refused)
            }
        }
    }

    /// Decides whether a caller may ask for a job. Fills in the tenant where the request doesn't name one, and
    /// whether the caller is over its rate limit.
    pub fn authorize(&self, now: Time, caller: &Caller, request: &mut JobRequest) -> Result<(), Refused> {
        if !self.enabled.get() {
            return Ok(());
        }
        let mut desk = self.desk.borrow_mut();
        let desk = desk.as_mut().ok_or(Refused::UnknownKey)?;
        let tenant = request.names_tenant.then_some(request.job.tenant);
        let token = request.token.take().map(|token| desk.token(now, &token, caller.address)).transpose();
        let known = caller.known.borrow();
        let decision = token.and_then(|token| {
            if self.has_revoked_certificate(&known) {
                return Err(Refused::Revoked);
            }
            let by_token = token.map(|token| Known { token: Some(token), certificate: None });
            let by = by_token.as_ref().unwrap_or(&known);
            desk.asks(now, by, request.job.job_class, tenant, caller.address)
        });
        match decision {
            Ok((tenant, over_limit)) => {
                request.job.tenant = tenant;
                request.job.over_caller_limit = over_limit;
                Ok(())
            }
            Err(refused) => {
                desk.refused(now, &known, refused);
                Err(refused)
            }
        }
    }

    fn has_revoked_certificate(&self, known: &Known) -> bool {
        let revoked = self.revoked_certificates.borrow();
        known.certificate.as_ref().is_some_and(|certificate| revoked.contains(&certificate.serial))
    }

    /// Logs the refusals that are due.
    pub fn audit(&self, now: Time) {
        let lines = self.desk.borrow_mut().as_mut().map(|desk| desk.audit(now)).unwrap_or_default();
        for line in lines {
            let caller = line.caller.as_deref().unwrap_or("-");
            tracing::warn!(caller, reason = line.refused.reason(), count = line.count, "caller refused");
        }
    }
}

/// The indexes of job classes and tenants by their names.
struct NameIndexes<'a> {
    job_classes: BTreeMap<&'a str, usize>,
    tenants: BTreeMap<&'a str, usize>,
}

impl NameIndexes<'_> {
    fn new(site: &HostSettings) -> NameIndexes<'_> {
        let job_classes = site.job_classes.iter().enumerate().filter(|(_, job_class)| job_class.in_use);
        let tenants = site.tenants.iter().enumerate();
        NameIndexes {
            job_classes: job_classes.map(|(index, job_class)| (job_class.name.as_str(), index)).collect(),
            tenants: tenants.filter_map(|(index, name)| Some((name.as_deref()?, index))).collect(),
        }
    }
}
