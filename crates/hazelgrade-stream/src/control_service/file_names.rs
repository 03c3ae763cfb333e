//! The names of the files in the folder of a control service.

use hazelgrade_config::Kind;

/// The name of the file with the serving document.
pub const SERVING_DOCUMENT_FILE: &str = "serving.toml";
/// The name of the file with the stored counter of the serving document.
pub const SERVING_COUNTER_FILE: &str = ".published.json";

/// Returns the name of the file with the document of a kind.
pub(super) fn document_file(kind: Kind) -> &'static str {
    match kind {
        Kind::Serving => SERVING_DOCUMENT_FILE,
        Kind::Identity => "identity.toml",
        Kind::Budgets => "budgets.toml",
    }
}

/// Returns the name of the file with the stored counter of a kind.
pub(super) fn counter_file(kind: Kind) -> &'static str {
    match kind {
        Kind::Serving => SERVING_COUNTER_FILE,
        Kind::Identity => ".published-identity.json",
        Kind::Budgets => ".published-budgets.json",
    }
}
