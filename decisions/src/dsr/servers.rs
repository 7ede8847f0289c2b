//! The backend servers in the instance's view of the store.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;

use crate::time::Time;

use super::passive_health::PassiveHealth;
use super::segment::{
    Tag,
    Target, //
};
use super::server_loss::Liveness;
use super::store_update::{
    Revision,
    ServerEntry, //
};

slotmap::new_key_type! {
    /// Key of a backend server; valid in this process only.
    pub struct ServerKey;
}

/// The state of a backend server's entry in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Registration {
    /// The entry says that the server takes flows.
    Ready,
    /// The entry says that the server is about to leave.
    Draining,
    /// The entry is invalid. The server gets no new flows, but it may be alive.
    Invalid,
    /// The entry was removed at this time, although the server was not draining.
    #[strum(serialize = "lapsed")]
    Expired(Time),
    /// The server gets no new flows since this time; packets of its open flows are still forwarded.
    #[strum(serialize = "gone")]
    Removed(Time),
}

#[derive(Clone, Debug)]
pub(super) struct Server {
    /// The identifier in the store.
    pub(super) id: Arc<str>,
    /// The latest entry.
    pub(super) entry: ServerEntry,
    /// The destination of its packets. The tag is derived from the identity.
    pub(super) target: Target,
    pub(super) registration: Registration,
    /// The revision of the last change of the entry.
    pub(super) revision: Revision,
    /// Time at which its warm-up ends.
    pub(super) warm_at: Time,
    /// Time at which its zone was restored, if it has not written its entry since. It may be cold.
    pub(super) zone_restored: Option<Time>,
    pub(super) health: PassiveHealth,
    pub(super) liveness: Liveness,
    /// Active flows that this instance opened at the server.
    pub(super) active_flows: u32,
}

/// All backend servers that have an entry, or had one recently.
#[derive(Debug, Default)]
pub(super) struct Servers {
    arena: SlotMap<ServerKey, Server>,
    ids: HashMap<Arc<str>, ServerKey>,
    tags: HashMap<Tag, ServerKey>,
    services: HashMap<Arc<str>, Vec<ServerKey>>,
}

impl Servers {
    pub(super) fn get(&self, key: ServerKey) -> Option<&Server> {
        self.arena.get(key)
    }

    /// Returns a backend server for changes. Its identifier, tag and service must stay, because the
    /// maps are keyed by them.
    pub(super) fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.arena.get_mut(key)
    }

    /// Returns the backend server with this identifier.
    pub(super) fn find(&self, id: &str) -> Option<ServerKey> {
        self.ids.get(id).copied()
    }

    /// Returns the backend server with this tag.
    pub(super) fn find_tag(&self, tag: Tag) -> Option<ServerKey> {
        self.tags.get(&tag).copied()
    }

    /// Returns the backend servers of a service.
    pub(super) fn of_service(&self, service: &str) -> &[ServerKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.arena.iter()
    }

    /// Allows the next flows to test all suspect backend servers.
    pub(super) fn retry_all(&mut self, now: Time) {
        for server in self.arena.values_mut() {
            server.health.allow_retry(now);
        }
    }

    /// Adds a backend server. If two have the same tag, packets with it go to the later one.
    pub(super) fn insert(&mut self, server: Server) -> ServerKey {
        let id = server.id.clone();
        let tag = server.target.tag;
        let service = server.entry.service.clone();
        let key = self.arena.insert(server);
        self.ids.insert(id, key);
        self.tags.insert(tag, key);
        self.services.entry(service).or_default().push(key);
        key
    }

    pub(super) fn remove(&mut self, key: ServerKey) {
        let Some(server) = self.arena.remove(key) else {
            return;
        };
        if self.ids.get(&server.id) == Some(&key) {
            self.ids.remove(&server.id);
        }
        if self.tags.get(&server.target.tag) == Some(&key) {
            self.tags.remove(&server.target.tag);
        }
        if let Some(keys) = self.services.get_mut(&server.entry.service) {
            keys.retain(|other| *other != key);
        }
    }
}
