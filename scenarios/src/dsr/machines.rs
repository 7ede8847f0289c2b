//! Entry instances: the real decisions, and what is done to their processes.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::balancer::{
    Action,
    Balancer,
    Verdict, //
};
use lovagespindle_decisions::dsr::document_cache::DocumentCache;
use lovagespindle_decisions::dsr::peers::Peers;
use lovagespindle_decisions::dsr::segment::{
    FlowTuple,
    Segment,
    Target, //
};
use lovagespindle_decisions::dsr::shutdown::Shutdown;
use lovagespindle_decisions::dsr::store_update::StoreUpdate;

use super::clients::{
    Downlink,
    FlowKey,
    Uplink, //
};
use super::measure::Loss;
use super::minds::{
    InTurn,
    Mind, //
};
use super::network::Gap;
use super::news::Follow;
use super::servers::Datagram;
use super::world::{
    Event,
    Policy,
    World, //
};

/// How long a process takes to start.
const START: Duration = Duration::from_millis(60);

/// How long a packet waits for the first update of the store, as in the daemon.
const HELD: Duration = Duration::from_millis(800);

/// The port on which instances ask each other.
const PORT: u16 = 7_100;

/// Names an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct MachineKey(pub(super) usize);

/// Whether a process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    Up,
    Frozen,
    Down,
}

/// One instance.
pub(super) struct Machine {
    pub(super) zone: usize,
    pub(super) address: SocketAddrV4,
    pub(super) state: State,
    /// A start before this time has no effect: the machine has no power until then.
    down_until: Time,
    /// Left for good.
    pub(super) removed: bool,
    /// Set once it was told to stop; it is no longer ready.
    pub(super) shutdown: Option<Shutdown>,
    /// Rises with each start.
    pub(super) epoch: u32,
    /// When something was last done to it.
    pub(super) disturbed: Time,
    pub(super) mind: Mind,
    pub(super) archive: DocumentCache,
    pub(super) peers: Peers,
    pub(super) follow: Follow,
    /// Events that wait until it wakes.
    pub(super) inbox: Vec<Event>,
    /// Packets that wait for the first update of the store.
    held: Vec<(Time, FlowKey, Uplink)>,
    pub(super) tick: Option<Time>,
    pub(super) misses: u32,
    pub(super) rotated: bool,
}

impl Machine {
    pub(super) fn is_ready(&self) -> bool {
        self.shutdown.is_none()
            && match &self.mind {
                Mind::Decisions(balancer) => balancer.is_ready(),
                Mind::InTurn(mind) => mind.table.is_some(),
                Mind::Omniscient => true,
            }
    }
}

impl World {
    /// Adds an instance that starts at once.
    pub(super) fn add_machine(&mut self, zone: usize) {
        let key = MachineKey(self.machines.len());
        let address = Ipv4Addr::new(10, zone as u8, (key.0 / 250) as u8, (key.0 % 250) as u8 + 1);
        let address = SocketAddrV4::new(address, PORT);
        let machine = Machine {
            zone,
            address,
            state: State::Down,
            down_until: Time::ZERO,
            removed: false,
            shutdown: None,
            epoch: 0,
            disturbed: self.now,
            mind: Mind::Omniscient,
            archive: DocumentCache::default(),
            peers: Peers::new(address, &zone_name(zone), &[], 0),
            follow: Follow::default(),
            inbox: Vec::new(),
            held: Vec::new(),
            tick: None,
            misses: 0,
            rotated: false,
        };
        self.machines.push(machine);
        let spread = Duration::from_millis(300).mul_f64(self.noise.unit());
        self.send(spread, Event::Start(key));
    }

