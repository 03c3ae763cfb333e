//! `serve`: one service instance, from its start to its exit.

use super::configuration::Deployment;
use super::logging::Level;
use super::reload::Reload;
use super::streaming::{Kit, Surroundings};
use super::{budgets, drain, identity, tls};
use crate::protocol::registry;
use crate::routing::callers::Callers;
use crate::routing::calls::Calls;
use crate::routing::front::Front;
use crate::routing::hand::Hand;
use crate::routing::job::{Parts, Tally};
use crate::routing::notices::Notices;
use crate::routing::result_cache::ResultCache;
use crate::routing::rounds::Rounds;
use crate::transport::clients::Clients;
use crate::transport::database::Database;
use crate::transport::executor::Link;
use crate::transport::listener;
use crate::transport::registry::Registry;
use crate::transport::tls::Tls;
use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::{BoxedLocal, or, poll_once};
use hazelgrade_config::OperatorConfig;
use hazelgrade_net::bell::Bell;
use hazelgrade_stream::follow::Follow;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::level_filters::LevelFilter;

/// Reports get lost; so many go out in the three seconds after which an instance is taken off the list.
const BEAT_EVERY: Duration = Duration::from_millis(250);
/// The database closes or forgets connections that lie idle, some early; opening one costs little.
const DATABASE_IDLE: Duration = Duration::from_secs(1);
const SUMMARY_EVERY: Duration = Duration::from_secs(10);
/// A process that is being ended still holds its address; one that is held for longer is another's.
const ADDRESS_FREE_WITHIN: Duration = Duration::from_secs(3);
const LISTEN_AGAIN_AFTER: Duration = Duration::from_millis(10);

