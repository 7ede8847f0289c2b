//! The choice of a backend server for a SYN.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use rand_core::RngCore;
use rand_pcg::Pcg32;

use crate::time::Time;

use super::passive_health::HealthState;
use super::servers::{
    Registration,
    Server,
    ServerKey,
    Servers, //
};
use super::settings::Settings;
use super::zone_health::{
    ZoneHealth,
    ZoneState, //
};

/// Preference for a backend server; lower tiers are chosen first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Tier {
    /// It or its zone is suspect, and due for a trial. This tier comes first, so that one flow at a time tests the
    /// server. If the test fails, that flow is delayed by one handshake timeout.
    Trial,
    /// Registered and healthy.
    Normal,
    /// The entry expired, or the server is recovering and has no active flow. The log keeps the
    /// value `doubtful` for this tier.
    #[strum(serialize = "doubtful")]
    Degraded,
    /// Its handshakes or those of its whole zone time out, or it is recovering and has an active flow.
    Suspect,
}

/// The inputs of a choice that are common to all candidate servers.
pub(super) struct PlacementContext<'a> {
    pub(super) now: Time,
    /// The zone of the local instance.
    pub(super) zone: &'a str,
    /// The zones that are evacuated.
    pub(super) evacuated: &'a HashSet<Arc<str>>,
    /// Time at which the store last confirmed the view, [`Time::ZERO`] if it never did.
    pub(super) last_confirmed: Time,
    /// Time since which the store confirms the view without a long gap or a restoration.
    pub(super) steady_since: Time,
    /// The longest warm-up time of any service.
    pub(super) max_warmup: Duration,
    pub(super) settings: &'a Settings,
    pub(super) zone_health: &'a ZoneHealth,
}

impl PlacementContext<'_> {
    /// Returns the tier of a backend server, or `None` if it may get no flow.
    pub(super) fn tier(&self, server: &Server) -> Option<Tier> {
        if self.evacuated.contains(&server.entry.zone) || self.now < server.warm_at {
            return None;
        }
        if server
            .zone_restored
            .is_some_and(|restored_at| self.may_be_cold(restored_at))
        {
            return None;
        }
        let base = match server.registration {
            Registration::Ready => Tier::Normal,
            Registration::Expired(_) => Tier::Degraded,
            Registration::Draining | Registration::Invalid | Registration::Removed(_) => {
                return None;
            }
        };
        let own = match server.health.state(self.now) {
            HealthState::Healthy => base,
            // A recovering server gets one flow at a time, so further flows prefer other servers.
            HealthState::Recovering { .. } if server.active_flows > 0 => Tier::Suspect,
            HealthState::Recovering { .. } => Tier::Degraded,
            HealthState::Suspect { retry, .. } if self.now < retry => Tier::Suspect,
            HealthState::Suspect { .. } => Tier::Trial,
        };
        Some(match self.zone_health.state(self.now, &server.entry.zone) {
            ZoneState::Healthy => own,
            ZoneState::Trial if own == Tier::Normal => Tier::Trial,
            ZoneState::Trial | ZoneState::Suspect => Tier::Suspect,
        })
    }

    /// Returns whether a backend server may still be warming up. Its zone was restored at
    /// `restored_at`, and its entry has not been updated since.
    ///
    /// A server that reaches the store updates its entry within `zone_return`, also after a store that
    /// was restored from a copy has lost the update. If the store has not confirmed the view after
    /// that, the server counts as cold for the longest warm-up time.
    fn may_be_cold(&self, restored_at: Time) -> bool {
        let due = restored_at + self.settings.zone_return;
        let updated = restored_at.max(self.steady_since) + self.settings.zone_return;
        self.now < due || self.last_confirmed < updated && self.now < restored_at + self.max_warmup
    }

    /// Returns the number of active flows per slot of a backend server, multiplied by
    /// [`COST_SCALE`]. The remote penalty `zone_preference` is added to the flows of a server of
    /// another zone before the division.
    fn cost(&self, server: &Server) -> u64 {
        let remote = *server.entry.zone != *self.zone;
        let remote_penalty = if remote {
            self.settings.zone_preference
        } else {
            0.0
        };
        let flows = f64::from(server.active_flows) + remote_penalty;
        (flows * COST_SCALE) as u64 / u64::from(server.entry.slots)
    }
}

/// Factor of costs. Costs are integers, because floating-point numbers have no total order. The
/// factor preserves fractions of a flow per slot.
const COST_SCALE: f64 = 65_536.0;

/// Chooses the backend server of a service with the lowest tier and, within the tier, the lowest
/// cost. Servers in `tried` are skipped.
///
/// Ties are broken at random, so that instances do not all choose the same server.
pub(super) fn choose(
    servers: &Servers,
    service: &str,
    tried: &[ServerKey],
    context: &PlacementContext<'_>,
    random: &mut Pcg32,
) -> Option<(ServerKey, Tier)> {
    let mut best: Option<(Tier, u64, u32, ServerKey)> = None;
    for key in servers.of_service(service) {
        let Some(server) = servers.get(*key).filter(|_| !tried.contains(key)) else {
            continue;
        };
        let Some(mut tier) = context.tier(server) else {
            continue;
        };
        // A flow that already waited for one backend server must not wait for a trial of another.
        if tier == Tier::Trial && !tried.is_empty() {
            tier = Tier::Suspect;
        }
        let rank = (tier, context.cost(server), random.next_u32(), *key);
        if best.is_none_or(|best| rank < best) {
            best = Some(rank);
        }
    }
    best.map(|(tier, _, _, key)| (key, tier))
}
