//! The runner: one queue of messages in order of virtual time.

use std::collections::BTreeMap;

use crate::baseline::Mind;
use crate::callers::Flow;
use crate::callers::Timer;
use crate::measure::Measures;
use crate::platform::Call;
use crate::platform::Platform;
use crate::platform::Write;
use crate::prelude::*;
use crate::servers::Server;
use crate::trace::Trace;

/// How often owners and revisions are looked at. Divides a second.
pub(crate) const SWEEP: Duration = Duration::from_millis(20);

/// Who decides where packets go.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Stateless consistent hashing.
    Hashing,
    /// Consistent hashing with flow tables that each instance keeps for itself.
    Tables,
    /// The decisions of this project.
    #[default]
    Decisions,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum State {
    Live,
    Frozen,
    Gone,
}

/// One instance.
pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) zone: usize,
    pub(crate) mind: Mind,
    pub(crate) state: State,
    pub(crate) started: Time,
    pub(crate) leaving: Option<Time>,
    /// When it died or froze.
    pub(crate) gone: Option<Time>,
    /// Events that wait until it wakes.
    inbox: Vec<Event>,
    tick: Option<Time>,
    pub(crate) polls: FxHashSet<BackendServerId>,
    pub(crate) watch: bool,
    /// Whether it last found the platform answering.
    pub(crate) platform: bool,
    /// Until when it cannot be expected to know the latest configuration.
    pub(crate) excused: Time,
    /// Control bytes sent.
    pub(crate) bytes: u64,
}

/// One thing that happens at a moment.
pub(crate) enum Message {
    Node(usize, Event),
    Tick(usize),
    Poll(usize, BackendServerId),
    /// A packet from an instance reaches a backend server.
    Server(usize, usize, Packet),
    /// The next part of a run of a backend server is due.
    Work(usize, u64),
    Caller(Packet),
    Arrive(usize),
    Timer(usize, Timer),
    Write(Write),
    Store(usize, Call),
    Sweep,
}

/// The whole simulated site.
#[derive(Default)]
pub struct World {
    pub(crate) now: Time,
    pub(crate) seed: u64,
    policy: Policy,
    queue: BTreeMap<(Time, u64), Message>,
    sequence: u64,
    /// Draws load, so that all policies meet the same flows.
    pub(crate) dice: Dice,
    /// Draws everything else.
    pub(crate) noise: Dice,
    pub(crate) links: [Link; 3],
    pub(crate) cuts: FxHashSet<(usize, usize)>,
    /// When the last control message of a pair arrives, because TCP keeps the order.
    pub(crate) order: FxHashMap<(usize, usize), Time>,
    /// Links between instances that went silent.
    pub(crate) hushed: FxHashSet<(usize, usize)>,
    pub(crate) zones: Vec<String>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) servers: Vec<Server>,
    pub(crate) loads: Vec<Load>,
    pub(crate) flows: Vec<Flow>,
    pub(crate) flow_index: FxHashMap<FlowId, usize>,
    pub(crate) refused: Vec<(FlowId, RequestId, u8)>,
    /// The attempts of each request that ran.
    pub(crate) executed: FxHashMap<(FlowId, RequestId), Vec<u8>>,
    pub(crate) platform: Platform,
    pub(crate) measures: Measures,
    pub(crate) expectations: Vec<(Metric, f64)>,
    pub(crate) trace: Option<Trace>,
}

impl World {
    /// Plays a scenario to its end.
    pub fn play(scene: &Scene, policy: Policy) -> Result<World, SceneError> {
        let mut world = World {
            seed: scene.seed,
            policy,
            dice: Dice::new(scene.seed),
            noise: Dice::new(!scene.seed),
            trace: Trace::wanted(),
            ..World::default()
        };
        world.send(Duration::ZERO, Message::Sweep);
        scene
            .lines
            .iter()
            .try_for_each(|line| world.perform(line))?;
        world.judge();
        Ok(world)
    }

