//! The life of a job, from its arrival to the end of its run.

use super::callers::Callers;
use super::calls::Calls;
use super::hand::{Hand, Turn};
use super::outcome::{self, CallEnd};
use super::result_cache::ResultCache;
use super::rounds::{Event, Rounds};
use crate::protocol::executor::{Command, RunEnd, encode};
use crate::protocol::jsonrpc::{self, Answer, Asked};
use crate::protocol::{Body, from_bytes, to_bytes};
use crate::transport::executor::Link;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::or;
use hazelgrade::api::{JobId, Outcome};
use hazelgrade::time::{Span, Time};
use hazelgrade_net::ending::ConnectionEnd;
use hazelgrade_settings::HostSettings;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A call is taken as silent this long after the time that the database was given for it: it says itself when that
/// is over, and what it says takes a few milliseconds.
const SILENT_AFTER: Duration = Duration::from_millis(25);

/// What lies in the sockets when the time is over is read within this.
const UNREAD: Duration = Duration::from_millis(5);

/// Answers by kind, since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub arrived: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    pub callers_gone: u64,
    /// Ends of runs whose job was answered before.
    pub unwanted: u64,
    /// Asked for what is not served here, or no longer.
    pub not_here: u64,
    /// Asked for by who may not.
    pub denied: u64,
    /// Of these, for what the keys say: a wrong set shows here, a revocation does not.
    pub unverified: u64,
    /// Jobs that the executor did not know.
    pub not_known: u64,
}

/// What the life of a job needs of its surroundings.
pub struct Parts {
    pub rounds: Rc<Rounds>,
    pub hand: Rc<Hand>,
    pub result_cache: Rc<ResultCache>,
    pub calls: Rc<Calls>,
    pub link: Rc<Link>,
    /// As it is served now; a job that has arrived keeps its own.
    pub site: RefCell<Rc<HostSettings>>,
    pub tally: RefCell<Tally>,
    pub callers: Callers,
}

impl Parts {
    /// Gives the final answer, unless it was given or nobody waits for it any more.
    fn answer(&self, id: &JobId, answer: &Answer) {
        let mut tally = self.tally.borrow_mut();
        let Some(asker) = self.hand.to_answer(id) else {
            tally.unwanted += 1;
            return;
        };
        tracing::trace!(job = &**id, answer = answer.word(), "answered");
        match answer {
            Answer::Succeeded(_) => tally.succeeded += 1,
            Answer::Rejected { .. } => {
                tally.rejected += 1;
                asker.client.rejected();
            }
            Answer::Denied(_) => tally.denied += 1,
            Answer::Failed => tally.failed += 1,
        }
        asker.client.put(&jsonrpc::encode(asker.call, answer, self.rounds.said()));
        asker.client.close(asker.call);
    }

    /// The caller no longer waits. The module hears it before its next round, so that it can't decide to run
    /// a job whose task has ended.
    pub fn caller_gone(&self, id: &JobId) {
        if let Some(asker) = self.hand.to_answer(id) {
            self.tally.borrow_mut().callers_gone += 1;
            asker.client.close(asker.call);
            self.rounds.tell(Event::CallerGone(id.clone()));
            self.hand.send(id, Turn::CallerGone);
        }
    }

    /// The executor runs the job: its caller is what it says.
    fn proved(&self, id: &JobId) {
        if let Some(client) = self.hand.asker(id) {
            client.prove();
        }
    }

    fn send(&self, command: &Command) {
        self.link.send(&encode(command));
    }
}

/// A run that stands at a call.
struct AtCall {
    cursor: u64,
    body: Body,
    /// When the call was made, and when it is taken as silent.
    made: Option<(Time, Instant)>,
}

/// The last command that the executor may not have got.
enum Last {
    Run,
    Reply(Body),
    SkipCall(u64),
}

