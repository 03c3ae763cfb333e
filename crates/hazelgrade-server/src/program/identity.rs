//! Keys, callers and rights in a serving node: from a file, or streamed as a kind of document of its own.

use super::configuration::Deployment;
use super::streaming::Kit;
use crate::routing::job::Parts;
use async_io::Timer;
use futures_lite::future::{BoxedLocal, FutureExt};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::Time;
use hazelgrade_config::operator::{Identified, Streamed};
use hazelgrade_config::{Document, Kind, fault};
use hazelgrade_identity::AccessPolicy;
use hazelgrade_net::bell::Bell;
use hazelgrade_store::Store;
use hazelgrade_stream::backoff::Backoff;
use hazelgrade_stream::follow::{Follow, Host};
use hazelgrade_stream::kept::{self, Kept};
use hazelgrade_stream::subscriber::{Action, Start, Subscriber};
use hazelgrade_stream::trial::Sample;
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const FAULTS_NAMED: usize = 5;
/// Lines of refusals are due each second.
const AUDIT_EVERY: Duration = Duration::from_secs(1);

/// Reads an identity document from a file.
pub fn read_document(path: &Path) -> Result<Document, String> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| format!("{shown}: {error}"))?;
    let read = Document::read_as(Kind::Identity, &text, &shown);
    let document = read.map_err(|faults| fault::lines(&faults, FAULTS_NAMED))?;
    AccessPolicy::from_document(&document).map_err(|why| format!("{shown}: {why}"))?;
    Ok(document)
}

/// `back`: after a version that failed. What that one revoked stays revoked.
fn take(document: &Document, parts: &Parts, back: bool) -> Result<(), String> {
    let identity = AccessPolicy::from_document(document).map_err(|error| error.to_string())?;
    let now = parts.rounds.clock.now();
    parts.callers.replace(identity, &parts.site.borrow(), now, back).map_err(|error| error.to_string())
}

/// SIGHUP: the file as it is now; one that is wrong changes nothing.
pub fn reload(path: &Path, parts: &Parts) {
    match read_document(path).and_then(|document| take(&document, parts, false)) {
        Ok(()) => tracing::info!(path = %path.display(), "identities read again"),
        Err(fault) => tracing::error!(fault, "the new identities are wrong and change nothing"),
    }
}

/// Writes what refusals are due.
pub async fn audit(parts: &Parts) {
    loop {
        Timer::after(AUDIT_EVERY).await;
        parts.callers.audit(parts.rounds.clock.now());
    }
}

pub type Following = (Follow<Node>, Subscriber, Vec<Action>);

/// Switches identities on: from the file at once, and from the control services if they are streamed.
pub fn start(
    identified: &Identified,
    streamed: Option<&Streamed>,
    kit: Option<&Kit>,
    deployment: &Deployment,
    parts: &Rc<Parts>,
) -> Result<Option<Following>, String> {
    parts.callers.switch_on();
    let mut site = (**parts.site.borrow()).clone();
    site.callers_known = true;
    parts.site.replace(Rc::new(site));
    let file = identified.document.as_deref().map(read_document).transpose()?;
    let Some((streamed, kit)) = streamed.zip(kit).filter(|_| identified.streamed) else {
        if let Some(document) = &file {
            take(document, parts, false).map_err(|why| format!("field identity.document: {why}"))?;
        }
        return Ok(None);
    };
    let store = kit.store.clone();
    let kept = store.as_ref().ok().and_then(|store| {
        let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
        store.get(kept::name(Kind::Identity)).ok().flatten()
    });
    let kept = match kept.as_deref().map(|kept| Kept::decode(Kind::Identity, kept)).transpose() {
        Ok(kept) => kept.unwrap_or_default(),
        Err(why) => {
            tracing::error!(why, "the identities that were kept can't be read");
            Kept::default()
        }
    };
    let start = Start {
        kind: Kind::Identity,
        node: deployment.name.clone(),
        program: env!("CARGO_PKG_VERSION").into(),
        lineage: streamed.lineage.clone(),
        rules: identified.trial,
        controls: streamed.control.len(),
        chance: MultiplyWithCarry::new(deployment.seed.rotate_left(16)),
        backoff: Backoff::default(),
        kept,
        file,
    };
    let mut first = Vec::new();
    let subscriber = Subscriber::start(parts.rounds.clock.now(), start, &mut first);
    let host = Rc::new(Node { parts: parts.clone(), store, told: Cell::default() });
    let (controls, tasks) = (streamed.control.clone(), Rc::default());
    let follow = Follow { host, controls, tasks, leaving: Rc::new(Bell::default()) };
    Ok(Some((follow, subscriber, first)))
}

/// What identities reach of a node.
pub struct Node {
    parts: Rc<Parts>,
    store: Result<Arc<Mutex<Store>>, String>,
    told: Cell<(u64, u64)>,
}

impl Host for Node {
    fn now(&self) -> Time {
        self.parts.rounds.clock.now()
    }

    fn keep(&self, bytes: Vec<u8>) -> BoxedLocal<Result<(), String>> {
        let store = self.store.clone();
        async move {
            let store = store?;
            blocking::unblock(move || {
                let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
                let kept = store.keep(&[(kept::name(Kind::Identity), Some(&bytes))]);
                kept.map_err(|fault| fault.to_string())
            })
            .await
        }
        .boxed_local()
    }

    fn take_effect(&self, document: Option<&Document>, back: bool) -> Result<(), String> {
        match document {
            Some(document) => take(document, &self.parts, back),
            None => {
                self.parts.callers.none();
                Ok(())
            }
        }
    }

    /// What keys refuse counts, what rights and revocations refuse does not: else a revocation would be taken back for
    /// doing what it is for.
    fn sample(&self) -> Sample {
        let tally = *self.parts.tally.borrow();
        let done = tally.succeeded + tally.rejected + tally.failed;
        let (done_before, unverified_before) = self.told.replace((done, tally.unverified));
        let done = done.saturating_sub(done_before) as f64;
        let unverified = tally.unverified.saturating_sub(unverified_before) as f64;
        Sample { answered: done + unverified, succeeded: done, linked: true }
    }
}
