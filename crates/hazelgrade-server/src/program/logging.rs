//! Logs to standard error. A separate thread writes the lines; if the thread can't keep up, lines are dropped.

use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::Registry;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

/// The number of log lines that may wait to be written. Further lines are dropped.
const MAX_BUFFERED_LINES: usize = 2000;

/// Changes the log level while the program runs.
pub type LevelHandle = reload::Handle<LevelFilter, Registry>;

/// A started log.
pub struct StartedLog {
    /// Writes the remaining log lines when the guard is dropped.
    pub guard: WorkerGuard,
    /// Changes the log level.
    pub level: LevelHandle,
}

/// Starts logging at this level. Logging ends when the returned guard is dropped.
pub fn start(level: LevelFilter) -> StartedLog {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stderr());
    let (filter, handle) = reload::Layer::new(level);
    let lines = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false).with_target(false);
    // Initialization fails only if the process has a log already; that log stays in use.
    let _ = tracing_subscriber::registry().with(filter).with(lines).try_init();
    StartedLog { guard, level: handle }
}
