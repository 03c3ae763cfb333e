//! A node's side of streamed configuration, as a state machine: what happened and the time go in, actions come out.
//!
//! What holds at every step: the node serves by what it started with, by a version that stood its trial, or by one that
//! it has acknowledged and is trying out; and whatever kills it, it starts again by one of the first two. For that a
//! version goes through these stages, one version at a time:
//!
//! 1. *checked*: lineage, number, digest, document; turned down here, it changes nothing;
//! 2. *kept*: the store has it as on trial before it serves, so that a death with it is known for what it was;
//! 3. *on trial*: in effect and acknowledged; `trial.rs` says whether it does well;
//! 4. *settled*: kept as the last good one, or the node goes back to the one before and says why.
//!
//! Of the versions that come meanwhile the latest waits.

use crate::backoff::Backoff;
use crate::kept::{Held, Kept, SUSPECT_AT};
use crate::protocol::{Content, Offer, Published, Refusal, Said};
use crate::trial::{SAMPLES, Sample, Service, Trial, Verdict};
use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::time::{Span, Time};
use hazelgrade_config::{ConfigError, Document, Kind, Version, error_summary, operator};
use std::sync::Arc;

/// Nothing heard for so long, with a ping due every third of it: the connection is dead.
pub const SILENT_FOR_MS: f64 = 15_000.0;
/// What could not be kept is tried again after this, doubled each time up to a minute.
const KEEP_AGAIN_MS: f64 = 500.0;
const KEEP_AGAIN_MOST_MS: f64 = 60_000.0;
/// Faults that a refusal names.
const FAULTS_NAMED: usize = 5;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The connection that was asked for stands.
    Up,
    /// It ended, or never stood.
    Down,
    Heard(Published),
    /// What came on it was no message.
    Garbled(String),
    /// What was to be kept under this ticket is on the disk, or is not.
    Stored {
        ticket: u64,
        done: Result<(), String>,
    },
    /// The document that was to take effect has, or this node can't serve by it.
    TookEffect(Result<(), String>),
    /// Service since the last sample.
    Served(Sample),
    /// The notice to leave came.
    Leaving,
    /// The time that was asked for has come.
    Woke,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to this of the control services at that time.
    Connect {
        place: usize,
        at: Time,
    },
    Say(Said),
    /// End the connection; `Down` follows.
    HangUp,
    /// Keep this, in place of all that was kept before, and say when it is done.
    Keep {
        ticket: u64,
        kept: Kept,
    },
    /// Serve by this from the next round on; by nothing, not ready, if there is none.
    /// `back`: it is what was served before a version that failed.
    TakeEffect {
        document: Option<Arc<Document>>,
        back: bool,
    },
    /// For the log.
    Note(String),
}

/// By what the node serves.
#[derive(Clone, Debug, PartialEq)]
pub enum Serving {
    /// By nothing: not ready.
    Nothing,
    /// By the file it was started with.
    File,
    Good(Version),
    OnTrial(Version),
}

#[derive(Clone, Debug)]
enum Stage {
    /// Until the store has it as on trial.
    Keeping(u64),
    /// Until it is in effect.
    Entering,
    Trying(Box<Trial>),
    /// It did well; until the store has it as good.
    Settling(u64),
}

/// The version that is being taken up.
#[derive(Clone, Debug)]
struct Attempt {
    version: Version,
    document: Arc<Document>,
    /// The offer to answer, on the connection of this count.
    answer: Option<(u64, u64)>,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    Down,
    Connecting,
    Up { heard: Time },
}

#[derive(Clone, Debug)]
pub struct Subscriber {
    kind: Kind,
    node: String,
    program: String,
    /// Named by the operator; else the first that is heard of.
    lineage: Option<String>,
    rules: operator::Trial,
    controls: usize,
    chance: MultiplyWithCarry,
    backoff: Backoff,
    kept: Kept,
    /// What is served by when nothing streamed is good.
    file: Option<Arc<Document>>,
    good: Option<(Version, Arc<Document>)>,
    attempt: Option<Attempt>,
    waiting: Option<Offer>,
    service: Service,
    link: Link,
    /// Connections so far; answers go only on the one that the offer came on.
    links: u64,
    place: usize,
    asked: Option<Span>,
    leaving: bool,
    /// To be said once the connection stands.
    unsaid: Option<Said>,
    tickets: u64,
    in_flight: Option<u64>,
    unkept: bool,
    keep_failures: u32,
    keep_at: Option<Time>,
}

