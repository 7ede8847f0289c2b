//! Clients: requests, their attempts, and the client's end of each flow.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::segment::{
    FlowTuple,
    Position,
    SegmentKind,
    Syn,
    Tag, //
};

use super::measure::Loss;
use super::network::Gap;
use super::servers::ServerKey;
use super::world::{
    Event,
    World, //
};

/// When copies of an opening packet are sent, after the first.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// When an attempt ends that did not open its flow.
const GIVE_UP: Duration = Duration::from_millis(1_400);
/// The first wait before a packet is sent again, and the longest.
pub(super) const RESENDS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(1_600));
/// The bytes of a request.
const REQUEST_LENGTH: u16 = 200;
/// How often a request is tried again.
const RETRIES: u32 = 2;
/// The pause before a request is tried again.
const PAUSE: Duration = Duration::from_millis(50);

/// Names a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct RequestKey(pub(super) usize);

/// Names a flow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct FlowKey(pub(super) usize);

/// A request of a client.
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) zone: usize,
    pub(super) started: Time,
    retries: u32,
    pub(super) done: bool,
}

/// How far the client's end of a flow is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    Opening,
    /// The client answered that server's handshake.
    Open(ServerKey),
    /// The client keeps the flow for a later request.
    Idle(ServerKey),
    Done,
}

/// A flow: one attempt of a request, a visit of operators, or requests one after the other if
/// clients keep the flows of their class.
pub(super) struct Flow {
    pub(super) tuple: FlowTuple,
    pub(super) zone: usize,
    pub(super) request: Option<RequestKey>,
    pub(super) sequence: u32,
    pub(super) started: Time,
    pub(super) stage: Stage,
    pub(super) tag: Tag,
    /// How many requests were made on the flow before the present one.
    pub(super) turn: u32,
    /// The next part of the answers, which are numbered through all requests of the flow.
    round: u32,
    /// What last kept a packet of it from arriving.
    pub(super) hint: Loss,
    /// Where it opened and when, once its backend server has the end of the handshake.
    pub(super) opened: Option<(ServerKey, Time)>,
    /// Packets that reached other backend servers since one reached its own, and when the first did.
    pub(super) strays: Option<(u32, Time)>,
}

/// What a client sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Uplink {
    Open {
        copy: u32,
    },
    /// A request, the first one with the end of the handshake.
    Request {
        server: ServerKey,
        turn: u32,
        /// How many parts of answers the client has.
        round: u32,
    },
    /// Acknowledges a part of the answer.
    Part {
        turn: u32,
        round: u32,
    },
    Finish,
}

impl Uplink {
    pub(super) fn kind(&self, sequence: u32) -> SegmentKind {
        match self {
            Uplink::Open { copy } => SegmentKind::Syn(Syn {
                sequence,
                retransmits: *copy,
                checksum: 0,
            }),
            Uplink::Request { .. } | Uplink::Part { .. } => SegmentKind::Data,
            Uplink::Finish => SegmentKind::Fin,
        }
    }

    /// Returns the position of the packet in a flow that starts at `sequence`. A request is one
    /// packet, and each part of the answer counts as one byte.
    pub(super) fn position(&self, sequence: u32) -> Position {
        let end = |turn: u32| sequence.wrapping_add(1 + (turn + 1) * u32::from(REQUEST_LENGTH));
        let (end, length, acked) = match self {
            Uplink::Open { .. } => (sequence, 0, 0),
            Uplink::Request { turn, round, .. } => (end(*turn), REQUEST_LENGTH, *round),
            Uplink::Part { turn, round } => (end(*turn), 0, round + 1),
            Uplink::Finish => (end(0), 0, u32::from(u16::MAX)),
        };
        Position { end, length, acked }
    }
}

/// What a client receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Downlink {
    /// A backend server answers an opening packet.
    Accepted(ServerKey, Tag),
    /// A part of the answer, and whether it is the last.
    Part(ServerKey, Tag, u32, bool),
    /// The backend server did not run the request.
    Shed(ServerKey),
    /// A reset of a backend server.
    Reset,
    /// A reset of an instance.
    Refused,
}

/// What a client waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Timer {
    Copy(u32),
    GiveUp,
    /// The request of a turn was not answered after so many sendings.
    Resend {
        turn: u32,
        tries: u32,
    },
    /// The time limit of the request of a turn.
    Limit(u32),
}

