//! What clients send: starts jobs, hears of callers that leave, answers checks and bad input.

use super::callers::Caller;
use super::hand::{Asker, Words};
use super::job::{self, Parts};
use crate::protocol::jsonrpc::{self, Answer, Asked, Incoming, Wrong};
use crate::transport::clients::{Client, Clients};
use crate::transport::tls::Tls;
use async_executor::LocalExecutor;
use async_io::Async;
use hazelgrade::api::{Idempotency, JobId};
use hazelgrade::time::Span;
use hazelgrade_identity::{Credentials, DenyReason};
use hazelgrade_net::ending::ConnectionEnd;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, TcpStream};
use std::rc::Rc;

/// A job can't have reached the machine later than now; by so much clocks may lie apart.
const AHEAD_MS: f64 = 1000.0;

pub struct Front {
    pub parts: Rc<Parts>,
    pub clients: Clients<JobId>,
    pub tasks: Rc<LocalExecutor<'static>>,
    pub bad_lines: Cell<u64>,
    pub tls: Rc<Tls>,
}

impl Front {
    /// Starts to serve a connection.
    pub fn start(self: &Rc<Self>, stream: Async<TcpStream>) {
        self.clients.comes();
        self.tasks.spawn(self.clone().serve(stream)).detach();
    }

    /// Serves one connection of a client until it ends; callers whose connection is gone are gone.
    async fn serve(self: Rc<Self>, stream: Async<TcpStream>) {
        let from = stream.get_ref().peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
        let (wire, certificate) = match self.tls.accept(stream, self.parts.rounds.clock.now()).await {
            Ok(accepted) => accepted,
            Err(end) => {
                tracing::debug!(?end, "no handshake");
                return self.clients.came();
            }
        };
        let caller = Caller { from, known: RefCell::new(Credentials { token: None, certificate }) };
        let on_line = async |client: &Rc<Client<JobId>>, line: &[u8]| self.take(client, &caller, line).await;
        let last_words = |end| match end {
            ConnectionEnd::TooLong => Some(jsonrpc::last_words(true)),
            ConnectionEnd::Misused => Some(jsonrpc::last_words(false)),
            _ => None,
        };
        let serving = self.clients.serve(&self.tasks, wire, jsonrpc::LONGEST_LINE, on_line, last_words);
        let (end, open) = serving.await;
        if !open.is_empty() {
            tracing::debug!(?end, jobs = open.len(), "a connection ended with jobs open");
        }
        open.iter().for_each(|id| self.parts.caller_gone(id));
    }

    async fn take(&self, client: &Rc<Client<JobId>>, caller: &Caller, line: &[u8]) {
        let rounds = &self.parts.rounds;
        let site = self.parts.site.borrow().clone();
        match jsonrpc::decode(line, &site) {
            Ok(Incoming::Job(mut asked)) => {
                client.room().await;
                let now = rounds.clock.now();
                match self.parts.callers.may(now, caller, &mut asked) {
                    Ok(()) => self.arrived(client, *asked),
                    Err(refused) => self.deny(client, asked.call, refused),
                }
            }
            Ok(Incoming::Abort(call, id)) => {
                // Only what this connection asked for is its to take back.
                let open = call.and_then(|call| client.is_open(call));
                if let Some(id) = id.filter(|id| client.has_open(id)).or(open) {
                    self.parts.caller_gone(&id);
                }
            }
            Ok(Incoming::Hello(call, token)) => {
                let hello = self.parts.callers.hello(rounds.clock.now(), caller, &token);
                if hello.is_err() {
                    client.misused();
                }
                let hello = hello.as_deref().map_err(|refused| refused.message());
                client.put(&jsonrpc::encode_hello(call, hello));
            }
            Ok(Incoming::Check(call)) => {
                client.checks();
                client.put(&jsonrpc::encode_check(call, rounds.good(), rounds.said()));
            }
            Err(wrong) => match wrong.call.filter(|_| wrong.not_here) {
                Some(call) => {
                    self.parts.tally.borrow_mut().not_here += 1;
                    let rejected = Answer::Rejected { not_elsewhere: false, retry_after: Span::ZERO };
                    client.put(&jsonrpc::encode(call, &rejected, rounds.said()));
                    client.rejected();
                }
                None => self.refuse(client, &wrong),
            },
        }
    }

