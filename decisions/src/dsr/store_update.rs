//! What the platform's store tells.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::routes::RouteTable;

/// A revision of the store. It rises with each change.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

/// Something that holds from a revision on.
#[derive(Clone, Debug)]
pub struct Revisioned<T> {
    /// The revision.
    pub revision: Revision,
    /// What holds.
    pub change: T,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The name of its service.
    pub service: Arc<str>,
    /// The number that tells it apart from others at its address.
    pub identity: u64,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// How many requests it works on at once; at least 1.
    pub slots: u32,
    /// It is about to leave.
    pub draining: bool,
    /// How long it stays cold, from when it wrote this.
    pub warmup_left: Duration,
}

/// One change of what the store holds.
#[derive(Clone, Debug)]
pub enum Change {
    /// Operators put routes into force.
    Routes(RouteTable),
    /// A backend server, by identifier, wrote its entry.
    Server(Arc<str>, ServerEntry),
    /// The entry of a backend server is gone.
    ServerRemoved(Arc<str>),
    /// The entry of a backend server cannot be used, for that reason.
    ServerInvalid(Arc<str>, String),
    /// Operators took a zone out of service.
    ZoneEvacuated(Arc<str>),
    /// Operators brought a zone back.
    ZoneRestored(Arc<str>),
}

/// A document of the store as it was written or removed. Instances pass it on without looking into
/// it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    /// Its key.
    pub key: Arc<str>,
    /// The revision of this change.
    pub revision: Revision,
    /// What was written; nothing if the key was removed.
    pub value: Option<Bytes>,
}

/// What documents or changes cover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateKind {
    /// Everything that the store holds, and removals of not long ago.
    Snapshot,
    /// Everything that changed after a revision. It is of no use to those who know less.
    Delta(Revision),
}

impl Default for UpdateKind {
    fn default() -> UpdateKind {
        UpdateKind::Delta(Revision::default())
    }
}

/// Documents from the store or from another instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DocumentUpdate {
    /// The documents in the order of the store.
    pub documents: Vec<Document>,
    /// The revision up to which this is complete.
    pub revision: Revision,
    /// What this covers up to that revision.
    pub kind: UpdateKind,
    /// How long ago the store confirmed this.
    pub age: Duration,
}

/// What a bulletin says.
#[derive(Clone, Debug, Default)]
pub struct StoreUpdate {
    /// The changes in the order of the store.
    pub changes: Vec<Revisioned<Change>>,
    /// The revision up to which this is complete.
    pub revision: Revision,
    /// What this covers up to that revision.
    pub kind: UpdateKind,
    /// How long ago the store confirmed this.
    pub age: Duration,
}
