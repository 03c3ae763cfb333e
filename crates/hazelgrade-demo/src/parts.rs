//! What scenes and measurements start: this program under another name, and folders for it.

use crate::SELF;
use hazelgrade_config::Document;
use hazelgrade_fakes::control_process::ControlServiceProcess;
use std::path::PathBuf;

pub fn failed(error: impl std::fmt::Display) -> String {
    error.to_string()
}

pub fn program() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(failed)
}

/// A control service as a process, with its folder.
pub fn control(document: &Document) -> Result<ControlServiceProcess, String> {
    ControlServiceProcess::start(&program()?, &[SELF], "demo", document).map_err(failed)
}
