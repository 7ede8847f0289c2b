//! Callers: they open flows, ask, repeat what timed out, and check every answer.

use crate::prelude::*;
use crate::servers::ask;
use crate::servers::stamp;
use crate::trace::show;

/// After what time without a reply a caller repeats a request.
const REPEAT: Duration = Duration::from_secs(1);

/// How long a caller waits after a refusal.
const BACKOFF: Duration = Duration::from_millis(200);

/// How often a caller says what it misses of a long answer.
const ACK: Duration = Duration::from_millis(250);

/// The most times that a request is sent.
const ATTEMPTS: u8 = 4;

/// A request that a caller waits for.
struct Call {
    started: Time,
    parts: u32,
    /// The first part that is missing, and later parts that arrived.
    next: u32,
    ahead: FxHashSet<u32>,
    /// Whether any reply arrived, and whether the request may be sent again.
    replied: bool,
    again: bool,
}

/// A flow as its caller sees it.
pub(crate) struct Flow {
    load: usize,
    long: bool,
    insistent: bool,
    /// The latest request.
    packet: Packet,
    call: Option<Call>,
    /// Requests that are still to come.
    left: u32,
    /// Whether an answer ever arrived.
    established: bool,
    ended: bool,
    /// Whether it may break through no fault of the system.
    pub(crate) excused: bool,
    /// The backend server that ran its latest request.
    pub(crate) server: Option<usize>,
}

/// What a caller's timer is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Timer {
    /// Sends this attempt of a request.
    Repeat(RequestId, u8),
    Ack(RequestId),
    Deadline(RequestId),
    Next,
}

impl World {
    /// Begins a load, or changes the one of the same service.
    pub(crate) fn add_load(&mut self, load: Load) {
        let mut loads = self.loads.iter_mut();
        if let Some(old) = loads.find(|old| old.service == load.service) {
            *old = load;
            return;
        }
        self.loads.push(load);
        self.send(Duration::ZERO, Message::Arrive(self.loads.len() - 1));
    }

    /// Opens a flow and plans the next one.
    pub(crate) fn arrive(&mut self, load: usize) {
        let wanted = self.loads[load].clone();
        let gap = Duration::from_secs_f64(1.0 / wanted.rate.max(0.01));
        let gap = self.dice.exponential(gap);
        self.send(gap, Message::Arrive(load));
        let mut services = self.platform.configuration.services.values();
        let service = services.find(|s| s.name == wanted.service && wanted.rate > 0.0);
        let Some(service) = service else {
            return;
        };
        let flow = FlowId(u128::from(self.dice.bits()) << 64 | u128::from(self.dice.bits()));
        let packet = Packet {
            service: service.id,
            flow,
            kind: PacketKind::Open,
            request: RequestId(0),
            attempt: 0,
            idempotent: true,
            deadline: None,
            part: 0,
            last: false,
            reason: None,
            route: Route {
                caller: SocketAddr::from(([192, 0, 2, 1], 40000)),
                address: service.address,
                unique_id: flow.0,
            },
            payload: Bytes::new(),
        };
        let long = self.dice.chance(wanted.long);
        let insistent = self.dice.chance(wanted.insistent);
        let short = 1 + u32::from(self.dice.chance(0.3));
        self.flow_index.insert(flow, self.flows.len());
        self.flows.push(Flow {
            load,
            long,
            insistent,
            packet,
            call: None,
            left: if long { wanted.requests } else { short },
            established: false,
            ended: false,
            excused: false,
            server: None,
        });
        self.ask_next(self.flows.len() - 1);
    }

    fn ask_next(&mut self, f: usize) {
        let flow = &mut self.flows[f];
        if flow.left == 0 && !std::mem::replace(&mut flow.ended, true) {
            return self.put(f, PacketKind::Close, Bytes::new());
        }
        if flow.ended {
            return;
        }
        let load = &self.loads[flow.load];
        let work = self.dice.exponential(load.work);
        let work = work.clamp(load.work / 4, load.work * 4);
        let parts = if flow.long { load.parts } else { 1 };
        let patience = load.deadline + (parts - 1) * load.every * 2;
        flow.left -= 1;
        flow.packet.request.0 += 1;
        flow.packet.attempt = 0;
        flow.packet.idempotent = flow.long || !self.dice.chance(load.unrepeatable);
        flow.packet.deadline = Some(self.now + patience);
        flow.packet.payload = ask(work, parts, load.every);
        flow.call = Some(Call {
            started: self.now,
            parts,
            next: 0,
            ahead: FxHashSet::default(),
            replied: false,
            again: false,
        });
        let request = flow.packet.request;
        self.send(patience, Message::Timer(f, Timer::Deadline(request)));
        self.send(ACK, Message::Timer(f, Timer::Ack(request)));
        self.attempt(f);
    }

    fn attempt(&mut self, f: usize) {
        let flow = &mut self.flows[f];
        let (packet, again) = (&flow.packet, flow.packet.idempotent || flow.insistent);
        flow.call.iter_mut().for_each(|call| call.again = again);
        let timer = Timer::Repeat(packet.request, packet.attempt + 1);
        let payload = packet.payload.clone();
        let kind = match flow.established {
            true => PacketKind::Request,
            false => PacketKind::Open,
        };
        self.send(REPEAT, Message::Timer(f, timer));
        self.put(f, kind, payload);
    }

