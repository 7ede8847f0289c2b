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
    MAX_SUCCESSION,
    rank_owners, //
};

/// Owner of a backend server and its successors, in order.
pub type Succession = SmallVec<[InstanceId; MAX_SUCCESSION]>;

/// Owners of backend servers, cached until the membership changes. A new configuration does not
/// change them: a backend server never changes its zone, and identifiers are never reused.
#[derive(Default)]
pub struct Owners {
    /// Generation of the membership that the entries were computed from.
    generation: u64,
    /// Zones of the region without a registered instance.
    vacant: SmallVec<[ZoneId; 4]>,
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
            .or_insert_with(|| compute(server, zone, membership, &self.vacant))
    }

    /// Sets the zones without a registered instance, and returns whether they changed.
    pub fn set_vacant(&mut self, vacant: SmallVec<[ZoneId; 4]>) -> bool {
        if self.vacant == vacant {
            return false;
        }
        self.vacant = vacant;
        self.cache.clear();
        true
    }

    /// Returns the zones without a registered instance.
    pub fn vacant(&self) -> &[ZoneId] {
        &self.vacant
    }
}

/// Returns whether a zone has no instance: either all known ones have left, or the zone is in
/// `unregistered` and has no live member.
pub fn is_vacant(zone: ZoneId, membership: &Membership, unregistered: &[ZoneId]) -> bool {
    let unregistered = unregistered.contains(&zone) && membership.live(zone).is_empty();
    unregistered || membership.is_vacated(zone)
}

/// Computes a succession. If the zone is vacant, instances of the other zones of the region own its
/// backend servers. A zone without known instances is not necessarily vacant.
pub fn compute(
    server: BackendServerId,
    zone: ZoneId,
    membership: &Membership,
    vacant: &[ZoneId],
) -> Succession {
    let live = membership.live(zone);
    if !is_vacant(zone, membership, vacant) {
        return rank_owners(server, live);
    }
    rank_owners(server, &membership.live_region())
}
