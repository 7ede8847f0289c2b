//! Backend servers: the server's end of each flow, slots, and their entries in the store.

use std::collections::{
    HashMap,
    VecDeque, //
};
use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::segment::Tag;
use lovagespindle_platform_stand_in::documents::{
    ServerState,
    server, //
};

use super::clients::{
    Downlink,
    FlowKey,
    RESENDS,
    Stage,
    Uplink, //
};
use super::machines::{
    MachineKey,
    zone_name, //
};
use super::measure::Loss;
use super::network::Gap;
use super::world::{
    Event,
    World, //
};

/// The second byte of the addresses of the first zone's backend servers.
pub(super) const FIRST_NETWORK: usize = 100;
/// How long a handshake takes a server.
const HANDSHAKE: Duration = Duration::from_micros(300);
/// How many requests wait for a slot at most.
const QUEUE: usize = 16;
/// How long a server is cold, and how much slower it is then.
const COLD: (Duration, f64) = (Duration::from_secs(2), 1.6);
/// The time between two writes of its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The entry of a server that is silent for this long lapses.
const SILENCE: Duration = Duration::from_millis(3_600);
/// Packets that are in flight at once, and so the size of a part of an answer.
const WINDOW: u32 = 16;
/// How often a part of an answer is sent again at most.
const RESENDINGS: u32 = 8;

/// Names a life of a backend server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct ServerKey(pub(super) usize);

/// What a server does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Condition {
    Up,
    /// Not listening: packets are answered by resets.
    Closed,
    /// Nothing is answered.
    Dark,
}

/// A packet at a backend server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Datagram {
    pub(super) flow: FlowKey,
    pub(super) uplink: Uplink,
    pub(super) identity: u64,
    pub(super) tag: Tag,
    /// The instance that sent it.
    pub(super) by: MachineKey,
}

/// The server's end of a flow.
struct End {
    tag: Tag,
    open: bool,
    /// How many requests came on the flow before the present one.
    turn: u32,
    /// The part of the answer that is being sent, once the work is done.
    round: Option<u32>,
    /// When the opening packet arrived, and through which instance.
    opening: (Time, MachineKey),
}

/// A life of a backend server.
pub(super) struct Server {
    pub(super) service: usize,
    pub(super) zone: usize,
    pub(super) address: SocketAddrV4,
    pub(super) identity: u64,
    pub(super) slots: u32,
    pub(super) condition: Condition,
    pub(super) warm: Time,
    /// When the store took its word that it drains.
    pub(super) drained: Option<Time>,
    /// When something was last done to it.
    pub(super) disturbed: Time,
    running: u32,
    queue: VecDeque<FlowKey>,
    ends: HashMap<FlowKey, End>,
    /// When its entry was last written; nothing if it has none.
    written: Option<Time>,
    /// Whether the next heartbeat says something new.
    pub(super) changed: bool,
    /// When cold requests arrived in the last second.
    pub(super) cold_openings: VecDeque<Time>,
    /// Flows that opened there.
    pub(super) taken: u64,
    /// Requests that came there since the last sample of the balance.
    pub(super) begun: u64,
}

impl Server {
    pub(super) fn is_up(&self) -> bool {
        self.condition == Condition::Up
    }

    /// Returns whether nothing was done to it since the instances started.
    pub(super) fn lived_all_day(&self) -> bool {
        self.is_up() && self.drained.is_none() && self.disturbed == Time::ZERO
    }

    /// Returns whether a flow can be opened there without breaking a promise.
    pub(super) fn takes_flows(&self, now: Time) -> bool {
        self.is_up() && self.drained.is_none() && now >= self.warm && self.queue.len() < QUEUE
    }

    /// Returns the requests and handshakes in progress.
    pub(super) fn load(&self) -> u32 {
        self.ends.values().filter(|end| end.round.is_none()).count() as u32
    }
}

