//! Processes that scenes and measurements start: this program under another name.

use crate::SELF;
use hazelgrade_config::Document;
use hazelgrade_fakes::control_process::ControlServiceProcess;
use std::path::PathBuf;

/// An error as the text that the demo prints.
pub fn to_message(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// This program.
pub fn program() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(to_message)
}

/// Starts a control service with this document.
pub fn start_control_service(document: &Document) -> Result<ControlServiceProcess, String> {
    ControlServiceProcess::start(&program()?, &[SELF], "demo", document).map_err(to_message)
}
