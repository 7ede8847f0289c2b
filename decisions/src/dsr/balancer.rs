//! The decisions of one instance: where each packet goes.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use smallvec::SmallVec;

use crate::time::Time;

use super::beliefs::Beliefs;
use super::counts::{
    Count,
    Counts, //
};
use super::decision::{
    Cause,
    Decision,
    Refusal, //
};
use super::evidence::Standing;
use super::flows::{
    Flow,
    FlowKey,
    Flows,
    Stage,
    Try, //
};
use super::handshake::Handshakes;
use super::isolation::{
    Isolation,
    PROBES, //
};
use super::news::News;
use super::placement::{
    Surroundings,
    Tier,
    choose, //
};
use super::routes::Route;
use super::segment::{
    FlowTuple,
    Opening,
    Segment,
    SegmentKind,
    Target, //
};
use super::servers::{
    Listing,
    ServerKey, //
};
use super::settings::Settings;

/// The most backend servers that get the opening packet of one flow. Clients send two copies.
const MAX_TRIES: usize = 4;

/// How long a record outlives its flow, so that late packets still follow it. Ends retransmit for
/// up to 1.6 s.
const LINGER: Duration = Duration::from_secs(2);

/// How long a client tries to open a flow: 1.4 s, and some time on the way.
const OPENING: Duration = Duration::from_millis(1_600);

/// How long an opening packet is kept before the first news of the store. The client gives up 800 ms
/// after its last copy.
const KEEP: Duration = Duration::from_millis(800);

/// The most opening packets that are kept: about a second of them at ten times today's rate.
const MAX_KEPT: usize = 1_000;

/// A timer that is this late tells that the process stood still, so that nothing is known about the
/// time that others took.
const STALL: Duration = Duration::from_millis(30);

/// The time between two sweeps of the beliefs.
const SWEEP: Duration = Duration::from_millis(250);

/// What happens to a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It goes to a backend server as it is.
    Forward(Target),
    /// It opens a flow at a backend server, with the target's tag.
    Open(Target),
    /// The client is told at once that the flow does not open.
    Reset,
    /// Nothing is sent.
    Drop,
}

/// What the instance does by itself, without a packet at hand.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Sends the opening packet of a flow to a backend server.
    Open {
        /// The flow.
        flow: FlowTuple,
        /// The client's opening packet.
        opening: Opening,
        /// Where it goes.
        target: Target,
    },
    /// Tells the client that the flow does not open.
    Reset(FlowTuple),
    /// Tries to connect to the backend servers at these addresses, and reports how many it reached
    /// with [`Balancer::probed`].
    Probe(SmallVec<[SocketAddrV4; 4]>),
}

/// The decisions of one instance.
pub struct Balancer {
    zone: Arc<str>,
    settings: Settings,
    beliefs: Beliefs,
    flows: Flows,
    handshakes: Handshakes,
    isolation: Isolation,
    random: Pcg32,
    next_sweep: Time,
    counts: Counts,
    /// Opening packets that came before the first news of the store, with their arrival.
    kept: Vec<(Time, FlowTuple, Opening)>,
    log: Vec<Decision>,
    actions: Vec<Action>,
}

