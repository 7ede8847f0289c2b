//! Ownership of backend servers: assigns them by the live members, and acquires, releases and
//! fences them.

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::action::Action;
use crate::config::ServerState;
use crate::counter::Counter;
use crate::event::Health;
use crate::ids::{
    BackendServerId,
    InstanceId,
    ZoneId, //
};
use crate::instance::Instance;
use crate::owners::{
    Succession,
    is_vacant, //
};
use crate::peer::MemberState;
use crate::servers::{
    Phase,
    Server, //
};
use crate::state_change::StateChange;
use crate::time::Time;
use crate::warmup::Warmup;

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnershipSettings {
    /// Time after sending a heartbeat for which its acknowledgement by the successor allows the
    /// owner to admit requests.
    #[serde(with = "humantime_serde")]
    pub fence: Duration,
    /// Time that a successor waits after its last acknowledgement before it admits requests. Must
    /// be longer than the fence, so that a paused owner is fenced before its successor admits.
    #[serde(with = "humantime_serde")]
    pub takeover: Duration,
    /// Additional time that the first instance of a zone waits, so that the instances of other
    /// zones that owned the backend servers of this zone are informed of it.
    #[serde(with = "humantime_serde")]
    pub distance: Duration,
    /// Time for which a new owner allows for flows and requests of the former one. Also the time
    /// for which closed flows are stored.
    #[serde(with = "humantime_serde")]
    pub memory: Duration,
}

impl Default for OwnershipSettings {
    fn default() -> OwnershipSettings {
        OwnershipSettings {
            fence: Duration::from_millis(900),
            takeover: Duration::from_millis(1500),
            distance: Duration::from_secs(2),
            memory: Duration::from_secs(60),
        }
    }
}

/// Number of successors that have to acknowledge a heartbeat before an expired lease is renewed.
/// The second one may have taken over while the owner and its first successor were both paused.
const RENEWAL_QUORUM: usize = 2;

impl Instance {
    /// Recomputes ownership if its inputs changed, and acquires and releases backend servers
    /// accordingly.
    pub(crate) fn refresh_owners(&mut self, now: Time, out: &mut Vec<Action>) {
        let visible = self.is_visible();
        let inputs = (
            self.membership.generation(),
            self.configuration.revision,
            visible,
        );
        if self.owners_inputs == Some(inputs) {
            return;
        }
        self.owners_inputs = Some(inputs);
        let assigned = self.assigned_servers();
        for id in self.servers.ids() {
            if !assigned.iter().any(|(other, _)| *other == id) {
                self.refresh_unassigned(now, id, out);
            }
        }
        let mut former = FxHashMap::default();
        let mut partners: SmallVec<[InstanceId; 16]> = SmallVec::new();
        for (id, succession) in assigned {
            for instance in succession.iter().take(RENEWAL_QUORUM + 1) {
                if *instance != self.member.id && !partners.contains(instance) {
                    partners.push(*instance);
                }
            }
            if succession.first() == Some(&self.member.id) {
                self.refresh_owned(now, id, &succession, out);
            } else {
                if self.servers.owns(id) {
                    self.release(now, id, succession.first().copied(), out);
                }
                if let Some(owner) = succession.first() {
                    former.insert(id, *owner);
                }
            }
        }
        self.former_owners = former;
        self.membership.set_partners(&partners);
    }

    /// Returns the backend servers that this instance owns or is a successor of, computed from the
    /// present members.
    fn assigned_servers(&mut self) -> Vec<(BackendServerId, Succession)> {
        let me = self.member.id;
        let mut assigned = Vec::new();
        if !self.is_visible() {
            return assigned;
        }
        for zone in self.ownable_zones() {
            for server in self.configuration.zone_servers(zone) {
                let succession = self.owners.succession(server.id, zone, &self.membership);
                if succession.contains(&me) {
                    assigned.push((server.id, succession.clone()));
                }
            }
        }
        assigned
    }

    /// Returns the local zone, and the zones of the region that have no instance. Evacuated zones
    /// are left out, since nothing is sent to them, not even polls.
    fn ownable_zones(&self) -> SmallVec<[ZoneId; 4]> {
        let vacant = |zone| is_vacant(zone, &self.membership, self.owners.vacant());
        let zones = self.configuration.zones.keys().copied();
        zones
            .filter(|zone| *zone == self.member.zone || vacant(*zone))
            .filter(|zone| self.is_in_service(*zone))
            .collect()
    }

    /// Handles an owned backend server that is not configured any more, or that this instance
    /// neither owns nor succeeds to any more.
    fn refresh_unassigned(&mut self, now: Time, id: BackendServerId, out: &mut Vec<Action>) {
        if self.configuration.servers.contains_key(&id) {
            let zone = self.zone_of(id).filter(|zone| self.is_in_service(*zone));
            let owner = zone.and_then(|zone| self.owner(id, zone));
            self.release(now, id, owner, out);
            return;
        }
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        // Its flows may complete the requests that are in progress.
        server.state = ServerState::Draining;
        if server.flows == 0 {
            self.release(now, id, None, out);
        }
    }

    fn refresh_owned(
        &mut self,
        now: Time,
        id: BackendServerId,
        succession: &Succession,
        out: &mut Vec<Action>,
    ) {
        if !self.servers.owns(id) {
            self.acquire(now, id, out);
        }
        let successors: SmallVec<[InstanceId; 2]> = succession
            .iter()
            .skip(1)
            .copied()
            .take(RENEWAL_QUORUM)
            .collect();
        let Some(config) = self.configuration.servers.get(&id) else {
            return;
        };
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.address = config.address;
        server.endpoint = config.health;
        server.slots = config.slots;
        server.connections = config.connections;
        server.state = config.state;
        if server.successors.first() != successors.first() {
            server.chosen_at = now;
        }
        server.successors = successors;
    }

