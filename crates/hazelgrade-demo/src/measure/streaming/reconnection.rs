//! Load on a control service that a thousand subscribers come back to, in simulated time.

use super::subscriber_config;
use crate::measure::report::{spread, table};
use comfy_table::Table;
use hazelgrade::time::Time;
use hazelgrade_stream::admission::Admission;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::protocol::PublisherMessage;
use hazelgrade_stream::subscriber::{Action, Event, Subscriber};

/// A thousand subscribers lose their control service at once; it is back after some seconds. Their machines, played: gives
/// the most attempts in a tenth of a second from when it is back, and when the last is taken on, in seconds after that.
fn come_back(seed: u64, away: f64, backoff: &Backoff, admission: Option<Admission>) -> (f64, f64) {
    let (gone, back) = (Time::from_ms(1_000_000.0), Time::from_ms(1_000_000.0 + away * 1000.0));
    let mut admission = admission;
    let mut due = Vec::new();
    let next = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::Connect { at, .. } => Some(*at),
            _ => None,
        })
    };
    for node in 0..1000 {
        let mut out = Vec::new();
        let start = subscriber_config(format!("n{node}"), 1, seed * 1000 + node, backoff.clone());
        let mut subscriber = Subscriber::start(gone, start, &mut out);
        subscriber.handle(gone, Event::Connected, &mut out);
        subscriber.handle(gone, Event::Received(PublisherMessage::Ping), &mut out);
        out.clear();
        subscriber.handle(gone, Event::Disconnected, &mut out);
        due.extend(next(&out).map(|at| (at, subscriber)));
    }
    let (mut tenths, mut last) = (vec![0.0; 1200], back);
    while let Some(first) = (0..due.len()).min_by_key(|place| due[*place].0) {
        let (now, mut subscriber) = due.swap_remove(first);
        let mut out = Vec::new();
        if now >= back {
            let tenth = (now.since(back).as_ms() / 100.0) as usize;
            if let Some(count) = tenths.get_mut(tenth) {
                *count += 1.0;
            }
            let taken = admission.as_mut().map_or(Ok(()), |admission| admission.admit(now));
            match taken {
                Ok(()) => {
                    last = last.max(now);
                    continue;
                }
                Err(after) => {
                    subscriber.handle(now, Event::Connected, &mut out);
                    subscriber.handle(now, Event::Received(PublisherMessage::RetryAfter(after)), &mut out);
                }
            }
        }
        out.clear();
        subscriber.handle(now, Event::Disconnected, &mut out);
        due.extend(next(&out).map(|at| (at, subscriber)));
    }
    (tenths.iter().copied().fold(0.0, f64::max), last.since(back).as_ms() / 1000.0)
}

/// Measures it, as a table.
pub fn reconnects() -> Table {
    let mut table = table([
        "1,000 nodes come back",
        "away, s",
        "peak, attempts in 0.1 s",
        "last one on after, s",
        "seeds",
    ]);
    let admission = || Some(Admission::new(200.0, 50.0));
    let ways = [
        ("plain doubling", Backoff::without_jitter(), None),
        ("full jitter", Backoff::default(), None),
        ("plain doubling, 200 a second taken on", Backoff::without_jitter(), admission()),
        ("full jitter, 200 a second taken on", Backoff::default(), admission()),
    ];
    for (away, (name, backoff, admission)) in
        [0.1, 5.0, 60.0].iter().flat_map(|away| ways.iter().map(move |way| (away, way)))
    {
        let runs: Vec<(f64, f64)> =
            (1..=9).map(|seed| come_back(seed, *away, backoff, admission.clone())).collect();
        let peaks = spread(runs.iter().map(|run| run.0).collect(), 1);
        let lasts = spread(runs.iter().map(|run| run.1).collect(), 1);
        table.add_row([(*name).to_owned(), away.to_string(), peaks, lasts, runs.len().to_string()]);
    }
    table
}
