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

/// The owners of backend servers, kept until the membership changes. A new configuration leaves them
/// as they are: a backend server never changes its zone, and identifiers are never reused.
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
