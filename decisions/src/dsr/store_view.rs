//! The instance's view of the store: routes, backend servers and evacuated zones.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

use super::decision::Decision;
use super::passive_health::PassiveHealth;
use super::routes::RouteTable;
use super::segment::{
    Tag,
    Target, //
};
use super::server_loss::Liveness;
use super::servers::{
    Registration,
    Server,
    ServerKey,
    Servers, //
};
use super::settings::Settings;
use super::store_update::{
    Change,
    Revision,
    Revisioned,
    ServerEntry,
    StoreUpdate,
    UpdateKind, //
};

/// Time for which a removed backend server stays known, so that the packets of its flows still
/// reach it. Flows last at most this long.
const RETENTION: Duration = Duration::from_secs(60);

/// Time without a confirmation by the store after which entries may have expired although their
/// backend servers live. Confirmations are at most about 1.5 s apart while the store answers.
const MAX_GAP: Duration = Duration::from_secs(2);

/// The routes, backend servers and zones according to the store.
#[derive(Debug, Default)]
pub(super) struct StoreView {
    /// The active routes. Their version never decreases.
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) servers: Servers,
    /// Zones that operators evacuated.
    pub(super) evacuated: HashSet<Arc<str>>,
    /// The time of the last confirmation by the store.
    pub(super) last_confirmed: Option<Time>,
    /// Whether the log says that the view is older than the bound.
    stale: bool,
    /// The time since which the store has confirmed the view without a long gap or a restoration.
    steady_since: Time,
    /// Zones that were evacuated when the store was restored from a copy that does not say so.
    /// Operators write them again if they still are.
    unconfirmed: HashSet<Arc<str>>,
    /// Backend servers whose entries were removed, and whose open flows were not reset since.
    pub(super) removed: Vec<ServerKey>,
    /// The revision up to which the view is complete.
    revision: Revision,
}

impl StoreView {
    /// Returns the time since the store last confirmed the view, or since time zero if it never
    /// did.
    pub(super) fn age(&self, now: Time) -> Duration {
        now.since(self.last_confirmed.unwrap_or(Time::ZERO))
    }

    /// Returns the time since which the store has confirmed the view without a long gap or a
    /// restoration.
    pub(super) fn steady_since(&self) -> Time {
        self.steady_since
    }

    /// Returns the version of the active routes, or 0 before the first ones.
    pub(super) fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the longest warm-up time of any service.
    pub(super) fn warmup(&self) -> Duration {
        self.table
            .as_ref()
            .map_or(Duration::ZERO, |table| table.warmup)
    }

    /// Returns whether a complete snapshot was applied.
    pub(super) fn is_complete(&self) -> bool {
        self.last_confirmed.is_some()
    }

    /// Returns whether the entries of all live backend servers are in the view: the store has been
    /// available for long enough that those that expired during an outage were written again.
    pub(super) fn is_settled(&self, now: Time, settings: &Settings) -> bool {
        now.since(self.steady_since) >= settings.lapse && self.age(now) < MAX_GAP
    }

    /// Applies an update. The view is complete up to its revision, so older changes are skipped,
    /// and a delta that starts after it is ignored, because changes in between would be lost.
    ///
    /// An update of an earlier era of the store is ignored, and confirms nothing.
    pub(super) fn apply(&mut self, now: Time, mut update: StoreUpdate, log: &mut Vec<Decision>) {
        if update.revision.era < self.revision.era {
            return;
        }
        let restored = self.is_complete() && update.revision.era > self.revision.era;
        match update.kind {
            UpdateKind::Delta(base) if base > self.revision => return,
            UpdateKind::Part => return self.apply_part(now, update, log),
            UpdateKind::Snapshot if update.revision > self.revision => {
                update.changes.sort_by_key(|change| change.revision);
                self.remove_missing(now, &update, restored, log);
                if restored {
                    self.skip_outdated(&mut update.changes);
                }
            }
            UpdateKind::Delta(_) | UpdateKind::Snapshot => {}
        }
        let confirmed = now - update.age;
        if restored
            || self
                .last_confirmed
                .is_none_or(|last| confirmed.since(last) >= MAX_GAP)
        {
            self.steady_since = confirmed;
        }
        self.last_confirmed = self.last_confirmed.max(Some(confirmed));
        let known = self.revision;
        for change in update.changes.into_iter().filter(|c| c.revision > known) {
            self.change(now, change, log);
        }
        self.revision = self.revision.max(update.revision);
    }

