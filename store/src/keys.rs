//! Keys in the platform's key-value service.
//!
//! Revisions are padded with zeros, so that the order of keys is the order of revisions.

use bytes::Bytes;
use lovagespindle_decisions::ids::{
    InstanceId,
    Revision, //
};

const CHANGES: &str = "config/change/";
const SNAPSHOTS: &str = "config/snapshot/";

/// The key that names the newest snapshot.
pub const HEAD: &str = "config/snapshot";

/// The key that the writer of a snapshot holds with a lease.
pub const WRITER: &str = "config/snapshot-writer";

/// Returns the key of a change.
pub fn change(revision: Revision) -> Bytes {
    format!("{CHANGES}{:020}", revision.0).into()
}

/// Returns the first key of all changes.
pub fn changes() -> Bytes {
    CHANGES.into()
}

/// Returns the first key after all changes.
pub fn changes_end() -> Bytes {
    // '0' follows '/'.
    "config/change0".into()
}

/// Returns the revision in the key of a change.
pub fn change_revision(key: &[u8]) -> Option<Revision> {
    let digits = key.strip_prefix(CHANGES.as_bytes())?;
    std::str::from_utf8(digits).ok()?.parse().ok().map(Revision)
}

/// Returns the first key of all parts of snapshots.
pub fn parts() -> Bytes {
    SNAPSHOTS.into()
}

/// Returns the first key after the parts of snapshots before a revision.
pub fn parts_before(revision: Revision) -> Bytes {
    format!("{SNAPSHOTS}{:020}/", revision.0).into()
}

/// Returns the key of one part of a snapshot.
pub fn part(revision: Revision, part: u32) -> Bytes {
    format!("{SNAPSHOTS}{:020}/{part:06}", revision.0).into()
}

/// Returns the first key of the list of one zone's instances.
pub fn instances(zone: &str) -> Bytes {
    format!("instances/{zone}/").into()
}

/// Returns the first key after the list of one zone's instances.
pub fn instances_end(zone: &str) -> Bytes {
    // '0' follows '/'.
    format!("instances/{zone}0").into()
}

/// Returns the key of one instance in its zone's list.
pub fn instance(zone: &str, id: InstanceId) -> Bytes {
    format!("instances/{zone}/{:016x}", id.0).into()
}