/// Serves until the notice to leave, then leaves; each SIGHUP until the end has the file at `path` read again. `Ok(true)` if every answer was written.
///
/// With `[stream]` in the operator's file, job classes, tenants, promises and addresses come as documents; what the deployment says of job classes and
/// tenants doesn't count then.
pub fn serve(
    mut deployment: Deployment,
    path: PathBuf,
    operator: OperatorConfig,
    log: (Level, LevelFilter),
    mut signals: Signals,
) -> Result<bool, String> {
    let OperatorConfig {
        stream: streamed,
        identity: identified,
        budgets: budgeted,
        tls: encrypted,
        test_faults,
    } = operator;
    let dies_at = test_faults.and_then(|faults| faults.kill_at_store_change);
    let kit = streamed.as_ref().map(|streamed| Kit::open(streamed, &deployment.name, dies_at)).transpose()?;
    if let Some(kit) = &kit {
        let (sockets, memory_mb) = kit.limits();
        deployment.within(sockets, memory_mb);
        deployment.without_use_cases();
    }
    let (control, site) = hazelgrade_settings::decode(&deployment.settings, deployment.seed)
        .map_err(|error| format!("settings: {error}"))?;
    let mut reads_again = false;
    let Some(listener) = listen(deployment.listen, &mut signals, &mut reads_again)? else {
        tracing::info!("told to leave before it listened");
        return Ok(true);
    };
    let addresses = deployment.addresses;
    let registry = Registry::new(addresses.registry)
        .map_err(|error| format!("field registry: {}: {error}", addresses.registry))?;
    let registry = Rc::new(registry);
    tracing::info!(name = deployment.name, listen = %deployment.listen, "started");

    let (hand, result_cache) =
        (Rc::new(Hand::default()), Rc::new(ResultCache::new(deployment.result_bytes())));
    let tasks = Rc::new(LocalExecutor::new());
    let link = Rc::new(Link::new(addresses.executor));
    let rounds = Rc::new(Rounds::new(control, site.tick, hand.clone(), result_cache.clone(), link.clone()));
    if let Some(test_faults) = test_faults {
        tracing::warn!(?test_faults, "this node is to fail, for tests");
        rounds.clock.skew(test_faults.clock_offset_ms, test_faults.clock_rate);
    }
    let most_below = deployment.connections_below();
    let calls = Rc::new(Calls::new(
        addresses.database.map(|address| Database::new(address, most_below, DATABASE_IDLE)),
        hand.clone(),
        tasks.clone(),
    ));
    let notices = Notices::new(rounds.clone(), hand.clone(), link.clone(), &site.gauge_names);
    let list_follows_health = site.readiness_follows_health;
    let (promises, calls_may) = (site.limits.clone(), site.calls_dependency);
    let parts = Rc::new(Parts {
        rounds: rounds.clone(),
        hand,
        result_cache,
        calls: calls.clone(),
        link: link.clone(),
        site: RefCell::new(Rc::new(site)),
        tally: RefCell::new(Tally::default()),
        callers: Callers::default(),
    });
    let front = Rc::new(Front {
        parts: parts.clone(),
        clients: Clients::new(deployment.connections()),
        tasks: tasks.clone(),
        bad_lines: Cell::new(0),
        tls: Rc::new(Tls::default()),
    });
    if let Some(encrypted) = &encrypted {
        tls::load(encrypted, &front.tls, &parts)?;
    }
    let start = |task: BoxedLocal<()>| tasks.spawn(task).detach();
    let leaving = Rc::new(Cell::new(false));
    let beats =
        beat(registry.clone(), deployment.name.clone(), rounds.clone(), leaving.clone(), list_follows_health);
    start(Box::pin(beats));
    start(Box::pin(summary(front.clone())));
    let watched = front.clone();
    start(Box::pin(async move { watched.clients.watch().await }));
    let reload = Rc::new(Reload {
        path,
        fixed: deployment.fixed.clone(),
        calls_below: addresses.database.is_some(),
        file: Cell::new(addresses),
        streamed: Cell::default(),
        link,
        calls,
        registry,
        rounds: rounds.clone(),
    });
    let (left, identity_left) = (Rc::new(Bell::default()), Rc::new(Bell::default()));
    let identity_file = RefCell::new(None);
    if let Some(identified) = identified {
        let known = identity::start(&identified, streamed.as_ref(), kit.as_ref(), &deployment, &parts)?;
        if let Some((follow, subscriber, first)) = known {
            let (tasks, leaving) = (tasks.clone(), identity_left.clone());
            let follow = Follow { tasks, leaving, ..follow };
            start(Box::pin(async move { follow.run(subscriber, first).await }));
        }
        identity_file.replace(identified.document.filter(|_| !identified.streamed));
        let audited = parts.clone();
        start(Box::pin(async move { identity::audit(&audited).await }));
    }
    let budgets_left = Rc::new(Bell::default());
    if let Some(((budgeted, kit), streamed)) = budgeted.as_ref().zip(kit.as_ref()).zip(streamed.as_ref()) {
        let rate = test_faults.map_or(1.0, |faults| faults.clock_rate);
        let (follow, subscriber, first) = budgets::start(budgeted, streamed, kit, &deployment, &parts, rate)?;
        let (tasks, leaving) = (tasks.clone(), budgets_left.clone());
        let follow = Follow { tasks, leaving, ..follow };
        start(Box::pin(async move { follow.run(subscriber, first).await }));
    }
    if let Some((kit, streamed)) = kit.zip(streamed) {
        let (level, usual_level) = log;
        let surroundings = Surroundings {
            name: deployment.name.clone(),
            parts: parts.clone(),
            reload: reload.clone(),
            level,
            usual_level,
            promises,
            calls_below: calls_may,
        };
        let (subscriber, first, node) = kit.start(&streamed, &deployment, surroundings);
        let (host, controls) = (Rc::new(node), streamed.control_services);
        let follow = Follow { host, controls, tasks: tasks.clone(), leaving: left.clone() };
        start(Box::pin(async move { follow.run(subscriber, first).await }));
    }
    let (for_link, for_rounds) = (tasks.clone(), rounds.clone());
    start(Box::pin(async move { notices.keep(&for_link).await }));
    start(Box::pin(async move { for_rounds.run().await }));
    let listener = Rc::new(listener);
    let accepting = {
        let (listener, front) = (listener.clone(), front.clone());
        async move { listener::accept(&listener, &front.clients, |stream| front.start(stream)).await }
    };
    let accepting = tasks.spawn(accepting);

    let (notice, noticed) = (Bell::default(), Cell::new(None));
    let read_again = || {
        reload.reload();
        match encrypted.as_ref().map(|encrypted| tls::load(encrypted, &front.tls, &parts)) {
            Some(Ok(())) => tracing::info!("certificates read again"),
            Some(Err(fault)) => tracing::error!(fault, "the new certificates are wrong and change nothing"),
            None => {}
        }
        if let Some(path) = &*identity_file.borrow() {
            identity::reload(path, &parts);
        }
    };
    let signalled = async {
        if reads_again {
            read_again();
        }
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => read_again(),
                _ if noticed.get().is_none() => {
                    // If the process stood still, the notice came while it did: at the worst, as soon as it was
                    // last seen to run.
                    noticed.set(Some(rounds.alive()));
                    notice.ring();
                }
                _ => {}
            }
        }
        std::future::pending().await
    };
    let served = async {
        notice.heard().await;
        let noticed = noticed.get().unwrap_or_else(|| rounds.alive());
        leaving.set(true);
        left.ring();
        identity_left.ring();
        budgets_left.ring();
        if let Some(seat) = rounds.seat() {
            seat.leave();
        }
        rounds.beat_now();
        Ok(drain::leave(&front, accepting, listener, noticed, deployment.stop).await)
    };
    block_on(tasks.run(or(served, signalled)))
}

