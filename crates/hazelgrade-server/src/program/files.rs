//! Reads configuration files. An error that passes, such as a lack of descriptors for a moment, must not be taken for a
//! file that can't be read: at the start the instance would not come up, and a reload would be lost.

use hazelgrade_net::transient;
use std::io;
use std::path::Path;
use std::time::Duration;

/// How long a read is tried again. Short, as the instance serves nothing meanwhile.
const TIMEOUT: Duration = Duration::from_millis(50);
/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(1);

/// Reads a file.
///
/// # Errors
/// The error of the system, after some attempts if it may pass.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    transient::retry(TIMEOUT, PAUSE, || std::fs::read(path))
}

/// Reads a file as text in UTF-8.
///
/// # Errors
/// As [`read`], or if the file is not text.
pub fn read_to_string(path: &Path) -> io::Result<String> {
    transient::retry(TIMEOUT, PAUSE, || std::fs::read_to_string(path))
}