/// What a subscriber starts from.
pub struct Start {
    pub kind: Kind,
    pub node: String,
    pub program: String,
    pub lineage: Option<String>,
    pub rules: operator::Trial,
    /// How many control services there are.
    pub controls: usize,
    pub chance: MultiplyWithCarry,
    pub backoff: Backoff,
    /// What was kept, and what the file says.
    pub kept: Kept,
    pub file: Option<Document>,
}

impl Subscriber {
    /// A node that has just started. What it serves by is the first action.
    pub fn start(now: Time, start: Start, out: &mut Vec<Action>) -> Subscriber {
        let Start { kind, node, program, lineage, rules, controls, chance, backoff, mut kept, file } = start;
        if lineage.is_some() && lineage != kept.lineage {
            // Numbers of another lineage say nothing about those to come.
            (kept.lineage, kept.known, kept.failed) = (lineage.clone(), None, None);
        }
        let file = file.map(Arc::new);
        let good = kept.good.as_ref().map(|good| (good.version, Arc::new(good.document.clone())));
        let died = kept.trial.take();
        let mut subscriber = Subscriber {
            kind,
            node,
            program,
            lineage,
            rules,
            controls: controls.max(1),
            chance,
            backoff,
            kept,
            file,
            good,
            attempt: None,
            waiting: None,
            service: Service::new(rules.span),
            link: Link::Down,
            links: 0,
            place: 0,
            asked: None,
            leaving: false,
            unsaid: None,
            tickets: 0,
            in_flight: None,
            unkept: false,
            keep_failures: 0,
            keep_at: None,
        };
        out.push(Action::TakeEffect { document: subscriber.base(), back: false });
        if let Some((version, _)) = died {
            let deaths = subscriber.kept.died(version.digest);
            let why = format!("the node died with it on trial, {deaths} of {SUSPECT_AT} times");
            out.push(Action::Note(format!("went back from version {version}: {why}")));
            subscriber.unsaid = Some(Said::Settled { version, failed: Some(why) });
            subscriber.keep(out);
        }
        subscriber.connect(now, out);
        subscriber
    }

    /// By what the node serves.
    pub fn serving(&self) -> Serving {
        match &self.attempt {
            Some(Attempt { version, stage: Stage::Trying(_) | Stage::Settling(_), .. }) => {
                Serving::OnTrial(*version)
            }
            _ => match (&self.good, &self.file) {
                (Some((version, _)), _) => Serving::Good(*version),
                (None, Some(_)) => Serving::File,
                (None, None) => Serving::Nothing,
            },
        }
    }

    /// How often service is to be told.
    pub fn sample_every(&self) -> Span {
        self.rules.span * (1.0 / SAMPLES)
    }

    /// When it is to be woken at the latest.
    pub fn wakes_at(&self) -> Option<Time> {
        let silent = match self.link {
            Link::Up { heard } => Some(heard + Span::from_ms(SILENT_FOR_MS)),
            _ => None,
        };
        silent.into_iter().chain(self.keep_at).min()
    }

