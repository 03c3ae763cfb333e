//! The operator's own file: subsystems that are enabled beyond the platform's configuration, one table for each.

mod decode;

use hazelgrade::time::Span;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The operator's file. A subsystem whose table is missing is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// `[stream]`: configuration from control services.
    pub stream: Option<StreamConfig>,
    /// `[identity]`: who callers are and what they may request; without it callers are not authenticated.
    pub identity: Option<IdentityConfig>,
    /// `[budgets]`: limits that hold for all nodes together.
    pub budgets: Option<BudgetConfig>,
    /// `[tls]`: TLS on the client listener; without it connections are plain.
    pub tls: Option<TlsConfig>,
    /// `[for_tests_only]`: faults of this process; rejected where the platform starts it.
    pub test_faults: Option<TestFaults>,
}

/// How a node gets its configuration from control services.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamConfig {
    /// Addresses of control services, 1 to 8; the node follows one at a time.
    pub control_services: Vec<SocketAddr>,
    /// The file that stores the last good version; each node needs its own.
    pub store: PathBuf,
    /// The document of a node that has stored none yet; without it such a node waits and is not ready.
    pub document: Option<PathBuf>,
    /// The only lineage whose versions are applied; without it, the lineage of the first version that is applied.
    pub lineage: Option<String>,
    /// How a version is judged on trial.
    pub trial: Trial,
}

/// Where signing keys, callers and rights come from.
#[derive(Clone, Debug, PartialEq)]
pub struct IdentityConfig {
    /// The identity document of a node that follows no control service for it, or has stored none yet.
    pub document: Option<PathBuf>,
    /// Follow the control services of `[stream]` for it too.
    pub streamed: bool,
    /// How an identity document is judged on trial. One second by default, as a revocation waits for the trial before
    /// it.
    pub trial: Trial,
}

/// How a node takes part in budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetConfig {
    /// The document of budgets of a node that has stored none yet.
    pub document: Option<PathBuf>,
    /// The budget that bounds calls to the dependency. Until a lessor grants any, only `standalone` units are used.
    pub call_budget: Option<String>,
    /// Units of each budget that this node may use without a lessor. The operator keeps the sum over all nodes of a
    /// site within what the document sets aside there.
    pub standalone: BTreeMap<String, u32>,
    /// How a document of budgets is judged on trial.
    pub trial: Trial,
}

/// The files of TLS in PEM, read again on SIGHUP.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsConfig {
    /// The node's certificate chain.
    pub certificate: PathBuf,
    /// The node's private key.
    pub key: PathBuf,
    /// Authorities of client certificates; without them clients are not asked for a certificate.
    pub client_authorities: Option<PathBuf>,
    /// Revocation lists of these authorities.
    pub client_revocations: Option<PathBuf>,
}

/// Faults that only the process itself can bring about, for tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestFaults {
    /// The process kills itself at this change of its store (write, change of length or sync), counted from 0. A write
    /// is half done then.
    pub kill_at_store_change: Option<u64>,
    /// How far its clock is ahead, in milliseconds.
    pub clock_offset_ms: f64,
    /// The rate of its clock; 1 is right.
    pub clock_rate: f64,
}

/// How a new version of a document is judged on trial before it counts as good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// Length of the trial, and of the time before it that it is compared with.
    pub span: Span,
    /// The trial fails if the success ratio of jobs falls by more than this ratio of what it was before.
    pub max_success_drop_ratio: f64,
    /// Jobs needed on either side of the comparison; with fewer the trial passes.
    pub min_jobs: f64,
}

impl Default for Trial {
    /// Ten seconds see a few of the longest latency objectives; a drop by a fifth is beyond ordinary variation; in
    /// fifty jobs, ten more failures are beyond chance.
    fn default() -> Trial {
        Trial { span: Span::from_ms(10_000.0), max_success_drop_ratio: 0.2, min_jobs: 50.0 }
    }
}
