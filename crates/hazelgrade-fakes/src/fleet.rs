//! A fleet that shares a budget of calls, in simulated time: the real holders, keepers and owners of the budget package on
//! clocks that drift, with messages that are late, lost or doubled, processes that die, stand still and come back, and stores
//! that are old. What is in use is counted where it takes effect, by the simulated clock alone.

use hazelgrade::random::MultiplyWithCarry;
use hazelgrade::statistics::DecayingSum;
use hazelgrade::time::{Span, Time};
use hazelgrade_budget::holder::{Holder, Use};
use hazelgrade_budget::keeper::{self, Book, Keeper};
use hazelgrade_budget::message::{Ask, Grant, Parts};
use hazelgrade_budget::parts::{self, Ledger, Owner, TELL_EVERY_MS};
use hazelgrade_budget::terms::{Measure, Terms};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub const BUDGET: &str = "calls";

/// Who divides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum By {
    Keepers,
    /// Each node has the same part for good.
    Static,
    /// Each call is let in as long as there is any room anywhere, at once.
    Oracle,
}

#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub seed: u64,
    pub nodes: usize,
    pub sites: usize,
    pub whole: u32,
    pub set_aside: u32,
    pub alone: u32,
    pub lease_ms: f64,
    pub longest_use_ms: f64,
    /// How long a call takes in the mean.
    pub call_ms: f64,
    /// One way of a message.
    pub way_ms: f64,
    pub lost: f64,
    pub doubled: f64,
    /// Clocks differ by up to this part.
    pub drift: f64,
    pub by: By,
}

impl Default for Setting {
    fn default() -> Setting {
        Setting {
            seed: 1,
            nodes: 5,
            sites: 1,
            whole: 20,
            set_aside: 0,
            alone: 0,
            lease_ms: 2000.0,
            longest_use_ms: 1000.0,
            call_ms: 50.0,
            way_ms: 1.0,
            lost: 0.0,
            doubled: 0.0,
            drift: 0.0002,
            by: By::Keepers,
        }
    }
}

/// What happens to a node or a site from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    KillNode(usize),
    StartNode(usize),
    StopNode(usize),
    WakeNode(usize),
    /// It gives back what it can and ends a second later.
    LeaveNode(usize),
    /// What it says is lost, what it is told, or both.
    CutNode(usize, bool, bool),
    HealNode(usize),
    KillSite(usize),
    /// With its own store, or as it was when it was last remembered.
    StartSite(usize, bool),
    StopSite(usize),
    WakeSite(usize),
    CutSites,
    HealSites,
    Whole(u32),
    Remember,
    /// Demand in calls in hand, of one node.
    Demand(usize, f64),
    /// It says that it wants so much more than it does.
    Lie(usize, u32),
}

#[derive(Clone, Debug)]
enum Message {
    Ask(usize, usize, Ask),
    Grant(usize, u64, Grant),
    Nudge(usize, u64),
    Parts(usize, Parts),
}

#[derive(Clone, Debug)]
enum What {
    Arrives(Message),
    /// A node's next job, of its present run.
    Job(usize, u64),
    Over(usize, u64, u64),
    /// A node hears that a call of its run is over.
    Ended(usize, u64),
    Wakes(usize, u64),
    Site(usize, u64),
    Round(usize, u64),
    Gone(usize, u64),
}

struct Node {
    holder: Holder,
    run: u64,
    site: usize,
    rate: f64,
    up: bool,
    stopped: bool,
    leaving: bool,
    cut: (bool, bool),
    demand: f64,
    lie: u32,
    /// Calls that it knows to be in hand.
    used: u32,
    turned_away: DecayingSum,
    /// What came while it stood still.
    late: Vec<What>,
}

struct Site {
    keeper: Keeper,
    owner: Owner,
    up: bool,
    stopped: bool,
    start: u64,
    rate: f64,
    began: f64,
    book: Book,
    ledger: Ledger,
    old: (Book, Ledger),
    late: Vec<What>,
    wakes: f64,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub calls: u64,
    pub turned_away: u64,
    /// Time in which calls were in hand, and in which they could have been, in unit-milliseconds.
    pub used: f64,
    pub could: f64,
    pub asks: u64,
    pub grants: u64,
    pub nudges: u64,
    pub between: u64,
    pub bytes: u64,
    pub peak: u32,
    /// More was in use than the whole: when, and how much.
    pub passed: Vec<(f64, u32)>,
}