    pub fn take(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Up => self.up(now, out),
            Event::Down => self.down(now, out),
            Event::Heard(published) => self.heard(now, published, out),
            Event::Garbled(why) => {
                out.push(Action::Note(format!("the control service sent what can't be read: {why}")));
                out.push(Action::HangUp);
            }
            Event::Stored { ticket, done } => self.stored(now, ticket, done, out),
            Event::TookEffect(done) => self.took_effect(now, done, out),
            Event::Served(sample) => self.served(now, sample, out),
            Event::Leaving => self.leave(out),
            Event::Woke => {}
        }
        self.look(now, out);
    }

    // The connection.

    fn connect(&mut self, now: Time, out: &mut Vec<Action>) {
        let wait = self.backoff.next(&mut self.chance, self.asked.take());
        out.push(Action::Connect { place: self.place, at: now + wait });
        self.link = Link::Connecting;
    }

    fn up(&mut self, now: Time, out: &mut Vec<Action>) {
        self.link = Link::Up { heard: now };
        self.links += 1;
        out.push(Action::Say(Said::Subscribe {
            node: self.node.clone(),
            program: self.program.clone(),
            kind: self.kind,
            lineage: self.own_lineage(),
            have: self.has().map(|(version, _)| version),
            trial: self.attempt.is_some(),
            known: self.kept.known,
        }));
        out.extend(self.unsaid.take().map(Action::Say));
    }

    fn down(&mut self, now: Time, out: &mut Vec<Action>) {
        // An offer that waits comes again from whoever is connected to next.
        self.waiting = None;
        if self.asked.is_none() {
            self.place = (self.place + 1) % self.controls;
        }
        self.connect(now, out);
    }

    fn heard(&mut self, now: Time, published: Published, out: &mut Vec<Action>) {
        let Link::Up { heard } = &mut self.link else { return };
        *heard = now;
        match published {
            // Budgets are the holder's, beside this; that they come shows that the connection works.
            Published::Grant(_) | Published::Nudge | Published::Parts(_) => self.backoff.worked(),
            Published::Ping => {
                self.backoff.worked();
                out.push(Action::Say(Said::Pong));
            }
            Published::Retry(after) => {
                self.asked = Some(after);
                out.push(Action::HangUp);
            }
            Published::Offer(offer) => {
                self.backoff.worked();
                self.offered(offer, out);
            }
        }
    }

    /// What falls due by itself.
    fn look(&mut self, now: Time, out: &mut Vec<Action>) {
        if let Link::Up { heard } = self.link
            && now.since(heard) >= Span::from_ms(SILENT_FOR_MS)
        {
            out.push(Action::Note("the control service is silent".into()));
            out.push(Action::HangUp);
            // Said once; `Down` follows.
            self.link = Link::Down;
        }
        if self.keep_at.is_some_and(|at| at <= now) {
            self.keep_at = None;
            self.keep(out);
        }
    }

    fn say(&self, link: u64, said: Said, out: &mut Vec<Action>) {
        if link == self.links && matches!(self.link, Link::Up { .. }) {
            out.push(Action::Say(said));
        }
    }

    // Offers.

    fn own_lineage(&self) -> Option<String> {
        self.lineage.clone().or_else(|| self.kept.lineage.clone())
    }

    /// The version of which the node has the contents: what it serves by.
    fn has(&self) -> Option<(Version, Arc<Document>)> {
        match &self.attempt {
            Some(Attempt { version, document, stage: Stage::Trying(_) | Stage::Settling(_), .. }) => {
                Some((*version, document.clone()))
            }
            _ => self.good.clone(),
        }
    }

    fn base(&self) -> Option<Arc<Document>> {
        self.good.as_ref().map(|(_, document)| document.clone()).or_else(|| self.file.clone())
    }

    fn offered(&mut self, offer: Offer, out: &mut Vec<Action>) {
        let (nonce, version) = (offer.nonce, offer.version);
        match self.judge(&offer) {
            Ok(None) => {
                // It is in effect already: the offer came twice, or its answer was lost.
                let trial = self.attempt.is_some();
                let acknowledged = Said::Acknowledged { nonce, version, trial, staged: Vec::new() };
                out.push(Action::Say(acknowledged));
            }
            Ok(Some(document)) => self.begin(offer, document, out),
            Err(refusal) => self.turn_down(nonce, version, refusal, out),
        }
    }

    fn turn_down(&mut self, nonce: u64, version: Version, refusal: Refusal, out: &mut Vec<Action>) {
        out.push(Action::Note(format!("turned version {version} down: {}", refusal.reason())));
        self.say(self.links, Said::TurnedDown { nonce, version, refusal }, out);
    }

    /// The document to take up, nothing if it is in effect or on its way already, or why not.
    fn judge(&self, offer: &Offer) -> Result<Option<Document>, Refusal> {
        let version = offer.version;
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if let Some(own) = self.own_lineage().filter(|own| *own != offer.lineage) {
            return Err(Refusal::OtherLineage { own });
        }
        if self.has().is_some_and(|(has, _)| has == version) {
            return Ok(None);
        }
        if self.kept.deaths_of(version.digest) >= SUSPECT_AT {
            return Err(Refusal::Suspect);
        }
        if let Some((_, why)) = self.kept.failed.as_ref().filter(|(failed, _)| *failed == version) {
            return Err(Refusal::Failed(why.clone()));
        }
        if let Some(known) = self.kept.known {
            if version.number < known.number {
                return Err(Refusal::Behind { known });
            }
            if version.number == known.number && version.digest != known.digest {
                return Err(Refusal::Conflict { known });
            }
        }
        let name = format!("version {version}");
        let malformed = |faults: Vec<ConfigError>| Refusal::Malformed(error_summary(&faults, FAULTS_NAMED));
        let document = match &offer.content {
            Content::Whole(text) => {
                let document = Document::read_as(self.kind, text, &name).map_err(malformed)?;
                if document.digest() != version.digest {
                    return Err(Refusal::WrongDigest);
                }
                document
            }
            Content::Change { base, difference } => {
                let has = self.has().filter(|(has, _)| has == base).ok_or(Refusal::UnknownBase)?;
                let fields = has.1.fields().apply(difference).ok_or(Refusal::UnknownBase)?;
                if fields.digest() != version.digest {
                    return Err(Refusal::WrongDigest);
                }
                Document::from_fields(self.kind, fields, &name).map_err(malformed)?
            }
        };
        Ok(Some(document))
    }

    /// Takes a version up, or has it wait for the one before it.
    fn begin(&mut self, offer: Offer, document: Document, out: &mut Vec<Action>) {
        let version = offer.version;
        if let Some(attempt) = &self.attempt {
            // Whoever publishes anew what was good wants the one on trial gone, now.
            let back = self.good.as_ref().is_some_and(|(good, _)| good.digest == version.digest);
            if back && matches!(attempt.stage, Stage::Trying(_)) {
                self.fail("a later version takes it back".into(), out);
            } else {
                let before = self.waiting.replace(offer);
                if let Some(before) = before.filter(|before| before.version != version) {
                    let refusal = Refusal::Superseded { by: version };
                    self.turn_down(before.nonce, before.version, refusal, out);
                }
                return;
            }
        }
        self.kept.lineage.get_or_insert(offer.lineage);
        self.kept.known = Some(version);
        let document = Arc::new(document);
        let answer = Some((offer.nonce, self.links));
        if let Some((good, _)) = self.good.as_mut().filter(|(good, _)| good.digest == version.digest) {
            // The same contents under a new number: nothing to try out.
            *good = version;
            self.kept.good = Some(Held { version, document: (*document).clone() });
            self.keep(out);
            let acknowledged =
                Said::Acknowledged { nonce: offer.nonce, version, trial: false, staged: Vec::new() };
            self.say(self.links, acknowledged, out);
            return self.next(out);
        }
        self.kept.trial = Some((version, document.to_toml()));
        // Whether the store works again is found out now: somebody waits for the answer.
        self.keep_at = None;
        let ticket = self.keep(out);
        self.attempt = Some(Attempt { version, document, answer, stage: Stage::Keeping(ticket) });
    }

    fn took_effect(&mut self, now: Time, done: Result<(), String>, out: &mut Vec<Action>) {
        // Going back to what was served before, or starting by it, is not answered.
        let Some(Attempt { version, document, answer, stage: Stage::Entering }) = &mut self.attempt else {
            return;
        };
        let (version, answer) = (*version, answer.take());
        if let Err(why) = done {
            self.drop_attempt(Refusal::NotHere(why), answer, out);
            return self.next(out);
        }
        let before = self.good.as_ref().map(|(_, before)| before).or(self.file.as_ref());
        let staged = before.map(|before| before.fields().difference(document.fields()).staged());
        let staged = staged.unwrap_or_default();
        if let Some(attempt) = &mut self.attempt {
            attempt.stage = Stage::Trying(Box::new(Trial::begin(self.rules, now, &self.service)));
        }
        out.push(Action::Note(format!("version {version} is in effect, on trial")));
        if let Some((nonce, link)) = answer {
            self.say(link, Said::Acknowledged { nonce, version, trial: true, staged }, out);
        }
    }

    /// An attempt that has not been in effect ends without a trace but its number.
    fn drop_attempt(&mut self, refusal: Refusal, answer: Option<(u64, u64)>, out: &mut Vec<Action>) {
        let Some(attempt) = self.attempt.take() else { return };
        self.kept.trial = None;
        if let Refusal::NotHere(why) = &refusal {
            self.kept.failed = Some((attempt.version, why.clone()));
        }
        self.keep(out);
        out.push(Action::Note(format!("turned version {} down: {}", attempt.version, refusal.reason())));
        if let Some((nonce, link)) = answer.or(attempt.answer) {
            self.say(link, Said::TurnedDown { nonce, version: attempt.version, refusal }, out);
        }
    }

    /// The offer that waited has its turn.
    fn next(&mut self, out: &mut Vec<Action>) {
        if self.attempt.is_none()
            && let Some(offer) = self.waiting.take()
        {
            self.offered(offer, out);
        }
    }

    // The trial.

    fn served(&mut self, now: Time, sample: Sample, out: &mut Vec<Action>) {
        if self.leaving {
            return; // What a drain rejects says nothing about a version.
        }
        let verdict = match &mut self.attempt {
            Some(Attempt { stage: Stage::Trying(trial), .. }) => trial.served(now, &sample),
            // What is served while nothing is on trial is what the next trial is compared with.
            _ => {
                self.service.served(now, sample);
                return;
            }
        };
        match verdict {
            Verdict::Undecided => {}
            Verdict::Good => self.settle(out),
            Verdict::Bad(why) => {
                self.fail(why, out);
                self.next(out);
            }
        }
    }

    /// The version on trial did well: it is to be kept as good.
    fn settle(&mut self, out: &mut Vec<Action>) {
        let Some((version, document)) = self.has() else { return };
        self.kept.good = Some(Held { version, document: (*document).clone() });
        self.kept.trial = None;
        let ticket = self.keep(out);
        if let Some(attempt) = &mut self.attempt {
            attempt.stage = Stage::Settling(ticket);
        }
    }

    /// Back to what was served before the version on trial.
    fn fail(&mut self, why: String, out: &mut Vec<Action>) {
        let Some(Attempt { version, .. }) = self.attempt.take() else { return };
        out.push(Action::TakeEffect { document: self.base(), back: true });
        out.push(Action::Note(format!("went back from version {version}: {why}")));
        self.kept.trial = None;
        self.kept.failed = Some((version, why.clone()));
        self.keep(out);
        self.say(self.links, Said::Settled { version, failed: Some(why) }, out);
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        self.leaving = true;
        if let Some(offer) = self.waiting.take() {
            self.turn_down(offer.nonce, offer.version, Refusal::Leaving, out);
        }
        match self.attempt.as_ref().map(|attempt| &attempt.stage) {
            // It goes on serving what it has for the last seconds; what was on trial is neither good nor failed, and
            // the stop that comes is no death.
            Some(Stage::Trying(_)) => {
                self.kept.trial = None;
                self.keep(out);
            }
            Some(Stage::Keeping(_) | Stage::Entering) => self.drop_attempt(Refusal::Leaving, None, out),
            Some(Stage::Settling(_)) | None => {}
        }
    }

    // The store.

    /// Has all that is to be kept written; one write is under way at a time, and after one that failed the next
    /// comes after a pause. Gives the ticket of the first write that will have it.
    fn keep(&mut self, out: &mut Vec<Action>) -> u64 {
        self.tickets += 1;
        if self.in_flight.is_some() {
            self.unkept = true;
        } else if self.keep_at.is_none() {
            self.in_flight = Some(self.tickets);
            out.push(Action::Keep { ticket: self.tickets, kept: self.kept.clone() });
        }
        self.tickets
    }

    fn stored(&mut self, now: Time, ticket: u64, done: Result<(), String>, out: &mut Vec<Action>) {
        if self.in_flight != Some(ticket) {
            return;
        }
        self.in_flight = None;
        match done {
            Ok(()) => {
                (self.keep_failures, self.keep_at) = (0, None);
                self.is_kept(ticket, out);
            }
            Err(why) => {
                out.push(Action::Note(format!("the store can't keep the configuration: {why}")));
                let wait = KEEP_AGAIN_MS * 2f64.powi(self.keep_failures.min(10) as i32);
                self.keep_failures = self.keep_failures.saturating_add(1);
                self.keep_at = Some(now + Span::from_ms(wait.min(KEEP_AGAIN_MOST_MS)));
                if let Some(Attempt { stage: Stage::Keeping(_), .. }) = &self.attempt {
                    // Not known to be kept: a death with it would not be known for what it was. So it doesn't serve.
                    self.drop_attempt(Refusal::NotKept(why), None, out);
                    self.next(out);
                }
            }
        }
        if std::mem::take(&mut self.unkept) && self.in_flight.is_none() {
            self.keep(out);
        }
    }

    fn is_kept(&mut self, ticket: u64, out: &mut Vec<Action>) {
        let Some(attempt) = &mut self.attempt else { return };
        match attempt.stage {
            Stage::Keeping(since) if ticket >= since => {
                attempt.stage = Stage::Entering;
                out.push(Action::TakeEffect { document: Some(attempt.document.clone()), back: false });
            }
            Stage::Settling(since) if ticket >= since => {
                let Some(Attempt { version, document, .. }) = self.attempt.take() else { return };
                self.good = Some((version, document));
                out.push(Action::Note(format!("version {version} is good")));
                self.say(self.links, Said::Settled { version, failed: None }, out);
                self.next(out);
            }
            _ => {}
        }
    }
}