impl World {
    /// Adds a backend server at an address of its own, or at that of another one.
    pub(super) fn add_server(
        &mut self,
        service: usize,
        zone: usize,
        cold: bool,
        address: Option<SocketAddrV4>,
    ) -> ServerKey {
        let key = ServerKey(self.servers.len());
        let (third, fourth) = ((key.0 / 250) as u8, (key.0 % 250) as u8 + 1);
        let own = Ipv4Addr::new(10, (FIRST_NETWORK + zone) as u8, third, fourth);
        let address = address.unwrap_or(SocketAddrV4::new(own, 8_080));
        let warm = if cold { self.now + COLD.0 } else { self.now };
        self.servers.push(Server {
            service,
            zone,
            address,
            identity: key.0 as u64 + 1,
            slots: self.site.services[service].slots,
            condition: Condition::Up,
            warm,
            drained: None,
            disturbed: self.now,
            running: 0,
            queue: VecDeque::new(),
            ends: HashMap::new(),
            written: None,
            changed: false,
            cold_openings: VecDeque::new(),
            taken: 0,
            begun: 0,
        });
        self.holders.insert(address, key);
        self.heartbeat(key);
        key
    }

    pub(super) fn holder(&self, address: SocketAddrV4) -> Option<ServerKey> {
        self.holders.get(&address).copied()
    }

    /// Writes the entry if it is due; the store may be away.
    pub(super) fn heartbeat(&mut self, key: ServerKey) {
        if !self.servers[key.0].is_up() {
            return;
        }
        self.send(HEARTBEAT, Event::Heartbeat(key));
        if !self.store_takes_writes() {
            return;
        }
        let now = self.now;
        let listed = self.servers[key.0].written.replace(now).is_some();
        if !listed || std::mem::replace(&mut self.servers[key.0].changed, false) {
            self.write_entry(key);
        }
        self.send(SILENCE, Event::Lapse(key, now));
    }

    fn write_entry(&mut self, key: ServerKey) {
        let server = &self.servers[key.0];
        let state = ServerState {
            service: &self.site.services[server.service].name,
            address: server.address,
            zone: &zone_name(server.zone),
            slots: server.slots,
            draining: server.drained.is_some(),
            warmup_left: server.warm.since(self.now),
            sequence: self.now.since_start().as_millis() as u64,
        };
        let written = self::server(server.identity, &state);
        // The remaining time changes until the server is warm.
        let cold = !state.warmup_left.is_zero();
        self.servers[key.0].changed |= cold;
        self.write(written);
    }

    fn remove_entry(&mut self, key: ServerKey) {
        let server = &mut self.servers[key.0];
        if server.written.take().is_some() {
            let identity = server.identity;
            self.write(lovagespindle_platform_stand_in::documents::delete_server(
                identity,
            ));
        }
    }

    pub(super) fn lapse(&mut self, key: ServerKey, since: Time) {
        if self.servers[key.0].written == Some(since) && self.store_takes_writes() {
            self.remove_entry(key);
        }
    }

    /// Lets all servers write their entries with the next heartbeat, as the store has lost some. Those
    /// of servers that are down lapse.
    pub(super) fn forget_entries(&mut self) {
        let now = self.now;
        for index in 0..self.servers.len() {
            let key = ServerKey(index);
            let server = &mut self.servers[index];
            if server.is_up() {
                server.written = None;
            } else {
                server.written = Some(now);
                self.send(SILENCE, Event::Lapse(key, now));
            }
        }
    }

    /// All entries lapse; servers write theirs with the next heartbeat.
    pub(super) fn lapse_all(&mut self) {
        for index in 0..self.servers.len() {
            self.remove_entry(ServerKey(index));
        }
    }

    /// Tells that a server drains. It ends after a while.
    pub(super) fn drain_server(&mut self, key: ServerKey, stay: Duration) {
        if self.servers[key.0].drained.is_some() || !self.servers[key.0].is_up() {
            return;
        }
        self.servers[key.0].drained = Some(self.now);
        self.servers[key.0].written = Some(self.now);
        self.write_entry(key);
        self.send(stay, Event::ServerEnd(key));
    }

