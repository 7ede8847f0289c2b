//! Converts control messages to their protobuf form.

use std::net::{
    IpAddr,
    SocketAddr, //
};

use bytes::Bytes;
use lovagespindle_decisions::peer::{
    FlowOverride,
    FlowState,
    LoadShare,
    Member,
    MemberUpdate,
    PeerMessage,
    RequestState, //
};

use crate::error::FrameError;
use crate::generated as wire;
use crate::generated::envelope::Message;
use crate::record;

/// Converts a control message to its protobuf form. Currently never fails.
pub(crate) fn encode_message(message: &PeerMessage) -> Result<Message, FrameError> {
    Ok(match message {
        PeerMessage::Heartbeat {
            sender,
            sequence,
            revision,
            digest,
            updates,
            loads,
        } => Message::Heartbeat(wire::Heartbeat {
            sender: Some(encode_update(sender)),
            sequence: *sequence,
            revision: revision.0,
            digest: *digest,
            updates: updates.iter().map(encode_update).collect(),
            loads: loads.iter().map(encode_load).collect(),
        }),
        PeerMessage::HeartbeatAck {
            sender,
            sequence,
            revision,
            digest,
            updates,
        } => Message::HeartbeatAck(wire::HeartbeatAck {
            sender: Some(encode_update(sender)),
            sequence: *sequence,
            revision: revision.0,
            digest: *digest,
            updates: updates.iter().map(encode_update).collect(),
        }),
        PeerMessage::ProbeRequest {
            target,
            sender,
            sequence,
        } => Message::ProbeRequest(wire::ProbeRequest {
            target: Some(encode_member(target)),
            sender: Some(encode_update(sender)),
            sequence: *sequence,
        }),
        PeerMessage::ProbeForward { origin, sequence } => {
            Message::ProbeForward(wire::ProbeForward {
                origin: Some(encode_update(origin)),
                sequence: *sequence,
            })
        }
        PeerMessage::ProbeReply {
            origin,
            target,
            sequence,
        } => Message::ProbeReply(wire::ProbeReply {
            origin: origin.0,
            target: target.0,
            sequence: *sequence,
        }),
        PeerMessage::PullMembers { zone } => {
            Message::PullMembers(wire::PullMembers { zone: zone.0 })
        }
        PeerMessage::Members { updates } => Message::Members(wire::Members {
            updates: updates.iter().map(encode_update).collect(),
        }),
        PeerMessage::PullChanges { after } => {
            Message::PullChanges(wire::PullChanges { after: after.0 })
        }
        PeerMessage::Changes { records } => Message::Changes(wire::Changes {
            records: records.iter().map(record::encode).collect(),
        }),
        PeerMessage::RegisterOverrides { overrides } => {
            Message::RegisterExceptions(wire::RegisterExceptions {
                exceptions: overrides.iter().map(encode_override).collect(),
            })
        }
        PeerMessage::Handover {
            backend_server,
            limit,
            flows,
            last,
        } => Message::Handover(wire::Handover {
            backend_server: backend_server.0,
            limit: *limit,
            flows: flows.iter().map(encode_flow).collect(),
            last: *last,
        }),
        PeerMessage::Leave { sender } => Message::Leave(wire::Leave {
            sender: Some(encode_update(sender)),
        }),
    })
}

fn encode_update(update: &MemberUpdate) -> wire::MemberUpdate {
    wire::MemberUpdate {
        member: Some(encode_member(&update.member)),
        state: i32::from(update.state as u8),
        incarnation: update.incarnation,
    }
}

fn encode_member(member: &Member) -> wire::Member {
    wire::Member {
        id: member.id.0,
        zone: member.zone.0,
        control: encode_address(member.control),
        relay: encode_address(member.relay),
    }
}

fn encode_load(load: &LoadShare) -> wire::LoadShare {
    wire::LoadShare {
        backend_server: load.backend_server.0,
        used: u32::from(load.used),
        limit: u32::from(load.limit),
        boot: load.boot,
    }
}

fn encode_override(exception: &FlowOverride) -> wire::Exception {
    wire::Exception {
        flow: encode_u128(exception.flow.0),
        service: exception.service.0,
        backend_server: exception.backend_server.0,
    }
}

fn encode_flow(flow: &FlowState) -> wire::FlowState {
    wire::FlowState {
        flow: encode_u128(flow.flow.0),
        service: flow.service.0,
        caller: encode_address(flow.route.caller),
        address: encode_address(flow.route.address),
        unique: encode_u128(flow.route.unique_id),
        backend_server: flow.backend_server.0,
        requests: flow.requests.iter().map(encode_request).collect(),
        finished: flow.finished.to_vec(),
    }
}

fn encode_request(request: &RequestState) -> wire::RequestState {
    wire::RequestState {
        request: request.request.0,
        idempotent: request.idempotent,
        remaining: request.remaining,
    }
}

fn encode_u128(number: u128) -> Bytes {
    Bytes::copy_from_slice(&number.to_be_bytes())
}

/// Encodes the IP address and the port. Flow labels and scope identifiers of IPv6 addresses are
/// left out, because they have a meaning only on this host.
fn encode_address(address: SocketAddr) -> Bytes {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes.into()
}