impl Balancer {
    /// Creates the decisions of an instance of that zone.
    pub fn new(zone: &str, settings: Settings, seed: u64) -> Balancer {
        Balancer {
            zone: zone.into(),
            settings,
            beliefs: Beliefs::default(),
            flows: Flows::default(),
            handshakes: Handshakes::default(),
            isolation: Isolation::default(),
            random: Pcg32::seed_from_u64(seed),
            next_sweep: Time::ZERO,
            counts: Counts::default(),
            kept: Vec::new(),
            log: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Decides by other settings from now on.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes news of the store.
    pub fn learn(&mut self, now: Time, news: News) {
        let Balancer {
            beliefs,
            settings,
            log,
            ..
        } = self;
        beliefs.apply(now, news, settings, log);
        if self.beliefs.table.is_some() {
            self.open_kept(now);
        }
    }

    /// Returns whether clients are served here as well as elsewhere: routes are known, and the
    /// instance is not cut off.
    pub fn is_ready(&self) -> bool {
        self.beliefs.table.is_some() && !self.isolation.is_isolated()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns how many flows have a record.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Takes the decisions made since the last call.
    pub fn take_log(&mut self) -> std::vec::Drain<'_, Decision> {
        self.log.drain(..)
    }

    /// Takes the actions that news and ticks since the last call led to.
    pub fn take_actions(&mut self) -> std::vec::Drain<'_, Action> {
        self.actions.drain(..)
    }

    /// Returns when the next tick is due.
    pub fn deadline(&self) -> Time {
        let flows = self.flows.deadline().unwrap_or(self.next_sweep);
        let probes = self.isolation.deadline().unwrap_or(self.next_sweep);
        flows.min(probes).min(self.next_sweep)
    }

    /// Decides on a packet of a client.
    pub fn packet(&mut self, now: Time, segment: &Segment) -> Verdict {
        self.counts.add(Count::Packets);
        let verdict = match segment.kind {
            SegmentKind::Open(opening) => self.open(now, segment.flow, opening),
            SegmentKind::Data | SegmentKind::Finish | SegmentKind::Abort => {
                self.follow(now, segment)
            }
        };
        match verdict {
            Verdict::Forward(_) => self.counts.add(Count::Forwarded),
            Verdict::Open(_) => {}
            Verdict::Reset => self.counts.add(Count::Resets),
            Verdict::Drop => self.counts.add(Count::Drops),
        }
        verdict
    }

    fn open(&mut self, now: Time, tuple: FlowTuple, opening: Opening) -> Verdict {
        if let Some(key) = self.flows.find(&tuple) {
            let same = |flow: &&mut Flow| flow.opening.sequence == opening.sequence;
            if let Some(flow) = self.flows.get_mut(key).filter(same) {
                flow.last = now;
                flow.opening = opening;
                self.blame(now, key);
                return self.open_copy(now, key);
            }
            self.forget(key);
        }
        let Some(table) = self.beliefs.table.clone() else {
            return self.keep(now, tuple, opening);
        };
        let Some(route) = table.routes.get(&tuple.service) else {
            return self.refuse(now, tuple, opening, Refusal::NoRoute);
        };
        self.open_first(now, tuple, opening, route)
    }

    /// Keeps an opening packet until the first news of the store has come.
    fn keep(&mut self, now: Time, tuple: FlowTuple, opening: Opening) -> Verdict {
        if self.kept.len() < MAX_KEPT {
            self.kept.push((now, tuple, opening));
        }
        Verdict::Drop
    }

    /// Opens the flows whose opening packets were kept and whose clients still wait.
    fn open_kept(&mut self, now: Time) {
        for (at, flow, opening) in std::mem::take(&mut self.kept) {
            if now.since(at) >= KEEP {
                continue;
            }
            match self.open(now, flow, opening) {
                Verdict::Open(target) => self.actions.push(Action::Open {
                    flow,
                    opening,
                    target,
                }),
                Verdict::Reset => self.actions.push(Action::Reset(flow)),
                Verdict::Forward(_) | Verdict::Drop => {}
            }
        }
    }

    fn open_first(
        &mut self,
        now: Time,
        tuple: FlowTuple,
        opening: Opening,
        route: &Route,
    ) -> Verdict {
        let service = route.service(&tuple);
        let choice = service.and_then(|service| self.choose(now, service, &[]));
        let (Some(service), Some((server, tier))) = (service, choice) else {
            return self.refuse(now, tuple, opening, Refusal::NoServer);
        };
        let flow = Flow {
            tuple,
            service: service.clone(),
            route: route.name.clone(),
            opening,
            started: now,
            stage: Stage::Opening(SmallVec::new()),
            last: now,
            busy: true,
        };
        self.counts.add(Count::Opened);
        if tier == Tier::Suspect {
            self.doubt(now);
        }
        self.send_opening(now, None, flow, server, tier, Cause::First)
    }

    /// Sends an opening packet and keeps the record of the flow.
    fn send_opening(
        &mut self,
        now: Time,
        key: Option<FlowKey>,
        mut flow: Flow,
        server: ServerKey,
        tier: Tier,
        cause: Cause,
    ) -> Verdict {
        let (version, age) = (self.beliefs.version(), self.beliefs.age(now));
        let Some(chosen) = self.beliefs.servers.get_mut(server) else {
            return Verdict::Drop;
        };
        self.log.push(Decision::Open {
            flow: flow.tuple,
            cause,
            route: flow.route.clone(),
            version,
            server: chosen.id.clone(),
            zone: chosen.entry.zone.clone(),
            tier: tier.into(),
            busy: chosen.busy,
            age,
        });
        chosen.busy += 1;
        if tier == Tier::Trial {
            chosen.evidence.tried(now);
        }
        let target = chosen.target;
        let due = now + self.handshakes.wait(&chosen.entry.zone, &self.settings);
        if let Stage::Opening(tries) = &mut flow.stage {
            tries.push(Try {
                server,
                at: now,
                overdue: false,
                blamed: false,
            });
        }
        match key {
            Some(key) => {
                if let Some(record) = self.flows.get_mut(key) {
                    *record = flow;
                }
            }
            None if self.flows.len() < self.settings.max_flows => {
                self.flows.insert(flow, due);
            }
            None => self.release(&flow),
        }
        Verdict::Open(target)
    }

    /// The client sent its opening packet again.
    fn open_copy(&mut self, now: Time, key: FlowKey) -> Verdict {
        let Some(flow) = self.flows.get_mut(key).cloned() else {
            return Verdict::Drop;
        };
        let Stage::Opening(tries) = &flow.stage else {
            return Verdict::Drop;
        };
        let waiting = tries.last().filter(|last| !last.overdue);
        let choice = if waiting.is_some() || tries.len() >= MAX_TRIES {
            None
        } else {
            self.choose(now, &flow.service, &flow.servers())
        };
        match choice {
            Some((server, tier)) => {
                self.counts.add(Count::Reopened);
                self.send_opening(now, Some(key), flow, server, tier, Cause::Copy)
            }
            None => self.repeat(&flow),
        }
    }

    /// Sends the opening packet to the last backend server again.
    fn repeat(&self, flow: &Flow) -> Verdict {
        let last = flow.servers().last().copied();
        let server = last.and_then(|key| self.beliefs.servers.get(key));
        server.map_or(Verdict::Drop, |server| Verdict::Open(server.target))
    }

    fn refuse(
        &mut self,
        now: Time,
        flow: FlowTuple,
        opening: Opening,
        refusal: Refusal,
    ) -> Verdict {
        // A copy may come late, after the flow was opened by way of another instance.
        let reset = opening.copy == 0;
        self.log.push(Decision::Refuse {
            flow,
            refusal,
            reset,
            version: self.beliefs.version(),
            age: self.beliefs.age(now),
        });
        if reset { Verdict::Reset } else { Verdict::Drop }
    }

    /// A flow found no backend server that answers: looks whether the instance is cut off.
    fn doubt(&mut self, now: Time) {
        if self.isolation.doubt(now) {
            self.probe(now);
        }
    }

    /// Probes some backend servers of other zones.
    fn probe(&mut self, now: Time) {
        let remote = self.beliefs.servers.iter().map(|(_, server)| server);
        let remote = remote.filter(|s| s.entry.zone != self.zone && s.listing == Listing::Ready);
        let mut addresses: Vec<_> = remote.map(|server| server.target.address).collect();
        let mut chosen = SmallVec::new();
        while chosen.len() < PROBES && !addresses.is_empty() {
            let index = self.random.next_u32() as usize % addresses.len();
            chosen.push(addresses.swap_remove(index));
        }
        if chosen.is_empty() {
            return;
        }
        self.log.push(Decision::Probe {
            count: chosen.len(),
            age: self.beliefs.age(now),
        });
        self.actions.push(Action::Probe(chosen));
    }

    /// Takes the outcome of probes: how many there were, and how many reached a backend server.
    pub fn probed(&mut self, now: Time, probed: usize, reached: usize) {
        if !self.isolation.conclude(probed, reached) {
            return;
        }
        let isolated = self.isolation.is_isolated();
        self.log.push(Decision::Isolation {
            isolated,
            probed,
            reached,
        });
        if !isolated {
            self.beliefs.servers.retry_all(now);
        }
    }

    fn choose(
        &mut self,
        now: Time,
        service: &str,
        tried: &[ServerKey],
    ) -> Option<(ServerKey, Tier)> {
        let surroundings = Surroundings {
            now,
            zone: &self.zone,
            out: &self.beliefs.out,
            settings: &self.settings,
        };
        let servers = &self.beliefs.servers;
        choose(servers, service, tried, &surroundings, &mut self.random)
    }

    /// Forwards a packet that does not open a flow.
    fn follow(&mut self, now: Time, segment: &Segment) -> Verdict {
        let tagged = self.beliefs.servers.tagged(segment.tag);
        let key = self.flows.find(&segment.flow);
        let recorded = key.and_then(|key| self.advance(now, key, segment, tagged));
        let server = recorded.or(tagged);
        match server.and_then(|key| self.beliefs.servers.get(key)) {
            Some(server) => Verdict::Forward(server.target),
            None => {
                self.log.push(Decision::Refuse {
                    flow: segment.flow,
                    refusal: Refusal::UnknownTag,
                    reset: false,
                    version: self.beliefs.version(),
                    age: self.beliefs.age(now),
                });
                Verdict::Drop
            }
        }
    }

    /// Updates the record of a flow with a packet. Returns the backend server that the flow is open
    /// at, which goes before the tag: a second answer to an opening packet changes the tag.
    fn advance(
        &mut self,
        now: Time,
        key: FlowKey,
        segment: &Segment,
        tagged: Option<ServerKey>,
    ) -> Option<ServerKey> {
        let flow = self.flows.get_mut(key)?;
        flow.last = now;
        let ends = matches!(segment.kind, SegmentKind::Finish | SegmentKind::Abort);
        let server = match flow.stage {
            Stage::Opening(_) => {
                self.establish(now, key, tagged?);
                tagged?
            }
            Stage::Open(server) | Stage::Closed(server) => server,
        };
        let flow = self.flows.get_mut(key)?;
        if ends {
            flow.stage = Stage::Closed(server);
        }
        let busy = matches!(flow.stage, Stage::Open(_));
        if busy != flow.busy {
            flow.busy = busy;
            if let Some(server) = self.beliefs.servers.get_mut(server) {
                server.busy = if busy {
                    server.busy + 1
                } else {
                    server.busy.saturating_sub(1)
                };
            }
        }
        Some(server)
    }

    /// The client's first packet after the handshake says which backend server answered.
    fn establish(&mut self, now: Time, key: FlowKey, server: ServerKey) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let tuple = flow.tuple;
        let before = std::mem::replace(&mut flow.stage, Stage::Open(server));
        let Stage::Opening(tries) = before else {
            return;
        };
        for tried in &tries {
            if let Some(other) = self.beliefs.servers.get_mut(tried.server) {
                other.busy = other.busy.saturating_sub(1);
            }
        }
        self.counts.add(Count::Established);
        let Some(answered) = self.beliefs.servers.get_mut(server) else {
            return;
        };
        answered.busy += 1;
        let Some(tried) = tries.iter().find(|tried| tried.server == server) else {
            return;
        };
        let after = now.since(tried.at);
        let zone = answered.entry.zone.clone();
        self.handshakes.note(&zone, after, &self.settings);
        let changed = answered.evidence.answer(now, tried.at, &self.settings);
        self.log.push(Decision::Established {
            flow: tuple,
            server: answered.id.clone(),
            after,
        });
        if changed {
            self.log_standing(now, server);
        }
    }