    /// A drained server ends.
    pub(super) fn end_server(&mut self, key: ServerKey) {
        self.fail_server(key, Condition::Closed);
        self.remove_entry(key);
    }

    /// A server ends at once, with all of its flows.
    pub(super) fn fail_server(&mut self, key: ServerKey, condition: Condition) {
        if condition == Condition::Closed {
            self.end_kept(key);
        }
        let now = self.now;
        let server = &mut self.servers[key.0];
        server.condition = condition;
        server.disturbed = now;
        server.running = 0;
        server.queue.clear();
        server.ends.clear();
    }

    /// Tells clients that the flows that they keep to a server end.
    fn end_kept(&mut self, key: ServerKey) {
        let flows = self.servers[key.0].ends.keys().copied();
        let mut kept: Vec<FlowKey> = flows
            .filter(|flow| self.flows[flow.0].stage == Stage::Idle(key))
            .collect();
        kept.sort_by_key(|flow| flow.0);
        for flow in kept {
            self.reset(key, flow);
        }
    }

    pub(super) fn server_packet(&mut self, address: SocketAddrV4, datagram: Datagram) {
        let flow = datagram.flow;
        let Some(key) = self.holder(address) else {
            self.flows[flow.0].hint = Loss::Server;
            return;
        };
        let server = &self.servers[key.0];
        if server.identity != datagram.identity {
            self.flows[flow.0].hint = Loss::Server;
            return;
        }
        match server.condition {
            Condition::Up => {}
            Condition::Closed => return self.reset(key, flow),
            Condition::Dark => {
                self.flows[flow.0].hint = Loss::Server;
                return;
            }
        }
        self.judge_delivery(key, flow);
        match datagram.uplink {
            Uplink::Open { .. } => self.accept(key, datagram),
            Uplink::Request { server, turn, .. } => {
                self.take_request(key, (server, turn), datagram);
            }
            Uplink::Part { round, .. } => self.next_part(key, round, datagram),
            Uplink::Finish => drop(self.servers[key.0].ends.remove(&flow)),
        }
    }

    fn accept(&mut self, key: ServerKey, datagram: Datagram) {
        let (flow, now) = (datagram.flow, self.now);
        let server = &mut self.servers[key.0];
        if server.queue.len() >= QUEUE && !server.ends.contains_key(&flow) {
            self.flows[flow.0].hint = Loss::Full;
            return;
        }
        let new = !server.ends.contains_key(&flow);
        let end = server.ends.entry(flow).or_insert(End {
            tag: datagram.tag,
            open: false,
            turn: 0,
            round: None,
            opening: (now, datagram.by),
        });
        let tag = end.tag;
        self.measure.channels += u64::from(new);
        self.answer(key, flow, HANDSHAKE, Downlink::Accepted(key, tag));
    }

    fn take_request(
        &mut self,
        key: ServerKey,
        (meant, turn): (ServerKey, u32),
        datagram: Datagram,
    ) {
        let (flow, now) = (datagram.flow, self.now);
        let server = &mut self.servers[key.0];
        let Some(end) = server.ends.get_mut(&flow) else {
            return self.reset(key, flow);
        };
        if meant != key {
            return;
        }
        end.tag = datagram.tag;
        let first = !std::mem::replace(&mut end.open, true);
        if !first && turn <= end.turn {
            if let Some(round) = end.round.filter(|_| turn == end.turn) {
                self.send_part(key, flow, round, 0);
            }
            return;
        }
        end.turn = turn;
        end.round = None;
        server.begun += 1;
        let opening = end.opening;
        if first {
            self.flows[flow.0].opened = Some((key, now));
            self.judge_opening(key, flow, opening);
            self.servers[key.0].taken += 1;
        }
        let server = &mut self.servers[key.0];
        if self.flows[flow.0].request.is_none() {
            server.ends.remove(&flow);
            return;
        }
        if server.running < server.slots {
            server.running += 1;
            self.work(key, flow);
        } else if server.queue.len() < QUEUE {
            server.queue.push_back(flow);
        } else {
            server.ends.remove(&flow);
            self.answer(key, flow, HANDSHAKE, Downlink::Shed(key));
        }
    }

