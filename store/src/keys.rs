//! Keys in the platform's key-value service.
//!
//! Revisions are padded with zeros, so that the lexicographic order of keys is the order of
//! revisions.

use bytes::Bytes;
use lovagespindle_decisions::ids::{
    InstanceId,
    Revision, //
};

const CHANGES: &str = "config/change/";
const SNAPSHOTS: &str = "config/snapshot/";

/// Key of the reference to the newest snapshot: its revision and its number of parts.
pub const HEAD: &str = "config/snapshot";

/// Key that exists while an instance writes a snapshot. It belongs to a lease of that instance, so
/// it disappears if the instance fails.
pub const WRITER: &str = "config/snapshot-writer";

/// Returns the key of the change with this revision.
pub fn change(revision: Revision) -> Bytes {
    format!("{CHANGES}{:020}", revision.0).into()
}

/// Returns the start of the range of all changes.
pub fn changes() -> Bytes {
    CHANGES.into()
}

/// Returns the exclusive end of the range of all changes.
pub fn changes_end() -> Bytes {
    // '0' is the character after '/'.
    "config/change0".into()
}

/// Returns the revision in the key of a change, or `None` if it is not such a key.
pub fn change_revision(key: &[u8]) -> Option<Revision> {
    let digits = key.strip_prefix(CHANGES.as_bytes())?;
    std::str::from_utf8(digits).ok()?.parse().ok().map(Revision)
}

/// Returns the start of the range of all snapshot parts.
pub fn parts() -> Bytes {
    SNAPSHOTS.into()
}

/// Returns the exclusive end of the range of all parts of snapshots older than `revision`.
pub fn parts_before(revision: Revision) -> Bytes {
    format!("{SNAPSHOTS}{:020}/", revision.0).into()
}

/// Returns the key of a part of the snapshot with this revision.
pub fn part(revision: Revision, part: u32) -> Bytes {
    format!("{SNAPSHOTS}{:020}/{part:06}", revision.0).into()
}

/// Returns the start of the range of the registry entries of an availability zone.
pub fn instances(zone: &str) -> Bytes {
    format!("instances/{zone}/").into()
}

/// Returns the exclusive end of the range of the registry entries of an availability zone.
pub fn instances_end(zone: &str) -> Bytes {
    // '0' is the character after '/'.
    format!("instances/{zone}0").into()
}

/// Returns the key of the registry entry of an instance.
pub fn instance(zone: &str, id: InstanceId) -> Bytes {
    format!("instances/{zone}/{:016x}", id.0).into()
}