    fn log_standing(&mut self, now: Time, server: ServerKey) {
        if let Some(server) = self.beliefs.servers.get(server) {
            let standing: Standing = server.evidence.standing(now);
            self.log.push(Decision::Standing {
                server: server.id.clone(),
                zone: server.entry.zone.clone(),
                standing: standing.into(),
            });
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        while let Some((due, key)) = self.flows.expired(now) {
            let stalled = now.since(due) >= STALL;
            if let Some(next) = self.expire(now, key, stalled) {
                self.flows.set_timer(key, next);
            }
        }
        if self.isolation.deadline().is_some_and(|due| now >= due) {
            self.doubt(now);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            let Balancer {
                beliefs,
                settings,
                log,
                ..
            } = self;
            beliefs.sweep(now, settings, log);
        }
    }

    /// Handles the end of a flow's timer. Returns when the next one ends, unless the flow is
    /// forgotten.
    fn expire(&mut self, now: Time, key: FlowKey, stalled: bool) -> Option<Time> {
        let idle = self.beliefs.table.as_ref().map_or(LINGER, |t| t.idle);
        let flow = self.flows.get_mut(key)?;
        let quiet = now.since(flow.last);
        match &flow.stage {
            Stage::Opening(_) if now.since(flow.started) >= OPENING => {
                self.forget(key);
                None
            }
            Stage::Opening(_) => Some(self.wait_over(now, key, stalled)),
            Stage::Closed(_) if quiet >= LINGER => {
                self.forget(key);
                None
            }
            Stage::Closed(_) => Some(flow.last + LINGER),
            Stage::Open(_) if quiet >= idle => {
                self.forget(key);
                None
            }
            Stage::Open(server) if flow.busy && quiet >= self.settings.pause => {
                let server = *server;
                flow.busy = false;
                if let Some(server) = self.beliefs.servers.get_mut(server) {
                    server.busy = server.busy.saturating_sub(1);
                }
                Some(now + LINGER)
            }
            Stage::Open(_) if flow.busy => Some(flow.last + self.settings.pause),
            Stage::Open(_) => Some((flow.last + idle).min(now + LINGER)),
        }
    }

    /// Looks whether the latest opening packet of a flow is overdue. Returns when to look again.
    fn wait_over(&mut self, now: Time, key: FlowKey, stalled: bool) -> Time {
        let later = now + self.settings.longest_wait;
        let Some(flow) = self.flows.get_mut(key) else {
            return later;
        };
        let Stage::Opening(tries) = &mut flow.stage else {
            return later;
        };
        let Some(last) = tries.last_mut().filter(|last| !last.overdue) else {
            return later;
        };
        let Some(server) = self.beliefs.servers.get_mut(last.server) else {
            last.overdue = true;
            return later;
        };
        let due = last.at + self.handshakes.wait(&server.entry.zone, &self.settings);
        if now < due {
            return due;
        }
        last.overdue = true;
        let answerable = last.at <= flow.last;
        if !stalled {
            self.blame(now, key);
        }
        if !answerable {
            return later;
        }
        self.open_elsewhere(now, key).unwrap_or(later)
    }

    /// Blames backend servers for overdue answers. The client was there after the opening packet was
    /// sent, or it sent the packet then; else it may have turned away after a reset from another one.
    fn blame(&mut self, now: Time, key: FlowKey) {
        let Some(flow) = self.flows.get_mut(key) else {
            return;
        };
        let Stage::Opening(tries) = &mut flow.stage else {
            return;
        };
        let mut changed: SmallVec<[ServerKey; 2]> = SmallVec::new();
        for silent in tries.iter_mut() {
            if !silent.overdue || silent.blamed || silent.at > flow.last {
                continue;
            }
            silent.blamed = true;
            if let Some(server) = self.beliefs.servers.get_mut(silent.server)
                && server.evidence.fail(now, silent.at, &self.settings)
            {
                changed.push(silent.server);
            }
        }
        for server in changed {
            self.log_standing(now, server);
        }
    }

    /// Sends the opening packet of a flow to a further backend server. Returns when its answer is
    /// due.
    fn open_elsewhere(&mut self, now: Time, key: FlowKey) -> Option<Time> {
        let flow = self.flows.get_mut(key)?.clone();
        let tried = flow.servers();
        if tried.len() >= MAX_TRIES {
            return None;
        }
        let choice = self.choose(now, &flow.service, &tried);
        let Some((server, tier)) = choice.filter(|(_, tier)| *tier != Tier::Suspect) else {
            self.doubt(now);
            return None;
        };
        let (tuple, opening) = (flow.tuple, flow.opening);
        self.counts.add(Count::Reopened);
        let cause = Cause::Unanswered;
        let Verdict::Open(target) = self.send_opening(now, Some(key), flow, server, tier, cause)
        else {
            return None;
        };
        self.actions.push(Action::Open {
            flow: tuple,
            opening,
            target,
        });
        let zone = &self.beliefs.servers.get(server)?.entry.zone;
        Some(now + self.handshakes.wait(zone, &self.settings))
    }

    fn forget(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.remove(key) {
            self.release(&flow);
        }
    }

    fn release(&mut self, flow: &Flow) {
        if !flow.busy {
            return;
        }
        for key in flow.servers() {
            if let Some(server) = self.beliefs.servers.get_mut(key) {
                server.busy = server.busy.saturating_sub(1);
            }
        }
    }
}