    /// Leaves out the entries of a restored store that are older than what their servers wrote before:
    /// a server that has left, or is about to, must not be used again. The servers stay as they are
    /// until they write their entries again. An entry that had expired is back as it was.
    fn skip_outdated(&self, changes: &mut Vec<Revisioned<Change>>) {
        changes.retain(|change| {
            let Change::Server(id, entry) = &change.change else {
                return true;
            };
            let known = self.servers.find(id).and_then(|key| self.servers.get(key));
            known.is_none_or(|known| match known.registration {
                Registration::Expired(_) | Registration::Removed(_) => {
                    entry.version >= known.entry.version
                }
                Registration::Ready | Registration::Draining | Registration::Invalid => {
                    entry.version > known.entry.version
                }
            })
        });
    }

    /// Applies the first documents of a snapshot, with which the instance can serve until the rest
    /// arrives. They do not count as confirmed, because the view is not complete.
    fn apply_part(&mut self, now: Time, update: StoreUpdate, log: &mut Vec<Decision>) {
        if self.revision > Revision::default() {
            return;
        }
        let mut changes = update.changes;
        changes.sort_by_key(|change| change.revision);
        for change in changes {
            self.change(now, change, log);
        }
    }

    fn change(&mut self, now: Time, change: Revisioned<Change>, log: &mut Vec<Decision>) {
        let revision = change.revision;
        match change.change {
            Change::Routes(table) => self.put_routes(table, revision, log),
            Change::Server(id, entry) => self.put_server(now, id, entry, revision, log),
            Change::ServerRemoved(id) => self.remove_server(now, &id, revision, log),
            Change::ServerInvalid(id, reason) => {
                log.push(Decision::InvalidEntry {
                    server: id.clone(),
                    reason,
                });
                if let Some(key) = self.servers.find(&id) {
                    self.set_registration(now, key, Registration::Invalid, revision, log);
                }
            }
            Change::ZoneEvacuated(zone) => {
                self.unconfirmed.remove(&zone);
                if self.evacuated.insert(zone.clone()) {
                    let evacuated = true;
                    log.push(Decision::Zone {
                        zone,
                        evacuated,
                        revision,
                    });
                }
            }
            Change::ZoneRestored(zone) => self.restore_zone(now, zone, revision, log),
        }
    }

    fn put_routes(&mut self, table: RouteTable, revision: Revision, log: &mut Vec<Decision>) {
        if self.version() >= table.version {
            return;
        }
        log.push(Decision::Routes {
            version: table.version,
            count: table.routes.len(),
            revision,
        });
        self.table = Some(Arc::new(table));
    }

    fn put_server(
        &mut self,
        now: Time,
        id: Arc<str>,
        entry: ServerEntry,
        revision: Revision,
        log: &mut Vec<Decision>,
    ) {
        let known = self.servers.find(&id);
        let known = known.and_then(|key| Some((key, self.servers.get(key)?)));
        let key = match known {
            Some((_, server)) if server.revision >= revision => return,
            Some((key, server)) if server.entry.service == entry.service => key,
            Some((key, _)) => {
                self.servers.remove(key);
                self.insert(id, &entry)
            }
            None => self.insert(id, &entry),
        };
        let registration = if entry.draining {
            Registration::Draining
        } else {
            Registration::Ready
        };
        if let Some(server) = self.servers.get_mut(key) {
            server.warm_at = now + entry.warmup_left;
            server.zone_restored = None;
            server.target.address = entry.address;
            server.entry = entry;
        }
        self.set_registration(now, key, registration, revision, log);
    }

    fn insert(&mut self, id: Arc<str>, entry: &ServerEntry) -> ServerKey {
        self.servers.insert(Server {
            id,
            target: Target {
                address: entry.address,
                identity: entry.identity,
                tag: Tag::of(entry.identity),
            },
            entry: entry.clone(),
            registration: Registration::Ready,
            revision: Revision::default(),
            warm_at: Time::ZERO,
            zone_restored: None,
            health: PassiveHealth::new(),
            liveness: Liveness::default(),
            active_flows: 0,
        })
    }

    /// Handles the removal of a backend server's entry. A server that was draining has left.
    /// Otherwise it may have crashed, or its entry expired while it still runs.
    fn remove_server(&mut self, now: Time, id: &str, revision: Revision, log: &mut Vec<Decision>) {
        let Some(key) = self.servers.find(id) else {
            return;
        };
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if server.revision >= revision {
            return;
        }
        let registration = match server.registration {
            Registration::Ready => Registration::Expired(now),
            Registration::Draining | Registration::Invalid => Registration::Removed(now),
            Registration::Expired(_) | Registration::Removed(_) => return,
        };
        self.set_registration(now, key, registration, revision, log);
    }

