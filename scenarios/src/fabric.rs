//! Paths between callers, instances and backend servers.

use crate::measure;
use crate::platform::Call;
use crate::prelude::*;

/// How long the fabric takes to notice that an instance is leaving or gone.
const NOTICE: Duration = Duration::from_secs(1);

/// How long TCP takes to send a lost segment again, and an endpoint to be found unreachable.
const RETRANSMIT: Duration = Duration::from_millis(200);

/// How often an owner polls a backend server.
const POLL: Duration = Duration::from_millis(500);

impl World {
    /// Carries out what an instance wants.
    pub(crate) fn act(&mut self, n: usize, action: Action) {
        match action {
            Action::SendCaller(packet) => {
                let path = self.travel(Reach::Callers);
                self.send_on(path, Message::Caller(packet));
            }
            Action::SendServer {
                backend_server,
                packet,
                ..
            } => self.send_server(n, backend_server, packet),
            Action::Relay {
                to, relay, packet, ..
            } => {
                if let Some(m) = self.node_index(to) {
                    let path = self.path(self.nodes[n].zone, self.nodes[m].zone);
                    self.send_on(
                        path,
                        Message::Node(m, Event::RelayedPacket { relay, packet }),
                    );
                }
            }
            Action::SendPeer { to, message, .. } => self.send_peer(n, to, message),
            Action::Reconnect { to, .. } => {
                let m = self.node_index(to).unwrap_or(n);
                self.hushed
                    .retain(|pair| *pair != (n, m) && *pair != (m, n));
            }
            Action::StartPolling { backend_server, .. } => {
                if self.nodes[n].polls.insert(backend_server) {
                    self.send(Duration::ZERO, Message::Poll(n, backend_server));
                }
            }
            Action::StopPolling { backend_server } => {
                self.nodes[n].polls.remove(&backend_server);
            }
            Action::Watch(on) => self.watch(n, on),
            Action::ReadStore { after } => self.call_store(n, Call::Read(after)),
            Action::ReadRegistry => self.call_store(n, Call::List),
            Action::Register(listed) => {
                self.call_store(n, Call::Enlist(listed.member.id, Some(listed)));
            }
            Action::Deregister(id) => self.call_store(n, Call::Enlist(id, None)),
            Action::AppendTimeline(_) => {}
            Action::Stop => self.end(n, State::Gone),
        }
    }

    fn send_on(&mut self, path: Option<Duration>, message: Message) {
        if let Some(delay) = path {
            self.send(delay, message);
        }
    }

    /// Sends a caller's packet to a random instance that the fabric takes for alive.
    pub(crate) fn spray(&mut self, packet: Packet) {
        let recent = |at: Option<Time>| at.is_none_or(|at| self.now.since(at) < NOTICE);
        let believed = |n: &usize| recent(self.nodes[*n].leaving) && recent(self.nodes[*n].gone);
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(believed).collect();
        let draw = self.noise.bits() as usize % nodes.len().max(1);
        if let Some(n) = nodes.get(draw) {
            let path = self.travel(Reach::Callers);
            self.send_on(path, Message::Node(*n, Event::CallerPacket(packet)));
        }
    }

    fn send_server(&mut self, n: usize, id: BackendServerId, packet: Packet) {
        let Some(s) = self.server_index(id) else {
            return;
        };
        let (now, zone, measures) = (self.now, self.servers[s].zone, &mut self.measures);
        if let Some(out) = self.platform.zones_out.get(&zone) {
            measures.zone_silent = measures.zone_silent.max(now.since(*out));
        }
        let drained = self.platform.drained.get(&s);
        if let Some(since) = drained.filter(|_| packet.kind.starts_request()) {
            measures.drained = measures.drained.max(now.since(*since));
        }
        let path = self.path(self.nodes[n].zone, zone);
        self.send_on(path, Message::Server(s, n, packet));
    }

    /// Sends a packet of a backend server to the instance that spoke to it last.
    pub(crate) fn send_back(&mut self, s: usize, n: usize, packet: Packet) {
        let path = self.path(self.servers[s].zone, self.nodes[n].zone);
        let backend_server = self.servers[s].id;
        let event = Event::ServerPacket {
            backend_server,
            packet,
        };
        self.send_on(path, Message::Node(n, event));
    }

    fn send_peer(&mut self, n: usize, to: InstanceId, message: Box<PeerMessage>) {
        self.nodes[n].bytes += measure::size(&message);
        let Some(m) = self.node_index(to) else {
            return;
        };
        let (a, b) = (self.nodes[n].zone, self.nodes[m].zone);
        if self.hushed.contains(&(n, m)) || self.is_cut(a, b) {
            return;
        }
        let mut delay = Duration::ZERO;
        while self.path(a, b).map(|path| delay += path).is_none() {
            delay += RETRANSMIT;
        }
        let last = self.order.entry((n, m)).or_default();
        *last = (self.now + delay).max(*last);
        let (wait, from) = (last.since(self.now), self.nodes[n].member.id);
        self.send(wait, Message::Node(m, Event::PeerMessage { from, message }));
    }

    /// Returns the delay of one packet between two zones, or none if it is lost.
    fn path(&mut self, a: usize, b: usize) -> Option<Duration> {
        let reach = if a == b { Reach::Local } else { Reach::Zones };
        let open = !self.is_cut(a, b);
        open.then(|| self.travel(reach)).flatten()
    }

    /// Polls health and load once and plans the next poll.
    pub(crate) fn poll(&mut self, n: usize, id: BackendServerId) {
        let (node, server) = (&self.nodes[n], self.server_index(id));
        let (zone, state) = (node.zone, node.state);
        let Some(s) = server.filter(|_| state != State::Gone && node.polls.contains(&id)) else {
            return;
        };
        self.send(POLL, Message::Poll(n, id));
        if state == State::Frozen {
            return;
        }
        let (path, report) = (self.path(zone, self.servers[s].zone), self.report(s));
        let health = |health| Event::Health {
            backend_server: id,
            health,
        };
        let (Some(delay), Some((said, report))) = (path, report) else {
            let event = health(Health::Unreachable);
            return self.send(RETRANSMIT, Message::Node(n, event));
        };
        self.send(2 * delay, Message::Node(n, health(said)));
        let backend_server = id;
        let event = Event::Load {
            backend_server,
            report,
        };
        self.send(2 * delay, Message::Node(n, event));
    }
}
