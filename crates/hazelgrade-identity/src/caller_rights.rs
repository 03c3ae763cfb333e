//! What a caller may request, as bit sets, so that lookups take no allocation.

use crate::deny_reason::DenyReason;
use fixedbitset::FixedBitSet;
use hazelgrade_config::Fields;
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Stands for all job classes or all tenants in a document.
const WILDCARD: &str = "*";

/// A caller's index in its policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub(crate) usize);

/// A caller and its rights.
#[derive(Debug)]
pub(crate) struct CallerRights {
    pub(crate) name: String,
    pub(crate) revoked: bool,
    /// Its limit in jobs per second; jobs beyond it are marked as over the limit.
    pub(crate) jobs_per_s: Option<f64>,
    job_class_names: Vec<String>,
    tenant_names: Vec<String>,
    /// The networks that it may connect from; any network if empty.
    networks: Vec<IpNet>,
    /// Allowed job classes by the node's indexes, see `compile`; empty before it.
    job_classes: FixedBitSet,
    /// Allowed tenants, in the same way.
    tenants: FixedBitSet,
    /// Its tenant, if it has exactly one.
    only_tenant: Option<usize>,
}

impl CallerRights {
    /// The caller of this name in an identity document; it may request nothing before `compile`.
    pub(crate) fn from_fields(fields: &Fields, name: &str) -> CallerRights {
        let path = |field: &str| format!("caller/{name}/{field}");
        let texts = |field: &str| fields.text_list(&path(field)).to_vec();
        CallerRights {
            name: name.to_owned(),
            revoked: fields.boolean(&path("revoked")) == Some(true),
            jobs_per_s: fields.number(&path("jobs_per_s")),
            job_class_names: texts("use_cases"),
            tenant_names: texts("customers"),
            networks: texts("networks").iter().filter_map(|network| network.parse().ok()).collect(),
            job_classes: FixedBitSet::new(),
            tenants: FixedBitSet::new(),
            only_tenant: None,
        }
    }

    /// Resolves the names of job classes and tenants to the node's indexes.
    pub(crate) fn compile(&mut self, job_classes: &BTreeMap<&str, usize>, tenants: &BTreeMap<&str, usize>) {
        self.job_classes = resolve(&self.job_class_names, job_classes);
        self.tenants = resolve(&self.tenant_names, tenants);
        let has_one_tenant = self.tenants.count_ones(..) == 1;
        self.only_tenant = self.tenants.ones().next().filter(|_| has_one_tenant);
    }

    /// The tenant of a job that the caller requests from this address: the requested one, or else its only one.
    pub(crate) fn authorize(
        &self,
        job_class: usize,
        tenant: Option<usize>,
        address: IpAddr,
    ) -> Result<usize, DenyReason> {
        if self.revoked {
            return Err(DenyReason::Revoked);
        }
        if !self.networks.is_empty() && !self.networks.iter().any(|network| network.contains(&address)) {
            return Err(DenyReason::NetworkNotAllowed);
        }
        if !self.job_classes.contains(job_class) {
            return Err(DenyReason::JobClassNotAllowed);
        }
        let tenant = tenant.or(self.only_tenant).ok_or(DenyReason::TenantNotAllowed)?;
        if self.tenants.contains(tenant) { Ok(tenant) } else { Err(DenyReason::TenantNotAllowed) }
    }
}

/// The indexes of the allowed names among all names in use.
fn resolve(allowed: &[String], indexes: &BTreeMap<&str, usize>) -> FixedBitSet {
    let length = indexes.values().max().map_or(0, |highest| highest + 1);
    let mut bits = FixedBitSet::with_capacity(length);
    for (name, index) in indexes {
        if allowed.iter().any(|allowed| allowed == name || allowed == WILDCARD) {
            bits.insert(*index);
        }
    }
    bits
}
