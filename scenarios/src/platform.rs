//! The platform: the configuration log, its watches, and the list of instances.

use crate::prelude::*;
use crate::site::PLATFORM;

/// How long a call to the store takes when all is well.
const CALL: Duration = Duration::from_millis(3);

/// After what time a client takes a missing answer for an outage.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Mean time that an operator waits after a conflict.
const CONFLICT: Duration = Duration::from_millis(200);

/// Who is more records behind than this gets the whole configuration.
const BEHIND: usize = 64;

/// The platform.
#[derive(Default)]
pub(crate) struct Platform {
    /// Whether the store does not answer, and how much longer than usual it takes.
    pub(crate) down: bool,
    pub(crate) slow: Duration,
    log: Vec<Record>,
    pub(crate) configuration: Configuration,
    /// When each record was accepted.
    pub(crate) accepted: Vec<Time>,
    /// How many answers to writes get lost.
    pub(crate) lose: u32,
    /// Entries put on the list of instances or taken off, and how old the list is when read.
    list: Vec<(Time, InstanceId, Option<RegistryEntry>)>,
    pub(crate) lag: Duration,
    /// Since when zones are out of service and backend servers drain, by number.
    pub(crate) zones_out: FxHashMap<usize, Time>,
    pub(crate) drained: FxHashMap<usize, Time>,
}

/// An operator's write: read the revision, then compare and swap.
pub(crate) struct Write {
    operation: OperationId,
    changes: Vec<Change>,
    /// The revision that was read; none before the read.
    read: Option<usize>,
}

/// A call of an instance to the platform.
pub(crate) enum Call {
    /// Finds out whether the platform answers.
    Check,
    Read(Revision),
    List,
    /// Puts an instance on the list or takes it off.
    Enlist(InstanceId, Option<RegistryEntry>),
}

impl World {
    /// Has an operator write changes.
    pub(crate) fn write(&mut self, changes: Vec<Change>) {
        let (operation, read) = (self.operation(), None);
        let write = Write {
            operation,
            changes,
            read,
        };
        self.send(Duration::ZERO, Message::Write(write));
    }

    fn operation(&mut self) -> OperationId {
        OperationId(self.noise.bits().into())
    }

    /// Has several operators change the same service at once.
    pub(crate) fn compete(&mut self, writes: u32) {
        let mut services = self.platform.configuration.services.values();
        let service = services.next().expect("a service exists").clone();
        for n in 0..writes {
            let (name, address) = (service.name.clone(), service.address);
            let idle = Duration::from_secs(301 + u64::from(n));
            self.write(vec![Change::PutService {
                name,
                address,
                idle,
            }]);
        }
    }

    /// Takes one step of an operator's write.
    pub(crate) fn operate(&mut self, mut write: Write) {
        let Some(delay) = self.call_delay(None) else {
            return self.send(TIMEOUT, Message::Write(write));
        };
        let head = self.platform.log.len();
        // After a lost answer the record is found by its operation id.
        if self
            .platform
            .log
            .iter()
            .any(|r| r.operation == write.operation)
        {
            return;
        }
        if write.read != Some(head) {
            let backoff = write.read.map_or(Duration::ZERO, |_| CONFLICT);
            write.read = Some(head);
            let wait = delay + self.noise.exponential(backoff);
            return self.send(wait, Message::Write(write));
        }
        self.append(write.operation, write.changes.clone());
        if self.platform.lose > 0 {
            self.platform.lose -= 1;
            self.send(TIMEOUT, Message::Write(write));
        }
    }

    /// Appends a record at once.
    pub(crate) fn accept(&mut self, changes: Vec<Change>) {
        let operation = self.operation();
        self.append(operation, changes);
    }

