//! Packets of flows, free of any encoding.

use bytes::Bytes;

use crate::ids::{
    BackendServerId,
    FlowId,
    RequestId,
    ServiceId, //
};
use crate::time::Time;

/// What a packet does to its flow.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::EnumString, strum::FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum PacketKind {
    /// From a caller: opens the flow and starts its first request.
    Open = 1,
    /// From a caller: starts another request on an open flow.
    Request = 2,
    /// From a caller: belongs to the flow and starts nothing.
    Data = 3,
    /// From a caller: gives up a request. Towards a backend server: stops a request.
    Cancel = 4,
    /// From a caller: ends the flow.
    Close = 5,
    /// From a backend server: one part of the answer to a request.
    Answer = 6,
    /// The request did not run.
    Refused = 7,
    /// The request may have run; its outcome is unknown.
    Unknown = 8,
    /// The flow is closed.
    Reset = 9,
}

impl PacketKind {
    /// Returns whether a caller may send this kind.
    pub fn from_caller(self) -> bool {
        matches!(
            self,
            PacketKind::Open
                | PacketKind::Request
                | PacketKind::Data
                | PacketKind::Cancel
                | PacketKind::Close
        )
    }

    /// Returns whether this kind starts a request.
    pub fn starts_request(self) -> bool {
        matches!(self, PacketKind::Open | PacketKind::Request)
    }
}

/// Why a request was refused, has no known outcome, or a flow was closed.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::EnumString, strum::FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Reason {
    /// No backend server of the service has room.
    Overload = 1,
    /// The deadline passed.
    Deadline = 2,
    /// The availability zone was taken out.
    ZoneOut = 3,
    /// The backend server failed or went silent.
    ServerFailed = 4,
    /// The backend server shed the request.
    Shed = 5,
    /// No instance holds the flow.
    UnknownFlow = 6,
    /// The service is not configured.
    UnknownService = 7,
    /// The owner of the backend server changed, so that it cannot be told whether the request ran.
    OwnerChanged = 8,
    /// The owner of the backend server cannot be reached.
    OwnerUnreachable = 9,
    /// The caller gave the request up.
    Cancelled = 10,
    /// The instance is shutting down.
    Shutdown = 11,
    /// The request ran before; its answer is not kept.
    Repeated = 12,
}

/// The largest payload of one packet, in bytes, so that a datagram stays under the IPv6 minimum
/// MTU with its headers.
pub const MAX_PAYLOAD: usize = 1024;

/// One packet of a flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    /// The service that the caller addressed. Never rewritten on the way.
    pub service: ServiceId,
    /// The flow that the packet belongs to.
    pub flow: FlowId,
    /// What the packet does.
    pub kind: PacketKind,
    /// The request that the packet belongs to; zero where it belongs to none.
    pub request: RequestId,
    /// 0 for the first attempt of a request, one more for each repetition by the caller.
    pub attempt: u8,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// When the caller stops waiting, if it said so.
    pub deadline: Option<Time>,
    /// The index of an answer part, from 0.
    pub part: u32,
    /// Whether this is the last part of the answer.
    pub last: bool,
    /// Why, for `Refused`, `Unknown` and `Reset`.
    pub reason: Option<Reason>,
    /// The addresses of the flow, opaque to the decisions.
    pub route: Route,
    /// The body, opaque to the decisions; at most [`MAX_PAYLOAD`] bytes.
    pub payload: Bytes,
}

/// The addresses that the front end needs to encode a packet of the flow again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Route {
    /// The caller.
    pub caller: std::net::SocketAddr,
    /// The address of the service.
    pub address: std::net::SocketAddr,
    /// The fabric's unique id of the flow.
    pub unique_id: u128,
}

impl Packet {
    /// Returns the packet that tells the caller how a request or flow ended.
    pub fn reply(&self, kind: PacketKind, reason: Reason) -> Packet {
        Packet {
            kind,
            reason: Some(reason),
            deadline: None,
            part: 0,
            last: true,
            payload: Bytes::new(),
            ..self.clone()
        }
    }
}

/// Why an instance passes a packet on to another.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Purpose {
    /// The packet opens a flow: place it on the backend server or a later candidate.
    Place = 1,
    /// The flow may have a record: look it up, or pass the packet on along the candidates.
    Find = 2,
    /// No instance has a record of the flow: the owner of the first candidate decides.
    Adopt = 3,
    /// The packet comes from a backend server that the receiver owns.
    Answer = 4,
}

/// What one instance tells another about a packet that it passes on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Relay {
    /// Why the packet is passed on.
    pub purpose: Purpose,
    /// How many instances the packet has passed; at most [`MAX_HOPS`].
    pub hops: u8,
    /// The position in the candidate list of the flow.
    pub candidate: u8,
    /// How many tables back the candidate was looked up; 0 is the present one.
    pub table: u8,
    /// The backend server whose owner should handle the packet.
    pub backend_server: BackendServerId,
    /// Whether an earlier attempt or send of the request may have run without a record that tells.
    /// Such a request must not be reported as not run.
    pub possibly_executed: bool,
}

/// The most instances that a packet passes before it is dropped. Covers four candidates, each
/// after one owner change.
pub const MAX_HOPS: u8 = 8;