    fn acquire(&mut self, now: Time, id: BackendServerId, out: &mut Vec<Action>) {
        let Some(config) = self.configuration.servers.get(&id) else {
            return;
        };
        let Some(pool) = self.configuration.pools.get(&config.pool) else {
            return;
        };
        let until = self.takeover_end(now, id);
        let handed = self.handed_limits.remove(&id);
        let phase = if handed.is_some() {
            Phase::Active
        } else {
            Phase::Waiting { until }
        };
        let inherited = self.peer_loads.remove(&id).map(|(_, load)| load);
        let mut warmup = Warmup::cold(now);
        if let Some((_, limit)) = handed {
            warmup.raise_to(limit, config.slots);
        }
        let server = Server {
            id,
            service: pool.service,
            zone: pool.zone,
            address: config.address,
            endpoint: config.health,
            slots: config.slots,
            connections: config.connections,
            state: config.state,
            phase,
            acquired: now,
            successors: SmallVec::new(),
            chosen_at: now,
            fenced: false,
            expired_at: None,
            warmup,
            inherited,
            running: self.count_running(id),
            flows: self.count_hosted(id),
            queue: SmallVec::new(),
            health: Health::Serving,
            missed_polls: 0,
            report: None,
            foreign_samples: SmallVec::new(),
            last_received: None,
            unanswered_since: None,
            down: false,
        };
        out.push(Action::StartPolling {
            backend_server: id,
            health: server.endpoint,
        });
        let flows = server.flows;
        self.servers.insert(server);
        self.counters.add(Counter::Acquisitions);
        out.push(Action::AppendTimeline(StateChange::Acquired {
            backend_server: id,
            flows,
        }));
    }

    /// Counts the requests that a handover brought before this instance became owner.
    fn count_running(&self, id: BackendServerId) -> u32 {
        let running = self
            .requests
            .iter()
            .filter(|(_, request)| request.backend_server == id && request.progress.takes_slot());
        running.count() as u32
    }

    fn count_hosted(&self, id: BackendServerId) -> u32 {
        let place = crate::flows::Placement::Hosted(id);
        self.flows
            .iter()
            .filter(|(_, f)| f.placement == place)
            .count() as u32
    }

    /// Returns when the lease of every possible former owner has expired.
    fn takeover_end(&self, now: Time, id: BackendServerId) -> Time {
        let delay = self.settings.ownership.takeover;
        let former = self.former_owners.get(&id);
        let died =
            former.is_some_and(|owner| self.membership.state(*owner) == Some(MemberState::Dead));
        let mut end = now;
        for dead in self.membership.dead(self.member.zone) {
            if let Some(granted) = self.membership.granted(dead) {
                end = end.max(granted + delay);
            }
        }
        if self.membership.live(self.member.zone).len() <= 1 {
            // An owner in another zone has to be informed of this instance first.
            return end.max(now + delay + self.settings.ownership.distance);
        }
        // The former owner may be alive and hand over. Until it has, its lease is valid.
        if died { end } else { end.max(now + delay) }
    }

    /// Releases a backend server and hands its flows to the next owner.
    pub(crate) fn release(
        &mut self,
        now: Time,
        id: BackendServerId,
        owner: Option<InstanceId>,
        out: &mut Vec<Action>,
    ) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let active = server.phase == Phase::Active;
        if let Some(owner) = owner.filter(|owner| *owner != self.member.id) {
            self.hand_over(now, id, owner, active, out);
        }
        self.servers.remove(id);
        out.push(Action::StopPolling { backend_server: id });
        out.push(Action::AppendTimeline(StateChange::Released {
            backend_server: id,
            owner,
        }));
    }

    /// Returns whether the lease of an owned backend server is valid, and records a change of that.
    pub(crate) fn check_lease(
        &mut self,
        now: Time,
        id: BackendServerId,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(server) = self.servers.get(id) else {
            return false;
        };
        let valid = self.lease_is_valid(now, server);
        let changed = server.fenced == valid;
        if changed {
            self.record_lease(now, id, valid, out);
        }
        valid
    }

    /// Returns whether the owner of a backend server may admit requests, disregarding its free
    /// capacity.
    pub(crate) fn may_admit(&self, now: Time, server: &Server) -> bool {
        server.phase == Phase::Active && self.lease_is_valid(now, server)
    }

    fn lease_is_valid(&self, now: Time, server: &Server) -> bool {
        let fence = self.settings.ownership.fence;
        let quorum = if server.expired_at.is_some() {
            RENEWAL_QUORUM
        } else {
            1
        };
        server.successors.iter().take(quorum).all(|successor| {
            let acked = self.membership.acked(*successor);
            match server.expired_at {
                Some(lapsed) => acked.is_some_and(|sent| sent > lapsed && now.since(sent) < fence),
                // A new successor waits for the takeover delay, which is longer than the fence,
                // before it admits requests. So the lease is valid for the time of the fence after
                // it became successor.
                None => now.since(acked.unwrap_or(server.chosen_at).max(server.chosen_at)) < fence,
            }
        })
    }

    fn record_lease(&mut self, now: Time, id: BackendServerId, valid: bool, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.fenced = !valid;
        let change = if valid {
            server.expired_at = None;
            StateChange::Unfenced { backend_server: id }
        } else {
            server.expired_at = Some(now);
            self.counters.add(Counter::Fences);
            StateChange::Fenced { backend_server: id }
        };
        out.push(Action::AppendTimeline(change));
    }
}