impl World {
    pub(super) fn arrive(&mut self, class: usize, zone: usize) {
        if self.is_over() {
            return;
        }
        let kind = &self.site.classes[class];
        let mean = Duration::from_secs_f64(self.site.zones as f64 / kind.rate);
        let next = self.dice.exponential(mean);
        self.send(next, Event::Arrive(class, zone));
        let request = RequestKey(self.requests.len());
        self.requests.push(Request {
            class,
            zone,
            started: self.now,
            retries: 0,
            done: false,
        });
        self.measure.owe(self.now, class, zone);
        match self.take_idle(class, zone) {
            Some((flow, server)) => self.reuse(flow, server, request),
            None => self.attempt(request),
        }
    }

    /// Returns the flow of a class that was kept last, if it is still open.
    fn take_idle(&mut self, class: usize, zone: usize) -> Option<(FlowKey, ServerKey)> {
        let kept = self.kept.get_mut(&(class, zone))?;
        while let Some(key) = kept.pop() {
            if let Stage::Idle(server) = self.flows[key.0].stage {
                return Some((key, server));
            }
        }
        None
    }

    /// Makes a request on a flow that a client kept.
    fn reuse(&mut self, key: FlowKey, server: ServerKey, request: RequestKey) {
        let flow = &mut self.flows[key.0];
        flow.request = Some(request);
        flow.turn += 1;
        flow.stage = Stage::Open(server);
        flow.hint = Loss::Packet;
        let limit = self.site.classes[self.requests[request.0].class].limit;
        let turn = flow.turn;
        self.send(limit, Event::Timer(key, Timer::Limit(turn)));
        self.send_request(key, server, 0);
    }

    /// Sends a request, and sets the time after which it is sent again.
    fn send_request(&mut self, key: FlowKey, server: ServerKey, tries: u32) {
        let flow = &self.flows[key.0];
        let (turn, round) = (flow.turn, flow.round);
        self.send_up(
            key,
            Uplink::Request {
                server,
                turn,
                round,
            },
        );
        let wait = (RESENDS.0 * 2u32.pow(tries.min(8))).min(RESENDS.1);
        let tries = tries + 1;
        self.send(wait, Event::Timer(key, Timer::Resend { turn, tries }));
    }

    /// Starts an attempt of a request.
    pub(super) fn attempt(&mut self, key: RequestKey) {
        let request = &self.requests[key.0];
        let limit = request.started + self.site.classes[request.class].limit;
        if request.done || self.now >= limit {
            return;
        }
        let (zone, address) = (request.zone, self.operator.address(request.class));
        let flow = self.open_flow(zone, address, Some(key));
        self.send(limit.since(self.now), Event::Timer(flow, Timer::Limit(0)));
        self.send_up(flow, Uplink::Open { copy: 0 });
    }

    /// Starts a flow without sending anything yet.
    pub(super) fn open_flow(
        &mut self,
        zone: usize,
        service: SocketAddrV4,
        request: Option<RequestKey>,
    ) -> FlowKey {
        let key = FlowKey(self.flows.len());
        // Each flow has a port of its own, and each client address 60,000 ports.
        let (host, port) = (key.0 / 60_000, key.0 % 60_000);
        let client = Ipv4Addr::new(100, 64 + zone as u8, (host / 250) as u8, (host % 250) as u8);
        let tuple = FlowTuple {
            client: SocketAddrV4::new(client, 1_024 + port as u16),
            service,
        };
        self.flows.push(Flow {
            tuple,
            zone,
            request,
            sequence: self.noise.bits() as u32,
            started: self.now,
            stage: Stage::Opening,
            tag: Tag::default(),
            turn: 0,
            round: 0,
            hint: Loss::Packet,
            opened: None,
            strays: None,
        });
        self.tuples.insert(tuple, key);
        for (n, copy) in COPIES.iter().enumerate() {
            self.send(*copy, Event::Timer(key, Timer::Copy(n as u32 + 1)));
        }
        self.send(GIVE_UP, Event::Timer(key, Timer::GiveUp));
        key
    }

    /// Sends a packet by way of the routers.
    pub(super) fn send_up(&mut self, flow: FlowKey, uplink: Uplink) {
        let Some(machine) = self.route(flow) else {
            self.flows[flow.0].hint = Loss::Instance;
            return;
        };
        let zone = self.flows[flow.0].zone;
        match self.client_delay_from(self.machines[machine.0].zone, zone) {
            Ok(delay) => self.send(delay, Event::Uplink(machine, flow, uplink)),
            Err(Gap::Lost | Gap::Cut) => self.flows[flow.0].hint = Loss::Packet,
        }
    }

