//! Owners of backend servers, computed from the live members.

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::ids::{
    BackendServerId,
    InstanceId,
    ZoneId, //
};
use crate::membership::Membership;
use crate::rendezvous::{
    SUCCESSION,
    rank_owners, //
};

/// The owner of a backend server and its successors, in order.
pub type Succession = SmallVec<[InstanceId; SUCCESSION]>;

/// The owners of backend servers, kept until the membership changes.
#[derive(Default)]
pub struct Owners {
    /// The membership's generation that the entries were computed from.
    generation: u64,
    cache: FxHashMap<BackendServerId, Succession>,
}

impl Owners {
    /// Returns the owner of a backend server and its successors.
    pub fn succession(
        &mut self,
        server: BackendServerId,
        zone: ZoneId,
        membership: &Membership,
    ) -> &Succession {
        if self.generation != membership.generation() {
            self.generation = membership.generation();
            self.cache.clear();
        }
        self.cache
            .entry(server)
            .or_insert_with(|| compute(server, zone, membership))
    }

    /// Forgets all entries, because zones or backend servers changed.
    pub fn clear(&mut self) {
        self.cache.clear();
    }
}

/// Computes a succession. Where the zone has no live instance, instances of the region's other
/// zones own its backend servers.
pub fn compute(server: BackendServerId, zone: ZoneId, membership: &Membership) -> Succession {
    let live = membership.live(zone);
    if !live.is_empty() {
        return rank_owners(server, live);
    }
    rank_owners(server, &membership.live_region())
}