    /// Starts an instance.
    pub(crate) fn start(&mut self, zone: usize) {
        let n = self.nodes.len();
        let address = |port| SocketAddr::from(([10, zone as u8, 0, n as u8], port));
        let mut zones = self.platform.configuration.zones.values();
        let found = zones.find(|z| z.name == self.zones[zone]);
        let member = Member {
            id: InstanceId(self.noise.bits()),
            zone: found.map(|z| z.id).unwrap_or_default(),
            control: address(7100),
            relay: address(7101),
        };
        self.nodes.push(Node {
            member,
            zone,
            mind: Mind::new(self.policy, member, self.noise.bits()),
            state: State::Live,
            started: self.now,
            leaving: None,
            gone: None,
            inbox: Vec::new(),
            tick: None,
            polls: FxHashSet::default(),
            watch: false,
            platform: false,
            excused: self.now,
            bytes: 0,
        });
        self.send(Duration::from_millis(1), Message::Node(n, Event::Tick));
        self.send(Duration::from_millis(2), Message::Store(n, Call::Check));
    }

    /// Kills or freezes an instance.
    pub(crate) fn end(&mut self, n: usize, state: State) {
        (self.nodes[n].state, self.nodes[n].gone) = (state, Some(self.now));
    }

    /// Wakes the frozen instances; they find what was sent to them meanwhile.
    pub(crate) fn wake(&mut self) {
        for n in 0..self.nodes.len() {
            let node = &mut self.nodes[n];
            if node.state == State::Frozen {
                (node.state, node.gone, node.excused) = (State::Live, None, self.now);
                let inbox = std::mem::take(&mut node.inbox);
                let events = inbox.into_iter().chain([Event::Tick]);
                events.for_each(|event| self.deliver(n, event));
            }
        }
    }

    /// Puts a message into the queue.
    pub(crate) fn send(&mut self, delay: Duration, message: Message) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), message);
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), message) = entry.remove_entry();
            self.now = at;
            self.handle(message);
        }
        self.now = end;
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Node(n, event) => self.deliver(n, event),
            Message::Tick(n) => {
                if self.nodes[n].tick.take_if(|t| *t <= self.now).is_some() {
                    self.deliver(n, Event::Tick);
                }
            }
            Message::Poll(n, server) => self.poll(n, server),
            Message::Server(server, from, packet) => self.serve(server, from, packet),
            Message::Work(server, run) => self.work(server, run).unwrap_or_default(),
            Message::Caller(packet) => self.receive(packet).unwrap_or_default(),
            Message::Arrive(load) => self.arrive(load),
            Message::Timer(flow, timer) => self.expire(flow, timer),
            Message::Write(write) => self.operate(write),
            Message::Store(n, call) => self.answer_store(n, call),
            Message::Sweep => {
                self.sweep();
                self.send(SWEEP, Message::Sweep);
            }
        }
    }

    /// Hands an event to an instance and carries out what it wants.
    pub(crate) fn deliver(&mut self, n: usize, event: Event) {
        match self.nodes[n].state {
            State::Gone => return,
            State::Frozen => return self.nodes[n].inbox.push(event),
            State::Live => self.note_event(n, &event),
        }
        let (now, mut actions) = (self.now, Vec::new());
        let mind = &mut self.nodes[n].mind;
        let before = mind.configuration().revision;
        mind.handle(now, event, &mut actions);
        let after = mind.configuration().revision;
        if after < before {
            self.fault(Metric::Reverted, None, format!("{n}: {before} to {after}"));
        }
        for action in actions {
            self.note_action(n, &action);
            self.act(n, action);
        }
        // At least 100 us between ticks, so that a deadline in the past cannot stop time.
        let soon = now + Duration::from_micros(100);
        let node = &mut self.nodes[n];
        let next = node.mind.deadline().map(|next| next.max(soon));
        if let Some(next) = next.filter(|next| node.tick.is_none_or(|set| *next < set)) {
            node.tick = Some(next);
            self.send(next.since(now), Message::Tick(n));
        }
    }

    /// Returns the delay of one packet on a path, or none if it is lost.
    pub(crate) fn travel(&mut self, reach: Reach) -> Option<Duration> {
        let link = self.links[reach as usize];
        let lost = self.noise.chance(link.loss);
        (!lost).then(|| link.delay + self.noise.exponential(link.jitter))
    }
}
