//! From the encoded form to control messages. Input is checked in full, because it comes from
//! the network.

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
    Exception,
    FlowState,
    LoadShare,
    MAX_EXCEPTIONS,
    MAX_FLOWS,
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

/// Converts a control message.
pub(crate) fn decode_message(message: Message) -> Result<PeerMessage> {
    Ok(match message {
        Message::Hello(_) => return Err(FrameError::Unexpected),
        Message::Heartbeat(m) => PeerMessage::Heartbeat {
            sender: sender(m.sender)?,
            sequence: m.sequence,
            revision: Revision(m.revision),
            digest: m.digest,
            updates: list(m.updates, MAX_UPDATES, Field::Updates, update)?,
            loads: list(m.loads, usize::MAX, Field::Load, load)?,
        },
        Message::HeartbeatAck(m) => PeerMessage::HeartbeatAck {
            sender: sender(m.sender)?,
            sequence: m.sequence,
            revision: Revision(m.revision),
            digest: m.digest,
            updates: list(m.updates, MAX_UPDATES, Field::Updates, update)?,
        },
        Message::ProbeRequest(m) => PeerMessage::ProbeRequest {
            target: member(m.target.ok_or(FrameError::Missing(Field::Member))?)?,
            sender: sender(m.sender)?,
            sequence: m.sequence,
        },
        Message::ProbeForward(m) => PeerMessage::ProbeForward {
            origin: sender(m.origin)?,
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
            updates: list(m.updates, usize::MAX, Field::Updates, update)?,
        },
        Message::PullChanges(m) => PeerMessage::PullChanges {
            after: Revision(m.after),
        },
        Message::Changes(m) => PeerMessage::Changes {
            records: list(m.records, usize::MAX, Field::Record, record::decode)?,
        },
        Message::RegisterExceptions(m) => PeerMessage::RegisterExceptions {
            exceptions: exceptions(m.exceptions)?,
        },
        Message::Handover(m) => PeerMessage::Handover {
            backend_server: BackendServerId(m.backend_server),
            limit: m.limit,
            flows: list(m.flows, MAX_FLOWS, Field::Flows, flow)?,
            last: m.last,
        },
        Message::Leave(m) => PeerMessage::Leave {
            sender: sender(m.sender)?,
        },
    })
}

/// Converts a list of at most `most` items.
fn list<W, T, C>(
    items: Vec<W>,
    most: usize,
    field: Field,
    convert: impl Fn(W) -> Result<T>,
) -> Result<C>
where
    C: FromIterator<T>,
{
    if items.len() > most {
        return Err(FrameError::TooMany(field));
    }
    items.into_iter().map(convert).collect()
}

fn sender(sender: Option<wire::MemberUpdate>) -> Result<MemberUpdate> {
    update(sender.ok_or(FrameError::Missing(Field::Sender))?)
}

fn update(update: wire::MemberUpdate) -> Result<MemberUpdate> {
    let state = u8::try_from(update.state).ok();
    Ok(MemberUpdate {
        member: member(update.member.ok_or(FrameError::Missing(Field::Member))?)?,
        state: state
            .and_then(MemberState::from_repr)
            .ok_or(FrameError::Invalid(Field::State))?,
        incarnation: update.incarnation,
    })
}

fn member(member: wire::Member) -> Result<Member> {
    Ok(Member {
        id: InstanceId(member.id),
        zone: ZoneId(member.zone),
        control: address(&member.control)?,
        relay: address(&member.relay)?,
    })
}

fn load(load: wire::LoadShare) -> Result<LoadShare> {
    Ok(LoadShare {
        backend_server: BackendServerId(load.backend_server),
        used: short(load.used)?,
        limit: short(load.limit)?,
        boot: load.boot,
    })
}

fn short(value: u32) -> Result<u16> {
    u16::try_from(value).map_err(|_| FrameError::Invalid(Field::Load))
}

fn exceptions(exceptions: Vec<wire::Exception>) -> Result<Vec<Exception>> {
    list(exceptions, MAX_EXCEPTIONS, Field::Overrides, exception)
}

fn exception(exception: wire::Exception) -> Result<Exception> {
    Ok(Exception {
        flow: FlowId(number(&exception.flow, Field::Flow)?),
        service: ServiceId(exception.service),
        backend_server: BackendServerId(exception.backend_server),
    })
}

fn flow(flow: wire::FlowState) -> Result<FlowState> {
    Ok(FlowState {
        flow: FlowId(number(&flow.flow, Field::Flow)?),
        service: ServiceId(flow.service),
        route: Route {
            caller: address(&flow.caller)?,
            address: address(&flow.address)?,
            unique: number(&flow.unique, Field::Unique)?,
        },
        backend_server: BackendServerId(flow.backend_server),
        requests: flow.requests.into_iter().map(request).collect(),
        finished: flow
            .finished
            .try_into()
            .map_err(|_| FrameError::Invalid(Field::Finished))?,
    })
}

fn request(request: wire::RequestState) -> RequestState {
    RequestState {
        request: RequestId(request.request),
        idempotent: request.idempotent,
        remaining: request.remaining,
    }
}

fn number(bytes: &Bytes, field: Field) -> Result<u128> {
    let bytes = bytes.as_ref().try_into();
    bytes
        .map(u128::from_be_bytes)
        .map_err(|_| FrameError::Invalid(field))
}

fn address(bytes: &Bytes) -> Result<SocketAddr> {
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
