//! Synchronization of the configuration: store watchers receive changes from the store, the other
//! instances pull them from peers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand_core::RngCore;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::action::Action;
use crate::config::{
    Configuration,
    Record,
    ZoneState, //
};
use crate::flows::{
    FlowKey,
    Placement, //
};
use crate::ids::{
    InstanceId,
    Revision,
    ServiceId,
    ZoneId, //
};
use crate::instance::Instance;
use crate::packet::Reason;
use crate::peer::PeerMessage;
use crate::registry::STARTUP_INTERVAL;
use crate::rendezvous::is_store_watcher;
use crate::retry_budget::RetryBudget;
use crate::state_change::StateChange;
use crate::time::Time;

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSyncSettings {
    /// Mean time between polls of the store, which find changes that no peer has. Also the mean
    /// time between reads of the instance registry by an instance that is not a store watcher.
    #[serde(with = "humantime_serde")]
    pub poll: Duration,
    /// Mean time between reads of the instance registry by a store watcher.
    #[serde(with = "humantime_serde")]
    pub list: Duration,
    /// Time between two pulls while a peer has a later configuration.
    #[serde(with = "humantime_serde")]
    pub pull: Duration,
    /// Time for which peers have had a later configuration before an instance reads the store.
    #[serde(with = "humantime_serde")]
    pub patience: Duration,
}

impl Default for ConfigSyncSettings {
    fn default() -> ConfigSyncSettings {
        ConfigSyncSettings {
            poll: Duration::from_secs(30),
            list: Duration::from_secs(5),
            pull: Duration::from_millis(100),
            patience: Duration::from_secs(2),
        }
    }
}

/// Maximum number of records that are stored for peers with an earlier configuration.
const MAX_RECORDS: usize = 256;

/// Maximum number of records in the reply to one pull, so that a frame stays below 64 KiB.
const RECORDS_PER_PULL: usize = 16;

/// State of the synchronization of configurations.
#[derive(Debug, Default)]
pub struct ConfigSync {
    /// Latest records, consecutive up to the current revision; at most [`MAX_RECORDS`].
    records: VecDeque<Record>,
    /// Time of the next poll of the store.
    next_poll: Time,
    /// Time of the next read of the instance registry.
    next_registry_read: Time,
    /// Time of the next pull from a peer.
    next_pull: Time,
    /// Start of the current wait of `spread.patience`: when a peer first had a later configuration,
    /// or when this instance last read the store because of that. `None` if no peer has one.
    behind_since: Option<Time>,
    /// Whether this instance watches the store.
    watching: bool,
}

impl ConfigSync {
    fn push_record(&mut self, record: Record) {
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns the first records after a revision, at most [`RECORDS_PER_PULL`], or `None` if
    /// the first of them is no longer stored or no record is stored.
    fn records_after(&self, revision: Revision) -> Option<Vec<Record>> {
        let first = self.records.front()?.revision;
        if first.0 > revision.0 + 1 {
            return None;
        }
        let later = self.records.iter().filter(|r| r.revision > revision);
        Some(later.take(RECORDS_PER_PULL).cloned().collect())
    }

    /// Returns whether a peer had a later configuration at the last check.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }
}

impl Instance {
    /// Applies records in order. Records of earlier revisions are skipped, so a configuration never
    /// reverts.
    pub(crate) fn on_records(&mut self, now: Time, records: Vec<Record>, out: &mut Vec<Action>) {
        let before = self.configuration.revision;
        let mut affected = Vec::new();
        for record in records {
            let next = Revision(self.configuration.revision.0 + 1);
            if record.revision < next {
                continue;
            }
            if record.revision > next {
                out.push(Action::ReadStore {
                    after: self.configuration.revision,
                });
                break;
            }
            self.configuration.affected_services(&record, &mut affected);
            if Arc::make_mut(&mut self.configuration)
                .apply(&record)
                .is_err()
            {
                // Records are checked before they are written, so the configuration of this
                // instance differs from the log. A snapshot of a later revision replaces it.
                self.counters.add(crate::counter::Counter::BadRecords);
                break;
            }
            self.configuration.affected_services(&record, &mut affected);
            self.config_sync.push_record(record);
        }
        if self.configuration.revision > before {
            let changed = self.tables.update_services(&self.configuration, affected);
            self.reconfigure(now, &changed, out);
        }
    }

    /// Replaces the configuration by a snapshot if the snapshot is later.
    pub(crate) fn on_snapshot(
        &mut self,
        now: Time,
        snapshot: &Arc<Configuration>,
        out: &mut Vec<Action>,
    ) {
        if snapshot.revision <= self.configuration.revision {
            return;
        }
        self.configuration = snapshot.clone();
        self.config_sync.records.clear();
        let changed = self.tables.update(&self.configuration);
        self.reconfigure(now, &changed, out);
    }

