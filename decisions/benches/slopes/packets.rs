//! Packet decisions at rising numbers of flows.

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
    resident, //
};
use crate::site::{
    self,
    Shape, //
};

/// How many packets are timed together, so that reading the clock does not count.
const BATCH: usize = 64;

/// How many batches of each kind are timed.
const BATCHES: usize = 2_000;

/// Backend servers and services as on today's sites, enough to spread the flows.
const SHAPE: Shape = Shape {
    zones: 1,
    services: 10,
    servers: 120,
};

struct Bench {
    instance: Instance,
    services: Vec<(ServiceId, std::net::SocketAddr)>,
    now: Time,
    /// How many flows were tried; flow `n` has identifier `flow_id(n)`.
    tried: u64,
    /// The numbers of the flows that this instance hosts, each with its backend server.
    hosted: Vec<(u64, lovagespindle_decisions::ids::BackendServerId)>,
    /// Rises with each batch, so that no request repeats a finished one.
    request: u64,
    rng: Pcg32,
    out: Vec<Action>,
}

pub(crate) fn run() -> Result<(), Box<dyn Error>> {
    // Kept to the end, so that no memory of an earlier one is counted as free for a later one.
    let mut benches = Vec::new();
    for flows in [10_000, 100_000, 1_000_000] {
        let mut bench = Bench::new()?;
        let before = resident()?;
        bench.fill(flows);
        let grown = resident()? - before;
        // The list of hosted flows belongs to the measurement.
        let list = bench.hosted.len() as u64 * 16;
        println!(
            "flows {flows}: {:.1} bytes per flow",
            (grown - list) as f64 / flows as f64
        );
        bench.warm();
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
        // The takeover delay passes, and a lease is granted.
        for millis in (0..3_000).step_by(100) {
            now = Time::from_millis(millis);
            site::tick(&mut instance, now, &others);
        }
        Ok(Bench {
            instance,
            services,
            now,
            tried: 0,
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

    /// Opens flows until this instance hosts `flows` of them.
    fn fill(&mut self, flows: usize) {
        self.hosted.reserve_exact(flows);
        while self.hosted.len() < flows {
            let n = self.tried;
            self.tried += 1;
            let event = Event::CallerPacket(self.packet(n, PacketKind::Open, 1));
            self.instance.handle(self.now, event, &mut self.out);
            self.answer(n);
        }
    }

    /// Answers what was sent to a backend server for a flow, and notes the flow.
    fn answer(&mut self, n: u64) {
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

    /// Answers requests until the backend servers bear whole batches.
    fn warm(&mut self) {
        for round in 0..8 {
            for _ in 0..4 << round {
                self.request += 1;
                let chosen = self.choose();
                let requests = self.relayed(&chosen, PacketKind::Request);
                for event in requests.into_iter().chain(self.answers(&chosen)) {
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
            "entry relays data",
            "owner handles data",
            "owner handles a request",
            "owner handles its answer",
        ];
        let mut times = [Times::new()?, Times::new()?, Times::new()?, Times::new()?];
        let mut sent = 0;
        for _ in 0..BATCHES {
            let batch = self.foreign();
            self.time(&mut times[0], batch)?;
            self.request += 1;
            let chosen = self.choose();
            let batch = self.relayed(&chosen, PacketKind::Data);
            self.time(&mut times[1], batch)?;
            let batch = self.relayed(&chosen, PacketKind::Request);
            sent += self.time(&mut times[2], batch)?;
            let batch = self.answers(&chosen);
            self.time(&mut times[3], batch)?;
        }
        for (name, times) in names.iter().zip(&times) {
            times.print(&format!("flows {flows}: {name}"));
        }
        let share = sent as f64 / (BATCHES * BATCH) as f64 * 100.0;
        println!("flows {flows}: {share:.1} % of the requests were sent at once");
        self.measure_opens(flows)?;
        self.measure_sweep(flows)
    }

    /// Times a batch and returns how many packets went to backend servers.
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

    /// Returns data of flows that the other instance owns.
    fn foreign(&mut self) -> Vec<Event> {
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

    /// Chooses hosted flows at random.
    fn choose(&mut self) -> Vec<usize> {
        let count = self.hosted.len() as u64;
        let rng = &mut self.rng;
        let chosen = (0..BATCH).map(|_| (u64::from(rng.next_u32()) * count) >> 32);
        chosen.map(|at| at as usize).collect()
    }

    fn relayed(&self, chosen: &[usize], kind: PacketKind) -> Vec<Event> {
        let event = |at: &usize| {
            let (n, backend_server) = self.hosted[*at];
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

    fn answers(&self, chosen: &[usize]) -> Vec<Event> {
        let event = |at: &usize| {
            let (n, backend_server) = self.hosted[*at];
            Event::ServerPacket {
                backend_server,
                packet: self.packet(n, PacketKind::Answer, self.request),
            }
        };
        chosen.iter().map(event).collect()
    }

    /// Times the opening of new flows, of which this instance hosts a half and relays a half.
    fn measure_opens(&mut self, flows: usize) -> Result<(), Box<dyn Error>> {
        let mut times = Times::new()?;
        for _ in 0..BATCHES.min(flows / BATCH / 10) {
            let first = self.tried;
            self.tried += BATCH as u64;
            let events: Vec<_> = (first..self.tried)
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
        times.print(&format!("flows {flows}: opening of a new flow"));
        Ok(())
    }

    /// Times the upkeep, which holds up packets for as long.
    fn measure_sweep(&mut self, flows: usize) -> Result<(), Box<dyn Error>> {
        let mut times = Times::new()?;
        for _ in 0..10 {
            self.now = self.now + Duration::from_secs(2);
            times.time(1, || {
                self.instance.handle(self.now, Event::Tick, &mut self.out);
            })?;
            self.out.clear();
        }
        times.print(&format!("flows {flows}: tick with a sweep over all flows"));
        Ok(())
    }
}
