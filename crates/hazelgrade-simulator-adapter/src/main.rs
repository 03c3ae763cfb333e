//! Hosts hazelgrade instances on the bench's line protocol: batches in on standard input, replies out on
//! standard output. A malformed batch ends it with one plain line on standard error.

mod wire;

use hazelgrade::controller::Controller;
use hazelgrade_settings::SettingsError;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{Counts, Fields, Reply};

/// Instances by number; one that crashed and was not launched again stays as `None`.
type Fleet = BTreeMap<u64, Option<(Controller, Counts)>>;

/// An event of a batch, not yet decoded: the number of its line, its name and the fields after the instance.
type Pending<'a> = Vec<(usize, &'a str, &'a str)>;

fn main() -> ExitCode {
    match host(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("hazelgrade-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn host(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut fleet = Fleet::new();
    let (mut batch, mut line_no) = (String::new(), 0);
    loop {
        batch.clear();
        let first = line_no + 1;
        loop {
            let start = batch.len();
            let read =
                input.read_line(&mut batch).map_err(|error| format!("line {}: {error}", line_no + 1))?;
            if read == 0 && batch.is_empty() {
                return Ok(());
            }
            line_no += 1;
            match &batch[start..] {
                "eof_batch\n" | "eof_batch" => break,
                text if !text.ends_with('\n') => {
                    return Err(format!(
                        "line {line_no}: field message: expected eof_batch before the input ends"
                    ));
                }
                _ => {}
            }
        }
        let mut reply = String::new();
        answer(&batch, &mut fleet, &mut reply)
            .map_err(|(offset, error)| format!("line {}: {error}", first + offset))?;
        reply.push_str("ok\n");
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|error| error.to_string())?;
    }
}

/// Answers one batch. Events go to their instance in the order they came; a crash wipes what came before it
/// for that instance, and a launch starts a new one in its place.
fn answer(batch: &str, fleet: &mut Fleet, reply: &mut String) -> Result<(), (usize, SettingsError)> {
    let mut lines = batch.lines().enumerate();
    let mut clock = Fields::new(lines.next().map_or("", |(_, line)| line));
    let head = || -> Result<_, SettingsError> {
        if clock.text("message")? != "sync" {
            return Err(SettingsError::new("message", "sync at the head of a batch"));
        }
        let now = clock.time("clock")?;
        clock.end()?;
        Ok(now)
    };
    let now = { head }().map_err(|error| (0, error))?;
    let mut order: Vec<u64> = Vec::new();
    let mut pending: BTreeMap<u64, Pending> = BTreeMap::new();
    for (offset, line) in lines.filter(|(_, line)| *line != "eof_batch") {
        let mut fields = Fields::new(line);
        let mut decode = || -> Result<(), SettingsError> {
            let name = fields.text("message")?;
            let known = [
                "launch",
                "ingress",
                "wound_up",
                "returned",
                "crash_now",
                "timeout_fired",
                "timed_out_client",
                "needs_dep",
                "retire_soon",
            ];
            if !known.contains(&name) {
                return Err(SettingsError::new("message", format!("a known message name, found {name:?}")));
            }
            let instance = fields.whole("i")?;
            match name {
                "crash_now" => {
                    fields.end()?;
                    fleet.insert(instance, None);
                    pending.remove(&instance);
                    return Ok(());
                }
                "launch" => {
                    fleet.insert(instance, Some(wire::launch(&mut fields)?));
                    pending.insert(instance, Vec::new());
                }
                _ if !fleet.contains_key(&instance) => {
                    return Err(SettingsError::new("i", "an instance that was launched"));
                }
                _ => {
                    let start = line.match_indices('\t').nth(1).map_or(line.len(), |(at, _)| at + 1);
                    pending.entry(instance).or_default().push((offset, name, &line[start..]));
                }
            }
            if !order.contains(&instance) {
                order.push(instance);
            }
            Ok(())
        };
        decode().map_err(|error| (offset, error))?;
    }
    for instance in order {
        let (Some(events), Some(Some((control, counts)))) =
            (pending.remove(&instance), fleet.get_mut(&instance))
        else {
            continue;
        };
        let mut outcome = Ok(());
        let feed = |sink: &mut hazelgrade::controller::EventSink| {
            for (offset, name, rest) in events {
                if let Err(error) = wire::tell(name, &mut Fields::new(rest), *counts, now, sink) {
                    outcome = Err((offset, error));
                    return;
                }
            }
        };
        control.round(now, feed, &mut Reply { lines: reply, instance });
        outcome?;
    }
    Ok(())
}
