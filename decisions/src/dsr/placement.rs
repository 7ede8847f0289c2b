//! The choice of a backend server for an opening packet.

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

/// How willing a backend server is to take a flow; the least is preferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Tier {
    /// Due for a try after it did not answer. Single flows test it, and lose little time.
    Trial,
    /// Nothing speaks against it.
    Normal,
    /// Its entry lapsed, or it answers again since a moment ago.
    #[strum(serialize = "doubtful")]
    Degraded,
    /// It did not answer.
    Suspect,
}

/// What a choice depends on besides the backend servers.
pub(super) struct PlacementContext<'a> {
    /// The present time.
    pub(super) now: Time,
    /// The instance's own zone.
    pub(super) zone: &'a str,
    /// Zones out of service.
    pub(super) evacuated: &'a HashSet<Arc<str>>,
    /// When the store last said how things are.
    pub(super) last_confirmed: Time,
    /// The longest time that a backend server stays cold.
    pub(super) warmup: Duration,
    /// The settings.
    pub(super) settings: &'a Settings,
}

impl PlacementContext<'_> {
    /// Returns the tier of a backend server, or nothing if it may get no flow.
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

    /// Returns whether a backend server may be cold that has not written its entry since its zone
    /// came back. It says so with its next heartbeat, but only if it reaches the store.
    fn may_be_cold(&self, since: Time) -> bool {
        let reported = since + self.settings.zone_return;
        self.now < reported || self.last_confirmed < reported && self.now < since + self.warmup
    }

    /// Returns the busy flows of a backend server for each of its slots, with the preference for the
    /// own zone added to others, in parts of [`COST_SCALE`].
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

/// Costs are whole numbers, so that they have an order; this keeps differences of slots apart.
const COST_SCALE: f64 = 65_536.0;

/// Returns the best backend server of a service that was not tried, with its tier.
///
/// The least loaded wins; equal ones are drawn at random, so that instances do not follow each
/// other.
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
        // A flow that waited in vain for one backend server is no test for another.
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
