//! Converts protobuf messages to the types of the decisions, with typed errors.

use std::net::SocketAddr;
use std::time::Duration;

use lovagespindle_decisions::config::{
    BackendServer,
    Change,
    Configuration,
    MAX_CHANGES,
    Pool,
    ServerState,
    Service,
    Zone,
    ZoneState, //
};
use lovagespindle_decisions::config_error::ConfigError;
use lovagespindle_decisions::config_restore::ConfigParts;
use lovagespindle_decisions::event::Health;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    OperationId,
    PoolId,
    Revision,
    ServiceId,
    ZoneId, //
};
use lovagespindle_decisions::packet::Reason;
use lovagespindle_decisions::peer::{
    Member,
    MemberState,
    MemberUpdate, //
};
use lovagespindle_decisions::state_change::StateChange;
use lovagespindle_decisions::status::{
    CandidateStatus,
    Explanation,
    Flag,
    FlowStatus,
    OwnedStatus,
    Status, //
};

use crate::generated::v1;
use crate::messages::{
    ApplyChanges,
    FlowExplanation, //
};
use crate::names::Names;
use crate::timeline::{
    Entry,
    timestamp, //
};

/// Reason why a message cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// A required field is not set.
    #[error("field {field} is not set")]
    Missing { field: &'static str },
    /// A text is not an address.
    #[error("field {field}: {text:?} is not an address of the form IP:PORT")]
    Address { field: &'static str, text: String },
    /// A number is outside the range of its field.
    #[error("field {field}: {value} is not a value of this field")]
    Value { field: &'static str, value: i64 },
    /// The number of changes in a call is 0 or exceeds the limit.
    #[error("a call takes 1 to {MAX_CHANGES} changes, not {count}")]
    Count { count: usize },
    /// A configuration is inconsistent.
    #[error("the configuration is inconsistent: {0}")]
    Configuration(#[from] ConfigError),
}

impl From<v1::Id128> for u128 {
    fn from(id: v1::Id128) -> u128 {
        u128::from(id.high) << 64 | u128::from(id.low)
    }
}

/// Returns the value of a required field, or an error if it is not set.
pub fn required<T>(field: &'static str, value: Option<T>) -> Result<T, DecodeError> {
    value.ok_or(DecodeError::Missing { field })
}

/// Parses the address in a field. Returns an error if the text is not an address.
pub fn address(field: &'static str, text: &str) -> Result<SocketAddr, DecodeError> {
    text.parse().map_err(|_| DecodeError::Address {
        field,
        text: text.to_owned(),
    })
}

/// Converts the number of an enum value. Returns an error if `from` does not know it.
fn enum_value<T>(
    field: &'static str,
    value: i32,
    from: fn(u8) -> Option<T>,
) -> Result<T, DecodeError> {
    let converted = u8::try_from(value).ok().and_then(from);
    converted.ok_or(DecodeError::Value {
        field,
        value: value.into(),
    })
}

impl TryFrom<v1::Change> for Change {
    type Error = DecodeError;

    fn try_from(change: v1::Change) -> Result<Change, DecodeError> {
        use v1::change::Change as C;
        Ok(match required("change", change.change)? {
            C::CreateZone(v1::CreateZone { name, region }) => Change::CreateZone { name, region },
            C::SetZone(v1::SetZone { name, state }) => Change::SetZone {
                name,
                state: enum_value("state", state, ZoneState::from_repr)?,
            },
            C::DeleteZone(v1::DeleteZone { name }) => Change::DeleteZone { name },
            C::PutService(put) => Change::PutService {
                address: address("address", &put.address)?,
                idle: Duration::from_millis(put.idle_ms),
                name: put.name,
            },
            C::DeleteService(v1::DeleteService { name }) => Change::DeleteService { name },
            C::CreatePool(create) => Change::CreatePool {
                name: create.name,
                service: create.service,
                zone: create.zone,
            },
            C::DeletePool(v1::DeletePool { name }) => Change::DeletePool { name },
            C::PutServer(put) => Change::PutServer {
                address: address("address", &put.address)?,
                health: address("health", &put.health)?,
                name: put.name,
                pool: put.pool,
                weight: put.weight,
                slots: put.slots,
                connections: put.connections,
            },
            C::SetServer(v1::SetServer { name, state }) => Change::SetServer {
                name,
                state: enum_value("state", state, ServerState::from_repr)?,
            },
            C::DeleteServer(v1::DeleteServer { name }) => Change::DeleteServer { name },
        })
    }
}

impl TryFrom<v1::ApplyRequest> for ApplyChanges {
    type Error = DecodeError;

    fn try_from(request: v1::ApplyRequest) -> Result<ApplyChanges, DecodeError> {
        let count = request.changes.len();
        if count == 0 || count > MAX_CHANGES {
            return Err(DecodeError::Count { count });
        }
        let changes = request.changes.into_iter().map(Change::try_from);
        Ok(ApplyChanges {
            operation: OperationId(required("operation", request.operation)?.into()),
            expected: request.expected.map(Revision),
            changes: changes.collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<v1::Zone> for Zone {
    type Error = DecodeError;

    fn try_from(zone: v1::Zone) -> Result<Zone, DecodeError> {
        Ok(Zone {
            id: ZoneId(zone.id),
            name: zone.name,
            region: zone.region,
            state: enum_value("state", zone.state, ZoneState::from_repr)?,
        })
    }
}

impl TryFrom<v1::Service> for Service {
    type Error = DecodeError;

    fn try_from(service: v1::Service) -> Result<Service, DecodeError> {
        Ok(Service {
            id: ServiceId(service.id),
            address: address("address", &service.address)?,
            idle: Duration::from_millis(service.idle_ms),
            name: service.name,
        })
    }
}

impl From<v1::Pool> for Pool {
    fn from(pool: v1::Pool) -> Pool {
        Pool {
            id: PoolId(pool.id),
            name: pool.name,
            service: ServiceId(pool.service),
            zone: ZoneId(pool.zone),
        }
    }
}

impl TryFrom<v1::BackendServer> for BackendServer {
    type Error = DecodeError;

    fn try_from(server: v1::BackendServer) -> Result<BackendServer, DecodeError> {
        Ok(BackendServer {
            id: BackendServerId(server.id),
            pool: PoolId(server.pool),
            address: address("address", &server.address)?,
            health: address("health", &server.health)?,
            weight: server.weight,
            slots: server.slots,
            connections: server.connections,
            state: enum_value("state", server.state, ServerState::from_repr)?,
            name: server.name,
        })
    }
}

/// Converts each element, up to the first error.
fn convert_all<A, B>(from: Vec<A>) -> Result<Vec<B>, DecodeError>
where
    B: TryFrom<A, Error = DecodeError>,
{
    from.into_iter().map(B::try_from).collect()
}

/// The response does not contain the recorded operations.
impl TryFrom<v1::GetConfigurationResponse> for Configuration {
    type Error = DecodeError;

    fn try_from(response: v1::GetConfigurationResponse) -> Result<Configuration, DecodeError> {
        let parts = ConfigParts {
            revision: Revision(response.revision),
            next_id: response.next_id,
            zones: convert_all(response.zones)?,
            services: convert_all(response.services)?,
            pools: response.pools.into_iter().map(Pool::from).collect(),
            servers: convert_all(response.backend_servers)?,
            operations: Vec::new(),
        };
        Ok(Configuration::restore(parts)?)
    }
}

impl TryFrom<v1::Member> for Member {
    type Error = DecodeError;

    fn try_from(member: v1::Member) -> Result<Member, DecodeError> {
        Ok(Member {
            id: InstanceId(member.id),
            zone: ZoneId(member.zone),
            control: address("control", &member.control)?,
            relay: address("relay", &member.relay)?,
        })
    }
}

impl TryFrom<v1::MemberUpdate> for MemberUpdate {
    type Error = DecodeError;

    fn try_from(update: v1::MemberUpdate) -> Result<MemberUpdate, DecodeError> {
        Ok(MemberUpdate {
            member: required("member", update.member)?.try_into()?,
            state: enum_value("state", update.state, MemberState::from_repr)?,
            incarnation: update.incarnation,
        })
    }
}

fn health(value: i32) -> Result<Health, DecodeError> {
    match v1::Health::try_from(value) {
        Ok(v1::Health::Serving) => Ok(Health::Serving),
        Ok(v1::Health::NotServing) => Ok(Health::NotServing),
        Ok(v1::Health::Unreachable) => Ok(Health::Unreachable),
        Ok(v1::Health::Unspecified) | Err(_) => Err(DecodeError::Value {
            field: "health",
            value: value.into(),
        }),
    }
}

impl TryFrom<v1::OwnedServer> for OwnedStatus {
    type Error = DecodeError;

    fn try_from(owned: v1::OwnedServer) -> Result<OwnedStatus, DecodeError> {
        Ok(OwnedStatus {
            backend_server: BackendServerId(owned.backend_server),
            limit: owned.limit,
            running: owned.running,
            queued: owned.queued,
            flows: owned.flows,
            fenced: owned.fenced,
            health: health(owned.health)?,
        })
    }
}

/// Decodes the status of an instance. Returns an error if a field is missing or invalid.
pub fn status(response: v1::StatusResponse) -> Result<(Status, Names), DecodeError> {
    let flags = response.flags.iter();
    let status = Status {
        member: required("member", response.member)?.try_into()?,
        revision: Revision(response.revision),
        flows: response.flows,
        requests: response.requests,
        owned: convert_all(response.owned)?,
        members: convert_all(response.members)?,
        flags: flags
            .map(|f| enum_value("flags", *f, Flag::from_repr))
            .collect::<Result<_, _>>()?,
    };
    Ok((status, Names(response.names)))
}

impl From<v1::Candidate> for CandidateStatus {
    fn from(candidate: v1::Candidate) -> CandidateStatus {
        CandidateStatus {
            backend_server: BackendServerId(candidate.backend_server),
            owner: candidate.owner.map(InstanceId),
        }
    }
}

fn flow_status(holding: Option<v1::explain_response::Holding>) -> Result<FlowStatus, DecodeError> {
    use v1::explain_response::Holding;
    Ok(match holding {
        None => FlowStatus::None,
        Some(Holding::Hosted(hosted)) => FlowStatus::Hosted {
            backend_server: BackendServerId(hosted.backend_server),
            requests: hosted.requests,
        },
        Some(Holding::Redirected(redirected)) => FlowStatus::Redirected {
            backend_server: BackendServerId(redirected.backend_server),
        },
        Some(Holding::Closed(closed)) => FlowStatus::Closed {
            reason: enum_value("reason", closed.reason, Reason::from_repr)?,
        },
    })
}

/// Decodes the explanation of a flow. Returns an error if a field is missing or invalid.
pub fn explanation(response: v1::ExplainResponse) -> Result<(FlowExplanation, Names), DecodeError> {
    let candidates = response.candidates.into_iter();
    let reply = FlowExplanation {
        flow: FlowId(required("flow", response.flow)?.into()),
        explanation: Explanation {
            service: ServiceId(response.service),
            revision: Revision(response.revision),
            candidates: candidates.map(CandidateStatus::from).collect(),
            status: flow_status(response.holding)?,
        },
    };
    Ok((reply, Names(response.names)))
}

impl TryFrom<v1::TimelineEntry> for Entry {
    type Error = DecodeError;

    fn try_from(entry: v1::TimelineEntry) -> Result<Entry, DecodeError> {
        let stamp = required("stamp", entry.stamp)?;
        Ok(Entry {
            timestamp: timestamp(stamp.time, InstanceId(stamp.instance)),
            change: required("occurrence", entry.occurrence)?.try_into()?,
        })
    }
}

impl TryFrom<v1::timeline_entry::Occurrence> for StateChange {
    type Error = DecodeError;

    fn try_from(change: v1::timeline_entry::Occurrence) -> Result<StateChange, DecodeError> {
        use v1::timeline_entry::Occurrence as O;
        Ok(match change {
            O::Started(_) => StateChange::Started,
            O::Leaving(_) => StateChange::Leaving,
            O::Left(_) => StateChange::Left,
            O::Member(member) => StateChange::Member {
                instance: InstanceId(member.instance),
                zone: ZoneId(member.zone),
                state: enum_value("state", member.state, MemberState::from_repr)?,
            },
            O::Configured(configured) => StateChange::Configured {
                revision: Revision(configured.revision),
            },
            O::Acquired(acquired) => StateChange::Acquired {
                backend_server: BackendServerId(acquired.backend_server),
                flows: acquired.flows,
            },
            O::Released(released) => StateChange::Released {
                backend_server: BackendServerId(released.backend_server),
                owner: released.owner.map(InstanceId),
            },
            O::Fenced(v1::Fenced { backend_server }) => StateChange::Fenced {
                backend_server: BackendServerId(backend_server),
            },
            O::Unfenced(v1::Unfenced { backend_server }) => StateChange::Unfenced {
                backend_server: BackendServerId(backend_server),
            },
            O::ColdStart(v1::ColdStart { backend_server }) => StateChange::ColdStart {
                backend_server: BackendServerId(backend_server),
            },
            O::ServerDown(v1::ServerDown { backend_server }) => StateChange::ServerDown {
                backend_server: BackendServerId(backend_server),
            },
            O::ServerUp(v1::ServerUp { backend_server }) => StateChange::ServerUp {
                backend_server: BackendServerId(backend_server),
            },
            O::FlowClosed(closed) => StateChange::FlowClosed {
                flow: FlowId(required("flow", closed.flow)?.into()),
                service: ServiceId(closed.service),
                backend_server: BackendServerId(closed.backend_server),
                reason: enum_value("reason", closed.reason, Reason::from_repr)?,
            },
            O::FlowPlaced(placed) => StateChange::FlowPlaced {
                flow: FlowId(required("flow", placed.flow)?.into()),
                service: ServiceId(placed.service),
                backend_server: BackendServerId(placed.backend_server),
                candidate: u8::try_from(placed.candidate).map_err(|_| DecodeError::Value {
                    field: "candidate",
                    value: placed.candidate.into(),
                })?,
            },
            O::PlatformLost(_) => StateChange::PlatformLost,
            O::PlatformBack(_) => StateChange::PlatformBack,
        })
    }
}

/// Decodes timeline entries. Returns an error if a field is missing or invalid.
pub fn entries(entries: Vec<v1::TimelineEntry>) -> Result<Vec<Entry>, DecodeError> {
    convert_all(entries)
}
