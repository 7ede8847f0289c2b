//! Measures packet decisions at growing numbers of flows.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_decisions::ids::{
    FlowId,
    RequestId,
    ServiceId, //
};
use lovagespindle_decisions::packet::{
    Packet,
    PacketKind,
    Purpose,
    Relay,
    Route, //
};
use lovagespindle_decisions::rendezvous::mix;
use lovagespindle_decisions::{
    Action,
    Event,
    Instance,
    Time, //
};
use rand_core::{
    RngCore,
    SeedableRng, //
};
use rand_pcg::Pcg32;

use crate::measure::{
    Times,
    resident_bytes, //
};
use crate::site::{
    self,
    Shape, //
};

/// Number of packets in a measurement, so that the cost of reading the clock is negligible.
const BATCH: usize = 64;

/// Number of measured batches of each kind.
const BATCHES: usize = 2_000;

/// Zones, services and backend servers of today's sites; enough to distribute the flows.
const SHAPE: Shape = Shape {
    zones: 1,
    services: 10,
    servers: 120,
};

struct Bench {
    instance: Instance,
    services: Vec<(ServiceId, std::net::SocketAddr)>,
    now: Time,
    /// Number of flows opened so far; flow `n` has the identifier `flow_id(n)`.
    opened: u64,
    /// The numbers of the flows that the measured instance hosts, each with its backend server.
    hosted: Vec<(u64, lovagespindle_decisions::ids::BackendServerId)>,
    /// Increases with each batch, so that no request is a retry of a finished one.
    request: u64,
    rng: Pcg32,
    out: Vec<Action>,
}

pub(crate) fn run() -> Result<(), Box<dyn Error>> {
    // Kept until the end, because memory that an earlier one frees would hide the growth of a
    // later one.
    let mut benches = Vec::new();
    for flows in [10_000, 100_000, 1_000_000] {
        let mut bench = Bench::new()?;
        let before = resident_bytes()?;
        bench.fill(flows);
        let growth = resident_bytes()? - before;
        // The list of hosted flows belongs to the benchmark, not to the instance.
        let list_bytes = bench.hosted.len() as u64 * 16;
        println!(
            "flows {flows}: {:.1} bytes per flow",
            (growth - list_bytes) as f64 / flows as f64
        );
        bench.warmup();
        bench.measure(flows)?;
        benches.push(bench);
    }
    Ok(())
}

fn flow_id(n: u64) -> FlowId {
    FlowId((u128::from(mix(n, 1)) << 64) | u128::from(mix(n, 2)))
}

impl Bench {
    fn new() -> Result<Bench, Box<dyn Error>> {
        let configuration = site::configure(&SHAPE)?;
        let services: Vec<_> = configuration
            .services
            .values()
            .map(|service| (service.id, service.address))
            .collect();
        let others = [site::member(1, 0)];
        let mut instance = site::instance(Time::ZERO, &others, configuration);
        let mut now = Time::ZERO;
        // The instance owns backend servers after the takeover delay, once its lease is granted.
        for millis in (0..3_000).step_by(100) {
            now = Time::from_millis(millis);
            site::tick(&mut instance, now, &others);
        }
        Ok(Bench {
            instance,
            services,
            now,
            opened: 0,
            hosted: Vec::new(),
            request: 1,
            rng: Pcg32::seed_from_u64(7),
            out: Vec::new(),
        })
    }

    fn packet(&self, n: u64, kind: PacketKind, request: u64) -> Packet {
        let (service, address) = self.services[(n % self.services.len() as u64) as usize];
        let [.., a, b, c] = n.to_be_bytes();
        Packet {
            service,
            flow: flow_id(n),
            kind,
            request: RequestId(request),
            attempt: 0,
            idempotent: true,
            deadline: None,
            part: 0,
            last: kind == PacketKind::Answer,
            reason: None,
            route: Route {
                caller: ([10, a, b, c], 5000).into(),
                address,
                unique_id: u128::from(n),
            },
            payload: Bytes::from_static(b"view ticket"),
        }
    }

    /// Opens flows until the instance hosts `flows` of them.
    fn fill(&mut self, flows: usize) {
        self.hosted.reserve_exact(flows);
        while self.hosted.len() < flows {
            let n = self.opened;
            self.opened += 1;
            let event = Event::CallerPacket(self.packet(n, PacketKind::Open, 1));
            self.instance.handle(self.now, event, &mut self.out);
            self.record_hosted(n);
        }
    }

    /// Answers the request that was sent to a backend server for a flow, and records the flow as
    /// hosted.
    fn record_hosted(&mut self, n: u64) {
        let sent = self.out.iter().find_map(|action| match action {
            Action::SendServer { backend_server, .. } => Some(*backend_server),
            _ => None,
        });
        self.out.clear();
        let Some(backend_server) = sent else {
            return;
        };
        self.hosted.push((n, backend_server));
        let event = Event::ServerPacket {
            backend_server,
            packet: self.packet(n, PacketKind::Answer, 1),
        };
        self.instance.handle(self.now, event, &mut self.out);
        self.out.clear();
    }

    /// Answers requests until the backend servers have the capacity for whole batches.
    fn warmup(&mut self) {
        for round in 0..8 {
            for _ in 0..4 << round {
                self.request += 1;
                let chosen = self.choose_flows();
                let requests = self.relayed_packets(&chosen, PacketKind::Request);
                for event in requests.into_iter().chain(self.server_answers(&chosen)) {
                    self.instance.handle(self.now, event, &mut self.out);
                }
                self.out.clear();
            }
            for _ in 0..11 {
                self.now = self.now + Duration::from_millis(100);
                site::tick(&mut self.instance, self.now, &[site::member(1, 0)]);
            }
        }
    }

