//! The log: lines on standard error, written by a separate thread. If it can't keep up, lines are dropped.

use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::Registry;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

/// Lines that may wait to be written.
const MAX_BUFFERED_LINES: usize = 2000;

/// Changes the level while the program runs.
pub type LevelHandle = reload::Handle<LevelFilter, Registry>;

/// A log that has started.
pub struct StartedLog {
    /// Writes the remaining lines when it is dropped.
    pub guard: WorkerGuard,
    /// Changes the level.
    pub level: LevelHandle,
}

/// Logs at this level until the guard is dropped.
pub fn start(level: LevelFilter) -> StartedLog {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stderr());
    let (filter, handle) = reload::Layer::new(level);
    let lines = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false).with_target(false);
    // Fails only if a log was started before, which continues then.
    let _ = tracing_subscriber::registry().with(filter).with(lines).try_init();
    StartedLog { guard, level: handle }
}
