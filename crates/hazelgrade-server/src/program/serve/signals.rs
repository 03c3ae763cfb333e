//! Signals of an instance: SIGTERM and SIGINT request shutdown, SIGHUP a reload.

use super::services::Services;
use crate::program::reload::Reload;
use crate::program::{identity, tls};
use crate::routing::controller_driver::ControllerDriver;
use crate::routing::front_end::FrontEnd;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use hazelgrade::time::Time;
use hazelgrade_config::OperatorConfig;
use hazelgrade_config::operator::TlsConfig;
use hazelgrade_net::notify::Notify;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;

/// Catches the signals from here on. It comes before anything that may wait: uncaught, each ends the process.
pub fn install() -> Result<Signals, String> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|error| format!("signals: {error}"))
}

/// Passes the request to shut down from the signals to the shutdown.
#[derive(Default)]
pub struct ShutdownRequest {
    notify: Notify,
    requested_at: Cell<Option<Time>>,
}

impl ShutdownRequest {
    /// Requests shutdown; only the first request counts.
    fn request(&self, rounds: &ControllerDriver) {
        if self.requested_at.get().is_some() {
            return;
        }
        // If the process was stopped, the signal came meanwhile: at worst, as soon as it was last seen to run.
        self.requested_at.set(Some(rounds.record_liveness()));
        self.notify.notify();
    }

    /// Waits for the request; gives its time.
    pub async fn requested(&self, rounds: &ControllerDriver) -> Time {
        self.notify.notified().await;
        self.requested_at.get().unwrap_or_else(|| rounds.record_liveness())
    }
}

/// Reads all files again that a reload takes in.
pub struct Reloader {
    configuration: Rc<Reload>,
    tls: Option<TlsConfig>,
    /// The identity document, if it is not streamed.
    identity_document: Option<PathBuf>,
    front: Rc<FrontEnd>,
}

impl Reloader {
    pub fn new(operator: &OperatorConfig, configuration: Rc<Reload>, services: &Services) -> Reloader {
        let identity = operator.identity.as_ref().filter(|identity| !identity.streamed);
        Reloader {
            configuration,
            tls: operator.tls.clone(),
            identity_document: identity.and_then(|identity| identity.document.clone()),
            front: services.front.clone(),
        }
    }

    /// Reads the files; one that is wrong changes nothing, and is logged.
    fn reload(&self) {
        let FrontEnd { context: parts, tls, .. } = &*self.front;
        self.configuration.reload();
        match self.tls.as_ref().map(|config| tls::load(config, tls, parts)) {
            Some(Ok(())) => tracing::info!("certificates reloaded"),
            Some(Err(error)) => tracing::error!(error, "the new certificates are wrong and change nothing"),
            None => {}
        }
        if let Some(path) = &self.identity_document {
            identity::reload(path, parts);
        }
    }
}

/// Handles signals until it is dropped. `reload_requested`: a SIGHUP that came before.
pub async fn handle<Output>(
    mut signals: Signals,
    reload_requested: bool,
    reloader: &Reloader,
    shutdown: &ShutdownRequest,
    rounds: &ControllerDriver,
) -> Output {
    if reload_requested {
        reloader.reload();
    }
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reloader.reload(),
            _ => shutdown.request(rounds),
        }
    }
    std::future::pending().await
}