pub struct Fleet {
    setting: Setting,
    now: f64,
    numbers: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    what: BTreeMap<usize, What>,
    chance: MultiplyWithCarry,
    nodes: Vec<Node>,
    sites: Vec<Site>,
    sites_cut: bool,
    /// No message is late for long.
    calm: bool,
    /// Calls in hand at the dependency, by number, of which node.
    in_hand: BTreeMap<u64, usize>,
    terms: Terms,
    version: u64,
    /// What counts now: the greater of two wholes until a smaller one is in effect.
    limit: u32,
    counted: f64,
    pub seen: Seen,
}

fn name(site: usize) -> String {
    format!("s{site}")
}

fn local(now: f64, rate: f64) -> Time {
    Time::from_ms(now * rate)
}

impl Fleet {
    pub fn new(setting: Setting) -> Fleet {
        let mut chance = MultiplyWithCarry::new(setting.seed);
        let mut rate = || 1.0 + setting.drift * (2.0 * chance.next_f64() - 1.0) / 2.0;
        let site = |place: usize, rate: f64| {
            let book = Book { site: name(place), ..Book::default() };
            Site {
                keeper: Keeper::new(Time::from_ms(0.0), book.clone()).0,
                owner: Owner::new(&name(place), 1, Ledger::default()),
                up: false,
                stopped: false,
                start: 0,
                rate,
                began: 0.0,
                old: (book.clone(), Ledger::default()),
                book,
                ledger: Ledger::default(),
                late: Vec::new(),
                wakes: f64::MAX,
            }
        };
        let sites = (0..setting.sites).map(|place| site(place, rate())).collect();
        let node = |place: usize, rate: f64| Node {
            holder: Holder::new(Time::from_ms(0.0), "", 0, &BTreeMap::new(), MultiplyWithCarry::new(0)),
            run: 0,
            site: place % setting.sites,
            rate,
            up: false,
            stopped: false,
            leaving: false,
            cut: (false, false),
            demand: f64::from(setting.whole) / setting.nodes as f64,
            lie: 0,
            used: 0,
            turned_away: DecayingSum::new(Span::from_ms(500.0)),
            late: Vec::new(),
        };
        let nodes = (0..setting.nodes).map(|place| node(place, rate())).collect();
        let mut fleet = Fleet {
            now: 0.0,
            numbers: 0,
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            chance,
            nodes,
            sites,
            sites_cut: false,
            calm: false,
            in_hand: BTreeMap::new(),
            terms: terms(&setting, setting.whole),
            version: 1,
            limit: setting.whole,
            counted: 0.0,
            seen: Seen::default(),
            setting,
        };
        (0..setting.sites).for_each(|site| fleet.start_site(site));
        (0..setting.nodes).for_each(|node| fleet.start_node(node));
        fleet
    }

    fn draw(&mut self) -> f64 {
        self.chance.next_f64()
    }

    fn later(&mut self, after: f64, what: What) {
        self.numbers += 1;
        let place = self.numbers as usize;
        let at = ((self.now + after.max(0.0)) * 1000.0).ceil() as u64;
        self.queue.push(Reverse((at, self.numbers, place)));
        self.what.insert(place, what);
    }

    /// Puts a message on its way: late, lost or twice, as the setting says.
    fn send(&mut self, message: Message) {
        let (text, cut) = match &message {
            Message::Ask(node, _, ask) => {
                self.seen.asks += 1;
                (serde_json::to_string(ask).map_or(0, |text| text.len()), self.nodes[*node].cut.0)
            }
            Message::Grant(node, _, grant) => {
                self.seen.grants += 1;
                (serde_json::to_string(grant).map_or(0, |text| text.len()), self.nodes[*node].cut.1)
            }
            Message::Nudge(node, _) => {
                self.seen.nudges += 1;
                (40, self.nodes[*node].cut.1)
            }
            Message::Parts(_, parts) => {
                self.seen.between += 1;
                (serde_json::to_string(parts).map_or(0, |text| text.len()), self.sites_cut)
            }
        };
        self.seen.bytes += text as u64 + 50;
        if cut || self.draw() < self.setting.lost {
            return;
        }
        let mut copies = 1;
        if self.draw() < self.setting.doubled {
            copies = 2;
        }
        for _ in 0..copies {
            // Most take one way, some many times it.
            let slow = if self.draw() < 0.02 && !self.calm { 50.0 } else { 1.0 };
            let after = self.setting.way_ms * (0.5 + self.draw()) * slow;
            self.later(after, What::Arrives(message.clone()));
        }
    }

