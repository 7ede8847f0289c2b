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

/// The owner of a backend server and its successors, in order.
pub type Succession = SmallVec<[InstanceId; MAX_SUCCESSION]>;

/// The owners of backend servers, kept until the membership changes. A new configuration leaves them
/// as they are: a backend server never changes its zone, and identifiers are never reused.
#[derive(Default)]
pub struct Owners {
    /// The membership's generation that the entries were computed from.
    generation: u64,
    /// Zones of the region that have no instance of their own.
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

    /// Sets the zones that have no instance of their own; returns whether that is a change.
    pub fn set_vacant(&mut self, vacant: SmallVec<[ZoneId; 4]>) -> bool {
        if self.vacant == vacant {
            return false;
        }
        self.vacant = vacant;
        self.cache.clear();
        true
    }

    /// Returns the zones that have no instance of their own.
    pub fn vacant(&self) -> &[ZoneId] {
        &self.vacant
    }
}

/// Returns whether a zone has no instance: those that were known have left, or the platform's list
/// has had none for a while.
pub fn is_vacant(zone: ZoneId, membership: &Membership, listed: &[ZoneId]) -> bool {
    let listed = listed.contains(&zone) && membership.live(zone).is_empty();
    listed || membership.is_vacated(zone)
}

/// Computes a succession. Where the zone has no instance, instances of the region's other zones own
/// its backend servers. A zone of which no instance is known need not be vacant.
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