    fn work(&mut self, key: ServerKey, flow: FlowKey) {
        let Some(request) = self.flows[flow.0].request else {
            return;
        };
        let mean = self.site.classes[self.requests[request.0].class].work;
        let mut time = mean / 2 + self.noise.exponential(mean / 2);
        if self.now < self.servers[key.0].warm {
            time = time.mul_f64(COLD.1);
        }
        self.send(time, Event::Worked(key, flow));
    }

    pub(super) fn worked(&mut self, key: ServerKey, flow: FlowKey) {
        let server = &mut self.servers[key.0];
        if !server.is_up() {
            return;
        }
        match server.queue.pop_front() {
            Some(next) => self.work(key, next),
            None => server.running = server.running.saturating_sub(1),
        }
        let rounds = self.rounds(flow);
        if let Some(end) = self.servers[key.0].ends.get_mut(&flow) {
            let round = end.turn * rounds;
            end.round = Some(round);
            self.send_part(key, flow, round, 0);
        }
    }

    fn next_part(&mut self, key: ServerKey, round: u32, datagram: Datagram) {
        let flow = datagram.flow;
        let rounds = self.rounds(flow);
        let Some(end) = self.servers[key.0].ends.get_mut(&flow) else {
            // A client acknowledges the end of an answer whose flow is gone.
            return;
        };
        end.tag = datagram.tag;
        if end.round == Some(round) {
            end.round = Some(round + 1);
            if round + 1 < (end.turn + 1) * rounds {
                self.send_part(key, flow, round + 1, 0);
            }
        }
    }

    /// Returns how many parts the answer to a request of the flow has.
    pub(super) fn rounds(&self, flow: FlowKey) -> u32 {
        let request = self.flows[flow.0].request;
        let packets = request.map_or(1, |r| self.site.classes[self.requests[r.0].class].packets);
        packets.div_ceil(WINDOW)
    }

    fn send_part(&mut self, key: ServerKey, flow: FlowKey, round: u32, tries: u32) {
        let Some(end) = self.servers[key.0].ends.get(&flow) else {
            return;
        };
        let last = round + 1 == (end.turn + 1) * self.rounds(flow);
        let part = Downlink::Part(key, end.tag, round, last);
        self.answer(key, flow, Duration::ZERO, part);
        let wait = (RESENDS.0 * 2u32.pow(tries)).min(RESENDS.1);
        if tries < RESENDINGS {
            self.send(wait, Event::Resend(key, flow, round, tries + 1));
        }
    }

    /// Sends a part of an answer again that was not acknowledged.
    pub(super) fn resend(&mut self, key: ServerKey, flow: FlowKey, round: u32, tries: u32) {
        let server = &self.servers[key.0];
        let waits = server
            .ends
            .get(&flow)
            .is_some_and(|end| end.round == Some(round));
        if server.is_up() && waits {
            self.send_part(key, flow, round, tries);
        }
    }

    fn reset(&mut self, key: ServerKey, flow: FlowKey) {
        self.answer(key, flow, Duration::ZERO, Downlink::Reset);
    }

    fn answer(&mut self, key: ServerKey, flow: FlowKey, after: Duration, downlink: Downlink) {
        let (from, to) = (self.servers[key.0].zone, self.flows[flow.0].zone);
        match self.client_delay_from(from, to) {
            Ok(delay) => self.send(after + delay, Event::Downlink(flow, downlink)),
            Err(Gap::Lost | Gap::Cut) => self.flows[flow.0].hint = Loss::Packet,
        }
    }
}
