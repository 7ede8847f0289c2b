//! From control messages to their encoded form.

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

/// Converts a control message.
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
            sender: Some(update(sender)),
            sequence: *sequence,
            revision: revision.0,
            digest: *digest,
            updates: updates.iter().map(update).collect(),
            loads: loads.iter().map(load).collect(),
        }),
        PeerMessage::HeartbeatAck {
            sender,
            sequence,
            revision,
            digest,
            updates,
        } => Message::HeartbeatAck(wire::HeartbeatAck {
            sender: Some(update(sender)),
            sequence: *sequence,
            revision: revision.0,
            digest: *digest,
            updates: updates.iter().map(update).collect(),
        }),
        PeerMessage::ProbeRequest {
            target,
            sender,
            sequence,
        } => Message::ProbeRequest(wire::ProbeRequest {
            target: Some(member(target)),
            sender: Some(update(sender)),
            sequence: *sequence,
        }),
        PeerMessage::ProbeForward { origin, sequence } => {
            Message::ProbeForward(wire::ProbeForward {
                origin: Some(update(origin)),
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
            updates: updates.iter().map(update).collect(),
        }),
        PeerMessage::PullChanges { after } => {
            Message::PullChanges(wire::PullChanges { after: after.0 })
        }
        PeerMessage::Changes { records } => Message::Changes(wire::Changes {
            records: records.iter().map(record::encode).collect(),
        }),
        PeerMessage::RegisterOverrides { overrides } => {
            Message::RegisterExceptions(wire::RegisterExceptions {
                exceptions: overrides.iter().map(exception).collect(),
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
            flows: flows.iter().map(flow).collect(),
            last: *last,
        }),
        PeerMessage::Leave { sender } => Message::Leave(wire::Leave {
            sender: Some(update(sender)),
        }),
    })
}

fn update(update: &MemberUpdate) -> wire::MemberUpdate {
    wire::MemberUpdate {
        member: Some(member(&update.member)),
        state: i32::from(update.state as u8),
        incarnation: update.incarnation,
    }
}

fn member(member: &Member) -> wire::Member {
    wire::Member {
        id: member.id.0,
        zone: member.zone.0,
        control: address(member.control),
        relay: address(member.relay),
    }
}

fn load(load: &LoadShare) -> wire::LoadShare {
    wire::LoadShare {
        backend_server: load.backend_server.0,
        used: u32::from(load.used),
        limit: u32::from(load.limit),
        boot: load.boot,
    }
}

fn exception(exception: &FlowOverride) -> wire::Exception {
    wire::Exception {
        flow: number(exception.flow.0),
        service: exception.service.0,
        backend_server: exception.backend_server.0,
    }
}

fn flow(flow: &FlowState) -> wire::FlowState {
    wire::FlowState {
        flow: number(flow.flow.0),
        service: flow.service.0,
        caller: address(flow.route.caller),
        address: address(flow.route.address),
        unique: number(flow.route.unique_id),
        backend_server: flow.backend_server.0,
        requests: flow.requests.iter().map(request).collect(),
        finished: flow.finished.to_vec(),
    }
}

fn request(request: &RequestState) -> wire::RequestState {
    wire::RequestState {
        request: request.request.0,
        idempotent: request.idempotent,
        remaining: request.remaining,
    }
}

fn number(number: u128) -> Bytes {
    Bytes::copy_from_slice(&number.to_be_bytes())
}

/// Flow labels and scopes of IPv6 addresses mean nothing to another instance and are left out.
fn address(address: SocketAddr) -> Bytes {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes.into()
}
