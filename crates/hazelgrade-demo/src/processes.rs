//! Child processes of scenes and measurements. Each runs the demo binary as the program `hazelgrade`.

use crate::SELF;
use hazelgrade_config::Document;
use hazelgrade_fakes::control_process::ControlServiceProcess;
use std::path::PathBuf;

/// Converts an error into the message that the demo prints.
pub fn to_message(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// Returns the path of the demo binary.
pub fn program() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(to_message)
}

/// Starts a control service process that publishes the document as its first version.
pub fn start_control_service(document: &Document) -> Result<ControlServiceProcess, String> {
    ControlServiceProcess::start(&program()?, &[SELF], "demo", document).map_err(to_message)
}