    pub(super) fn start_machine(&mut self, key: MachineKey) {
        let machine = &self.machines[key.0];
        if machine.removed || machine.state != State::Down || self.now < machine.down_until {
            return;
        }
        let seed = self.noise.bits();
        let zone = zone_name(self.machines[key.0].zone);
        let mind = match &self.policy {
            Policy::Decisions(settings) => {
                let settings = settings.as_ref().clone();
                Mind::Decisions(Box::new(Balancer::new(&zone, settings, seed)))
            }
            Policy::InTurn => Mind::InTurn(InTurn::default()),
            Policy::Omniscient => Mind::Omniscient,
        };
        let seeds: Vec<SocketAddrV4> = self.machines.iter().take(3).map(|m| m.address).collect();
        let now = self.now;
        let machine = &mut self.machines[key.0];
        machine.state = State::Up;
        machine.shutdown = None;
        machine.epoch += 1;
        machine.disturbed = now;
        machine.mind = mind;
        machine.archive = DocumentCache::default();
        machine.peers = Peers::new(machine.address, &zone, &seeds, seed);
        machine.follow = Follow::default();
        machine.inbox.clear();
        machine.held.clear();
        machine.tick = None;
        let epoch = machine.epoch;
        self.send(START, Event::Follow(key, epoch));
        self.send(START, Event::Elect(key, epoch));
        self.meet(key, &seeds);
    }

    /// Ends a process, and starts it again after a while.
    pub(super) fn stop_machine(&mut self, key: MachineKey, again: Option<Duration>) {
        let now = self.now;
        let machine = &mut self.machines[key.0];
        machine.state = State::Down;
        machine.disturbed = now;
        machine.epoch += 1;
        machine.removed = again.is_none();
        if let Some(again) = again {
            machine.down_until = machine.down_until.max(now + again);
            self.send(again, Event::Start(key));
        }
    }

    /// Lets a frozen instance go on; it finds what was sent to it meanwhile.
    pub(super) fn wake_machine(&mut self, key: MachineKey) {
        let now = self.now;
        let machine = &mut self.machines[key.0];
        if machine.state != State::Frozen {
            return;
        }
        machine.state = State::Up;
        machine.disturbed = now;
        for event in std::mem::take(&mut machine.inbox) {
            self.handle(event);
        }
        self.tick(key, self.machines[key.0].epoch);
    }

    /// Returns whether the process takes an event now; a frozen one finds it later.
    pub(super) fn takes(&mut self, key: MachineKey, event: impl FnOnce() -> Event) -> bool {
        let machine = &mut self.machines[key.0];
        match machine.state {
            State::Up => true,
            State::Frozen => {
                machine.inbox.push(event());
                false
            }
            State::Down => false,
        }
    }

    pub(super) fn machine_packet(&mut self, key: MachineKey, flow: FlowKey, uplink: Uplink) {
        if !self.takes(key, || Event::Uplink(key, flow, uplink)) {
            self.flows[flow.0].hint = Loss::Instance;
            return;
        }
        self.decide(key, self.now, flow, uplink);
    }

    /// Lets an instance decide on a packet that arrived at some time.
    fn decide(&mut self, key: MachineKey, arrived: Time, flow: FlowKey, uplink: Uplink) {
        let (now, segment) = (self.now, self.segment(flow, &uplink));
        if let Some(shutdown) = &mut self.machines[key.0].shutdown {
            shutdown.record_packet(now);
        }
        let verdict = match &mut self.machines[key.0].mind {
            Mind::Decisions(balancer) => balancer.packet(now, &segment),
            Mind::InTurn(mind) => mind.packet(now, &segment),
            Mind::Omniscient => self.know_best(key, &segment),
        };
        match verdict {
            Verdict::Forward(target) | Verdict::Open(target) => {
                self.forward(key, flow, uplink, target);
            }
            Verdict::Reset { .. } => self.refuse(key, flow),
            Verdict::Hold => self.machines[key.0].held.push((arrived, flow, uplink)),
            Verdict::Drop => self.flows[flow.0].hint = Loss::Dropped,
        }
        self.act(key);
    }

