//! Backend servers as one instance believes them to be.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;

use crate::time::Time;

use super::passive_health::PassiveHealth;
use super::segment::{
    Tag,
    Target, //
};
use super::store_update::{
    Revision,
    ServerEntry, //
};

slotmap::new_key_type! {
    /// Names a backend server inside this process.
    pub(super) struct ServerKey;
}

/// What the store says about a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Registration {
    /// Its entry says that it takes flows.
    Ready,
    /// Its entry says that it is about to leave.
    Draining,
    /// Its entry is gone since then, without notice.
    #[strum(serialize = "lapsed")]
    Expired(Time),
    /// It is not to be used; its flows go on.
    #[strum(serialize = "gone")]
    Removed(Time),
}

/// A backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    /// Its identifier in the store.
    pub(super) id: Arc<str>,
    /// What it last said of itself.
    pub(super) entry: ServerEntry,
    /// Where its packets go. The tag is the one of the identity.
    pub(super) target: Target,
    /// What the store says.
    pub(super) registration: Registration,
    /// The revision of the last change of its entry.
    pub(super) revision: Revision,
    /// When it is warm.
    pub(super) warm_at: Time,
    /// When its zone came back, if it has not written its entry since. It may be cold.
    pub(super) zone_restored: Option<Time>,
    /// What passing packets tell.
    pub(super) health: PassiveHealth,
    /// Flows that this instance opened there and that are busy.
    pub(super) active_flows: u32,
}

/// All backend servers that have an entry or had one not long ago.
#[derive(Debug, Default)]
pub(super) struct Servers {
    arena: SlotMap<ServerKey, Server>,
    ids: HashMap<Arc<str>, ServerKey>,
    tags: HashMap<Tag, ServerKey>,
    services: HashMap<Arc<str>, Vec<ServerKey>>,
}

impl Servers {
    /// Returns a backend server.
    pub(super) fn get(&self, key: ServerKey) -> Option<&Server> {
        self.arena.get(key)
    }

    /// Returns a backend server to change its beliefs. Identifier and service stay as they are.
    pub(super) fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.arena.get_mut(key)
    }

    /// Returns the backend server with that identifier.
    pub(super) fn find(&self, id: &str) -> Option<ServerKey> {
        self.ids.get(id).copied()
    }

    /// Returns the backend server that a tag names.
    pub(super) fn find_tag(&self, tag: Tag) -> Option<ServerKey> {
        self.tags.get(&tag).copied()
    }

    /// Returns the backend servers of a service.
    pub(super) fn of_service(&self, service: &str) -> &[ServerKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all backend servers.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.arena.iter()
    }

    /// Lets the next flows try all suspect backend servers.
    pub(super) fn retry_all(&mut self, now: Time) {
        for server in self.arena.values_mut() {
            server.health.allow_retry(now);
        }
    }

    /// Adds a backend server. Of two with one tag, the later takes the tag.
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

    /// Forgets a backend server.
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