    fn set_registration(
        &mut self,
        now: Time,
        key: ServerKey,
        registration: Registration,
        revision: Revision,
        log: &mut Vec<Decision>,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.registration = registration;
        if matches!(registration, Registration::Removed(_)) {
            self.removed.push(key);
        }
        server.revision = server.revision.max(revision);
        log.push(Decision::Registration {
            server: server.id.clone(),
            zone: server.entry.zone.clone(),
            registration: registration.into(),
            warmup_left: server.warm_at.since(now),
            revision,
        });
    }

    /// Marks a zone as restored. Its backend servers may be cold, and one that has not written its
    /// entry since may not have reported that yet.
    fn restore_zone(
        &mut self,
        now: Time,
        zone: Arc<str>,
        revision: Revision,
        log: &mut Vec<Decision>,
    ) {
        self.evacuated.remove(&zone);
        self.unconfirmed.remove(&zone);
        let keys: Vec<ServerKey> = self.servers.iter().map(|(key, _)| key).collect();
        for key in keys {
            let server = self.servers.get_mut(key);
            let not_updated = |server: &&mut Server| server.revision < revision;
            if let Some(server) = server.filter(|s| s.entry.zone == zone).filter(not_updated) {
                server.zone_restored = Some(now);
            }
        }
        let evacuated = false;
        log.push(Decision::Zone {
            zone,
            evacuated,
            revision,
        });
    }

    /// Removes what a snapshot does not contain: backend servers without an entry, and evacuations
    /// that ended.
    ///
    /// A store that was `restored` may only have lost them. Then evacuations stay until operators had
    /// the time to write them again, and so do servers that are about to leave.
    fn remove_missing(
        &mut self,
        now: Time,
        update: &StoreUpdate,
        restored: bool,
        log: &mut Vec<Decision>,
    ) {
        let mut present = HashSet::new();
        let mut evacuated = HashSet::new();
        for change in &update.changes {
            match &change.change {
                Change::Server(id, _) | Change::ServerInvalid(id, _) => {
                    present.insert(id.clone());
                }
                Change::ZoneEvacuated(zone) => {
                    evacuated.insert(zone.clone());
                }
                Change::Routes(_) | Change::ServerRemoved(_) | Change::ZoneRestored(_) => {}
            }
        }
        let missing = self.servers.iter().filter(|(_, server)| {
            let keeps = restored && server.registration == Registration::Draining;
            !keeps && !present.contains(&server.id)
        });
        let missing: Vec<_> = missing.map(|(_, server)| server.id.clone()).collect();
        for id in missing {
            self.remove_server(now, &id, update.revision, log);
        }
        let ended: Vec<_> = self.evacuated.difference(&evacuated).cloned().collect();
        if restored {
            self.unconfirmed.extend(ended);
            return;
        }
        for zone in ended {
            if !self.unconfirmed.contains(&zone) {
                self.restore_zone(now, zone, update.revision, log);
            }
        }
    }

    /// Ends evacuations that a restored store has lost, once operators had the time to write them
    /// again.
    fn end_unconfirmed(&mut self, now: Time, settings: &Settings, log: &mut Vec<Decision>) {
        if !self.is_settled(now, settings) {
            return;
        }
        for zone in std::mem::take(&mut self.unconfirmed) {
            self.restore_zone(now, zone, self.revision, log);
        }
    }

    /// Logs when the age of a complete view passes the bound, or falls below it again.
    pub(super) fn check_age(&mut self, now: Time, settings: &Settings, log: &mut Vec<Decision>) {
        let age = self.age(now);
        let stale = self.is_complete() && age >= settings.max_age();
        if std::mem::replace(&mut self.stale, stale) != stale {
            log.push(Decision::ViewAge { stale, age });
        }
    }

    /// Marks backend servers as removed whose entries expired and did not return in time, and
    /// forgets those removed for longer than [`RETENTION`].
    pub(super) fn sweep(&mut self, now: Time, settings: &Settings, log: &mut Vec<Decision>) {
        self.end_unconfirmed(now, settings, log);
        let all: Vec<_> = self
            .servers
            .iter()
            .map(|(k, s)| (k, s.registration))
            .collect();
        for (key, registration) in all {
            match registration {
                Registration::Expired(since) if now.since(since) >= settings.lapse => {
                    self.set_registration(now, key, Registration::Removed(now), self.revision, log);
                }
                Registration::Removed(since) if now.since(since) >= RETENTION => {
                    self.servers.remove(key)
                }
                _ => {}
            }
        }
    }
}
