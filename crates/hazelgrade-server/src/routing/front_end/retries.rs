//! Recognizes requests that repeat others: by the job id, as a copy, and by the idempotency key, as a retry. What a job is
//! known by is the same in all versions of the configuration.

use super::FrontEnd;
use crate::protocol::jsonrpc::JobRequest;
use crate::routing::callers::Caller;
use crate::routing::in_flight::JobFingerprint;
use crate::routing::result_cache::{JobKey, JobOwner};
use std::rc::Rc;

impl FrontEnd {
    /// Returns the names by which a job is known in every version of the configuration.
    pub(super) fn owner(&self, request: &JobRequest) -> JobOwner {
        let settings = self.context.settings.borrow();
        let job_class = settings.job_classes[request.job.job_class].name.as_str().into();
        let caller: Option<Rc<str>> = request.caller_name.as_deref().map(Rc::from);
        let configured = settings.tenants.get(request.job.tenant).and_then(Option::as_deref);
        let configured = configured.filter(|_| caller.is_none());
        let tenant = request.tenant_name.as_deref().or(configured).map(Rc::from);
        JobOwner { job_class, tenant, caller }
    }

    /// Records the name of the caller in a request that names no tenant.
    pub(super) fn identify(&self, caller: &Caller, request: &mut JobRequest) {
        if request.tenant_name.is_none() {
            request.caller_name = self.context.callers.caller_name(caller, request.token.as_deref());
        }
    }

    /// Returns whether the tenant that a request names, if it names one, is the one in the slot by which its caller is
    /// authorized.
    pub(super) fn is_tenant_resolved(&self, request: &JobRequest) -> bool {
        let settings = self.context.settings.borrow();
        let configured = settings.tenants.get(request.job.tenant).and_then(Option::as_deref);
        request.tenant_name.is_none() || request.tenant_name.as_deref() == configured
    }

    /// Returns the key under which the tries of a job are known; `None` if the request has no idempotency key.
    pub(super) fn job_key(&self, request: &JobRequest) -> Option<JobKey> {
        let idempotency_key = request.idempotency_key.as_deref()?;
        Some(self.context.result_cache.job_key(self.owner(request), idempotency_key, &request.body))
    }

    /// Returns whether this job, or another try of it, may have run, is running, or may still start. No answer may then
    /// say that it never ran.
    pub(super) fn may_have_run(&self, request: &JobRequest) -> bool {
        self.is_copy(request) || self.is_known_retry(request)
    }

    /// Returns whether the job is a copy, with the same id, of one that is in flight or was started.
    pub(super) fn is_copy(&self, request: &JobRequest) -> bool {
        let fingerprint = JobFingerprint::new(request, self.owner(request));
        let in_flight = self.context.in_flight.has_fingerprint(&request.job.id, &fingerprint);
        in_flight.unwrap_or_else(|| self.context.started_jobs.borrow().contains(&request.job.id))
    }

    /// Returns whether the job has the key of another try that may have run within its window, is running, or may still
    /// start.
    pub(super) fn is_known_retry(&self, request: &JobRequest) -> bool {
        let clock = &self.context.driver.clock;
        let received_at = clock.time_of_stamp(request.job.received_at).unwrap_or_else(|| clock.now());
        let key = self.job_key(request);
        key.is_some_and(|key| self.context.result_cache.original(&key, received_at).is_some())
    }
}
