//! The log: lines on standard error, written by a thread of its own; when that can't keep up, lines are dropped.

use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::Registry;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

/// Lines that may wait to be written.
const LINES: usize = 2000;

/// By what the level is changed while the program runs.
pub type Level = reload::Handle<LevelFilter, Registry>;

/// Logs until the guard is dropped.
pub fn start(most: LevelFilter) -> (WorkerGuard, Level) {
    let (writer, guard) =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES).finish(std::io::stderr());
    let (level, handle) = reload::Layer::new(most);
    let lines = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false).with_target(false);
    // Fails only if a log was started before; then that one goes on.
    let _ = tracing_subscriber::registry().with(level).with(lines).try_init();
    (guard, handle)
}
