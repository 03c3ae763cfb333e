//! Hosts many instances of the controller on the simulator's line protocol: reads batches of events from standard input
//! and writes decisions to standard output. A malformed batch ends the program with one line on standard error.

mod batch;
mod error;
mod events;
mod fields;
mod reply;

use batch::{END_OF_BATCH, Instances};
use error::{AdapterError, BatchError};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hazelgrade-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batch after batch until the input ends.
fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut batch = String::new();
    let mut lines_read = 0;
    loop {
        batch.clear();
        let first_line = lines_read + 1;
        if !read_batch(input, &mut batch, &mut lines_read)? {
            return Ok(());
        }
        let mut reply = String::new();
        instances.answer(&batch, &mut reply).map_err(|BatchError { offset, error }| {
            let line = first_line + offset;
            AdapterError::Line { line, error }
        })?;
        reply.push_str("ok\n");
        output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(AdapterError::Write)?;
    }
}

/// Reads one batch up to the line that ends it; returns `false` if the input ended before the batch began.
fn read_batch(
    input: &mut impl BufRead,
    batch: &mut String,
    lines_read: &mut usize,
) -> Result<bool, AdapterError> {
    loop {
        let start = batch.len();
        let bytes =
            input.read_line(batch).map_err(|error| AdapterError::Read { line: *lines_read + 1, error })?;
        if bytes == 0 && batch.is_empty() {
            return Ok(false);
        }
        *lines_read += 1;
        let line = &batch[start..];
        if line.trim_end_matches('\n') == END_OF_BATCH {
            return Ok(true);
        }
        if !line.ends_with('\n') {
            return Err(AdapterError::UnfinishedBatch { line: *lines_read });
        }
    }
}
