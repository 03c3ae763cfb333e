//! Handles the signals of an instance: SIGTERM and SIGINT request shutdown, and SIGHUP requests a reload.

use super::services::Services;
use crate::program::reload::Reload;
use crate::program::{identity, tls};
use crate::routing::controller_driver::ControllerDriver;
use crate::routing::front_end::FrontEnd;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use hazelgrade::time::Time;
use hazelgrade_config::OperatorConfig;
use hazelgrade_config::operator::TlsConfig;
use hazelgrade_net::notify::Notify;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// Pause before signals are read again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Starts to catch signals. Must be called before any operation that may block, because an uncaught signal would end
/// the process.
pub fn install() -> Result<Signals, String> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|error| format!("signals: {error}"))
}

/// Passes a shutdown request from the signal handler to the drain.
#[derive(Default)]
pub struct ShutdownRequest {
    notify: Notify,
    requested_at: Cell<Option<Time>>,
}

impl ShutdownRequest {
    /// Requests shutdown. Requests after the first one have no effect.
    fn request(&self, driver: &ControllerDriver) {
        if self.requested_at.get().is_some() {
            return;
        }
        // If the process was suspended, the signal may have been sent at any time during the suspension. The request
        // takes the earliest possible time, which is the start of the suspension.
        self.requested_at.set(Some(driver.record_liveness()));
        self.notify.notify();
    }

    /// Waits for the shutdown request and returns the time of the request.
    pub async fn requested(&self, driver: &ControllerDriver) -> Time {
        self.notify.notified().await;
        self.requested_at.get().unwrap_or_else(|| driver.record_liveness())
    }
}

/// Reads the configuration file, the certificates and the identity document again on SIGHUP.
pub struct Reloader {
    configuration: Rc<Reload>,
    tls: Option<TlsConfig>,
    /// The path of the identity document, unless identity documents are received from control services.
    identity_document: Option<PathBuf>,
    front_end: Rc<FrontEnd>,
}

impl Reloader {
    /// Returns a reloader for the configuration file and the files named in the operator's file.
    pub fn new(operator: &OperatorConfig, configuration: Rc<Reload>, services: &Services) -> Reloader {
        let identity = operator.identity.as_ref().filter(|identity| !identity.streamed);
        Reloader {
            configuration,
            tls: operator.tls.clone(),
            identity_document: identity.and_then(|identity| identity.document.clone()),
            front_end: services.front_end.clone(),
        }
    }

    /// Reads the files again. An invalid file is logged and leaves the state of the node unchanged.
    fn reload(&self) {
        let FrontEnd { context, tls, .. } = &*self.front_end;
        self.configuration.reload();
        match self.tls.as_ref().map(|config| tls::load(config, tls, context)) {
            Some(Ok(())) => tracing::info!("TLS certificates reloaded"),
            Some(Err(error)) => {
                tracing::error!(error, "TLS certificates not reloaded; the previous ones stay in effect")
            }
            None => {}
        }
        if let Some(path) = &self.identity_document {
            identity::reload(path, context);
        }
    }
}

/// Handles signals until the future is dropped. `reload_requested` is set if SIGHUP was received before this call.
pub async fn handle<Output>(
    mut signals: Signals,
    reload_requested: bool,
    reloader: &Reloader,
    shutdown: &ShutdownRequest,
    driver: &ControllerDriver,
) -> Output {
    if reload_requested {
        reloader.reload();
    }
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reloader.reload(),
            Ok(_) => shutdown.request(driver),
            // Nothing is known about the signal, and it is not lost: the next read of the pipe reports it.
            Err(error) => {
                tracing::debug!(%error, "reading a signal failed; trying again");
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
    std::future::pending().await
}
