//! Packets of flows, independent of their encoding.

use bytes::Bytes;

use crate::ids::{
    BackendServerId,
    FlowId,
    RequestId,
    ServiceId, //
};
use crate::time::Time;

/// Kind of a packet: what it does to its flow.
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
    /// From a caller: carries data of the flow and starts no request.
    Data = 3,
    /// Stops a request. Sent by callers, and to backend servers.
    Cancel = 4,
    /// Ends the flow. Sent by callers, and to backend servers.
    Close = 5,
    /// From a backend server: one part of the answer to a request.
    Answer = 6,
    /// The request did not run.
    Refused = 7,
    /// The request may have run and its outcome is unknown.
    Unknown = 8,
    /// The flow is closed.
    Reset = 9,
}

impl PacketKind {
    /// Returns whether callers may send this kind.
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

    pub fn starts_request(self) -> bool {
        matches!(self, PacketKind::Open | PacketKind::Request)
    }
}

/// Reason why a request was refused or has an unknown outcome, or why a flow was closed.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::EnumString, strum::FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Reason {
    /// No backend server of the service has capacity.
    Overload = 1,
    /// The deadline passed.
    Deadline = 2,
    /// The availability zone was evacuated.
    ZoneOut = 3,
    /// The backend server failed or stopped answering.
    ServerFailed = 4,
    /// The backend server shed the request.
    Shed = 5,
    /// No instance has a record of the flow.
    UnknownFlow = 6,
    /// The service is not configured.
    UnknownService = 7,
    /// The owner of the backend server changed, and it is unknown whether the request ran.
    OwnerChanged = 8,
    /// The owner of the backend server is unreachable.
    OwnerUnreachable = 9,
    /// The caller cancelled the request.
    Cancelled = 10,
    /// The instance is shutting down.
    Shutdown = 11,
    /// The request has already run, and its answer is not stored.
    Repeated = 12,
}

/// Maximum payload of one packet in bytes, so that a datagram with its headers stays below the IPv6
/// minimum MTU.
pub const MAX_PAYLOAD: usize = 1024;

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Service that the caller addressed. Instances never rewrite it.
    pub service: ServiceId,
    pub flow: FlowId,
    pub kind: PacketKind,
    /// Request that the packet belongs to, or zero if it belongs to none.
    pub request: RequestId,
    /// 0 for the first attempt of a request; the caller increments it with each repetition.
    pub attempt: u8,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time at which the caller stops waiting, if it sent one.
    pub deadline: Option<Time>,
    /// Index of an answer part, starting at 0.
    pub part: u32,
    /// Whether this is the last part of the answer.
    pub last: bool,
    /// Set for `Refused`, `Unknown` and `Reset`.
    pub reason: Option<Reason>,
    /// Addresses of the flow, not interpreted by the decisions.
    pub route: Route,
    /// Body, not interpreted by the decisions; at most [`MAX_PAYLOAD`] bytes.
    pub payload: Bytes,
}

/// Addresses that the front end needs to encode another packet of the flow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Route {
    pub caller: std::net::SocketAddr,
    /// Address of the service.
    pub address: std::net::SocketAddr,
    /// Unique id of the flow, assigned by the fabric.
    pub unique_id: u128,
}

impl Packet {
    /// Returns a packet that tells the caller how a request or flow ended.
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

/// Why an instance relays a packet to another instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Purpose {
    /// The packet opens a flow. Place it on the backend server or a later candidate.
    Place = 1,
    /// The flow may have a record. Look it up, or relay the packet along the candidates.
    Find = 2,
    /// No instance has a record of the flow. The owner of the first candidate decides.
    Adopt = 3,
    /// The packet comes from a backend server that the receiver owns.
    Answer = 4,
}

/// Header that an instance adds to a packet that it relays to another instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Relay {
    pub purpose: Purpose,
    /// Number of instances that the packet has passed; at most [`MAX_HOPS`].
    pub hops: u8,
    /// Position in the candidate list of the flow.
    pub candidate: u8,
    /// Age of the candidate table that the candidate was looked up in; 0 is the current table.
    pub table: u8,
    /// Backend server whose owner should handle the packet.
    pub backend_server: BackendServerId,
    /// Whether the request may have run already, in an earlier attempt or retry that has no record.
    /// Such a request must not be reported as not run.
    pub possibly_executed: bool,
}

/// Number of instances that a packet may pass before it is dropped. Enough for four candidates,
/// each after one owner change.
pub const MAX_HOPS: u8 = 8;
