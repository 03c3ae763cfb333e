//! A batch of lines: its events go to the instances that they name, and each of these runs one round.

use crate::error::{BatchError, LineError};
use crate::events::{self, Instance, Message};
use crate::fields::Fields;
use crate::reply::Reply;
use hazelgrade::controller::EventSink;
use hazelgrade::time::Time;
use std::collections::BTreeMap;

/// The line that ends a batch.
pub const END_OF_BATCH: &str = "eof_batch";

/// An event that is not decoded yet.
struct PendingEvent<'a> {
    /// Its line, counted from the batch's first.
    offset: usize,
    message: Message,
    /// The fields after the instance's number.
    rest: &'a str,
}

/// The instances by number; `None` for one that crashed and was not launched again.
#[derive(Default)]
pub struct Instances(BTreeMap<u64, Option<Instance>>);

/// The events of a batch by instance.
#[derive(Default)]
struct Batch<'a> {
    /// The instances in the order of their first line in the batch.
    order: Vec<u64>,
    pending: BTreeMap<u64, Vec<PendingEvent<'a>>>,
}

impl Instances {
    /// Answers one batch into `reply`. Each instance gets its events in order. A crash drops the earlier events of that
    /// instance, and a launch replaces it by a new one.
    pub fn answer(&mut self, text: &str, reply: &mut String) -> Result<(), BatchError> {
        let mut lines = text.lines().enumerate();
        let head = lines.next().map_or("", |(_, line)| line);
        let now = decode_head(head).map_err(|error| BatchError { offset: 0, error })?;
        let mut batch = Batch::default();
        for (offset, line) in lines.filter(|(_, line)| *line != END_OF_BATCH) {
            self.sort_line(offset, line, &mut batch).map_err(|error| BatchError { offset, error })?;
        }
        for number in batch.order {
            if let Some(events) = batch.pending.remove(&number) {
                self.round(now, number, events, reply)?;
            }
        }
        Ok(())
    }

    /// Carries out launches and crashes, and sorts events by their instance.
    fn sort_line<'a>(
        &mut self,
        offset: usize,
        line: &'a str,
        batch: &mut Batch<'a>,
    ) -> Result<(), LineError> {
        let mut fields = Fields::new(line);
        let message = Message::decode(fields.text("message")?)?;
        let number = fields.whole("i")?;
        match message {
            Message::Crash => {
                fields.end()?;
                self.0.insert(number, None);
                batch.pending.remove(&number);
                return Ok(());
            }
            Message::Launch => {
                self.0.insert(number, Some(events::launch(&mut fields)?));
                batch.pending.insert(number, Vec::new());
            }
            _ if !self.0.contains_key(&number) => {
                return LineError::field("i", "an instance that was launched");
            }
            _ => {
                let start = line.match_indices('\t').nth(1).map_or(line.len(), |(at, _)| at + 1);
                let event = PendingEvent { offset, message, rest: &line[start..] };
                batch.pending.entry(number).or_default().push(event);
            }
        }
        if !batch.order.contains(&number) {
            batch.order.push(number);
        }
        Ok(())
    }

    /// One round of an instance; nothing happens if it crashed.
    fn round(
        &mut self,
        now: Time,
        number: u64,
        events: Vec<PendingEvent>,
        reply: &mut String,
    ) -> Result<(), BatchError> {
        let Some(Some(Instance { controller, counts })) = self.0.get_mut(&number) else { return Ok(()) };
        let mut result = Ok(());
        let deliver = |sink: &mut EventSink| {
            for event in events {
                let mut fields = Fields::new(event.rest);
                let delivered = events::deliver(event.message, &mut fields, *counts, now, sink);
                if let Err(error) = delivered {
                    result = Err(BatchError { offset: event.offset, error });
                    return;
                }
            }
        };
        controller.round(now, deliver, &mut Reply { lines: reply, instance: number });
        result
    }
}

/// Decodes the head of a batch, which carries the time.
fn decode_head(line: &str) -> Result<Time, LineError> {
    let mut fields = Fields::new(line);
    if fields.text("message")? != "sync" {
        return LineError::field("message", "sync at the head of a batch");
    }
    let now = fields.time("clock")?;
    fields.end()?;
    Ok(now)
}
