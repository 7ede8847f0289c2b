//! Converts the types of the decisions to protobuf messages.

use std::time::Duration;

use lovagespindle_decisions::config::{
    BackendServer,
    Change,
    Configuration,
    Pool,
    Service,
    Zone, //
};
use lovagespindle_decisions::event::Health;
use lovagespindle_decisions::ids::Revision;
use lovagespindle_decisions::peer::{
    Member,
    MemberUpdate, //
};
use lovagespindle_decisions::state_change::StateChange;
use lovagespindle_decisions::status::{
    CandidateStatus,
    FlowStatus,
    OwnedStatus,
    Status, //
};

use crate::generated::v1;
use crate::messages::{
    ApplyChanges,
    ApplyError,
    FlowExplanation, //
};
use crate::names::Names;
use crate::timeline::Entry;

impl From<u128> for v1::Id128 {
    fn from(id: u128) -> v1::Id128 {
        v1::Id128 {
            high: (id >> 64) as u64,
            low: id as u64,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl From<&Change> for v1::Change {
    fn from(change: &Change) -> v1::Change {
        use v1::change::Change as C;
        let change = match change.clone() {
            Change::CreateZone { name, region } => C::CreateZone(v1::CreateZone { name, region }),
            Change::SetZone { name, state } => C::SetZone(v1::SetZone {
                name,
                state: state as i32,
            }),
            Change::DeleteZone { name } => C::DeleteZone(v1::DeleteZone { name }),
            Change::PutService {
                name,
                address,
                idle,
            } => C::PutService(v1::PutService {
                name,
                address: address.to_string(),
                idle_ms: millis(idle),
            }),
            Change::DeleteService { name } => C::DeleteService(v1::DeleteService { name }),
            Change::CreatePool {
                name,
                service,
                zone,
            } => C::CreatePool(v1::CreatePool {
                name,
                service,
                zone,
            }),
            Change::DeletePool { name } => C::DeletePool(v1::DeletePool { name }),
            Change::PutServer {
                name,
                pool,
                address,
                health,
                weight,
                slots,
                connections,
            } => C::PutServer(v1::PutServer {
                name,
                pool,
                address: address.to_string(),
                health: health.to_string(),
                weight,
                slots,
                connections,
            }),
            Change::SetServer { name, state } => C::SetServer(v1::SetServer {
                name,
                state: state as i32,
            }),
            Change::DeleteServer { name } => C::DeleteServer(v1::DeleteServer { name }),
        };
        v1::Change {
            change: Some(change),
        }
    }
}

impl From<&ApplyChanges> for v1::ApplyRequest {
    fn from(apply: &ApplyChanges) -> v1::ApplyRequest {
        v1::ApplyRequest {
            operation: Some(apply.operation.0.into()),
            expected: apply.expected.map(|r| r.0),
            changes: apply.changes.iter().map(v1::Change::from).collect(),
        }
    }
}

impl From<Result<Revision, ApplyError>> for v1::ApplyResponse {
    fn from(outcome: Result<Revision, ApplyError>) -> v1::ApplyResponse {
        use v1::apply_response::Outcome;
        let outcome = match outcome {
            Ok(revision) => Outcome::Applied(v1::Applied {
                revision: revision.0,
            }),
            Err(ApplyError::Conflict { present }) => {
                Outcome::Conflict(v1::Conflict { present: present.0 })
            }
            Err(ApplyError::Invalid { index, reason }) => Outcome::Invalid(v1::InvalidChange {
                index,
                reason: reason.to_string(),
            }),
            Err(ApplyError::Unavailable) => Outcome::Unavailable(v1::StoreUnavailable {}),
            Err(ApplyError::OutcomeUnknown) => Outcome::Unknown(v1::OutcomeUnknown {}),
        };
        v1::ApplyResponse {
            outcome: Some(outcome),
        }
    }
}

impl From<&Zone> for v1::Zone {
    fn from(zone: &Zone) -> v1::Zone {
        v1::Zone {
            id: zone.id.0,
            name: zone.name.clone(),
            region: zone.region.clone(),
            state: zone.state as i32,
        }
    }
}

impl From<&Service> for v1::Service {
    fn from(service: &Service) -> v1::Service {
        v1::Service {
            id: service.id.0,
            name: service.name.clone(),
            address: service.address.to_string(),
            idle_ms: millis(service.idle),
        }
    }
}

impl From<&Pool> for v1::Pool {
    fn from(pool: &Pool) -> v1::Pool {
        v1::Pool {
            id: pool.id.0,
            name: pool.name.clone(),
            service: pool.service.0,
            zone: pool.zone.0,
        }
    }
}

impl From<&BackendServer> for v1::BackendServer {
    fn from(server: &BackendServer) -> v1::BackendServer {
        v1::BackendServer {
            id: server.id.0,
            name: server.name.clone(),
            pool: server.pool.0,
            address: server.address.to_string(),
            health: server.health.to_string(),
            weight: server.weight,
            slots: server.slots,
            connections: server.connections,
            state: server.state as i32,
        }
    }
}

impl From<&Configuration> for v1::GetConfigurationResponse {
    fn from(configuration: &Configuration) -> v1::GetConfigurationResponse {
        v1::GetConfigurationResponse {
            revision: configuration.revision.0,
            next_id: configuration.next_id,
            zones: configuration.zones.values().map(Into::into).collect(),
            services: configuration.services.values().map(Into::into).collect(),
            pools: configuration.pools.values().map(Into::into).collect(),
            backend_servers: configuration.servers.values().map(Into::into).collect(),
        }
    }
}

impl From<&Member> for v1::Member {
    fn from(member: &Member) -> v1::Member {
        v1::Member {
            id: member.id.0,
            zone: member.zone.0,
            control: member.control.to_string(),
            relay: member.relay.to_string(),
        }
    }
}

impl From<&MemberUpdate> for v1::MemberUpdate {
    fn from(update: &MemberUpdate) -> v1::MemberUpdate {
        v1::MemberUpdate {
            member: Some((&update.member).into()),
            state: update.state as i32,
            incarnation: update.incarnation,
        }
    }
}

fn health(health: Health) -> v1::Health {
    match health {
        Health::Serving => v1::Health::Serving,
        Health::NotServing => v1::Health::NotServing,
        Health::Unreachable => v1::Health::Unreachable,
    }
}

impl From<&OwnedStatus> for v1::OwnedServer {
    fn from(owned: &OwnedStatus) -> v1::OwnedServer {
        v1::OwnedServer {
            backend_server: owned.backend_server.0,
            limit: owned.limit,
            running: owned.running,
            queued: owned.queued,
            flows: owned.flows,
            fenced: owned.fenced,
            health: health(owned.health).into(),
        }
    }
}

/// Encodes the status of an instance with the names of objects in it.
pub fn status(status: &Status, names: Names) -> v1::StatusResponse {
    v1::StatusResponse {
        member: Some((&status.member).into()),
        revision: status.revision.0,
        flows: status.flows,
        requests: status.requests,
        owned: status.owned.iter().map(Into::into).collect(),
        members: status.members.iter().map(Into::into).collect(),
        flags: status.flags.iter().map(|f| *f as i32).collect(),
        names: names.0,
    }
}

impl From<&CandidateStatus> for v1::Candidate {
    fn from(candidate: &CandidateStatus) -> v1::Candidate {
        v1::Candidate {
            backend_server: candidate.backend_server.0,
            owner: candidate.owner.map(|o| o.0),
        }
    }
}

fn flow_status(status: FlowStatus) -> Option<v1::explain_response::Holding> {
    use v1::explain_response::Holding;
    match status {
        FlowStatus::None => None,
        FlowStatus::Hosted {
            backend_server,
            requests,
        } => Some(Holding::Hosted(v1::Hosted {
            backend_server: backend_server.0,
            requests,
        })),
        FlowStatus::Redirected { backend_server } => Some(Holding::Redirected(v1::Redirected {
            backend_server: backend_server.0,
        })),
        FlowStatus::Closed { reason } => Some(Holding::Closed(v1::Closed {
            reason: reason as i32,
        })),
    }
}

/// Encodes the explanation of a flow with the names of objects in it.
pub fn explanation(reply: &FlowExplanation, names: Names) -> v1::ExplainResponse {
    let explanation = &reply.explanation;
    v1::ExplainResponse {
        flow: Some(reply.flow.0.into()),
        service: explanation.service.0,
        revision: explanation.revision.0,
        candidates: explanation.candidates.iter().map(Into::into).collect(),
        holding: flow_status(explanation.status),
        names: names.0,
    }
}

impl From<&Entry> for v1::TimelineEntry {
    fn from(entry: &Entry) -> v1::TimelineEntry {
        v1::TimelineEntry {
            stamp: Some(v1::Stamp {
                time: entry.timestamp.get_time().as_u64(),
                instance: entry.instance().0,
            }),
            occurrence: Some(entry.change.into()),
        }
    }
}

impl From<StateChange> for v1::timeline_entry::Occurrence {
    fn from(change: StateChange) -> v1::timeline_entry::Occurrence {
        use v1::timeline_entry::Occurrence as O;
        match change {
            StateChange::Started => O::Started(v1::Started {}),
            StateChange::Leaving => O::Leaving(v1::Leaving {}),
            StateChange::Left => O::Left(v1::Left {}),
            StateChange::Member {
                instance,
                zone,
                state,
            } => O::Member(v1::MemberChanged {
                instance: instance.0,
                zone: zone.0,
                state: state as i32,
            }),
            StateChange::Configured { revision } => O::Configured(v1::Configured {
                revision: revision.0,
            }),
            StateChange::Acquired {
                backend_server,
                flows,
            } => O::Acquired(v1::Acquired {
                backend_server: backend_server.0,
                flows,
            }),
            StateChange::Released {
                backend_server,
                owner,
            } => O::Released(v1::Released {
                backend_server: backend_server.0,
                owner: owner.map(|o| o.0),
            }),
            StateChange::Fenced { backend_server } => O::Fenced(v1::Fenced {
                backend_server: backend_server.0,
            }),
            StateChange::Unfenced { backend_server } => O::Unfenced(v1::Unfenced {
                backend_server: backend_server.0,
            }),
            StateChange::ColdStart { backend_server } => O::ColdStart(v1::ColdStart {
                backend_server: backend_server.0,
            }),
            StateChange::ServerDown { backend_server } => O::ServerDown(v1::ServerDown {
                backend_server: backend_server.0,
            }),
            StateChange::ServerUp { backend_server } => O::ServerUp(v1::ServerUp {
                backend_server: backend_server.0,
            }),
            StateChange::FlowClosed {
                flow,
                service,
                backend_server,
                reason,
            } => O::FlowClosed(v1::FlowClosed {
                flow: Some(flow.0.into()),
                service: service.0,
                backend_server: backend_server.0,
                reason: reason as i32,
            }),
            StateChange::FlowPlaced {
                flow,
                service,
                backend_server,
                candidate,
            } => O::FlowPlaced(v1::FlowPlaced {
                flow: Some(flow.0.into()),
                service: service.0,
                backend_server: backend_server.0,
                candidate: candidate.into(),
            }),
            StateChange::PlatformLost => O::PlatformLost(v1::PlatformLost {}),
            StateChange::PlatformBack => O::PlatformBack(v1::PlatformBack {}),
        }
    }
}
