//! What an edge costs, and how many plans a minute are played, as tables in Markdown.

use crate::SELF;
use crate::measure::report::spread;
use crate::processes::{program, to_message};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use hazelgrade_fault_injection::plan::FaultPlan;
use hazelgrade_fault_injection::plan_run::run_plan;
use hazelgrade_fault_injection::proxy::FaultProxy;
use hdrhistogram::Histogram;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const ROUNDS: usize = 5;
const TURNS: usize = 4000;
const LASTING: Duration = Duration::from_secs(1);
/// Jobs open at once on one connection, as the protocol allows.
const OPEN: usize = 32;
/// As long as a job's line.
const LINE: usize = 200;
const PLANS: u64 = 8;

/// Says each line back.
fn echo() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let (mut reader, mut line) = (BufReader::new(&stream), Vec::new());
                while reader.read_until(b'\n', &mut line).is_ok_and(|read| read > 0) {
                    if (&stream).write_all(&line).is_err() {
                        break;
                    }
                    line.clear();
                }
            });
        }
    });
    Ok(address)
}

struct Peer {
    reader: BufReader<TcpStream>,
    line: Vec<u8>,
}

impl Peer {
    fn of(address: SocketAddr) -> std::io::Result<Peer> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let mut line = vec![b'x'; LINE];
        line[LINE - 1] = b'\n';
        Ok(Peer { reader: BufReader::new(stream), line })
    }

    fn say(&mut self) -> std::io::Result<()> {
        let line = &self.line;
        self.reader.get_mut().write_all(line)
    }

    fn hear(&mut self) -> std::io::Result<()> {
        self.reader.read_until(b'\n', &mut Vec::with_capacity(LINE)).map(drop)
    }
}

/// One round: microseconds there and back (50th and 99th percentile), and lines a second with 32 open.
fn round(address: SocketAddr) -> Result<[f64; 3], String> {
    let mut peer = Peer::of(address).map_err(to_message)?;
    let mut turns = Histogram::<u64>::new(3).map_err(to_message)?;
    for _ in 0..TURNS {
        let began = Instant::now();
        peer.say().and_then(|()| peer.hear()).map_err(to_message)?;
        turns.record(began.elapsed().as_nanos() as u64).map_err(to_message)?;
    }
    for _ in 0..OPEN {
        peer.say().map_err(to_message)?;
    }
    let (began, mut count) = (Instant::now(), 0.0);
    while began.elapsed() < LASTING {
        peer.hear().and_then(|()| peer.say()).map_err(to_message)?;
        count += 1.0;
    }
    let us = |part| turns.value_at_quantile(part) as f64 / 1000.0;
    Ok([us(0.5), us(0.99), count / began.elapsed().as_secs_f64()])
}

fn proxies() -> Result<Table, String> {
    let plain = echo().map_err(to_message)?;
    let proxy = FaultProxy::tcp(plain).map_err(to_message)?;
    let mut rounds: [Vec<[f64; 3]>; 2] = Default::default();
    for _ in 0..ROUNDS {
        rounds[0].push(round(plain)?);
        rounds[1].push(round(proxy.address)?);
    }
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(["a line of 200 bytes, there and back", "p50 us", "p99 us", "a second, 32 open"]);
    for (name, rounds) in ["direct", "through an edge"].iter().zip(&rounds) {
        let column = |place: usize| rounds.iter().map(|round| round[place]).collect::<Vec<f64>>();
        table.add_row([(*name).to_owned(), spread(column(0), 1), spread(column(1), 1), spread(column(2), 0)]);
    }
    Ok(table)
}

fn plans() -> Result<Table, String> {
    let (mut took, mut jobs, mut broken) = (Vec::new(), Vec::new(), 0);
    for seed in 1..=PLANS {
        let began = Instant::now();
        let played = run_plan(&FaultPlan::draw(seed, 5, 14), &program()?, &[SELF]).map_err(to_message)?;
        took.push(began.elapsed().as_secs_f64());
        jobs.push(played.history.jobs.len() as f64);
        broken += usize::from(!played.violations.is_empty());
    }
    let a_minute = 60.0 * took.len() as f64 / took.iter().sum::<f64>();
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN);
    table.set_header(["plans, 5 nodes", "s each", "jobs each", "plans a minute", "broke a rule"]);
    let plans = took.len().to_string();
    table.add_row([plans, spread(took, 1), spread(jobs, 0), format!("{a_minute:.1}"), broken.to_string()]);
    Ok(table)
}

pub fn all() -> Result<bool, String> {
    println!("{}\n\n{}", proxies()?, plans()?);
    Ok(true)
}
