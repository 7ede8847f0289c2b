//! The runner: one queue of events in order of virtual time.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::net::SocketAddrV4;
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::segment::FlowTuple;
use lovagespindle_decisions::dsr::server_loss::ServerProbe;
use lovagespindle_decisions::dsr::settings::Settings;

use super::clients::{
    Downlink,
    Flow,
    FlowKey,
    Request,
    RequestKey,
    Timer,
    Uplink, //
};
use super::day::Day;
use super::machines::{
    Machine,
    MachineKey, //
};
use super::measure::Measure;
use super::network::Network;
use super::news::{
    Answer,
    Ask, //
};
use super::operator::Operator;
use super::routers::CHECK;
use super::rules::Rules;
use super::servers::{
    Datagram,
    Server,
    ServerKey, //
};
use super::site::Site;
use super::store::Store;
use crate::prelude::Dice;

/// When traffic starts, after the instances did.
pub(super) const LEAD: Duration = Duration::from_secs(4);

/// How long after the end of traffic the last requests are waited for.
const REST: Duration = Duration::from_secs(6);

/// Who decides where packets go.
#[derive(Clone, Debug)]
pub enum Policy {
    /// The decisions of this project.
    Decisions(Box<Settings>),
    /// Each ready and warm backend server in turn, without evidence, peers or probes.
    InTurn,
    /// Knows what is true at each moment, and takes any instance that lives: a bound for all others.
    Omniscient,
}

/// One thing that happens at a moment.
pub(super) enum Event {
    Arrive(usize, usize),
    Retry(RequestKey),
    Timer(FlowKey, Timer),
    Uplink(MachineKey, FlowKey, Uplink),
    Server(SocketAddrV4, Datagram),
    Downlink(FlowKey, Downlink),
    /// The work on a flow's request is done, in that life of the server.
    Worked(ServerKey, FlowKey),
    /// A part of an answer was not acknowledged.
    Resend(ServerKey, FlowKey, u32, u32),
    Heartbeat(ServerKey),
    /// The entry of a server lapses, unless it was written since.
    Lapse(ServerKey, Time),
    ServerEnd(ServerKey),
    Tick(MachineKey, u32),
    Check,
    Probed(MachineKey, u32, usize, usize),
    ProbedServer(MachineKey, u32, ServerProbe),
    Start(MachineKey),
    Follow(MachineKey, u32),
    Elect(MachineKey, u32),
    Ask(Ask),
    Answer(Ask, Box<Answer>),
    Due(Ask),
    Overdue(Ask),
    Trouble(usize),
    Recover(usize),
    /// The next step of a trouble that goes on in steps.
    Step(usize, usize),
    Closing(bool),
    Visit,
    /// Operators write again what a restored store has lost.
    Rewrite,
    /// A window of the balance of backend servers ends.
    Sample,
}

/// The emulated platform.
pub struct World {
    pub(super) now: Time,
    pub(super) site: Site,
    pub(super) day: Day,
    pub(super) policy: Policy,
    queue: BTreeMap<(Time, u64), Event>,
    sequence: u64,
    /// Draws the load, so that all policies meet the same requests.
    pub(super) dice: Dice,
    /// Draws whom troubles concern, so that all policies meet the same troubles.
    pub(super) fate: Dice,
    /// Draws everything else.
    pub(super) noise: Dice,
    pub(super) network: Network,
    pub(super) machines: Vec<Machine>,
    pub(super) servers: Vec<Server>,
    /// The backend server at each address.
    pub(super) holders: HashMap<SocketAddrV4, ServerKey>,
    pub(super) flows: Vec<Flow>,
    /// The flow of each pair of ends.
    pub(super) tuples: HashMap<FlowTuple, FlowKey>,
    pub(super) requests: Vec<Request>,
    /// Flows that clients of a class and zone keep for later requests, and some that have ended.
    pub(super) kept: HashMap<(usize, usize), Vec<FlowKey>>,
    pub(super) store: Store,
    pub(super) operator: Operator,
    pub(super) rules: Rules,
    pub(super) measure: Measure,
    /// What each running trouble concerns.
    pub(super) concerned: HashMap<usize, super::faults::Concerned>,
}