    fn measure(&mut self, flows: usize) -> Result<(), Box<dyn Error>> {
        let names = [
            "entry instance relays data",
            "owner handles data",
            "owner handles a request",
            "owner handles an answer",
        ];
        let mut times = [Times::new()?, Times::new()?, Times::new()?, Times::new()?];
        let mut sent = 0;
        for _ in 0..BATCHES {
            let batch = self.foreign_data();
            self.time(&mut times[0], batch)?;
            self.request += 1;
            let chosen = self.choose_flows();
            let batch = self.relayed_packets(&chosen, PacketKind::Data);
            self.time(&mut times[1], batch)?;
            let batch = self.relayed_packets(&chosen, PacketKind::Request);
            sent += self.time(&mut times[2], batch)?;
            let batch = self.server_answers(&chosen);
            self.time(&mut times[3], batch)?;
        }
        for (name, times) in names.iter().zip(&times) {
            times.print(&format!("flows {flows}: {name}"));
        }
        let percentage = sent as f64 / (BATCHES * BATCH) as f64 * 100.0;
        println!("flows {flows}: {percentage:.1} % of the requests were sent immediately");
        self.measure_opens(flows)?;
        self.measure_maintenance(flows)
    }

    /// Measures a batch and returns the number of packets that were sent to backend servers.
    fn time(&mut self, times: &mut Times, batch: Vec<Event>) -> Result<usize, Box<dyn Error>> {
        let steps = batch.len();
        times.time(steps, || {
            for event in batch {
                self.instance.handle(self.now, event, &mut self.out);
            }
        })?;
        let to_server = |action: &&Action| matches!(action, Action::SendServer { .. });
        let sent = self.out.iter().filter(to_server).count();
        self.out.clear();
        Ok(sent)
    }

    /// Returns data packets of flows that the other instance owns.
    fn foreign_data(&mut self) -> Vec<Event> {
        let mut batch = Vec::with_capacity(BATCH);
        while batch.len() < BATCH {
            let n = u64::from(self.rng.next_u32()) | 1 << 40;
            let event = Event::CallerPacket(self.packet(n, PacketKind::Data, 0));
            self.instance.handle(self.now, event.clone(), &mut self.out);
            let relayed = matches!(self.out.last(), Some(Action::Relay { .. }));
            self.out.clear();
            if relayed {
                batch.push(event);
            }
        }
        batch
    }

    /// Returns the indexes of random hosted flows.
    fn choose_flows(&mut self) -> Vec<usize> {
        let count = self.hosted.len() as u64;
        let rng = &mut self.rng;
        let chosen = (0..BATCH).map(|_| (u64::from(rng.next_u32()) * count) >> 32);
        chosen.map(|index| index as usize).collect()
    }

    fn relayed_packets(&self, chosen: &[usize], kind: PacketKind) -> Vec<Event> {
        let event = |index: &usize| {
            let (n, backend_server) = self.hosted[*index];
            Event::RelayedPacket {
                relay: Relay {
                    purpose: Purpose::Find,
                    hops: 1,
                    candidate: 0,
                    table: 0,
                    backend_server,
                    possibly_executed: false,
                },
                packet: self.packet(n, kind, self.request),
            }
        };
        chosen.iter().map(event).collect()
    }

    fn server_answers(&self, chosen: &[usize]) -> Vec<Event> {
        let event = |index: &usize| {
            let (n, backend_server) = self.hosted[*index];
            Event::ServerPacket {
                backend_server,
                packet: self.packet(n, PacketKind::Answer, self.request),
            }
        };
        chosen.iter().map(event).collect()
    }

    /// Measures the opening of new flows; the instance hosts one half of them and relays the other.
    fn measure_opens(&mut self, flows: usize) -> Result<(), Box<dyn Error>> {
        let mut times = Times::new()?;
        for _ in 0..BATCHES.min(flows / BATCH / 10) {
            let first = self.opened;
            self.opened += BATCH as u64;
            let events: Vec<_> = (first..self.opened)
                .map(|n| Event::CallerPacket(self.packet(n, PacketKind::Open, 1)))
                .collect();
            times.time(BATCH, || {
                for event in events {
                    self.instance.handle(self.now, event, &mut self.out);
                }
            })?;
            for action in std::mem::take(&mut self.out) {
                if let Action::SendServer {
                    backend_server,
                    mut packet,
                    ..
                } = action
                {
                    packet.kind = PacketKind::Answer;
                    packet.last = true;
                    let event = Event::ServerPacket {
                        backend_server,
                        packet,
                    };
                    self.instance.handle(self.now, event, &mut self.out);
                }
            }
            self.out.clear();
        }
        times.print(&format!("flows {flows}: open a new flow"));
        Ok(())
    }

    /// Measures a maintenance pass, during which no packet is handled.
    fn measure_maintenance(&mut self, flows: usize) -> Result<(), Box<dyn Error>> {
        let mut times = Times::new()?;
        for _ in 0..10 {
            self.now = self.now + Duration::from_secs(2);
            times.time(1, || {
                self.instance.handle(self.now, Event::Tick, &mut self.out);
            })?;
            self.out.clear();
        }
        times.print(&format!(
            "flows {flows}: tick with a maintenance pass over all flows"
        ));
        Ok(())
    }
}
