//! The log: lines on standard error, written by a thread of its own; when that can't keep up, lines are dropped.

use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Lines that may wait to be written.
const LINES: usize = 2000;

/// Logs until the guard is dropped.
pub fn start(most: LevelFilter) -> WorkerGuard {
    let (writer, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES).finish(std::io::stderr());
    let lines = tracing_subscriber::fmt().with_max_level(most).with_writer(writer).with_ansi(false);
    // Fails only if a log was started before; then that one goes on.
    let _ = lines.with_target(false).try_init();
    guard
}