    // Sites.

    fn start_site(&mut self, place: usize) {
        let site = &mut self.sites[place];
        site.start += 1;
        (site.up, site.stopped, site.began) = (true, false, self.now);
        site.late.clear();
        let (keeper, first) = Keeper::new(local(0.0, site.rate), site.book.clone());
        site.owner = Owner::new(&name(place), keeper.generation(), site.ledger.clone());
        site.keeper = keeper;
        if let keeper::Action::Keep(book) = first {
            site.book = book;
        }
        self.tell_site(place, keeper::Event::Kept(Ok(())));
        self.reads_document(place);
        let start = self.sites[place].start;
        self.later(self.setting.way_ms, What::Round(place, start));
    }

    fn reads_document(&mut self, place: usize) {
        let (terms, version) = (self.terms.clone(), self.version);
        let mut out = Vec::new();
        self.sites[place].owner.terms(version.to_string(), [(BUDGET.to_owned(), terms)].into(), &mut out);
        self.owned(place, out);
    }

    fn site_now(&self, place: usize) -> Time {
        let site = &self.sites[place];
        local(self.now - site.began, site.rate)
    }

    fn tell_site(&mut self, place: usize, event: keeper::Event) {
        let now = self.site_now(place);
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.sites[place].keeper.take(now, event, &mut out);
            for action in out {
                match action {
                    keeper::Action::Grant(to, grant) => {
                        self.send(Message::Grant((to >> 32) as usize, to & 0xffff_ffff, grant))
                    }
                    keeper::Action::Nudge(to) => {
                        self.send(Message::Nudge((to >> 32) as usize, to & 0xffff_ffff))
                    }
                    keeper::Action::Keep(book) => {
                        self.sites[place].book = book;
                        events.push(keeper::Event::Kept(Ok(())));
                    }
                    keeper::Action::Note(_) => {}
                }
            }
        }
        let site = &self.sites[place];
        if let Some(at) = site.keeper.wakes_at(now) {
            let at = self.now + at.since(now).as_ms() / site.rate + 0.001;
            if at < site.wakes {
                let start = site.start;
                self.sites[place].wakes = at;
                self.later(at - self.now, What::Site(place, start));
            }
        }
    }

    fn owned(&mut self, place: usize, out: Vec<parts::Action>) {
        for action in out {
            match action {
                parts::Action::Keep(ledger) => self.sites[place].ledger = ledger,
                parts::Action::Older(who) => self.tell_site(place, keeper::Event::Older(who)),
                parts::Action::Note(_) => {}
            }
        }
        let owner = &self.sites[place].owner;
        let (terms, owned, agreed) = (owner.all_terms().clone(), owner.owned_all(), owner.agreed());
        self.tell_site(place, keeper::Event::Terms(terms, owned));
        self.tell_site(place, keeper::Event::Others(agreed));
        self.lowered();
    }

    fn told(&self, from: usize, to: usize) -> Parts {
        let site = &self.sites[from];
        let over = site.keeper.over(BUDGET) > 0;
        let short = [(BUDGET.to_owned(), site.keeper.spare(BUDGET).1)].into();
        site.owner.tell(&name(to), over, &short)
    }

    fn round(&mut self, place: usize) {
        let now = self.site_now(place);
        let site = &mut self.sites[place];
        let free = site.keeper.free(now, BUDGET).min(site.keeper.spare(BUDGET).0);
        let mut out = Vec::new();
        let within = if site.keeper.over(BUDGET) == 0 { vec![BUDGET.to_owned()] } else { Vec::new() };
        site.owner.spare(&[(BUDGET.to_owned(), free)].into(), &within, &mut out);
        self.owned(place, out);
        for to in (0..self.sites.len()).filter(|to| *to != place) {
            let parts = self.told(place, to);
            self.send(Message::Parts(to, parts));
        }
    }

    /// A smaller whole is in effect once no keeper has more in its books than it owns, all owning no more than it.
    fn lowered(&mut self) {
        if self.limit <= self.terms.whole {
            return;
        }
        let version = self.version.to_string();
        let all = (0..self.sites.len()).all(|place| {
            let (site, now) = (&self.sites[place], self.site_now(place));
            let _ = &version;
            site.up && site.keeper.over(BUDGET) == 0 && site.keeper.held_up(now).is_none()
        });
        let owned: u32 = self.sites.iter().map(|site| site.owner.owned(BUDGET)).sum();
        if all && owned <= self.terms.whole {
            self.limit = self.terms.whole;
        }
    }

    // Nodes.

    fn start_node(&mut self, place: usize) {
        let run = self.numbers + 1;
        self.numbers += 1;
        let alone = [(BUDGET.to_owned(), self.setting.alone)].into();
        let node = &mut self.nodes[place];
        let now = local(self.now, node.rate);
        node.holder = Holder::new(now, &format!("n{place}"), run, &alone, MultiplyWithCarry::new(run));
        node.holder.bind(now, &[BUDGET.to_owned()]);
        (node.run, node.up, node.stopped, node.leaving, node.used) = (run, true, false, false, 0);
        node.turned_away = DecayingSum::new(Span::from_ms(500.0));
        node.late.clear();
        self.job_later(place);
        self.asks(place);
    }

    fn job_later(&mut self, place: usize) {
        let (demand, run) = (self.nodes[place].demand, self.nodes[place].run);
        if demand > 0.0 {
            let gap = -(1.0 - self.draw()).ln() * self.setting.call_ms / demand;
            self.later(gap, What::Job(place, run));
        }
    }

    /// What the node may have in hand now.
    fn allowed(&self, place: usize) -> u32 {
        let node = &self.nodes[place];
        match self.setting.by {
            By::Keepers => node.holder.allowed(local(self.now, node.rate), BUDGET).units,
            By::Static => self.setting.whole / self.setting.nodes as u32,
            By::Oracle => node.used + self.setting.whole.saturating_sub(self.in_hand.len() as u32),
        }
    }

    fn uses(&mut self, place: usize) {
        if self.setting.by != By::Keepers {
            return;
        }
        let (now, call_ms) = (local(self.now, self.nodes[place].rate), self.setting.call_ms);
        let node = &mut self.nodes[place];
        // Calls that were rejected in half a second would have been so many at once.
        let turned = (node.turned_away.value(now) * call_ms / 500.0).round() as u32;
        let wants = node.used + turned + node.lie;
        node.holder.uses(now, BUDGET, Use { used: node.used, wants });
        self.asks(place);
    }

    fn asks(&mut self, place: usize) {
        if self.setting.by != By::Keepers {
            return;
        }
        let node = &mut self.nodes[place];
        let now = local(self.now, node.rate);
        let (run, site) = (node.run, node.site);
        if let Some(ask) = node.holder.ask(now) {
            self.send(Message::Ask(place, site, ask));
        }
        let node = &self.nodes[place];
        let after = node.holder.next().since(now).as_ms() / node.rate + 0.001;
        self.later(after, What::Wakes(place, run));
    }

    fn job(&mut self, place: usize) {
        self.job_later(place);
        let allowed = self.allowed(place);
        if self.nodes[place].used >= allowed {
            self.seen.turned_away += 1;
            let now = local(self.now, self.nodes[place].rate);
            self.nodes[place].turned_away.add(now, 1.0);
            return self.uses(place);
        }
        self.account();
        self.numbers += 1;
        let (call, run) = (self.numbers, self.nodes[place].run);
        self.in_hand.insert(call, place);
        self.nodes[place].used += 1;
        self.seen.calls += 1;
        self.seen.peak = self.seen.peak.max(self.in_hand.len() as u32);
        if self.in_hand.len() as u32 > self.limit {
            self.seen.passed.push((self.now, self.in_hand.len() as u32 - self.limit));
        }
        let takes = -(1.0 - self.draw()).ln() * self.setting.call_ms;
        // By its own clock a node gives up a call in good time.
        let most = self.setting.longest_use_ms * 0.9;
        self.later(takes.min(most), What::Over(place, run, call));
        self.uses(place);
    }

    fn account(&mut self) {
        let over = self.now - self.counted;
        self.seen.used += over * self.in_hand.len() as f64;
        self.seen.could += over * f64::from(self.limit);
        self.counted = self.now;
    }

    // Time.

    /// Brings a fault about.
    pub fn cause(&mut self, fault: Fault) {
        match fault {
            Fault::KillNode(node) => {
                self.nodes[node].up = false;
                let (site, connection) = (self.nodes[node].site, connection(node, self.nodes[node].run));
                // Its connection may be seen to end, or not.
                if self.draw() < 0.5 && self.sites[site].up && !self.sites[site].stopped {
                    self.tell_site(site, keeper::Event::Gone(connection));
                }
            }
            Fault::StartNode(node) if !self.nodes[node].up => self.start_node(node),
            Fault::StopNode(node) => self.nodes[node].stopped = true,
            Fault::WakeNode(node) => {
                self.nodes[node].stopped = false;
                let late = std::mem::take(&mut self.nodes[node].late);
                late.into_iter().for_each(|what| self.happen(what));
            }
            Fault::LeaveNode(node) if self.nodes[node].up => {
                let now = local(self.now, self.nodes[node].rate);
                self.nodes[node].leaving = true;
                self.nodes[node].holder.leave(now);
                let run = self.nodes[node].run;
                self.asks(node);
                self.later(1000.0, What::Gone(node, run));
            }
            Fault::CutNode(node, to, back) => self.nodes[node].cut = (to, back),
            Fault::HealNode(node) => self.nodes[node].cut = (false, false),
            Fault::KillSite(site) => (self.sites[site].up, self.sites[site].wakes) = (false, f64::MAX),
            Fault::StartSite(site, own) if !self.sites[site].up => {
                if !own {
                    (self.sites[site].book, self.sites[site].ledger) = self.sites[site].old.clone();
                }
                self.start_site(site);
            }
            Fault::StopSite(site) => self.sites[site].stopped = true,
            Fault::WakeSite(site) => {
                self.sites[site].stopped = false;
                self.reads_document(site);
                let late = std::mem::take(&mut self.sites[site].late);
                late.into_iter().for_each(|what| self.happen(what));
            }
            Fault::CutSites => self.sites_cut = true,
            Fault::HealSites => self.sites_cut = false,
            Fault::Whole(whole) => {
                self.limit = self.limit.max(whole);
                self.terms = terms(&self.setting, whole);
                self.version += 1;
                for place in 0..self.sites.len() {
                    if self.sites[place].up && !self.sites[place].stopped {
                        self.reads_document(place);
                    }
                }
            }
            Fault::Remember => {
                self.sites.iter_mut().for_each(|site| site.old = (site.book.clone(), site.ledger.clone()));
            }
            Fault::Demand(node, demand) => {
                let idle = self.nodes[node].demand <= 0.0;
                self.nodes[node].demand = demand;
                if idle && self.nodes[node].up {
                    self.job_later(node);
                }
            }
            Fault::Lie(node, more) => self.nodes[node].lie = more,
            Fault::StartNode(_) | Fault::LeaveNode(_) | Fault::StartSite(..) => {}
        }
    }

    /// From now on messages come in time, once.
    pub fn calm(&mut self) {
        (self.calm, self.setting.lost, self.setting.doubled) = (true, 0.0, 0.0);
    }

    /// Goes on for so many milliseconds.
    pub fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while let Some(Reverse((at, _, place))) = self.queue.peek().copied() {
            if at as f64 / 1000.0 > until {
                break;
            }
            self.queue.pop();
            let Some(what) = self.what.remove(&place) else { continue };
            self.account();
            self.now = self.now.max(at as f64 / 1000.0);
            self.account();
            self.happen(what);
        }
        self.account();
        self.now = until;
        self.account();
    }

    fn happen(&mut self, what: What) {
        // Who stands still hears it when woken.
        let node = match &what {
            What::Job(node, run)
            | What::Wakes(node, run)
            | What::Gone(node, run)
            | What::Ended(node, run) => Some((*node, *run)),
            What::Arrives(Message::Grant(node, run, _) | Message::Nudge(node, run)) => Some((*node, *run)),
            _ => None,
        };
        if let Some((node, run)) = node {
            let run = if matches!(what, What::Arrives(_)) {
                self.nodes[node].run & 0xffff_ffff == run
            } else {
                self.nodes[node].run == run
            };
            if !self.nodes[node].up || !run {
                return;
            }
            if self.nodes[node].stopped {
                return self.nodes[node].late.push(what);
            }
        }
        let site = match &what {
            What::Site(site, start) | What::Round(site, start) => {
                if self.sites[*site].start != *start {
                    return;
                }
                Some(*site)
            }
            What::Arrives(Message::Ask(_, site, _) | Message::Parts(site, _)) => Some(*site),
            _ => None,
        };
        if let Some(site) = site {
            if !self.sites[site].up {
                return;
            }
            if self.sites[site].stopped {
                return self.sites[site].late.push(what);
            }
        }
        match what {
            What::Job(node, _) if self.nodes[node].leaving => {}
            What::Job(node, _) => self.job(node),
            What::Over(node, run, call) => {
                // Over below, whether its node lives or not.
                self.in_hand.remove(&call);
                self.happen(What::Ended(node, run));
            }
            What::Ended(node, _) => {
                self.nodes[node].used = self.nodes[node].used.saturating_sub(1);
                self.uses(node);
            }
            What::Wakes(node, _) => {
                let now = local(self.now, self.nodes[node].rate);
                if self.nodes[node].holder.next() <= now {
                    self.uses(node);
                    self.asks(node);
                }
            }
            What::Gone(node, _) => self.nodes[node].up = false,
            What::Site(site, _) => {
                self.sites[site].wakes = f64::MAX;
                self.tell_site(site, keeper::Event::Woke);
                self.lowered();
            }
            What::Round(site, start) => {
                self.later(TELL_EVERY_MS, What::Round(site, start));
                self.round(site);
            }
            What::Arrives(Message::Ask(node, site, ask)) => {
                let connection = connection(node, ask.run);
                self.tell_site(site, keeper::Event::Asked(connection, ask));
                self.lowered();
            }
            What::Arrives(Message::Grant(node, _, grant)) => {
                let now = local(self.now, self.nodes[node].rate);
                self.nodes[node].holder.granted(now, &grant);
                self.asks(node);
            }
            What::Arrives(Message::Nudge(node, _)) => {
                let now = local(self.now, self.nodes[node].rate);
                self.nodes[node].holder.nudged(now);
                self.uses(node);
                self.asks(node);
            }
            What::Arrives(Message::Parts(site, parts)) => {
                let (now, mut out) = (self.site_now(site), Vec::new());
                self.sites[site].owner.heard(now, &parts, &mut out);
                self.owned(site, out);
            }
        }
    }

    // What can be asked.

    pub fn now(&self) -> f64 {
        self.now
    }

    /// What each node may use now.
    pub fn parts(&self) -> Vec<u32> {
        (0..self.nodes.len()).map(|node| if self.nodes[node].up { self.allowed(node) } else { 0 }).collect()
    }

    pub fn owned_by(&self) -> Vec<u32> {
        self.sites.iter().map(|site| site.owner.owned(BUDGET)).collect()
    }

    pub fn setting(&self) -> &Setting {
        &self.setting
    }

    pub fn limit(&self) -> u32 {
        self.limit
    }

    pub fn in_hand(&self) -> usize {
        self.in_hand.len()
    }

    /// Why a site grants nothing new, if so.
    pub fn held_up(&self, site: usize) -> Option<String> {
        self.sites[site].keeper.held_up(self.site_now(site))
    }

    /// How a site's keeper and owner stand, in words.
    pub fn figures(&self, site: usize) -> String {
        let (figures, owner) =
            (self.sites[site].keeper.figures(self.site_now(site)), &self.sites[site].owner);
        let figures = serde_json::to_string(&figures).unwrap_or_default();
        format!("{figures} {}", serde_json::to_string(owner.ledger()).unwrap_or_default())
    }

    /// An operator's word to a site's keeper.
    pub fn open(&mut self, site: usize) {
        let now = self.site_now(site);
        self.sites[site].keeper.open(now);
        self.sites[site].owner.vouch();
        self.owned(site, Vec::new());
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].up
    }
}

fn connection(node: usize, run: u64) -> u64 {
    (node as u64) << 32 | (run & 0xffff_ffff)
}

fn terms(setting: &Setting, whole: u32) -> Terms {
    let sites = setting.sites as u32;
    let part = |site: u32| whole / sites + u32::from(site < whole % sites);
    Terms {
        measure: Measure::InHand,
        whole,
        sites: (0..sites).map(|site| (name(site as usize), part(site))).collect(),
        set_aside: setting.set_aside,
        floor: 1,
        lease: Span::from_ms(setting.lease_ms),
        longest_use: Span::from_ms(setting.longest_use_ms),
        tenant: None,
    }
}
