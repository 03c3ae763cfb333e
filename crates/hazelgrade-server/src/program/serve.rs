//! `serve`: one service instance, from its start to its exit.

use super::configuration::Deployment;
use super::logging::Level;
use super::reload::Reload;
use super::streaming::{Kit, Surroundings};
use super::{budgets, drain, identity, tls};
use crate::protocol::registry;
use crate::routing::callers::Callers;
use crate::routing::context::RequestContext;
use crate::routing::controller_driver::ControllerDriver;
use crate::routing::counters::Counters;
use crate::routing::dependency_calls::DependencyCalls;
use crate::routing::executor_events::ExecutorEvents;
use crate::routing::front_end::FrontEnd;
use crate::routing::in_flight::InFlightTable;
use crate::routing::result_cache::ResultCache;
use crate::transport::clients::ClientConnections;
use crate::transport::database::Database;
use crate::transport::executor::ExecutorLink;
use crate::transport::listener;
use crate::transport::registry::Registry;
use crate::transport::tls::Tls;
use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::{BoxedLocal, or, poll_once};
use hazelgrade_config::Operator;
use hazelgrade_net::notify::Notify;
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
    operator: Operator,
    log: (Level, LevelFilter),
    mut signals: Signals,
) -> Result<bool, String> {
    let Operator { stream: streamed, identity: identified, budgets: budgeted, tls: encrypted, for_tests } =
        operator;
    let dies_at = for_tests.and_then(|for_tests| for_tests.store_dies_at);
    let kit = streamed.as_ref().map(|streamed| Kit::open(streamed, &deployment.name, dies_at)).transpose()?;
    if let Some(kit) = &kit {
        let (sockets, memory_mb) = kit.limits();
        deployment.within(sockets, memory_mb);
        deployment.without_use_cases();
    }
    let (control, site) = hazelgrade_settings::instance(&deployment.settings, deployment.seed)
        .map_err(|fault| format!("settings: {}", fault.0))?;
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
        (Rc::new(InFlightTable::default()), Rc::new(ResultCache::new(deployment.result_bytes())));
    let tasks = Rc::new(LocalExecutor::new());
    let link = Rc::new(ExecutorLink::new(addresses.executor));
    let rounds =
        Rc::new(ControllerDriver::new(control, site.tick, hand.clone(), result_cache.clone(), link.clone()));
    if let Some(for_tests) = for_tests {
        tracing::warn!(?for_tests, "this node is to fail, for tests");
        rounds.clock.skew(for_tests.clock_off_ms, for_tests.clock_rate);
    }
    let most_below = deployment.connections_below();
    let calls = Rc::new(DependencyCalls::new(
        addresses.database.map(|address| Database::new(address, most_below, DATABASE_IDLE)),
        hand.clone(),
        tasks.clone(),
    ));
    let notices = ExecutorEvents::new(rounds.clone(), hand.clone(), link.clone(), &site.gauges);
    let list_follows_health = site.list_follows_health;
    let (promises, calls_may) = (site.promises.clone(), site.calls_below);
    let parts = Rc::new(RequestContext {
        driver: rounds.clone(),
        in_flight: hand,
        result_cache,
        dependency_calls: calls.clone(),
        executor: link.clone(),
        site: RefCell::new(Rc::new(site)),
        counters: RefCell::new(Counters::default()),
        callers: Callers::default(),
    });
    let front = Rc::new(FrontEnd {
        context: parts.clone(),
        connections: ClientConnections::new(deployment.connections()),
        tasks: tasks.clone(),
        invalid_messages: Cell::new(0),
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
    start(Box::pin(async move { watched.connections.enforce_timeouts().await }));
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
    let (left, identity_left) = (Rc::new(Notify::default()), Rc::new(Notify::default()));
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
    let budgets_left = Rc::new(Notify::default());
    if let Some(((budgeted, kit), streamed)) = budgeted.as_ref().zip(kit.as_ref()).zip(streamed.as_ref()) {
        let rate = for_tests.map_or(1.0, |for_tests| for_tests.clock_rate);
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
        let (host, controls) = (Rc::new(node), streamed.control);
        let follow = Follow { host, controls, tasks: tasks.clone(), leaving: left.clone() };
        start(Box::pin(async move { follow.run(subscriber, first).await }));
    }
    let (for_link, for_rounds) = (tasks.clone(), rounds.clone());
    start(Box::pin(async move { notices.run(&for_link).await }));
    start(Box::pin(async move { for_rounds.run().await }));
    let listener = Rc::new(listener);
    let accepting = {
        let (listener, front) = (listener.clone(), front.clone());
        async move { listener::accept(&listener, &front.connections, |stream| front.start(stream)).await }
    };
    let accepting = tasks.spawn(accepting);

    let (notice, noticed) = (Notify::default(), Cell::new(None));
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
                    noticed.set(Some(rounds.record_liveness()));
                    notice.notify();
                }
                _ => {}
            }
        }
        std::future::pending().await
    };
    let served = async {
        notice.notified().await;
        let noticed = noticed.get().unwrap_or_else(|| rounds.record_liveness());
        leaving.set(true);
        left.notify();
        identity_left.notify();
        budgets_left.notify();
        if let Some(seat) = rounds.budget_share() {
            seat.start_drain();
        }
        rounds.request_heartbeat();
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
    rounds: Rc<ControllerDriver>,
    leaving: Rc<Cell<bool>>,
    list_follows_health: bool,
) {
    loop {
        let ready = !leaving.get() && (rounds.is_healthy() || !list_follows_health);
        registry.send(&registry::encode(&name, ready));
        rounds.record_liveness();
        let due = async {
            Timer::after(BEAT_EVERY).await;
        };
        or(rounds.health_changed(), due).await;
    }
}

/// Says now and then what was answered.
async fn summary(front: Rc<FrontEnd>) {
    let mut before = 0;
    loop {
        Timer::after(SUMMARY_EVERY).await;
        let (parts, tally) = (&front.context, *front.context.counters.borrow());
        if tally.arrived == before {
            continue;
        }
        before = tally.arrived;
        tracing::info!(
            ?tally,
            in_hand = parts.in_flight.count(),
            connections = front.connections.count(),
            rounds = parts.driver.round_count.get(),
            longest_round_us = parts.driver.longest_round.take().as_micros(),
            calls_below = parts.dependency_calls.connections(),
            calls_lost = parts.dependency_calls.lost.get(),
            replies_unknown = parts.dependency_calls.unknown_replies.get(),
            unknown = parts.in_flight.unknown_jobs.get(),
            bad_lines = front.invalid_messages.get(),
            turned_out = front.connections.closed_for_violation.get(),
            no_handshake = front.tls.failed_handshakes(),
            "so far"
        );
        if let Some(seat) = parts.driver.budget_share() {
            tracing::info!(
                short = seat.jobs_rejected.get(),
                calls_too_late = seat.calls_expired.get(),
                answers_not_taken = seat.ignored_grants(),
                "budgets so far"
            );
        }
    }
}
