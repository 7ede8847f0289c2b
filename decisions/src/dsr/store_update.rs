//! Updates of the store: decoded changes, and raw documents for other instances.

use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::routes::RouteTable;

/// A revision of the store. It increases with each change.
///
/// A store that was restored from a copy gives out numbers again, in a later era. Revisions of an
/// earlier era do not tell which changes of a later one are known.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision {
    /// Number of times that the store was restored. Compared before the number.
    pub era: u64,
    pub number: u64,
}

impl From<u64> for Revision {
    /// Returns a revision of a store that was never restored.
    fn from(number: u64) -> Revision {
        Revision { era: 0, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number)?;
        match self.era {
            0 => Ok(()),
            era => write!(f, " era={era}"),
        }
    }
}

/// A change with its revision.
#[derive(Clone, Debug)]
pub struct Revisioned<T> {
    pub revision: Revision,
    pub change: T,
}

/// The order of the entries that one backend server writes, which a restored store does not change.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryVersion {
    /// Unix time of the server's start in milliseconds, 0 if it does not say.
    pub born: u64,
    /// Rises with each entry that the server writes, from its start on.
    pub sequence: u64,
}

/// The entry that a backend server writes about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub version: EntryVersion,
    /// The name of its service.
    pub service: Arc<str>,
    /// The number that distinguishes it from other servers at the same address.
    pub identity: u64,
    /// The address at which it receives packets.
    pub address: SocketAddrV4,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// The number of requests that it processes concurrently; at least 1.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The remaining warm-up time when the entry was written.
    pub warmup_left: Duration,
}

/// A change of the contents of the store.
#[derive(Clone, Debug)]
pub enum Change {
    /// Operators activated routes.
    Routes(RouteTable),
    /// The backend server with this identifier wrote its entry.
    Server(Arc<str>, ServerEntry),
    /// The entry of the backend server with this identifier was removed.
    ServerRemoved(Arc<str>),
    /// The entry of a backend server is invalid, with the reason.
    ServerInvalid(Arc<str>, String),
    /// Operators evacuated a zone.
    ZoneEvacuated(Arc<str>),
    /// Operators restored a zone.
    ZoneRestored(Arc<str>),
}

/// A document that was written to the store or removed from it. Instances pass it on without
/// decoding it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Document {
    pub key: Arc<str>,
    /// The revision of this change.
    pub revision: Revision,
    /// The contents, or `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// The part of the history that an update covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateKind {
    /// All contents of the store, and recent removals.
    Snapshot,
    /// Some contents of the store; the rest follows with a snapshot.
    Part,
    /// All changes after this revision. An instance that lacks earlier ones cannot apply it.
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
    /// The documents, in the order of the store for a delta.
    pub documents: Vec<Document>,
    /// The revision up to which the update is complete.
    pub revision: Revision,
    pub kind: UpdateKind,
    /// Time since the store confirmed the update.
    pub age: Duration,
}

/// The decoded changes of a [`DocumentUpdate`].
#[derive(Clone, Debug, Default)]
pub struct StoreUpdate {
    /// The changes, in the order of the store for a delta.
    pub changes: Vec<Revisioned<Change>>,
    /// The revision up to which the update is complete.
    pub revision: Revision,
    pub kind: UpdateKind,
    /// Time since the store confirmed the update.
    pub age: Duration,
}