/// Lives through a job. Its turns come one by one: decisions of the module, and what the others tell.
pub async fn live(asked: Asked, turns: Receiver<Turn>, parts: Rc<Parts>) {
    let Asked { job, body, .. } = asked;
    let (id, repeats) = (job.id.clone(), job.retry_of.clone());
    let job_class = parts.site.borrow().job_classes[job.job_class].name.clone();

    // It has arrived; the module hears of it, and its verdict comes as a turn. With `--log trace` a job can be followed
    // by its id through every instance that touched it.
    let unread_ms = parts.rounds.clock.now().since(job.received_at).as_ms();
    tracing::trace!(job = &*id, job_class, again = job.is_retry, unread_ms, "arrived");
    parts.rounds.tell(Event::Arrived(job));
    let mut result = None;
    'in_hand: loop {
        // Held, until it is run, answered, or its caller is gone.
        loop {
            let Ok(turn) = turns.recv().await else { break 'in_hand };
            match turn {
                Turn::Run => break,
                Turn::Answer(answer) => {
                    parts.answer(&id, &answer);
                    break 'in_hand;
                }
                Turn::CallerGone => break 'in_hand,
                Turn::Share => {
                    let prior = repeats.as_ref().unwrap_or(&id);
                    if let Some(body) = parts.result_cache.share(&id, prior) {
                        parts.hand.send(&id, Turn::Shared(body));
                    }
                }
                Turn::Shared(body) => {
                    let answer = body.clone().map_or(Answer::Failed, Answer::Succeeded);
                    let outcome = body.as_ref().map_or(Outcome::Failed, |_| Outcome::Completed);
                    parts.answer(&id, &answer);
                    parts.rounds.tell(Event::RunEnded(id.clone(), outcome, Span::ZERO));
                    result = body;
                    break 'in_hand;
                }
                _ => {}
            }
        }

        // Run. An answer may be given before the run has ended; what it yields is dropped then.
        tracing::trace!(job = &*id, "run");
        parts.send(&Command::Run { id: &id, job_class: &job_class, body: &body });
        let began = parts.rounds.clock.now();
        let (mut last, mut stopping, mut at_call) = (Some(Last::Run), false, None::<AtCall>);
        let mut sent = Instant::now();
        let (end, lasted, yielded) = loop {
            let silent = at_call.as_ref().and_then(|at| at.made).map(|(_, silent)| silent);
            let Some(turn) = next(&turns, silent).await else { break 'in_hand };
            match turn {
                Turn::Ended { end, lasted, body } => {
                    parts.proved(&id);
                    break (end, lasted, body);
                }
                Turn::AtCall { cursor, body } => {
                    parts.proved(&id);
                    tracing::trace!(job = &*id, cursor, "at a call");
                    (last, at_call) = (None, Some(AtCall { cursor, body, made: None }));
                    parts.rounds.tell(Event::AtCall(id.clone()));
                }
                Turn::Call(within) => {
                    let Some(at) = &mut at_call else { continue };
                    tracing::trace!(job = &*id, within_ms = within.as_ms(), "calls");
                    let silent = Duration::from_secs_f64(within.as_ms() / 1000.0) + SILENT_AFTER;
                    at.made = Some((parts.rounds.clock.now(), Instant::now() + silent));
                    // The process may have stood still since it was decided: what all nodes share may be another's now.
                    let seat = parts.rounds.seat();
                    let by = seat.map(|seat| seat.last_look());
                    match to_bytes(&at.body) {
                        _ if by == Some(None) => {
                            parts.hand.send(&id, Turn::Called(CallEnd::Lost(ConnectionEnd::Unsent)));
                        }
                        Some(bytes) => parts.calls.make(&id, within, &bytes, by.flatten()),
                        None => parts.hand.send(&id, Turn::Called(CallEnd::unreadable())),
                    }
                }
                Turn::Called(called) => {
                    let Some((made, _)) = at_call.as_mut().and_then(|at| at.made.take()) else { continue };
                    if let CallEnd::Silent = called {
                        parts.calls.give_up(&id, true);
                    }
                    let (outcome, took) = (outcome::of_call(&called), parts.rounds.clock.now().since(made));
                    tracing::trace!(job = &*id, ?outcome, took_ms = took.as_ms(), "call ended");
                    if let CallEnd::Replied(_, reply) = called
                        && outcome == Outcome::Completed
                    {
                        let reply = from_bytes(&reply);
                        parts.send(&Command::Reply { id: &id, body: &reply });
                        (last, at_call, sent) = (Some(Last::Reply(reply)), None, Instant::now());
                    }
                    parts.rounds.tell(Event::CallEnded(id.clone(), outcome, took));
                }
                Turn::SkipCall => {
                    let Some(AtCall { cursor, .. }) = at_call.take() else { continue };
                    tracing::trace!(job = &*id, "goes on without its call");
                    parts.send(&Command::SkipCall { id: &id, cursor });
                    (last, sent) = (Some(Last::SkipCall(cursor)), Instant::now());
                }
                Turn::Stop => {
                    stopping = true;
                    tracing::trace!(job = &*id, "is to stop");
                    parts.send(&Command::Stop { id: &id });
                }
                Turn::Answer(answer) => parts.answer(&id, &answer),
                Turn::Relinked(from, to) => {
                    // A reply that did arrive must not come again: the run may stand at its next call.
                    match last.as_ref().filter(|_| from <= sent && sent < to) {
                        Some(Last::Run) => {
                            parts.send(&Command::Run { id: &id, job_class: &job_class, body: &body })
                        }
                        Some(Last::Reply(body)) => parts.send(&Command::Reply { id: &id, body }),
                        Some(Last::SkipCall(cursor)) => {
                            parts.send(&Command::SkipCall { id: &id, cursor: *cursor })
                        }
                        None => {}
                    }
                    if stopping {
                        parts.send(&Command::Stop { id: &id });
                    }
                }
                Turn::NotDone if matches!(last, Some(Last::Run)) => {
                    // It knows no such job: whoever asked has made it up.
                    let mut tally = parts.tally.borrow_mut();
                    tally.not_known += 1;
                    if tally.not_known.is_power_of_two() {
                        tracing::warn!(count = tally.not_known, "the executor did not start a run");
                    }
                    if let Some(client) = parts.hand.asker(&id) {
                        client.misused();
                    }
                    break (RunEnd::Gone, Span::ZERO, "".into());
                }
                Turn::RunsOver => {
                    let lasted = parts.rounds.clock.now().since(began);
                    break (RunEnd::Bad, lasted, "".into());
                }
                Turn::CallerGone | Turn::Run | Turn::Share | Turn::Shared(_) | Turn::NotDone => {}
            }
        };

        // The run is over, and with it its call.
        parts.calls.give_up(&id, false);
        let outcome = outcome::of_run(end);
        tracing::trace!(job = &*id, ?outcome, lasted_ms = lasted.as_ms(), "run ended");
        let held_again = outcome == Outcome::Cancelled && parts.hand.is_owed(&id);
        parts.rounds.tell(Event::RunEnded(id.clone(), outcome, lasted));
        if held_again {
            continue;
        }
        if outcome == Outcome::Completed {
            result = Some(yielded.clone());
            parts.answer(&id, &Answer::Succeeded(yielded));
        } else {
            parts.answer(&id, &Answer::Failed);
        }
        break;
    }

    // It leaves the hand; repeats that waited for its result get it.
    parts.hand.let_go(&id);
    parts.calls.done(&id);
    let now = parts.rounds.clock.now();
    for repeat in parts.result_cache.done(&id, now, result.clone()) {
        parts.hand.send(&repeat, Turn::Shared(result.clone()));
    }
}

/// The next turn; that the call was silent, once its time is over.
async fn next(turns: &Receiver<Turn>, silent: Option<Instant>) -> Option<Turn> {
    let Some(at) = silent else { return turns.recv().await.ok() };
    let late = async {
        Timer::at(at).await;
        // After a pause of the process, what came meanwhile is read first.
        Timer::after(UNREAD).await;
        Some(Turn::Called(CallEnd::Silent))
    };
    or(async { turns.recv().await.ok() }, late).await
}