    /// Updates the state that depends on the configuration; `changed` are the services whose
    /// candidates may have changed.
    fn reconfigure(&mut self, now: Time, changed: &[ServiceId], out: &mut Vec<Action>) {
        let revision = self.configuration.revision;
        out.push(Action::AppendTimeline(StateChange::Configured { revision }));
        self.update_region();
        self.update_budgets(now);
        self.close_evacuated(now, out);
        self.refresh_owners(now, out);
        self.collect_overrides(changed);
    }

    fn update_region(&mut self) {
        let zones = &self.configuration.zones;
        let Some(own) = zones.get(&self.member.zone) else {
            return;
        };
        let region: Vec<ZoneId> = zones
            .values()
            .filter(|zone| zone.region == own.region)
            .map(|zone| zone.id)
            .collect();
        self.membership.set_zones(&region);
    }

    fn update_budgets(&mut self, now: Time) {
        let services = &self.configuration.services;
        self.budgets.retain(|id, _| services.contains_key(id));
        for id in services.keys() {
            self.budgets
                .entry(*id)
                .or_insert_with(|| RetryBudget::new(&self.settings.retry, now));
        }
    }

    /// Closes the flows that are served here on backend servers in zones that are set to `Out`.
    fn close_evacuated(&mut self, now: Time, out: &mut Vec<Action>) {
        let zones = &self.configuration.zones;
        let is_evacuated =
            |zone: ZoneId| zones.get(&zone).is_some_and(|z| z.state == ZoneState::Out);
        let servers: Vec<_> = self
            .servers
            .iter()
            .filter(|server| is_evacuated(server.zone))
            .map(|server| server.id)
            .collect();
        if servers.is_empty() {
            return;
        }
        let keys: Vec<FlowKey> = self
            .flows
            .iter()
            .filter(|(_, flow)| matches!(flow.placement, Placement::Hosted(id) if servers.contains(&id)))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.close_flow(now, key, Reason::ZoneOut, out);
        }
    }

    /// Collects the flows that stay on their backend server although their first choice is now
    /// another one, so that they are registered with its owner.
    fn collect_overrides(&mut self, changed: &[ServiceId]) {
        if changed.is_empty() {
            return;
        }
        for (key, flow) in self.flows.iter() {
            let Placement::Hosted(server) = flow.placement else {
                continue;
            };
            if changed.binary_search(&flow.service).is_err() {
                continue;
            }
            let first = self
                .tables
                .rank(flow.service, flow.id)
                .and_then(|ranking| ranking.first().copied());
            if first.is_some_and(|first| first.backend_server != server) {
                self.overrides.push(key);
            }
        }
    }

    /// Replies to a pull with the records after the peer's revision, if they are stored.
    pub(crate) fn on_pull(&mut self, from: InstanceId, after: Revision, out: &mut Vec<Action>) {
        let Some(records) = self.config_sync.records_after(after) else {
            return;
        };
        if !records.is_empty() {
            self.send_peer(from, PeerMessage::Changes { records }, out);
        }
    }

    /// Pulls records if a peer has a later configuration, starts or stops the store watch, polls
    /// the store and reads the instance registry.
    pub(crate) fn tick_config_sync(&mut self, now: Time, out: &mut Vec<Action>) {
        self.pull(now, out);
        let live = self.membership.live(self.member.zone);
        let watching = is_store_watcher(self.member.zone, self.member.id, live);
        if watching != self.config_sync.watching {
            self.config_sync.watching = watching;
            out.push(Action::Watch(watching));
        }
        if now >= self.config_sync.next_poll {
            self.config_sync.next_poll = now + self.jitter(self.settings.spread.poll);
            self.read_store(out);
        }
        if now >= self.config_sync.next_registry_read {
            let interval = match (self.is_visible(), watching) {
                (false, _) => STARTUP_INTERVAL,
                (true, true) => self.settings.spread.list,
                (true, false) => self.settings.spread.poll,
            };
            self.config_sync.next_registry_read = now + self.jitter(interval);
            out.push(Action::ReadRegistry);
        }
    }

    fn pull(&mut self, now: Time, out: &mut Vec<Action>) {
        let revision = self.configuration.revision;
        let Some(peer) = self.membership.choose_ahead(revision) else {
            self.config_sync.behind_since = None;
            return;
        };
        let since = *self.config_sync.behind_since.get_or_insert(now);
        if now < self.config_sync.next_pull {
            return;
        }
        self.config_sync.next_pull = now + self.settings.spread.pull;
        self.send_peer(peer, PeerMessage::PullChanges { after: revision }, out);
        if now.since(since) >= self.settings.spread.patience {
            self.config_sync.behind_since = Some(now);
            self.read_store(out);
        }
    }

    fn read_store(&mut self, out: &mut Vec<Action>) {
        out.push(Action::ReadStore {
            after: self.configuration.revision,
        });
    }

    /// Returns a random time between 0.5 and 1.5 times `mean`, so that instances that started
    /// together do not read the store or the registry at the same time.
    fn jitter(&mut self, mean: Duration) -> Duration {
        let fraction = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        mean.mul_f64(0.5 + fraction)
    }
}
