//! Backend servers.

use std::collections::VecDeque;

use crate::prelude::*;

/// How long a backend server is down after it got more than its warm-up allows.
const FALL: Duration = Duration::from_secs(3);

/// The most parts that are sent again for one packet of the caller.
const RESEND: u32 = 32;

/// A flow at a backend server, with the request that started last.
struct Held {
    /// The instance that sent the flow's latest packet.
    peer: usize,
    silent: bool,
    request: Packet,
    run: u64,
    /// Parts of the answer that are ready, and their number in the end.
    ready: u32,
    parts: u32,
}

/// A backend server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) id: BackendServerId,
    pub(crate) name: String,
    pub(crate) service: ServiceId,
    pub(crate) zone: usize,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// Rises with each start.
    boot: u64,
    /// When it is up again.
    up: Time,
    /// Whether it started only lately.
    pub(crate) cold: bool,
    /// How long it has had work since it started.
    busy: Duration,
    flows: FxHashMap<FlowId, Held>,
    /// The flow of each request in progress.
    runs: FxHashMap<u64, FlowId>,
    /// Sum of running requests over time, in seconds, and when it was last brought up to date.
    pub(crate) area: f64,
    since: Time,
    /// Requests that it ran.
    pub(crate) served: u64,
    /// Whether the scenario did something to it, so that its load cannot be compared.
    pub(crate) touched: bool,
    /// Share of requests that it refuses.
    pub(crate) shed: f64,
    /// Whether it reports no load, and whether it reports bad health.
    pub(crate) idle: bool,
    pub(crate) sick: bool,
    /// How old its reports are.
    pub(crate) lag: Duration,
    /// How much later it sends each answer part a second time.
    pub(crate) late: Duration,
    reports: VecDeque<(Time, LoadReport)>,
}

impl Server {
    /// Creates a backend server that started long ago.
    pub(crate) fn new(name: &str, zone: usize, slots: u32, connections: u32) -> Server {
        let name = name.into();
        Server {
            name,
            zone,
            slots,
            connections,
            ..Server::default()
        }
    }

    /// Brings the sums over time up to date.
    pub(crate) fn advance(&mut self, now: Time) {
        let span = now.since(std::mem::replace(&mut self.since, now));
        self.area += span.as_secs_f64() * self.runs.len() as f64;
        if !self.runs.is_empty() {
            self.busy += span;
        }
    }

    /// Returns how many requests it bears at once: one after a restart, twice as many with each
    /// second of work.
    fn bound(&self) -> u32 {
        let doublings = self.busy.as_secs().min(16) as u32;
        let most = if self.cold { 1 << doublings } else { u32::MAX };
        self.slots.min(most)
    }

    /// Stops answering on the open flows.
    pub(crate) fn silence(&mut self) {
        self.flows.values_mut().for_each(|held| held.silent = true);
    }
}

/// What a request wants: delay to the first part, number of parts, time between them.
pub(crate) fn ask(work: Duration, parts: u32, every: Duration) -> Bytes {
    let numbers = [work.as_micros() as u32, parts, every.as_micros() as u32];
    numbers.iter().flat_map(|n| n.to_be_bytes()).collect()
}

/// The content of an answer part, so that the caller can tell whose it is.
pub(crate) fn stamp(flow: FlowId, request: RequestId, part: u32) -> Bytes {
    let (flow, request) = (flow.0.to_be_bytes(), request.0.to_be_bytes());
    [&flow[..], &request, &part.to_be_bytes()].concat().into()
}

impl World {
    /// Handles a packet that reached a backend server.
    pub(crate) fn serve(&mut self, s: usize, from: usize, packet: Packet) {
        let (now, server) = (self.now, &mut self.servers[s]);
        if now < server.up {
            return;
        }
        server.advance(now);
        let known = server.flows.get_mut(&packet.flow);
        let silent = known.is_some_and(|held| {
            held.peer = from;
            held.silent
        });
        if packet.service != server.service {
            let text = format!("{} at {}", packet.kind, server.name);
            return self.fault(Metric::Misrouted, Some(packet.flow), text);
        }
        match packet.kind {
            _ if silent => {}
            PacketKind::Open | PacketKind::Request => self.admit(s, from, packet),
            PacketKind::Data => self.resend(s, from, packet),
            PacketKind::Cancel => {
                let held = server.flows.get(&packet.flow);
                if let Some(held) = held.filter(|held| held.request.request == packet.request) {
                    server.runs.remove(&held.run);
                }
            }
            PacketKind::Close => {
                server.flows.remove(&packet.flow);
                server.runs.retain(|_, flow| *flow != packet.flow);
            }
            _ => {}
        }
    }