    /// One clear answer, that it never ran and would run nowhere.
    fn deny(&self, client: &Client<JobId>, call: u64, refused: DenyReason) {
        let mut tally = self.parts.tally.borrow_mut();
        tally.denied += 1;
        tally.unverified += u64::from(refused.suggests_wrong_policy());
        client.put(&jsonrpc::encode(call, &Answer::Denied(refused.message()), self.parts.rounds.said()));
        // Read at a pace, as one whose jobs are rejected and never run.
        client.rejected();
    }

    fn refuse(&self, client: &Client<JobId>, wrong: &Wrong) {
        self.bad_lines.set(self.bad_lines.get() + 1);
        client.put(&jsonrpc::encode_wrong(wrong));
        client.misused();
    }

    fn arrived(&self, client: &Rc<Client<JobId>>, mut asked: Asked) {
        let (parts, id, call) = (&self.parts, asked.job.id.clone(), asked.call);
        let asker = Asker { client: client.clone(), call };
        if client.is_open(call).is_some() {
            return self.refuse(client, &jsonrpc::still_open());
        }
        let words = Words::of(&asked);
        if let Some(same) = parts.hand.has(&id, &words) {
            // Of another job under this id nothing was run; of the same nothing is known yet.
            let rejected = Answer::Rejected { not_elsewhere: false, retry_after: Span::ZERO };
            let answer = if same { Answer::Failed } else { rejected };
            client.put(&jsonrpc::encode(call, &answer, parts.rounds.said()));
            return client.misused();
        }
        let reached = parts.rounds.clock.past(asked.job.received_at);
        let now = parts.rounds.clock.now();
        let (deadline, numbered) = {
            let site = parts.site.borrow();
            let case = &site.job_classes[asked.job.job_class];
            (case.deadline, case.repeats != Idempotency::Idempotent)
        };
        let over = reached + deadline < now;
        if over && client.is_proved() {
            // It lay unread for so long, as this process stood still: not what its caller did wrong. It never ran.
            parts.tally.borrow_mut().rejected += 1;
            let rejected = Answer::Rejected { not_elsewhere: false, retry_after: Span::ZERO };
            return client.put(&jsonrpc::encode(call, &rejected, parts.rounds.said()));
        }
        if over || asked.job.received_at > now + Span::from_ms(AHEAD_MS) {
            return self.refuse(client, &jsonrpc::wrong_time(call));
        }
        let mark = asked.mark.take().filter(|_| numbered);
        let (job_class, tenant) = (asked.job.job_class, asked.job.tenant);
        let key = mark.map(|mark| parts.result_cache.key(job_class, tenant, mark, &asked.body));
        if let Some((of, result)) = parts.result_cache.kept(&id) {
            // It is over under this id: as long as that is known, it is not run again, and of another nothing was run.
            let rejected = Answer::Rejected { not_elsewhere: false, retry_after: Span::ZERO };
            let known = || result.map_or(Answer::Failed, Answer::Succeeded);
            let answer = if key.as_ref() == Some(&of) { known() } else { rejected };
            client.put(&jsonrpc::encode(call, &answer, parts.rounds.said()));
            return client.misused();
        }
        client.open(call, id.clone());
        asked.job.received_at = reached;
        asked.job.from_known_caller = client.is_proved();
        asked.job.retry_of = key.and_then(|key| parts.result_cache.arrived(&id, key, reached, deadline));
        if let Some(seat) = parts.rounds.seat() {
            let site = parts.site.borrow();
            let tenant = site.tenants.get(asked.job.tenant).and_then(Option::as_deref);
            asked.job.lease_retry_after = seat.arrived(&asked.job, tenant);
        }
        parts.tally.borrow_mut().arrived += 1;
        let turns = parts.hand.take(id, words, asker);
        self.tasks.spawn(job::live(asked, turns, parts.clone())).detach();
    }
}
