//! Measures the cost of the membership protocol: CPU time per tick and heartbeat, and traffic.
//!
//! Run `cargo bench -p lovagespindle-instances --bench control`.

#[path = "../../decisions/tests/net/mod.rs"]
mod net;

use std::error::Error;
use std::time::{
    Duration,
    Instant, //
};

use hdrhistogram::Histogram;
use lovagespindle_decisions::ids::{
    InstanceId,
    Revision,
    ZoneId, //
};
use lovagespindle_decisions::membership::{
    Context,
    Membership,
    MembershipSettings, //
};
use lovagespindle_decisions::peer::{
    LoadShare,
    MAX_UPDATES,
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use lovagespindle_decisions::{
    Action,
    Time, //
};
use lovagespindle_instances::frame::encode;
use net::Network;

type Failure = Box<dyn Error>;

/// Number of lease partners of an instance at the size expected after two years: with 100,000
/// backend servers on 19,000 instances, each instance is in the successions of 16 backend servers,
/// and each of these has two other members.
const PARTNERS: usize = 32;

/// Number of owned backend servers whose loads a heartbeat carries.
const OWNED: u32 = 5;

fn main() -> Result<(), Failure> {
    for (zones, members) in [(1, 8), (1, 200), (1, 1_055), (3, 8), (3, 200), (3, 1_057)] {
        bench_instance(zones, members)?;
    }
    for sizes in [&[8][..], &[200], &[1_055], &[8; 3], &[67; 3]] {
        bench_network(sizes);
    }
    Ok(())
}

/// Returns the size in bytes of a frame with its length prefix, without the headers of TCP and IP.
fn size(sender: InstanceId, message: &PeerMessage) -> usize {
    encode(sender, message).map_or(0, |frame| frame.len() + 4)
}

/// Prints the average traffic that an instance of a network sends per second of virtual time after
/// the memberships have converged.
fn bench_network(sizes: &[usize]) {
    let mut net = Network::new(sizes, 1);
    net.message_size = size;
    let count = net.nodes.len();
    for at in 0..count {
        let zone = net.nodes[at].member.zone;
        let peers = (1..count).map(|d| (at + d * 7 + 1) % count);
        let peers = peers.filter(|&m| m != at && net.nodes[m].member.zone == zone);
        let ids: Vec<_> = peers.take(PARTNERS).map(|m| net.id(m)).collect();
        net.with_membership(at, |m, _, _| m.set_partners(&ids));
    }
    let mut seconds_run = 0;
    while !net.converged() && seconds_run < 30 {
        net.run(1_000);
        seconds_run += 1;
    }
    // Membership updates still spread for about 20 s after convergence.
    net.run(20_000);
    let total = |net: &Network| {
        let sums = net.nodes.iter().map(|n| (n.sent, n.bytes));
        sums.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    };
    let before = total(&net);
    let seconds = 3;
    net.run(seconds * 1_000);
    let after = total(&net);
    let mean = |n: u64| n as f64 / count as f64 / seconds as f64;
    let (messages, bytes) = (mean(after.0 - before.0), mean(after.1 - before.1));
    let converged = net.converged();
    println!(
        "network of {sizes:?}: {messages:.1} messages/s and {bytes:.0} bytes/s sent by each \
         (ran for {seconds_run} s to converge, converged: {converged})"
    );
}

/// A membership whose simulated peers all reply.
struct SingleInstance {
    me: Membership,
    /// One membership for each zone. It computes the replies of all members of the zone, with the
    /// digest on which they agree.
    mirrors: Vec<Membership>,
    members: Vec<Member>,
    ticks: Histogram<u64>,
    heartbeats: Histogram<u64>,
    acks: Histogram<u64>,
    sent: u64,
    bytes: u64,
}

/// Prints the CPU time of ticks and heartbeats of one instance, and the traffic that it sends.
fn bench_instance(zones: usize, members: usize) -> Result<(), Failure> {
    let mut instance = SingleInstance::new(zones, members)?;
    // The updates of all members are disseminated by then.
    instance.run(0, 60_000)?;
    instance.ticks.reset();
    instance.heartbeats.reset();
    instance.acks.reset();
    (instance.sent, instance.bytes) = (0, 0);
    instance.run(60_000, 80_000)?;
    println!("{zones} zones of {members}:");
    print_times("tick", &instance.ticks);
    print_times("heartbeat and its acknowledgement", &instance.heartbeats);
    print_times("received acknowledgement", &instance.acks);
    let busy: f64 = [&instance.ticks, &instance.heartbeats, &instance.acks]
        .iter()
        .map(|h| h.mean() * h.len() as f64)
        .sum();
    println!(
        "  {:.1} messages/s and {:.0} bytes/s sent, {:.3} % of a core",
        instance.sent as f64 / 20.0,
        instance.bytes as f64 / 20.0,
        busy / 20e9 * 100.0
    );
    Ok(())
}

fn print_times(what: &str, times: &Histogram<u64>) {
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    let (mean, samples) = (times.mean(), times.len());
    println!("  {what}: p50 {p50} ns, p99 {p99} ns, mean {mean:.0} ns ({samples} samples)");
}

fn member(at: usize, zone: usize) -> Member {
    let [_, a, b, c] = (at as u32).to_be_bytes();
    Member {
        id: InstanceId((at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: ZoneId(zone as u32 + 1),
        control: ([127, a, b, c], 7001).into(),
        relay: ([127, a, b, c], 7002).into(),
    }
}

fn live(member: Member) -> MemberUpdate {
    MemberUpdate {
        member,
        state: MemberState::Live,
        incarnation: 0,
    }
}

/// Creates the membership of `member`, which knows all `members`.
fn membership(member: Member, members: &[Member], zones: usize) -> Membership {
    let mut me = Membership::new(live(member), MembershipSettings::default(), 1);
    let ids: Vec<_> = (1..=zones as u32).map(ZoneId).collect();
    me.set_zones(&ids);
    let context = Context::default();
    for part in members.chunks(MAX_UPDATES) {
        let message = PeerMessage::Heartbeat {
            sender: live(part[0]),
            sequence: 1,
            revision: Revision(0),
            digest: 0,
            updates: part.iter().copied().map(live).collect(),
            loads: Default::default(),
        };
        me.handle(Time::ZERO, part[0].id, &message, &context, &mut Vec::new());
    }
    me
}

impl SingleInstance {
    fn new(zones: usize, members: usize) -> Result<SingleInstance, Failure> {
        let all: Vec<_> = (0..zones * members)
            .map(|at| member(at, at % zones))
            .collect();
        let mut me = membership(all[0], &all[1..], zones);
        let peers = all.iter().filter(|m| m.zone == all[0].zone).skip(1);
        let step = (members / PARTNERS).max(1);
        let partners: Vec<_> = peers.step_by(step).take(PARTNERS).map(|m| m.id).collect();
        me.set_partners(&partners);
        let mirrors = (0..zones).map(|zone| membership(all[zone], &all, zones));
        Ok(SingleInstance {
            me,
            mirrors: mirrors.collect(),
            ticks: Histogram::new(3)?,
            heartbeats: Histogram::new(3)?,
            acks: Histogram::new(3)?,
            sent: 0,
            bytes: 0,
            members: all,
        })
    }

    /// Simulates the time from `from` to `to`, in milliseconds.
    fn run(&mut self, from: u64, to: u64) -> Result<(), Failure> {
        let loads: Vec<_> = (0..OWNED)
            .map(|id| LoadShare {
                backend_server: lovagespindle_decisions::ids::BackendServerId(id),
                used: 128,
                limit: 4,
                boot: 0x9e37_79b9,
            })
            .collect();
        let context = Context {
            revision: Revision(0),
            loads: &loads,
        };
        for millis in from..to {
            let now = Time::from_millis(millis);
            if self.me.deadline().is_none_or(|deadline| deadline > now) {
                continue;
            }
            let mut out = Vec::new();
            let start = Instant::now();
            self.me.tick(now, &context, &mut out);
            record(&mut self.ticks, start.elapsed())?;
            self.answer(now + Duration::from_micros(500), &context, out)?;
        }
        Ok(())
    }

    /// Delivers the peers' acknowledgements of all heartbeats that were sent, and a heartbeat of
    /// each of these peers.
    fn answer(
        &mut self,
        now: Time,
        context: &Context<'_>,
        out: Vec<Action>,
    ) -> Result<(), Failure> {
        for action in out {
            let Action::SendPeer { to, message, .. } = action else {
                continue;
            };
            self.count(&message);
            if !matches!(*message, PeerMessage::Heartbeat { .. }) {
                continue;
            }
            let Some(ack) = self.mirror_reply(now, to, &message) else {
                continue;
            };
            let start = Instant::now();
            self.me.handle(now, to, &ack, context, &mut Vec::new());
            record(&mut self.acks, start.elapsed())?;
            let Some(heartbeat) = heartbeat_from(&ack) else {
                continue;
            };
            let mut out = Vec::new();
            let start = Instant::now();
            self.me.handle(now, to, &heartbeat, context, &mut out);
            record(&mut self.heartbeats, start.elapsed())?;
            for action in &out {
                if let Action::SendPeer { message, .. } = action {
                    self.count(message);
                }
            }
        }
        Ok(())
    }

    fn count(&mut self, message: &PeerMessage) {
        self.sent += 1;
        self.bytes += size(self.members[0].id, message) as u64;
    }

    /// Returns the acknowledgement of the member `to`, computed by the mirror of its zone.
    fn mirror_reply(
        &mut self,
        now: Time,
        to: InstanceId,
        message: &PeerMessage,
    ) -> Option<PeerMessage> {
        let peer = *self.members.iter().find(|m| m.id == to)?;
        let mirror = &mut self.mirrors[peer.zone.0 as usize - 1];
        let mut out = Vec::new();
        let from = self.members[0].id;
        mirror.handle(now, from, message, &Context::default(), &mut out);
        out.into_iter().find_map(|action| match action {
            Action::SendPeer { message, .. } => match *message {
                PeerMessage::HeartbeatAck {
                    sequence,
                    digest,
                    updates,
                    revision,
                    ..
                } => Some(PeerMessage::HeartbeatAck {
                    sender: live(peer),
                    sequence,
                    revision,
                    digest,
                    updates,
                }),
                _ => None,
            },
            _ => None,
        })
    }
}

/// Returns a heartbeat of the member that sent the acknowledgement.
fn heartbeat_from(ack: &PeerMessage) -> Option<PeerMessage> {
    let PeerMessage::HeartbeatAck {
        sender,
        sequence,
        revision,
        digest,
        ..
    } = ack
    else {
        return None;
    };
    Some(PeerMessage::Heartbeat {
        sender: *sender,
        sequence: *sequence,
        revision: *revision,
        digest: *digest,
        updates: Default::default(),
        loads: Default::default(),
    })
}

fn record(times: &mut Histogram<u64>, elapsed: Duration) -> Result<(), Failure> {
    Ok(times.record(elapsed.as_nanos() as u64)?)
}