    fn admit(&mut self, s: usize, from: usize, packet: Packet) {
        let server = &self.servers[s];
        let held = server.flows.get(&packet.flow);
        let running = held.is_some_and(|held| server.runs.contains_key(&held.run));
        if running && packet.idempotent && held.is_some_and(|h| h.request.request == packet.request)
        {
            return; // A repeated datagram of a request in progress starts nothing.
        }
        let (bound, running) = (server.bound(), server.runs.len() as u32);
        let known = server.flows.contains_key(&packet.flow);
        let refusal = if packet.kind == PacketKind::Request && !known {
            Some(Reason::UnknownFlow)
        } else if running >= bound {
            let text = format!("{} runs {running} of {bound}", server.name);
            let fallen = bound < server.slots;
            self.fault(Metric::Overruns, Some(packet.flow), text);
            if fallen {
                return self.restart(s, FALL);
            }
            Some(Reason::Shed)
        } else if !known && server.flows.len() as u32 >= server.connections {
            Some(Reason::Overload)
        } else {
            self.noise.chance(server.shed).then_some(Reason::Shed)
        };
        match refusal {
            Some(why) => self.send_back(s, from, packet.reply(PacketKind::Refused, why)),
            None => self.execute(s, from, packet),
        }
    }

    fn execute(&mut self, s: usize, peer: usize, request: Packet) {
        let flow = request.flow;
        let attempts = self.executed.entry((flow, request.request)).or_default();
        attempts.push(request.attempt);
        if !request.idempotent && attempts.len() > 1 {
            let text = format!("r{} ran again at {}", request.request, self.servers[s].name);
            self.fault(Metric::Doubled, Some(flow), text);
        }
        if let Some(f) = self.flow_index.get(&flow) {
            self.flows[*f].server = Some(s);
        }
        let mut body = request.payload.clone();
        let (work, parts) = (Duration::from_micros(body.get_u32().into()), body.get_u32());
        let run = self.noise.bits();
        let held = Held {
            peer,
            silent: false,
            request,
            run,
            ready: 0,
            parts,
        };
        self.servers[s].served += 1;
        self.servers[s].flows.insert(flow, held);
        self.servers[s].runs.insert(run, flow);
        self.send(work, Message::Work(s, run));
    }

    /// Makes the next part of an answer and sends it.
    pub(crate) fn work(&mut self, s: usize, run: u64) -> Option<()> {
        let (now, server) = (self.now, &mut self.servers[s]);
        server.advance(now);
        let flow = server.runs.remove(&run)?;
        let held = server.flows.get_mut(&flow).filter(|held| held.run == run);
        let held = held.filter(|h| h.request.deadline.is_none_or(|end| now <= end))?;
        held.ready += 1;
        let part = held.ready - 1;
        if held.ready < held.parts {
            let every = (&held.request.payload[8..]).get_u32();
            server.runs.insert(run, flow);
            self.send(Duration::from_micros(every.into()), Message::Work(s, run));
        }
        self.send_part(s, flow, part)
    }

    fn send_part(&mut self, s: usize, flow: FlowId, part: u32) -> Option<()> {
        let server = &self.servers[s];
        let held = server.flows.get(&flow).filter(|held| !held.silent)?;
        let (peer, late, backend_server) = (held.peer, server.late, server.id);
        let packet = Packet {
            kind: PacketKind::Answer,
            part,
            last: part + 1 == held.parts,
            deadline: None,
            payload: stamp(flow, held.request.request, part),
            ..held.request.clone()
        };
        self.send_back(s, peer, packet.clone());
        if !late.is_zero() {
            let event = Event::ServerPacket {
                backend_server,
                packet,
            };
            self.send(late, Message::Node(peer, event));
        }
        None
    }

    /// Sends parts again that the caller says it misses.
    fn resend(&mut self, s: usize, from: usize, packet: Packet) {
        let Some(held) = self.servers[s].flows.get(&packet.flow) else {
            let reply = packet.reply(PacketKind::Reset, Reason::UnknownFlow);
            return self.send_back(s, from, reply);
        };
        let next = packet.payload.clone().try_get_u32().unwrap_or(u32::MAX);
        if held.request.request == packet.request {
            for part in next..held.ready.min(next.saturating_add(RESEND)) {
                self.send_part(s, packet.flow, part);
            }
        }
    }

    /// Returns what the health and load endpoints say, or none if they do not answer.
    pub(crate) fn report(&mut self, s: usize) -> Option<(Health, LoadReport)> {
        let (now, server) = (self.now, &mut self.servers[s]);
        let (runs, flows) = (server.runs.len() as u32, server.flows.len() as u32);
        let (requests, flows) = if server.idle { (0, 0) } else { (runs, flows) };
        let boot = server.boot;
        let report = LoadReport {
            requests,
            flows,
            boot,
        };
        server.reports.push_back((now, report));
        let old = now - server.lag;
        while server.reports.get(1).is_some_and(|(at, _)| *at <= old) {
            server.reports.pop_front();
        }
        let health = match server.sick {
            true => Health::NotServing,
            false => Health::Serving,
        };
        let report = server.reports.front().filter(|_| now >= server.up)?.1;
        Some((health, report))
    }

    /// Has a backend server lose everything and start again after a while.
    pub(crate) fn restart(&mut self, s: usize, down: Duration) {
        let (now, server) = (self.now, &mut self.servers[s]);
        server.advance(now);
        server.flows.clear();
        server.runs.clear();
        server.boot += 1;
        (server.up, server.cold, server.busy) = (now + down, true, Duration::ZERO);
    }

    /// Notes that the flows of a backend server may break through no fault of the system.
    pub(crate) fn excuse_flows(&mut self, s: usize) {
        self.servers[s].touched = true;
        for flow in self.servers[s].flows.keys() {
            if let Some(f) = self.flow_index.get(flow) {
                self.flows[*f].excused = true;
            }
        }
    }
}
