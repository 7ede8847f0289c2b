//! Spreading of configurations: a few watchers hear of them from the store, the rest from peers.

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
    Place, //
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

/// Settings of the spreading of configurations.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSyncSettings {
    /// The mean time between polls of the store, the last resort.
    #[serde(with = "humantime_serde")]
    pub poll: Duration,
    /// The time between readings of the platform's list by a watcher.
    #[serde(with = "humantime_serde")]
    pub list: Duration,
    /// The time between two pulls from peers while behind.
    #[serde(with = "humantime_serde")]
    pub pull: Duration,
    /// How long an instance stays behind before it reads the store.
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

/// How many records are kept for peers that are behind.
const MAX_RECORDS: usize = 256;

/// How many records answer one pull, so that a frame stays under 64 KiB.
const RECORDS_PER_PULL: usize = 16;

/// What an instance does to stay at the latest configuration.
#[derive(Debug, Default)]
pub struct ConfigSync {
    /// The latest records, consecutive up to the present revision; at most [`MAX_RECORDS`].
    records: VecDeque<Record>,
    /// When the store is polled next.
    next_poll: Time,
    /// When the platform's list is read next.
    next_list: Time,
    /// When a peer is asked next.
    next_pull: Time,
    /// Since when a peer has had a later configuration.
    behind_since: Option<Time>,
    /// Whether this instance holds a watch.
    watching: bool,
}

impl ConfigSync {
    fn push_record(&mut self, record: Record) {
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns the records after a revision; none if they are not all kept.
    fn records_after(&self, revision: Revision) -> Option<Vec<Record>> {
        let first = self.records.front()?.revision;
        if first.0 > revision.0 + 1 {
            return None;
        }
        let later = self.records.iter().filter(|r| r.revision > revision);
        Some(later.take(RECORDS_PER_PULL).cloned().collect())
    }

    /// Returns whether a peer has a later configuration.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }
}

impl Instance {
    /// Applies records in order. Earlier ones are skipped, so a configuration never reverts.
    pub(crate) fn on_records(&mut self, now: Time, records: Vec<Record>, out: &mut Vec<Action>) {
        let before = self.configuration.revision;
        let mut touched = Vec::new();
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
            self.configuration.touched(&record, &mut touched);
            if Arc::make_mut(&mut self.configuration)
                .apply(&record)
                .is_err()
            {
                // The record was checked before it was written, so this instance's configuration
                // differs from the log. A snapshot replaces it.
                self.counters.add(crate::counter::Counter::BadRecords);
                break;
            }
            self.configuration.touched(&record, &mut touched);
            self.config_sync.push_record(record);
        }
        if self.configuration.revision > before {
            let changed = self.tables.update_services(&self.configuration, touched);
            self.reconfigure(now, &changed, out);
        }
    }

    /// Takes a whole configuration if it is later than the present one.
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

    fn reconfigure(&mut self, now: Time, changed: &[ServiceId], out: &mut Vec<Action>) {
        let revision = self.configuration.revision;
        out.push(Action::Note(StateChange::Configured { revision }));
        self.set_region();
        self.update_budgets(now);
        self.close_evacuated(now, out);
        self.refresh_owners(now, out);
        self.collect_overrides(changed);
    }

    fn set_region(&mut self) {
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

    /// Closes the flows that are served in zones that were taken out.
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
            .filter(|(_, flow)| matches!(flow.place, Place::Hosted(id) if servers.contains(&id)))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.close_flow(now, key, Reason::ZoneOut, out);
        }
    }

    /// Finds the flows whose first choice moved away from where they are served.
    fn collect_overrides(&mut self, changed: &[ServiceId]) {
        if changed.is_empty() {
            return;
        }
        for (key, flow) in self.flows.iter() {
            let Place::Hosted(server) = flow.place else {
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

    /// Answers a peer that is behind.
    pub(crate) fn on_pull(&mut self, from: InstanceId, after: Revision, out: &mut Vec<Action>) {
        let Some(records) = self.config_sync.records_after(after) else {
            return;
        };
        if !records.is_empty() {
            self.send_peer(from, PeerMessage::Changes { records }, out);
        }
    }

    /// Pulls from peers while behind, holds the watch where it is due, and polls the store.
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
        if now >= self.config_sync.next_list {
            let pause = match (self.is_visible(), watching) {
                (false, _) => STARTUP_INTERVAL,
                (true, true) => self.settings.spread.list,
                (true, false) => self.settings.spread.poll,
            };
            self.config_sync.next_list = now + self.jitter(pause);
            out.push(Action::ReadList);
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

    /// Returns a time between half and one and a half of `mean`, so that instances that started
    /// together do not call together.
    fn jitter(&mut self, mean: Duration) -> Duration {
        let share = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        mean.mul_f64(0.5 + share)
    }
}
