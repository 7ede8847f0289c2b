//! What an instance believes, from the news of the store: routes, backend servers and zones.

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
    ServerEntry, //
    StoreUpdate,
    UpdateKind,
};

/// How long a backend server that is gone is remembered, so that the packets of its flows still
/// reach it. Flows are at most that old.
const RETENTION: Duration = Duration::from_secs(60);

/// What an instance believes.
#[derive(Debug, Default)]
pub(super) struct StoreView {
    /// The routes in force. Their version only rises.
    pub(super) table: Option<Arc<RouteTable>>,
    /// The backend servers.
    pub(super) servers: Servers,
    /// Zones that operators took out of service.
    pub(super) evacuated: HashSet<Arc<str>>,
    /// When the store last said how things are.
    pub(super) last_confirmed: Option<Time>,
    /// The revision that the beliefs follow from.
    revision: Revision,
}

impl StoreView {
    /// Returns how old the news from the store is.
    pub(super) fn age(&self, now: Time) -> Duration {
        now.since(self.last_confirmed.unwrap_or(Time::ZERO))
    }

    /// Returns the version of the routes in force, or zero.
    pub(super) fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the longest time that a backend server stays cold.
    pub(super) fn warmup(&self) -> Duration {
        self.table
            .as_ref()
            .map_or(Duration::ZERO, |table| table.warmup)
    }

    /// Takes news over. The beliefs are complete up to their revision: what is not newer changes
    /// nothing, and what leaves a gap cannot be used.
    pub(super) fn apply(&mut self, now: Time, mut update: StoreUpdate, log: &mut Vec<Decision>) {
        match update.kind {
            UpdateKind::Delta(base) if base > self.revision => return,
            UpdateKind::Snapshot if update.revision > self.revision => {
                update.changes.sort_by_key(|change| change.revision);
                self.remove_missing(now, &update, log);
            }
            UpdateKind::Delta(_) | UpdateKind::Snapshot => {}
        }
        self.last_confirmed = self.last_confirmed.max(Some(now - update.age));
        let known = self.revision;
        for change in update.changes.into_iter().filter(|c| c.revision > known) {
            self.change(now, change, log);
        }
        self.revision = self.revision.max(update.revision);
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
                    self.set_registration(now, key, Registration::Removed(now), revision, log);
                }
            }
            Change::ZoneEvacuated(zone) => {
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
            revision: Revision(0),
            warm_at: Time::ZERO,
            zone_restored: None,
            health: PassiveHealth::new(),
            active_flows: 0,
        })
    }

    /// The entry of a backend server is gone. One that was draining has left. Another may have
    /// crashed, or its entry lapsed while it lives.
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
            Registration::Draining => Registration::Removed(now),
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
        server.revision = server.revision.max(revision);
        log.push(Decision::Registration {
            server: server.id.clone(),
            zone: server.entry.zone.clone(),
            registration: registration.into(),
            cold: server.warm_at.since(now),
            revision,
        });
    }

    /// A zone is back in service. Its backend servers may have become cold, and those that have not
    /// written their entries since may not have said so yet.
    fn restore_zone(
        &mut self,
        now: Time,
        zone: Arc<str>,
        revision: Revision,
        log: &mut Vec<Decision>,
    ) {
        self.evacuated.remove(&zone);
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

    /// Everything that the store holds is known: what is missing there is gone.
    fn remove_missing(&mut self, now: Time, update: &StoreUpdate, log: &mut Vec<Decision>) {
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
        let missing = self.servers.iter().map(|(_, server)| server.id.clone());
        let missing: Vec<_> = missing.filter(|id| !present.contains(id)).collect();
        for id in missing {
            self.remove_server(now, &id, update.revision, log);
        }
        let restored: Vec<_> = self.evacuated.difference(&evacuated).cloned().collect();
        for zone in restored {
            self.restore_zone(now, zone, update.revision, log);
        }
    }

    /// Gives up backend servers whose entries did not come back, and forgets old ones.
    pub(super) fn sweep(&mut self, now: Time, settings: &Settings, log: &mut Vec<Decision>) {
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
