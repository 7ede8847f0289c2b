//! Builds configurations and instances for the benchmarks.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    MAX_CHANGES,
    Record, //
};
use lovagespindle_decisions::event::RegistryEntry;
use lovagespindle_decisions::ids::{
    InstanceId,
    OperationId,
    Revision,
    ZoneId, //
};
use lovagespindle_decisions::instance::Settings;
use lovagespindle_decisions::peer::{
    MAX_UPDATES,
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use lovagespindle_decisions::{
    Action,
    Event,
    Instance,
    Time, //
};

/// Number of availability zones in a region.
pub(crate) const ZONES_PER_REGION: usize = 3;

/// Numbers of objects in a configuration.
pub(crate) struct Shape {
    pub(crate) zones: usize,
    pub(crate) services: usize,
    /// Distributed evenly over the services, and those of a service over the zones of its region.
    pub(crate) servers: usize,
}

pub(crate) fn zone_name(zone: usize) -> String {
    format!("zone-{zone:02}")
}

/// Returns a change that creates a backend server or sets its weight; `number` is its number.
pub(crate) fn put_server(shape: &Shape, number: usize, weight: u32) -> Change {
    let service = number % shape.services;
    let zone = zone_of(shape, service, number / shape.services);
    let [_, a, b, c] = (number as u32).to_be_bytes();
    Change::PutServer {
        name: format!("backend-server-{number:06}"),
        pool: format!("pool-{service:05}-{zone:02}"),
        address: ([10, a, b, c], 9000).into(),
        health: ([10, a, b, c], 9001).into(),
        weight,
        slots: 1_000_000,
        connections: 10_000_000,
    }
}

/// Returns the zone of the nth backend server of a service.
fn zone_of(shape: &Shape, service: usize, nth: usize) -> usize {
    let per_region = ZONES_PER_REGION.min(shape.zones);
    let regions = shape.zones / per_region;
    service % regions * per_region + nth % per_region
}

fn changes(shape: &Shape) -> Vec<Change> {
    let mut changes = Vec::new();
    for zone in 0..shape.zones {
        changes.push(Change::CreateZone {
            name: zone_name(zone),
            region: format!("region-{}", zone / ZONES_PER_REGION),
        });
    }
    for service in 0..shape.services {
        let [_, _, a, b] = (service as u32).to_be_bytes();
        changes.push(Change::PutService {
            name: format!("service-{service:05}"),
            address: ([172, 16, a, b], 7000).into(),
            idle: Duration::from_secs(600),
        });
        for nth in 0..ZONES_PER_REGION.min(shape.zones) {
            let zone = zone_of(shape, service, nth);
            changes.push(Change::CreatePool {
                name: format!("pool-{service:05}-{zone:02}"),
                service: format!("service-{service:05}"),
                zone: zone_name(zone),
            });
        }
    }
    changes.extend((0..shape.servers).map(|number| put_server(shape, number, 100)));
    changes
}

/// Returns the record with `changes` that can be applied to a configuration.
pub(crate) fn next_record(configuration: &Configuration, changes: Vec<Change>) -> Record {
    let revision = Revision(configuration.revision.0 + 1);
    Record {
        revision,
        operation: OperationId(u128::from(revision.0)),
        changes,
    }
}

/// Builds a configuration by applying records, as instances do.
pub(crate) fn configure(shape: &Shape) -> Result<Configuration, Box<dyn Error>> {
    let mut configuration = Configuration::default();
    for part in changes(shape).chunks(MAX_CHANGES) {
        let record = next_record(&configuration, part.to_vec());
        configuration.apply(&record)?;
    }
    Ok(configuration)
}

/// Returns a member of a zone; `number` is unique among all members.
pub(crate) fn member(number: usize, zone: usize) -> Member {
    let [_, a, b, c] = (number as u32).to_be_bytes();
    let id = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Member {
        id: InstanceId(id),
        zone: ZoneId::of(&zone_name(zone)),
        control: ([127, a, b, c], 7001).into(),
        relay: ([127, a, b, c], 7002).into(),
    }
}

pub(crate) fn live(member: Member) -> MemberUpdate {
    MemberUpdate {
        member,
        state: MemberState::Live,
        incarnation: 0,
    }
}

/// Returns a heartbeat from `sender` with membership updates.
pub(crate) fn heartbeat(sender: Member, updates: &[MemberUpdate]) -> Event {
    let message = PeerMessage::Heartbeat {
        sender: live(sender),
        sequence: 1,
        revision: Revision(0),
        digest: 0,
        updates: updates.iter().take(MAX_UPDATES).copied().collect(),
        loads: Default::default(),
    };
    Event::PeerMessage {
        from: sender.id,
        message: Box::new(message),
    }
}

/// Creates member 0 of zone 0, which knows the other members and has the configuration.
pub(crate) fn instance(now: Time, others: &[Member], configuration: Configuration) -> Instance {
    let mut instance = Instance::new(member(0, 0), Settings::default(), 1);
    let mut out = Vec::new();
    for part in others.chunks(MAX_UPDATES) {
        let updates: Vec<_> = part.iter().copied().map(live).collect();
        instance.handle(now, heartbeat(part[0], &updates), &mut out);
        out.clear();
    }
    let entry = |member: &Member| RegistryEntry {
        member: *member,
        state: MemberState::Live,
    };
    // An instance owns no backend servers before it has read the registry.
    let own = member(0, 0);
    let registry = others.iter().chain([&own]).map(entry).collect();
    instance.handle(now, Event::Registry(registry), &mut out);
    out.clear();
    let snapshot = Event::Snapshot(Arc::new(configuration));
    instance.handle(now, snapshot, &mut out);
    instance
}

/// Sends an instance a tick and acknowledges the heartbeats that it sends.
pub(crate) fn tick(instance: &mut Instance, now: Time, others: &[Member]) {
    let mut out = Vec::new();
    instance.handle(now, Event::Tick, &mut out);
    for action in out {
        let Action::SendPeer { to, message, .. } = action else {
            continue;
        };
        let PeerMessage::Heartbeat {
            sequence, digest, ..
        } = *message
        else {
            continue;
        };
        let Some(other) = others.iter().find(|o| o.id == to) else {
            continue;
        };
        let ack = PeerMessage::HeartbeatAck {
            sender: live(*other),
            sequence,
            revision: Revision(0),
            digest,
            updates: Default::default(),
        };
        let event = Event::PeerMessage {
            from: to,
            message: Box::new(ack),
        };
        instance.handle(now, event, &mut Vec::new());
    }
}