/// Catches the signals from here on. It comes before anything that may wait: uncaught, each ends the process.
pub fn signals() -> Result<Signals, String> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|error| format!("signals: {error}"))
}

/// Listens, unless the notice to leave came first. The process before this one may still hold the address for a moment.
fn listen(
    address: SocketAddr,
    signals: &mut Signals,
    reads_again: &mut bool,
) -> Result<Option<Async<TcpListener>>, String> {
    let by = Instant::now() + ADDRESS_FREE_WITHIN;
    loop {
        while let Some(Some(Ok(signal))) = block_on(poll_once(signals.next())) {
            if signal != Signal::Hup {
                return Ok(None);
            }
            *reads_again = true;
        }
        match listener::bind(address) {
            Ok(listener) => return Ok(Some(listener)),
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < by => {
                std::thread::sleep(LISTEN_AGAIN_AFTER);
            }
            Err(error) => return Err(format!("field listen: {address}: {error}")),
        }
    }
}

/// Reports to the registry, now and then and at each change of health.
async fn beat(
    registry: Rc<Registry>,
    name: String,
    rounds: Rc<Rounds>,
    leaving: Rc<Cell<bool>>,
    list_follows_health: bool,
) {
    loop {
        let ready = !leaving.get() && (rounds.good() || !list_follows_health);
        registry.send(&registry::encode(&name, ready));
        rounds.alive();
        let due = async {
            Timer::after(BEAT_EVERY).await;
        };
        or(rounds.health_changed(), due).await;
    }
}

/// Says now and then what was answered.
async fn summary(front: Rc<Front>) {
    let mut before = 0;
    loop {
        Timer::after(SUMMARY_EVERY).await;
        let (parts, tally) = (&front.parts, *front.parts.tally.borrow());
        if tally.arrived == before {
            continue;
        }
        before = tally.arrived;
        tracing::info!(
            ?tally,
            in_hand = parts.hand.count(),
            connections = front.clients.count(),
            rounds = parts.rounds.rounds.get(),
            longest_round_us = parts.rounds.longest.take().as_micros(),
            calls_below = parts.calls.connections(),
            calls_lost = parts.calls.lost.get(),
            replies_unknown = parts.calls.unknown.get(),
            unknown = parts.hand.unknown.get(),
            bad_lines = front.bad_lines.get(),
            turned_out = front.clients.turned_out.get(),
            no_handshake = front.tls.ended(),
            "so far"
        );
        if let Some(seat) = parts.rounds.seat() {
            tracing::info!(
                short = seat.short.get(),
                calls_too_late = seat.too_late.get(),
                answers_not_taken = seat.refused(),
                "budgets so far"
            );
        }
    }
}
