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

/// Preference for a backend server; lower tiers are chosen first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Tier {
    /// Suspect, and due for a trial. It comes first, so that single flows test the server again. A
    /// trial that fails delays its flow only by the handshake timeout.
    Trial,
    /// Registered and healthy.
    Normal,
    /// The entry expired, or the server is recovering.
    #[strum(serialize = "doubtful")]
    Degraded,
    /// Its handshakes time out.
    Suspect,
}

/// The inputs of a choice other than the backend servers.
pub(super) struct PlacementContext<'a> {
    pub(super) now: Time,
    /// The zone of the local instance.
    pub(super) zone: &'a str,
    pub(super) evacuated: &'a HashSet<Arc<str>>,
    /// Time at which the store last confirmed the view.
    pub(super) last_confirmed: Time,
    /// The longest warm-up time of any service.
    pub(super) warmup: Duration,
    pub(super) settings: &'a Settings,
}

impl PlacementContext<'_> {
    /// Returns the tier of a backend server, or `None` if it may get no flow.
    pub(super) fn tier(&self, server: &Server) -> Option<Tier> {
        if self.evacuated.contains(&server.entry.zone) || self.now < server.warm_at {
            return None;
        }
        if server
            .zone_restored
            .is_some_and(|since| self.may_be_cold(since))
        {
            return None;
        }
        let base = match server.registration {
            Registration::Ready => Tier::Normal,
            Registration::Expired(_) => Tier::Degraded,
            Registration::Draining | Registration::Removed(_) => return None,
        };
        Some(match server.health.state(self.now) {
            HealthState::Healthy => base,
            HealthState::Recovering { .. } if server.active_flows > 0 => Tier::Suspect,
            HealthState::Recovering { .. } => Tier::Degraded,
            HealthState::Suspect { retry, .. } if self.now < retry => Tier::Suspect,
            HealthState::Suspect { .. } => Tier::Trial,
        })
    }

    /// Returns whether a backend server may be cold whose zone was restored at `since` and which
    /// has not written its entry after that. Its next heartbeat reports it, but only if the server
    /// reaches the store.
    fn may_be_cold(&self, since: Time) -> bool {
        let reported = since + self.settings.zone_return;
        self.now < reported || self.last_confirmed < reported && self.now < since + self.warmup
    }

    /// Returns the active flows of a backend server for each of its slots, in units of 1 /
    /// [`COST_SCALE`]. A server of another zone has the zone preference added to its flows.
    fn cost(&self, server: &Server) -> u64 {
        let remote = *server.entry.zone != *self.zone;
        let handicap = if remote {
            self.settings.zone_preference
        } else {
            0.0
        };
        let flows = f64::from(server.active_flows) + handicap;
        (flows * COST_SCALE) as u64 / u64::from(server.entry.slots)
    }
}

/// Costs are integers, so that they can be ordered. This scale preserves the differences between
/// slot counts.
const COST_SCALE: f64 = 65_536.0;

/// Chooses the backend server of a service with the lowest tier and load, leaving out those in
/// `tried`.
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
