//! The chain of instances through which updates of the store arrive.

use std::net::SocketAddrV4;

use smallvec::SmallVec;

/// Maximum number of instances on a path. The tree of a zone has three levels, and an instance that
/// the store refuses may add one more chain.
pub const MAX_HOPS: usize = 16;

/// The instances between one instance and the store, nearest first. Empty if it calls the store
/// itself.
///
/// An instance is on its own path only if updates go around in a cycle, in which ages grow although
/// each member seems to have a source. [`SourcePath::through`] excludes that.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SourcePath(
    /// At most [`MAX_HOPS`].
    SmallVec<[SocketAddrV4; 4]>,
);

impl SourcePath {
    /// Creates a path from addresses, nearest first. Returns `None` if there are more than
    /// [`MAX_HOPS`].
    pub fn new(addresses: impl IntoIterator<Item = SocketAddrV4>) -> Option<SourcePath> {
        let addresses: SmallVec<_> = addresses.into_iter().take(MAX_HOPS + 1).collect();
        (addresses.len() <= MAX_HOPS).then_some(SourcePath(addresses))
    }

    /// Returns the path of the instance at `me` if it gets its updates from `source`, whose path
    /// this is. Returns `None` if `source` in turn depends on `me`, or if the path is too long.
    pub fn through(&self, source: SocketAddrV4, me: SocketAddrV4) -> Option<SourcePath> {
        if source == me || self.0.contains(&me) {
            return None;
        }
        SourcePath::new(std::iter::once(source).chain(self.addresses()))
    }

    /// Returns the addresses, nearest first.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.0.iter().copied()
    }

    /// Returns the number of instances between this one and the store.
    pub fn hops(&self) -> u32 {
        self.0.len() as u32
    }
}