    fn forward(&mut self, key: MachineKey, flow: FlowKey, uplink: Uplink, target: Target) {
        let zone = zone_at(target.address);
        let datagram = Datagram {
            flow,
            uplink,
            identity: target.identity,
            // The client's own tag goes on with packets that open nothing.
            tag: match uplink {
                Uplink::Open { .. } => target.tag,
                _ => self.flows[flow.0].tag,
            },
            by: key,
        };
        match self.server_delay(key, zone) {
            Ok(delay) => self.send(delay, Event::Server(target.address, datagram)),
            Err(Gap::Cut) => self.flows[flow.0].hint = Loss::Cut,
            Err(Gap::Lost) => self.flows[flow.0].hint = Loss::Packet,
        }
    }

    fn refuse(&mut self, key: MachineKey, flow: FlowKey) {
        self.judge_reset(key, flow);
        self.flows[flow.0].hint = Loss::Refused;
        if let Ok(delay) = self.client_delay() {
            self.send(delay, Event::Downlink(flow, Downlink::Refused));
        }
    }

    /// Carries out what the decisions want done by themselves, and sets the next tick.
    pub(super) fn act(&mut self, key: MachineKey) {
        let Mind::Decisions(balancer) = &mut self.machines[key.0].mind else {
            return;
        };
        balancer.take_log().for_each(drop);
        let actions: Vec<Action> = balancer.take_actions().collect();
        let due = balancer.deadline();
        for action in actions {
            match action {
                Action::Open { flow, target, .. } => {
                    if let Some(flow) = self.flow_of(&flow) {
                        let uplink = Uplink::Open { copy: 0 };
                        self.forward(key, flow, uplink, target);
                    }
                }
                Action::Reset { flow, .. } => {
                    if let Some(flow) = self.flow_of(&flow) {
                        self.refuse(key, flow);
                    }
                }
                Action::Probe(addresses) => self.probe(key, &addresses),
                Action::ProbeServer { server, address } => {
                    self.probe_server(key, server, address);
                }
            }
        }
        let now = self.now;
        let machine = &mut self.machines[key.0];
        // At least a tenth of a millisecond apart, so that a deadline in the past cannot stop time.
        let due = due.max(now + Duration::from_micros(100));
        if machine.tick.is_none_or(|tick| due < tick || tick <= now) {
            machine.tick = Some(due);
            let epoch = machine.epoch;
            self.send(due.since(now), Event::Tick(key, epoch));
        }
    }

    pub(super) fn tick(&mut self, key: MachineKey, epoch: u32) {
        let now = self.now;
        let machine = &mut self.machines[key.0];
        if machine.epoch != epoch || machine.state != State::Up {
            return;
        }
        if let Mind::Decisions(balancer) = &mut machine.mind
            && balancer.deadline() <= now
        {
            balancer.tick(now);
        }
        self.act(key);
    }

    /// Handles the packets that waited for the first update of the store.
    fn release_held(&mut self, key: MachineKey) {
        let now = self.now;
        for (at, flow, uplink) in std::mem::take(&mut self.machines[key.0].held) {
            if now.since(at) < HELD {
                self.decide(key, at, flow, uplink);
            }
        }
    }

    pub(super) fn tell_mind(&mut self, key: MachineKey, news: StoreUpdate) {
        let now = self.now;
        match &mut self.machines[key.0].mind {
            Mind::Decisions(balancer) => {
                balancer.apply_update(now, news);
                self.release_held(key);
            }
            Mind::InTurn(mind) => mind.learn(now, news),
            Mind::Omniscient => {}
        }
        self.act(key);
    }

    fn segment(&self, flow: FlowKey, uplink: &Uplink) -> Segment {
        let flow = &self.flows[flow.0];
        Segment {
            flow: flow.tuple,
            kind: uplink.kind(flow.sequence),
            tag: flow.tag,
            position: uplink.position(flow.sequence),
        }
    }

    fn flow_of(&self, tuple: &FlowTuple) -> Option<FlowKey> {
        self.tuples.get(tuple).copied()
    }
}

/// Returns the name of a zone.
pub(super) fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// Returns the zone of a backend server's address.
pub(super) fn zone_at(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[1]) - super::servers::FIRST_NETWORK
}