    pub(super) fn client_timer(&mut self, key: FlowKey, timer: Timer) {
        let flow = &self.flows[key.0];
        match (timer, flow.stage) {
            (Timer::Copy(copy), Stage::Opening) => self.send_up(key, Uplink::Open { copy }),
            (Timer::GiveUp, Stage::Opening) => self.end_attempt(key, true),
            (Timer::Resend { turn, tries }, Stage::Open(server))
                if turn == flow.turn && !self.has_part(key) =>
            {
                self.send_request(key, server, tries);
            }
            (Timer::Limit(turn), Stage::Opening | Stage::Open(_)) if turn == flow.turn => {
                if matches!(flow.stage, Stage::Open(_)) && self.has_part(key) {
                    self.flows[key.0].hint = Loss::Late;
                }
                self.flows[key.0].stage = Stage::Done;
                self.give_up(key);
            }
            _ => {}
        }
    }

    /// Returns whether the client has a part of the answer to the present request.
    fn has_part(&self, key: FlowKey) -> bool {
        let flow = &self.flows[key.0];
        flow.round > flow.turn * self.rounds(key)
    }

    pub(super) fn client_packet(&mut self, key: FlowKey, downlink: Downlink) {
        let flow = &mut self.flows[key.0];
        match (downlink, flow.stage) {
            (Downlink::Accepted(server, tag), Stage::Opening) => {
                flow.stage = Stage::Open(server);
                flow.tag = tag;
                flow.hint = Loss::Packet;
                self.send_request(key, server, 0);
            }
            (Downlink::Part(server, tag, round, last), Stage::Open(at)) if server == at => {
                flow.tag = tag;
                if round == flow.round {
                    flow.round += 1;
                }
                let turn = flow.turn;
                if round < flow.round {
                    self.send_up(key, Uplink::Part { turn, round });
                }
                if last && round + 1 == self.flows[key.0].round {
                    self.succeed(key);
                }
            }
            // The backend server missed the acknowledgement of the last part.
            (Downlink::Part(server, tag, round, _), Stage::Idle(at)) if server == at => {
                flow.tag = tag;
                let turn = flow.turn;
                self.send_up(key, Uplink::Part { turn, round });
            }
            (Downlink::Reset | Downlink::Refused, Stage::Idle(_)) => flow.stage = Stage::Done,
            (Downlink::Shed(server), Stage::Open(at)) if server == at => {
                flow.hint = Loss::Full;
                self.end_attempt(key, true);
            }
            (Downlink::Reset, Stage::Opening | Stage::Open(_)) => {
                flow.hint = Loss::Reset;
                let unopened = flow.opened.is_none();
                self.end_attempt(key, unopened);
            }
            (Downlink::Refused, Stage::Opening | Stage::Open(_)) => {
                let unopened = flow.stage == Stage::Opening;
                self.end_attempt(key, unopened);
            }
            _ => {}
        }
    }

    fn succeed(&mut self, key: FlowKey) {
        self.end_or_keep(key);
        let Some(request) = self.flows[key.0].request else {
            return;
        };
        let (now, request) = (self.now, &mut self.requests[request.0]);
        if !std::mem::replace(&mut request.done, true) {
            let (class, zone, started) = (request.class, request.zone, request.started);
            self.measure.earn(now, started, class, zone);
        }
    }

    /// Ends a flow whose request was answered, or keeps it for a later one.
    fn end_or_keep(&mut self, key: FlowKey) {
        let flow = &mut self.flows[key.0];
        let request = flow.request.map(|key| &self.requests[key.0]);
        let kept = request.filter(|request| self.site.classes[request.class].pooled);
        match (kept, flow.stage) {
            (Some(request), Stage::Open(server)) => {
                flow.stage = Stage::Idle(server);
                let pool = (request.class, request.zone);
                self.kept.entry(pool).or_default().push(key);
            }
            _ => {
                flow.stage = Stage::Done;
                self.send_up(key, Uplink::Finish);
            }
        }
    }

    /// Ends an attempt that failed. One that did not run, or may run twice, is made again.
    fn end_attempt(&mut self, key: FlowKey, unrun: bool) {
        self.flows[key.0].stage = Stage::Done;
        let Some(request) = self.flows[key.0].request else {
            return;
        };
        let state = &mut self.requests[request.0];
        let class = &self.site.classes[state.class];
        let repeatable = unrun || class.idempotent;
        let over = self.now + PAUSE >= state.started + class.limit;
        if state.done || over || !repeatable || state.retries >= RETRIES {
            self.give_up(key);
            return;
        }
        state.retries += 1;
        self.send(PAUSE, Event::Retry(request));
    }

    /// A request fails for good.
    fn give_up(&mut self, key: FlowKey) {
        let flow = &self.flows[key.0];
        let (Some(request), hint) = (flow.request, flow.hint) else {
            return;
        };
        let request = &mut self.requests[request.0];
        if !std::mem::replace(&mut request.done, true) {
            self.measure.lose(hint);
        }
    }
}
