//! Converts the protobuf form of control messages back to the messages. All input is validated,
//! because it comes from the network.

use std::net::SocketAddr;

use bytes::Bytes;
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    RequestId,
    Revision,
    ServiceId,
    ZoneId, //
};
use lovagespindle_decisions::packet::Route;
use lovagespindle_decisions::peer::{
    FlowOverride,
    FlowState,
    LoadShare,
    MAX_FLOWS,
    MAX_OVERRIDES,
    MAX_UPDATES,
    Member,
    MemberState,
    MemberUpdate,
    PeerMessage,
    RequestState, //
};

use crate::error::{
    Field,
    FrameError, //
};
use crate::generated as wire;
use crate::generated::envelope::Message;
use crate::record;

type Result<T> = std::result::Result<T, FrameError>;

/// Converts a control message from its protobuf form.
///
/// Returns an error if the message is a hello, a field is missing or invalid, or a list is too
/// long.
pub(crate) fn decode_message(message: Message) -> Result<PeerMessage> {
    Ok(match message {
        Message::Hello(_) => return Err(FrameError::Unexpected),
        Message::Heartbeat(m) => PeerMessage::Heartbeat {
            sender: decode_sender(m.sender)?,
            sequence: m.sequence,
            revision: Revision(m.revision),
            digest: m.digest,
            updates: decode_list(m.updates, MAX_UPDATES, Field::Updates, decode_update)?,
            loads: decode_list(m.loads, usize::MAX, Field::Load, decode_load)?,
        },
        Message::HeartbeatAck(m) => PeerMessage::HeartbeatAck {
            sender: decode_sender(m.sender)?,
            sequence: m.sequence,
            revision: Revision(m.revision),
            digest: m.digest,
            updates: decode_list(m.updates, MAX_UPDATES, Field::Updates, decode_update)?,
        },
        Message::ProbeRequest(m) => PeerMessage::ProbeRequest {
            target: decode_member(m.target.ok_or(FrameError::Missing(Field::Member))?)?,
            sender: decode_sender(m.sender)?,
            sequence: m.sequence,
        },
        Message::ProbeForward(m) => PeerMessage::ProbeForward {
            origin: decode_sender(m.origin)?,
            sequence: m.sequence,
        },
        Message::ProbeReply(m) => PeerMessage::ProbeReply {
            origin: InstanceId(m.origin),
            target: InstanceId(m.target),
            sequence: m.sequence,
        },
        Message::PullMembers(m) => PeerMessage::PullMembers {
            zone: ZoneId(m.zone),
        },
        Message::Members(m) => PeerMessage::Members {
            updates: decode_list(m.updates, usize::MAX, Field::Updates, decode_update)?,
        },
        Message::PullChanges(m) => PeerMessage::PullChanges {
            after: Revision(m.after),
        },
        Message::Changes(m) => PeerMessage::Changes {
            records: decode_list(m.records, usize::MAX, Field::Record, record::decode)?,
        },
        Message::RegisterExceptions(m) => PeerMessage::RegisterOverrides {
            overrides: decode_overrides(m.exceptions)?,
        },
        Message::Handover(m) => PeerMessage::Handover {
            backend_server: BackendServerId(m.backend_server),
            limit: m.limit,
            flows: decode_list(m.flows, MAX_FLOWS, Field::Flows, decode_flow)?,
            last: m.last,
        },
        Message::Leave(m) => PeerMessage::Leave {
            sender: decode_sender(m.sender)?,
        },
    })
}

/// Converts a list of at most `max_len` items. Returns an error if the list is longer or an item is
/// invalid.
fn decode_list<W, T, C>(
    items: Vec<W>,
    max_len: usize,
    field: Field,
    convert: impl Fn(W) -> Result<T>,
) -> Result<C>
where
    C: FromIterator<T>,
{
    if items.len() > max_len {
        return Err(FrameError::TooMany(field));
    }
    items.into_iter().map(convert).collect()
}

fn decode_sender(sender: Option<wire::MemberUpdate>) -> Result<MemberUpdate> {
    decode_update(sender.ok_or(FrameError::Missing(Field::Sender))?)
}

fn decode_update(update: wire::MemberUpdate) -> Result<MemberUpdate> {
    let state = u8::try_from(update.state).ok();
    Ok(MemberUpdate {
        member: decode_member(update.member.ok_or(FrameError::Missing(Field::Member))?)?,
        state: state
            .and_then(MemberState::from_repr)
            .ok_or(FrameError::Invalid(Field::State))?,
        incarnation: update.incarnation,
    })
}

fn decode_member(member: wire::Member) -> Result<Member> {
    Ok(Member {
        id: InstanceId(member.id),
        zone: ZoneId(member.zone),
        control: decode_address(&member.control)?,
        relay: decode_address(&member.relay)?,
    })
}

fn decode_load(load: wire::LoadShare) -> Result<LoadShare> {
    Ok(LoadShare {
        backend_server: BackendServerId(load.backend_server),
        used: decode_load_value(load.used)?,
        limit: decode_load_value(load.limit)?,
        boot: load.boot,
    })
}

fn decode_load_value(value: u32) -> Result<u16> {
    u16::try_from(value).map_err(|_| FrameError::Invalid(Field::Load))
}

fn decode_overrides(items: Vec<wire::Exception>) -> Result<Vec<FlowOverride>> {
    decode_list(items, MAX_OVERRIDES, Field::Overrides, decode_override)
}

fn decode_override(exception: wire::Exception) -> Result<FlowOverride> {
    Ok(FlowOverride {
        flow: FlowId(decode_u128(&exception.flow, Field::Flow)?),
        service: ServiceId(exception.service),
        backend_server: BackendServerId(exception.backend_server),
    })
}

fn decode_flow(flow: wire::FlowState) -> Result<FlowState> {
    Ok(FlowState {
        flow: FlowId(decode_u128(&flow.flow, Field::Flow)?),
        service: ServiceId(flow.service),
        route: Route {
            caller: decode_address(&flow.caller)?,
            address: decode_address(&flow.address)?,
            unique_id: decode_u128(&flow.unique, Field::Unique)?,
        },
        backend_server: BackendServerId(flow.backend_server),
        requests: flow.requests.into_iter().map(decode_request).collect(),
        finished: flow
            .finished
            .try_into()
            .map_err(|_| FrameError::Invalid(Field::Finished))?,
    })
}

fn decode_request(request: wire::RequestState) -> RequestState {
    RequestState {
        request: RequestId(request.request),
        idempotent: request.idempotent,
        remaining: request.remaining,
    }
}

fn decode_u128(bytes: &Bytes, field: Field) -> Result<u128> {
    let bytes = bytes.as_ref().try_into();
    bytes
        .map(u128::from_be_bytes)
        .map_err(|_| FrameError::Invalid(field))
}

fn decode_address(bytes: &Bytes) -> Result<SocketAddr> {
    let invalid = FrameError::Invalid(Field::Address);
    let Some((ip, port)) = bytes.split_last_chunk::<2>() else {
        return Err(invalid);
    };
    let port = u16::from_be_bytes(*port);
    if let Ok(ip) = <[u8; 4]>::try_from(ip) {
        return Ok((ip, port).into());
    }
    let ip = <[u8; 16]>::try_from(ip).map_err(|_| invalid)?;
    Ok((ip, port).into())
}
