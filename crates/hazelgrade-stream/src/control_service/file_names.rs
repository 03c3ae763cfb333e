//! The files in the folder of a control service.

use hazelgrade_config::Kind;

/// The file of the serving document.
pub const SERVING_DOCUMENT_FILE: &str = "serving.toml";
/// The file of its counter.
pub const SERVING_COUNTER_FILE: &str = ".published.json";

/// The file of the document of a kind.
pub(super) fn document_file(kind: Kind) -> &'static str {
    match kind {
        Kind::Serving => SERVING_DOCUMENT_FILE,
        Kind::Identity => "identity.toml",
        Kind::Budgets => "budgets.toml",
    }
}

/// The file of the stored counter of a kind.
pub(super) fn counter_file(kind: Kind) -> &'static str {
    match kind {
        Kind::Serving => SERVING_COUNTER_FILE,
        Kind::Identity => ".published-identity.json",
        Kind::Budgets => ".published-budgets.json",
    }
}