    fn append(&mut self, operation: OperationId, changes: Vec<Change>) {
        let revision = Revision(self.platform.log.len() as u64 + 1);
        let record = Record {
            revision,
            operation,
            changes,
        };
        let applied = self.platform.configuration.apply(&record);
        applied.expect("the changes of a scenario are valid");
        self.note(None, || format!("accepted {revision}"));
        record.changes.iter().for_each(|change| self.follow(change));
        self.platform.accepted.push(self.now);
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch {
                self.reply(n, Event::Records(vec![record.clone()]));
            }
        }
        self.platform.log.push(record);
    }

    /// Notes what a change means for what is measured.
    fn follow(&mut self, change: &Change) {
        let (now, platform) = (self.now, &mut self.platform);
        if let Change::SetZone { name, state } = change {
            let zone = self
                .zones
                .iter()
                .position(|z| z == name)
                .unwrap_or(PLATFORM);
            match state {
                ZoneState::Out => platform.zones_out.insert(zone, now),
                ZoneState::In => platform.zones_out.remove(&zone),
            };
            let there = |s: &usize| self.servers[*s].zone == zone;
            let servers: Vec<usize> = (0..self.servers.len()).filter(there).collect();
            servers.into_iter().for_each(|s| self.excuse_flows(s));
        } else if let Change::SetServer { name, state } = change {
            let s = self.servers.iter().position(|s| s.name == *name);
            match state {
                ServerState::Active => platform.drained.retain(|other, _| Some(*other) != s),
                ServerState::Draining => platform.drained.extend(s.map(|s| (s, now))),
            };
        }
    }

    /// Holds or ends an instance's watch.
    pub(crate) fn watch(&mut self, n: usize, on: bool) {
        let was = std::mem::replace(&mut self.nodes[n].watch, on);
        if on && !was {
            self.call_store(n, Call::Read(self.nodes[n].mind.configuration().revision));
        }
    }

    /// Returns how long a call takes, or none if the store does not answer.
    fn call_delay(&self, n: Option<usize>) -> Option<Duration> {
        let cut = n.is_some_and(|n| self.is_cut(self.nodes[n].zone, PLATFORM));
        (!cut && !self.platform.down).then_some(CALL + self.platform.slow)
    }

    /// Passes a call of an instance to the platform.
    pub(crate) fn call_store(&mut self, n: usize, call: Call) {
        self.count_store();
        if let Some(delay) = self.call_delay(Some(n)) {
            self.send(delay, Message::Store(n, call));
        }
    }

    /// Answers a call.
    pub(crate) fn answer_store(&mut self, n: usize, call: Call) {
        let (log, configuration) = (&self.platform.log, &self.platform.configuration);
        match call {
            Call::Check => self.check(n),
            Call::Read(Revision(after)) if (after as usize) + BEHIND < log.len() => {
                self.reply(n, Event::Snapshot(configuration.clone().into()));
            }
            Call::Read(Revision(after)) => {
                let records = log.get(after as usize..).unwrap_or_default();
                self.reply(n, Event::Records(records.to_vec()));
            }
            Call::List => self.reply(n, Event::Registry(self.list())),
            Call::Enlist(id, listed) => self.platform.list.push((self.now, id, listed)),
        }
    }

    fn reply(&mut self, n: usize, event: Event) {
        if let Some(delay) = self.call_delay(Some(n)) {
            self.send(delay, Message::Node(n, event));
        }
    }

    /// Has an instance find out whether the platform answers.
    fn check(&mut self, n: usize) {
        let up = self.call_delay(Some(n)).is_some();
        if self.nodes[n].state != State::Gone {
            self.send(TIMEOUT, Message::Store(n, Call::Check));
        }
        if std::mem::replace(&mut self.nodes[n].platform, up) != up {
            self.deliver(n, Event::Platform(up));
            if up && self.nodes[n].watch {
                self.call_store(n, Call::Read(self.nodes[n].mind.configuration().revision));
            }
        }
    }

    fn list(&self) -> Vec<RegistryEntry> {
        let at = self.now - self.platform.lag;
        let old = self.platform.list.iter().filter(|(time, ..)| *time <= at);
        let entries = old.map(|(_, id, listed)| (*id, *listed));
        let latest: std::collections::BTreeMap<InstanceId, Option<RegistryEntry>> =
            entries.collect();
        latest.into_values().flatten().collect()
    }
}