impl World {
    /// Plays a day to its end.
    pub fn play(site: &Site, day: &Day, policy: Policy, seed: u64) -> World {
        let mut world = World {
            now: Time::ZERO,
            site: site.clone(),
            day: day.clone(),
            policy,
            queue: BTreeMap::new(),
            sequence: 0,
            dice: Dice::new(seed),
            fate: Dice::new(seed.rotate_left(32)),
            noise: Dice::new(!seed),
            network: Network::default(),
            machines: Vec::new(),
            servers: Vec::new(),
            holders: HashMap::new(),
            flows: Vec::new(),
            tuples: HashMap::new(),
            requests: Vec::new(),
            kept: HashMap::new(),
            store: Store::default(),
            operator: Operator::new(site),
            rules: Rules::default(),
            measure: Measure::new(site),
            concerned: HashMap::new(),
        };
        world.prepare();
        let end = Time::ZERO + LEAD + site.length + REST;
        while let Some(entry) = world.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            world.now = at;
            world.handle(event);
        }
        world
    }

    fn prepare(&mut self) {
        self.put_config();
        for service in 0..self.site.services.len() {
            for zone in 0..self.site.zones {
                for _ in 0..self.site.services[service].servers[zone] {
                    self.add_server(service, zone, false, None);
                }
            }
        }
        for zone in 0..self.site.zones {
            for _ in 0..self.site.machines[zone] {
                self.add_machine(zone);
            }
        }
        self.send(CHECK, Event::Check);
        self.send(LEAD, Event::Sample);
        for class in 0..self.site.classes.len() {
            for zone in 0..self.site.zones {
                self.send(LEAD, Event::Arrive(class, zone));
            }
        }
        for index in 0..self.day.troubles.len() {
            let at = Duration::from_secs_f64(self.day.troubles[index].at);
            self.send(LEAD + at, Event::Trouble(index));
        }
        if self.day.closing {
            let at = self.site.length.saturating_sub(Duration::from_secs(8));
            self.send(LEAD + at, Event::Closing(true));
        }
    }

    /// Returns whether clients begin no more requests.
    pub(super) fn is_over(&self) -> bool {
        self.now >= Time::ZERO + LEAD + self.site.length
    }

    /// Puts an event into the queue.
    pub(super) fn send(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(class, zone) => self.arrive(class, zone),
            Event::Retry(request) => self.attempt(request),
            Event::Timer(flow, timer) => self.client_timer(flow, timer),
            Event::Uplink(machine, flow, uplink) => self.machine_packet(machine, flow, uplink),
            Event::Server(address, datagram) => self.server_packet(address, datagram),
            Event::Downlink(flow, downlink) => self.client_packet(flow, downlink),
            Event::Worked(server, flow) => self.worked(server, flow),
            Event::Resend(server, flow, round, tries) => self.resend(server, flow, round, tries),
            Event::Heartbeat(server) => self.heartbeat(server),
            Event::Lapse(server, since) => self.lapse(server, since),
            Event::ServerEnd(server) => self.end_server(server),
            Event::Tick(machine, epoch) => self.tick(machine, epoch),
            Event::Check => self.check_readiness(),
            Event::Probed(machine, epoch, probed, reached) => {
                self.probed(machine, epoch, probed, reached);
            }
            Event::ProbedServer(machine, epoch, probe) => self.probed_server(machine, epoch, probe),
            Event::Start(machine) => self.start_machine(machine),
            Event::Follow(machine, epoch) => self.follow_store(machine, epoch),
            Event::Elect(machine, epoch) => self.elect(machine, epoch),
            Event::Ask(ask) => self.asked(ask),
            Event::Answer(ask, answer) => self.answered(ask, *answer),
            Event::Due(ask) => self.due(ask),
            Event::Overdue(ask) => self.overdue(ask),
            Event::Trouble(index) => self.begin_trouble(index),
            Event::Recover(index) => self.end_trouble(index),
            Event::Step(index, step) => self.step_trouble(index, step),
            Event::Closing(down) => self.closing(down),
            Event::Visit => self.visit(),
            Event::Rewrite => self.rewrite(),
            Event::Sample => self.sample_balance(),
        }
    }
}
