//! Who asks: what each connection is known by, and whether what it asks for may be.

use crate::protocol::jsonrpc::Asked;
use hazelgrade::time::Time;
use hazelgrade_identity::policy::NoValidKey;
use hazelgrade_identity::{AccessPolicy, Authenticator, Authorization, Credentials, DenyReason};
use hazelgrade_settings::Site;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A connection's caller.
pub struct Caller {
    pub from: IpAddr,
    pub known: RefCell<Credentials>,
}

/// All callers, if they are asked who they are.
#[derive(Default)]
pub struct Callers {
    on: Cell<bool>,
    desk: RefCell<Option<Authenticator>>,
    /// Certificates that a list of the operators' names as revoked.
    revoked: RefCell<BTreeSet<String>>,
}

impl Callers {
    /// From now on every job needs a caller that may ask for it; until there is a set, none may.
    pub fn switch_on(&self) {
        self.on.set(true);
    }

    pub fn are_on(&self) -> bool {
        self.on.get()
    }

    /// Another set of keys, callers and rights, from the next job on.
    /// With `back` it is the one before a set that failed; what that one revoked stays revoked.
    pub fn replace(
        &self,
        mut identity: AccessPolicy,
        site: &Site,
        now: Time,
        back: bool,
    ) -> Result<(), NoValidKey> {
        let (job_classes, tenants) = places(site);
        identity.compile(&job_classes, &tenants);
        let mut desk = self.desk.borrow_mut();
        match &mut *desk {
            Some(desk) if back => desk.roll_back_policy(identity, now),
            Some(desk) => desk.replace_policy(identity, now),
            None => {
                *desk = Some(Authenticator::new(identity, now)?);
                Ok(())
            }
        }
    }

    /// There is no set any more: nobody may ask.
    pub fn none(&self) {
        self.desk.replace(None);
    }

    /// These certificates are revoked, on connections that stand too.
    pub fn revoke(&self, serials: BTreeSet<String>) {
        self.revoked.replace(serials);
    }

    /// The site's names have other places.
    pub fn compile(&self, site: &Site) {
        if let Some(desk) = &mut *self.desk.borrow_mut() {
            let (job_classes, tenants) = places(site);
            desk.compile(&job_classes, &tenants);
        }
    }

    /// A connection says who it is.
    pub fn hello(&self, now: Time, caller: &Caller, token: &str) -> Result<String, DenyReason> {
        let mut desk = self.desk.borrow_mut();
        let desk = desk.as_mut().ok_or(DenyReason::UnknownKey)?;
        match desk.verify_token(now, token, caller.from) {
            Ok(verified) => {
                let name = verified.caller.clone();
                caller.known.borrow_mut().token = Some(verified);
                Ok(name)
            }
            Err(refused) => {
                desk.record_denial(now, &caller.known.borrow(), refused);
                Err(refused)
            }
        }
    }

    /// Whether a job may be asked for, and if its tenant is not named, which it is.
    pub fn may(&self, now: Time, caller: &Caller, asked: &mut Asked) -> Result<(), DenyReason> {
        if !self.on.get() {
            return Ok(());
        }
        let mut desk = self.desk.borrow_mut();
        let desk = desk.as_mut().ok_or(DenyReason::UnknownKey)?;
        let tenant = asked.for_customer.then_some(asked.job.tenant);
        let with_job =
            asked.token.take().map(|token| desk.verify_token(now, &token, caller.from)).transpose();
        let known = caller.known.borrow();
        let listed =
            known.certificate.as_ref().is_some_and(|shown| self.revoked.borrow().contains(&shown.serial));
        let may = with_job.and_then(|token| {
            if listed {
                return Err(DenyReason::Revoked);
            }
            let own = token.map(|token| Credentials { token: Some(token), certificate: None });
            desk.authorize_and_count(
                now,
                own.as_ref().unwrap_or(&known),
                asked.job.job_class,
                tenant,
                caller.from,
            )
        });
        match may {
            Ok(Authorization { tenant, over_limit }) => {
                asked.job.tenant = tenant;
                asked.job.over_caller_limit = over_limit;
                Ok(())
            }
            Err(refused) => {
                desk.record_denial(now, &known, refused);
                Err(refused)
            }
        }
    }

    /// Lines for the log that are due, written.
    pub fn audit(&self, now: Time) {
        let lines =
            self.desk.borrow_mut().as_mut().map(|desk| desk.take_due_audit_records(now)).unwrap_or_default();
        for line in lines {
            let caller = line.caller.as_deref().unwrap_or("-");
            tracing::warn!(caller, reason = line.reason.message(), count = line.count, "refused");
        }
    }
}

fn places(site: &Site) -> (BTreeMap<&str, usize>, BTreeMap<&str, usize>) {
    let job_classes = site.job_classes.iter().enumerate().filter(|(_, case)| case.in_use);
    let tenants = site.tenants.iter().enumerate();
    (
        job_classes.map(|(place, case)| (case.name.as_str(), place)).collect(),
        tenants.filter_map(|(place, name)| Some((name.as_deref()?, place))).collect(),
    )
}
