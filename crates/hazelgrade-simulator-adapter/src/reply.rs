//! The decisions of an instance, encoded as lines of the reply.

use hazelgrade::api::{Decisions, JobId};
use hazelgrade::time::{Span, Time};
use std::fmt::{Arguments, Write};

/// Writes the decisions of one instance as lines of the reply.
pub struct Reply<'a> {
    pub lines: &'a mut String,
    pub instance: u64,
}

impl Reply<'_> {
    fn line(&mut self, name: &str, id: &str, rest: Arguments) {
        // Writing into a String can't fail.
        let _ = writeln!(self.lines, "{name}\t{}\t{id}{rest}", self.instance);
    }
}

impl Decisions for Reply<'_> {
    fn start_run(&mut self, id: &JobId) {
        self.line("execute", id, format_args!(""));
    }

    fn reject(&mut self, id: &JobId, not_elsewhere: bool, retry_after: Span) {
        let not_elsewhere = u8::from(not_elsewhere);
        self.line("decline", id, format_args!("\t{not_elsewhere}\t{}", retry_after.as_ms()));
    }

    fn fail(&mut self, id: &JobId) {
        self.line("finish_error", id, format_args!(""));
    }

    fn start_call(&mut self, id: &JobId, timeout: Span) {
        self.line("call_dep", id, format_args!("\t{}", timeout.as_ms()));
    }

    fn skip_call(&mut self, id: &JobId) {
        self.line("go_on", id, format_args!(""));
    }

    fn cancel_run(&mut self, id: &JobId) {
        self.line("halt", id, format_args!(""));
    }

    fn await_original(&mut self, id: &JobId) {
        self.line("join", id, format_args!(""));
    }

    fn store_record(&mut self, id: &JobId, lifetime: Span) {
        self.line("keep", id, format_args!("\t{}", lifetime.as_ms()));
    }

    fn remove_record(&mut self, id: &JobId) {
        self.line("drop_key", id, format_args!(""));
    }

    fn publish_load_signal(&mut self, value: f64) {
        self.line("announce", "", format_args!("{value}"));
    }

    fn publish_health(&mut self, healthy: bool, from_store: bool) {
        let from_store = u8::from(from_store);
        let healthy = u8::from(healthy);
        self.line("set_health", "", format_args!("{from_store}\t{healthy}"));
    }

    fn set_timer(&mut self, at: Time, token: u64) {
        self.line("timer", "", format_args!("{}\t{token}", at.as_ms()));
    }

    fn log(&mut self, text: &str) {
        self.line("print", "", format_args!("{}", text.replace(['\t', '\n', '\r'], " ")));
    }
}
