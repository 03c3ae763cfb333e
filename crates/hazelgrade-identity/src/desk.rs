//! Answers for each job who asks and whether it may. The set can be replaced at any time: what was verified before is
//! weighed under the new one with the next job.

use crate::audit::{Audit, Line};
use crate::book::{Book, digest};
use crate::doubt::Doubt;
use crate::set::{CallerId, Identity};
use crate::token::{Refused, Verified, stands, verify};
use hazelgrade::statistics::DecayingSum;
use hazelgrade::time::{Span, Time};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;

/// Tokens that are remembered: some 200 bytes each.
pub const REMEMBERED: usize = 16 * 1024;

/// Over so long a caller's jobs are counted against its ceiling: a burst of some seconds is none.
const RATE_FADE_MS: f64 = 5000.0;

/// What a certificate says, once its chain was verified.
#[derive(Clone, Debug, Default)]
pub struct Certificate {
    /// Its alternative names, URIs and DNS names.
    pub names: Vec<String>,
    /// In hex.
    pub serial: String,
    pub expires: Option<Time>,
}

/// What a connection is known by.
#[derive(Clone, Debug, Default)]
pub struct Known {
    pub token: Option<Rc<Verified>>,
    pub certificate: Option<Rc<Certificate>>,
}

pub struct Desk {
    identity: Identity,
    book: Book,
    doubt: Doubt,
    audit: Audit,
    rates: HashMap<String, DecayingSum>,
    /// Signatures that were checked.
    pub checked: u64,
}

impl Desk {
    /// `None` if no key of the set verifies now.
    pub fn new(identity: Identity, now: Time) -> Option<Desk> {
        let (book, doubt, audit) = (Book::new(REMEMBERED), Doubt::default(), Audit::default());
        let rates = HashMap::new();
        identity.verifies_at(now).then_some(Desk { identity, book, doubt, audit, rates, checked: 0 })
    }

    /// Another set from now on; turned down, and nothing changed, if no key of it verifies now.
    pub fn replace(&mut self, identity: Identity, now: Time) -> Result<(), &'static str> {
        if !identity.verifies_at(now) {
            return Err("no key of the set is valid now: nobody could be let in");
        }
        self.identity = identity;
        Ok(())
    }

    /// Back to the set before one that failed; what that one revoked stays revoked.
    pub fn go_back(&mut self, mut identity: Identity, now: Time) -> Result<(), &'static str> {
        identity.also_revoked(&self.identity);
        self.replace(identity, now)
    }

    /// The site's names have other places.
    pub fn compile(&mut self, job_classes: &BTreeMap<&str, usize>, tenants: &BTreeMap<&str, usize>) {
        self.identity.compile(job_classes, tenants);
    }

    /// Who shows this token.
    pub fn token(&mut self, now: Time, token: &str, from: IpAddr) -> Result<Rc<Verified>, Refused> {
        let known = digest(token);
        if let Some(verified) = self.book.find(&known) {
            return Ok(verified);
        }
        let verified = if self.doubt.doubts(now, from) {
            Err(Refused::Doubted)
        } else {
            self.checked += 1;
            verify(&self.identity, token, now)
        };
        match verified {
            Ok(verified) => {
                let verified = Rc::new(verified);
                self.book.note(known, verified.clone());
                Ok(verified)
            }
            Err(refused) => {
                if refused != Refused::Doubted {
                    self.doubt.bad(now, from);
                }
                Err(refused)
            }
        }
    }

    /// The caller, by what its connection is known by.
    fn caller(&self, now: Time, known: &Known) -> Result<CallerId, Refused> {
        if let Some(verified) = &known.token {
            return stands(&self.identity, verified, now);
        }
        let certificate = known.certificate.as_ref().ok_or(Refused::Nameless)?;
        if self.identity.certificate_revoked(&certificate.serial) {
            return Err(Refused::Revoked);
        }
        if certificate.expires.is_some_and(|expires| expires <= now) {
            return Err(Refused::Expired);
        }
        let names = certificate.names.iter().map(String::as_str);
        self.identity.certified(names).ok_or(Refused::UnknownCaller)
    }

    /// The tenant that a job is for, if whoever asks may ask for that.
    pub fn may(
        &self,
        now: Time,
        known: &Known,
        job_class: usize,
        tenant: Option<usize>,
        from: IpAddr,
    ) -> Result<usize, Refused> {
        let caller = self.caller(now, known)?;
        self.identity.may(caller, job_class, tenant, from)
    }

    /// The same for a job that is asked for now: whether its caller is beyond its ceiling too, a hint for the module.
    pub fn asks(
        &mut self,
        now: Time,
        known: &Known,
        job_class: usize,
        tenant: Option<usize>,
        from: IpAddr,
    ) -> Result<(usize, bool), Refused> {
        let caller = self.caller(now, known)?;
        let tenant = self.identity.may(caller, job_class, tenant, from)?;
        let Some(ceiling) = self.identity.jobs_per_s(caller) else { return Ok((tenant, false)) };
        let fade = Span::from_ms(RATE_FADE_MS);
        // By name, so that another set of callers goes on from the same sums; bounded by the callers of a set.
        if !self.rates.contains_key(self.identity.name(caller)) {
            if self.rates.len() >= REMEMBERED {
                self.rates.clear();
            }
            self.rates.insert(self.identity.name(caller).to_owned(), DecayingSum::new(fade));
        }
        let Some(rate) = self.rates.get_mut(self.identity.name(caller)) else { return Ok((tenant, false)) };
        rate.add(now, 1.0);
        Ok((tenant, rate.value(now) > ceiling * RATE_FADE_MS / 1000.0))
    }

    /// Notes a refusal.
    pub fn refused(&mut self, now: Time, known: &Known, refused: Refused) {
        let caller = match (&known.token, &known.certificate) {
            (Some(verified), _) => self.identity.caller(&verified.caller),
            (None, Some(certificate)) => {
                self.identity.certified(certificate.names.iter().map(String::as_str))
            }
            (None, None) => None,
        };
        // A name that the set doesn't know is whatever somebody wrote.
        let name = caller.map(|caller| self.identity.name(caller));
        self.audit.refused(now, name, refused);
    }

    /// Lines for the log that are due.
    pub fn audit(&mut self, now: Time) -> Vec<Line> {
        self.audit.due(now)
    }

    pub fn refusals(&self) -> u64 {
        self.audit.total
    }

    pub fn remembered(&self) -> usize {
        self.book.count()
    }
}