    /// Sends a packet of a flow through the fabric.
    fn put(&mut self, f: usize, kind: PacketKind, payload: Bytes) {
        let mut packet = self.flows[f].packet.clone();
        (packet.kind, packet.payload) = (kind, payload);
        self.note(Some(packet.flow), || format!("caller: {}", show(&packet)));
        self.spray(packet);
    }

    /// Handles a caller's timer.
    pub(crate) fn expire(&mut self, f: usize, timer: Timer) {
        let flow = &mut self.flows[f];
        let (current, attempt) = (flow.packet.request, flow.packet.attempt);
        let Some(call) = &flow.call else {
            if timer == Timer::Next {
                self.ask_next(f);
            }
            return;
        };
        match timer {
            Timer::Repeat(request, next) if (request, next) == (current, attempt + 1) => {
                let wanted = call.next == 0 && call.again && next < ATTEMPTS;
                flow.packet.attempt += u8::from(wanted);
                if wanted {
                    self.attempt(f);
                }
            }
            Timer::Ack(request) if request == current => {
                let (next, begun) = (call.next, call.next > 0 || !call.ahead.is_empty());
                self.send(ACK, Message::Timer(f, timer));
                if begun {
                    let missing = Bytes::copy_from_slice(&next.to_be_bytes());
                    self.put(f, PacketKind::Data, missing);
                }
            }
            Timer::Deadline(request) if request == current => {
                let replied = call.replied;
                // Who sends a request only once cannot tell a lost packet from a broken flow.
                let broken = call.next > 0 || !replied && call.again;
                let (flow, lost) = (flow.packet.flow, !replied && !flow.excused);
                self.put(f, PacketKind::Cancel, Bytes::new());
                if lost {
                    self.fault(Metric::Lost, Some(flow), format!("no reply to r{request}"));
                }
                if broken {
                    self.break_flow(f, "deadline");
                } else {
                    self.finish(f, false, "deadline");
                }
            }
            _ => {}
        }
    }

    /// Ends the current request and plans the next one.
    fn finish(&mut self, f: usize, answered: bool, how: &str) {
        let flow = &mut self.flows[f];
        if let Some(call) = flow.call.take().filter(|_| answered || !flow.excused) {
            self.measures.calls += 1;
            self.measures.answered += u64::from(answered);
            if answered && call.parts == 1 {
                let taken = self.now.since(call.started).as_millis() as u64;
                self.measures.latency.push(taken);
            }
        }
        let pause = self.loads[flow.load].pause;
        let wait = pause.mul_f64(if flow.long { 1.0 } else { 0.02 });
        let (id, request) = (flow.packet.flow, flow.packet.request);
        let counts = !answered && !flow.excused;
        self.send(wait, Message::Timer(f, Timer::Next));
        if counts {
            self.fault(Metric::Answered, Some(id), format!("r{request}: {how}"));
        }
    }

    fn break_flow(&mut self, f: usize, why: &str) {
        let flow = &self.flows[f];
        let server = flow.server.map(|s| &self.servers[s]);
        let given_up = server.is_some_and(|s| self.platform.zones_out.contains_key(&s.zone));
        let excused = flow.excused || given_up;
        let (id, counts) = (flow.packet.flow, flow.established && !excused);
        let text = format!("{why}, was at {:?}", server.map(|s| &s.name));
        self.flows[f].excused = excused;
        self.flows[f].ended = true;
        self.finish(f, false, why);
        if counts {
            self.fault(Metric::Broken, Some(id), text);
        }
    }

    /// Handles a packet that reached a caller.
    pub(crate) fn receive(&mut self, packet: Packet) -> Option<()> {
        let (id, kind, part) = (packet.flow, packet.kind, packet.part);
        self.note(Some(id), || format!("caller gets {}", show(&packet)));
        if kind == PacketKind::Refused {
            self.refused.push((id, packet.request, packet.attempt));
        }
        if kind == PacketKind::Answer && packet.payload != stamp(id, packet.request, part) {
            self.fault(
                Metric::WrongAnswers,
                Some(id),
                format!("part {part} of another"),
            );
            return None;
        }
        let f = *self.flow_index.get(&id)?;
        let flow = &mut self.flows[f];
        if kind == PacketKind::Reset && !flow.ended {
            self.break_flow(f, &format!("reset {:?}", packet.reason));
            return None;
        }
        let current = packet.request == flow.packet.request && !flow.ended;
        let call = flow.call.as_mut().filter(|_| current)?;
        call.replied = true;
        if kind == PacketKind::Answer {
            flow.established = true;
            call.ahead.insert(part);
            while call.ahead.remove(&call.next) {
                call.next += 1;
            }
            let (whole, ends) = (call.next == call.parts, part + 1 == call.parts);
            if packet.last != ends {
                self.fault(Metric::WrongAnswers, Some(id), format!("part {part} ends"));
            }
            if whole {
                self.finish(f, true, "");
            }
        } else if packet.attempt == flow.packet.attempt {
            call.again = kind == PacketKind::Refused || packet.idempotent;
            let forgotten = packet.reason == Some(Reason::UnknownFlow) && flow.established;
            let (next, how) = (packet.attempt + 1, format!("{kind} {:?}", packet.reason));
            if call.next > 0 || forgotten {
                self.break_flow(f, &how);
            } else if call.again && next < ATTEMPTS {
                let timer = Timer::Repeat(packet.request, next);
                self.send(BACKOFF, Message::Timer(f, timer));
            } else {
                self.finish(f, false, &how);
            }
        }
        None
    }
}
