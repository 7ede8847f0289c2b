//! How instances learn what the store holds: as the daemon's tasks do, one instance of a zone watches
//! the store, and the others get updates from their parents in the zone's tree. Pages of the store,
//! and the wait for seeds are not modelled.

use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::freshness::Freshness;
use lovagespindle_decisions::dsr::peers::{
    Peer,
    Source, //
};
use lovagespindle_decisions::dsr::settings::Settings;
use lovagespindle_decisions::dsr::source_path::SourcePath;
use lovagespindle_decisions::dsr::store_update::{
    DocumentUpdate,
    Revision,
    Revisioned,
    StoreUpdate, //
};
use lovagespindle_platform::documents;
use lovagespindle_platform_stand_in::documents::DocumentWrite;

use super::machines::{
    Machine,
    MachineKey,
    State,
    zone_name, //
};
use super::minds::Mind;
use super::store::StoreState;
use super::world::{
    Event,
    World, //
};

/// How long a watch waits for changes, as the daemon's default.
const WATCH: Duration = Duration::from_secs(1);
/// How long an answer may take beyond that.
const PATIENCE: Duration = Duration::from_millis(700);
/// The pause between changes and the next watch.
const GATHER: Duration = Duration::from_millis(100);
/// The first pause after a failed call, and the longest.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));
/// How long instances wait for news of each other.
const PEER_WAIT: Duration = Duration::from_millis(500);
/// How long an instance's answer may take beyond that.
const PEER_PATIENCE: Duration = Duration::from_millis(400);
/// News of an instance that are older than this are not enough.
const MAX_AGE: Duration = Duration::from_millis(1_500);
/// The time between two looks at which instance leads the zone.
const ELECTION: Duration = Duration::from_millis(500);
/// The time between two exchanges of names with another instance.
const REFRESH: Duration = Duration::from_secs(5);
/// How much later a confirmation must be to count as news.
const MIN_ADVANCE: Duration = Duration::from_millis(300);
/// How much slower the slow store is.
const SLOWDOWN: u32 = 50;

/// Whom a question goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Recipient {
    Store,
    Machine(MachineKey),
}

/// A question for news.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    from: MachineKey,
    epoch: u32,
    number: u64,
    to: Recipient,
    /// What is known; nothing asks for everything.
    known: Option<Revision>,
    /// When the store confirmed that.
    confirmed: Option<Time>,
    /// Only names of instances are exchanged.
    names: bool,
}

/// What an instance waits for.
#[derive(Debug, Default)]
pub(super) struct Follow {
    /// The open question to the store, and the open one to an instance.
    store: Option<u64>,
    peer: Option<u64>,
    next: u64,
    /// Whether the last call of the store succeeded.
    connected: bool,
    /// Whether another instance follows the store for this one.
    served: bool,
    pause: Duration,
    refreshed: Time,
    /// The instances between this one and the store.
    path: SourcePath,
    /// Questions of others that wait for news.
    waiting: Vec<Ask>,
}

/// An answer.
pub(super) enum Answer {
    News(Option<DocumentUpdate>, Vec<Peer>, SourcePath),
    /// The history is gone.
    Compacted,
    Refused,
}

impl World {
    /// Writes a document, and tells those who wait for changes.
    pub(super) fn write(&mut self, written: DocumentWrite) {
        self.store.write(self.now, written);
        for ask in std::mem::take(&mut self.store.waiting) {
            self.answer_from_store(ask);
        }
    }

    fn ask(&mut self, from: MachineKey, to: Recipient, known: Option<Revision>, names: bool) {
        let now = self.now;
        let machine = &mut self.machines[from.0];
        let confirmed = machine.archive.age(now).map(|age| now - age);
        machine.follow.next += 1;
        let number = machine.follow.next;
        let ask = Ask {
            from,
            epoch: machine.epoch,
            number,
            to,
            known,
            confirmed,
            names,
        };
        let limit = match to {
            Recipient::Store => {
                machine.follow.store = Some(number);
                self.measure.store_calls += 1;
                WATCH + PATIENCE
            }
            Recipient::Machine(_) => {
                if !names {
                    machine.follow.peer = Some(number);
                }
                self.measure.peer_calls += 1;
                PEER_WAIT + PEER_PATIENCE
            }
        };
        if let Some(delay) = self.way(from, to) {
            self.send(delay, Event::Ask(ask));
        }
        self.send(limit, Event::Overdue(ask));
    }

    /// Returns the delay of a question or its answer.
    fn way(&mut self, from: MachineKey, to: Recipient) -> Option<Duration> {
        match to {
            Recipient::Store => (!self.network.no_store.contains(&from)).then(|| {
                let slow = self.store.state == StoreState::Slow;
                self.site.store / 2 * if slow { SLOWDOWN } else { 1 }
            }),
            Recipient::Machine(to) => {
                let (from, to) = (self.machines[from.0].zone, self.machines[to.0].zone);
                // Connections repeat what is lost.
                let open = self.is_open(from, to);
                let delay = if from == to {
                    self.site.inside
                } else {
                    self.site.between
                };
                open.then_some(delay)
            }
        }
    }

    pub(super) fn asked(&mut self, ask: Ask) {
        match ask.to {
            Recipient::Store => match self.store.state {
                StoreState::Down => self.reply(ask, Answer::Refused),
                StoreState::Silent => {}
                StoreState::Up | StoreState::Slow => {
                    if ask.known == Some(self.store.revision) {
                        self.store.waiting.push(ask);
                        self.send(WATCH, Event::Due(ask));
                    } else {
                        self.answer_from_store(ask);
                    }
                }
            },
            Recipient::Machine(key) => {
                if !self.takes(key, || Event::Ask(ask)) {
                    return;
                }
                let me = self.machines[ask.from.0].peers.local_peer();
                let now = self.now;
                let machine = &mut self.machines[key.0];
                machine.peers.merge(now, &[me]);
                let confirmed = machine.archive.age(now).map(|age| now - age);
                if ask.names || is_news(&ask, machine.archive.revision(), confirmed) {
                    self.answer_from_machine(key, ask);
                } else {
                    machine.follow.waiting.push(ask);
                    self.send(PEER_WAIT, Event::Due(ask));
                }
            }
        }
    }

    fn answer_from_store(&mut self, ask: Ask) {
        match self.store.state {
            StoreState::Silent => {}
            StoreState::Down => self.reply(ask, Answer::Refused),
            StoreState::Up | StoreState::Slow => {
                let found = self.store.since(ask.known);
                let news =
                    |bulletin| Answer::News(Some(bulletin), Vec::new(), SourcePath::default());
                self.reply(ask, found.map_or(Answer::Compacted, news));
            }
        }
    }

    fn answer_from_machine(&mut self, key: MachineKey, ask: Ask) {
        let now = self.now;
        let machine = &self.machines[key.0];
        let known = ask.known.unwrap_or_default();
        let bulletin = (!ask.names).then(|| machine.archive.since(now, known));
        let zone = zone_name(self.machines[ask.from.0].zone);
        let peers = machine.peers.known(now, &zone);
        let answer = Answer::News(bulletin.flatten(), peers, machine.follow.path.clone());
        self.reply(ask, answer);
    }

    /// The wait of a question is over.
    pub(super) fn due(&mut self, ask: Ask) {
        let same = |other: &Ask| other.from == ask.from && other.number == ask.number;
        match ask.to {
            Recipient::Store => {
                if let Some(at) = self.store.waiting.iter().position(same) {
                    self.store.waiting.swap_remove(at);
                    self.answer_from_store(ask);
                }
            }
            Recipient::Machine(key) => {
                let up = self.machines[key.0].state == State::Up;
                let waiting = &mut self.machines[key.0].follow.waiting;
                if let Some(at) = waiting.iter().position(same)
                    && up
                {
                    waiting.swap_remove(at);
                    self.answer_from_machine(key, ask);
                }
            }
        }
    }

    fn reply(&mut self, ask: Ask, answer: Answer) {
        if let Some(delay) = self.way(ask.from, ask.to) {
            self.send(delay, Event::Answer(ask, Box::new(answer)));
        }
    }

    pub(super) fn answered(&mut self, ask: Ask, answer: Answer) {
        let key = ask.from;
        match self.machines[key.0].state {
            State::Up => {}
            State::Frozen => {
                let event = Event::Answer(ask, Box::new(answer));
                self.machines[key.0].inbox.push(event);
                return;
            }
            State::Down => return,
        }
        if self.machines[key.0].epoch != ask.epoch {
            return;
        }
        match answer {
            Answer::News(bulletin, peers, path) => {
                let now = self.now;
                self.machines[key.0].peers.merge(now, &peers);
                let age = bulletin.as_ref().map(|bulletin| bulletin.age);
                let before = self.machines[key.0].archive.revision();
                if let Some(bulletin) = bulletin {
                    self.learn(key, bulletin);
                }
                let changed = self.machines[key.0].archive.revision() != before;
                self.go_on(ask, age, &path, changed);
            }
            Answer::Compacted => {
                self.machines[key.0].follow.store = None;
                self.ask(key, Recipient::Store, None, false);
            }
            Answer::Refused => self.overdue(ask),
        }
    }

    fn learn(&mut self, key: MachineKey, bulletin: DocumentUpdate) {
        let now = self.now;
        self.machines[key.0].archive.apply(now, &bulletin);
        self.tell_mind(key, decode(bulletin));
        let machine = &mut self.machines[key.0];
        let known = machine.archive.revision();
        let confirmed = machine.archive.age(now).map(|age| now - age);
        let news = |ask: &mut Ask| is_news(ask, known, confirmed);
        let ready: Vec<Ask> = machine.follow.waiting.extract_if(.., news).collect();
        for ask in ready {
            self.answer_from_machine(key, ask);
        }
    }

    /// Asks again, after an answer.
    fn go_on(&mut self, ask: Ask, age: Option<Duration>, path: &SourcePath, changed: bool) {
        let key = ask.from;
        let me = self.machines[key.0].address;
        let source = match ask.to {
            Recipient::Store => me,
            Recipient::Machine(other) => self.machines[other.0].address,
        };
        let follow = &mut self.machines[key.0].follow;
        match ask.to {
            Recipient::Store if follow.store == Some(ask.number) => {
                follow.store = None;
                follow.connected = true;
                follow.path = SourcePath::default();
                follow.pause = PAUSES.0;
                let pause = if changed { GATHER } else { Duration::ZERO };
                self.send(pause, Event::Follow(key, ask.epoch));
            }
            Recipient::Machine(_) if follow.peer == Some(ask.number) => {
                follow.peer = None;
                let path = path.through(source, me);
                let recent = path.is_some() && age.is_some_and(|age| age <= MAX_AGE);
                follow.served = recent;
                if let Some(path) = path.filter(|_| recent) {
                    follow.path = path;
                }
                if !recent && follow.store.is_none() {
                    self.send(Duration::ZERO, Event::Follow(key, ask.epoch));
                }
                if !recent {
                    let now = self.now;
                    self.machines[key.0].peers.record_stale(now, source);
                }
                self.ask_peer(key);
            }
            Recipient::Store | Recipient::Machine(_) => {}
        }
    }

    /// A question was not answered in time, or refused.
    pub(super) fn overdue(&mut self, ask: Ask) {
        let (key, now) = (ask.from, self.now);
        if self.machines[key.0].epoch != ask.epoch || !self.takes(key, || Event::Overdue(ask)) {
            return;
        }
        let machine = &mut self.machines[key.0];
        match ask.to {
            Recipient::Store if machine.follow.store == Some(ask.number) => {
                machine.follow.store = None;
                machine.follow.connected = false;
                let pause = machine.follow.pause.max(PAUSES.0);
                machine.follow.pause = (pause * 2).min(PAUSES.1);
                self.send(pause, Event::Follow(key, ask.epoch));
            }
            Recipient::Machine(other) if ask.names || machine.follow.peer == Some(ask.number) => {
                let address = self.machines[other.0].address;
                let zone = zone_name(self.machines[key.0].zone);
                let heard = self.machines[key.0].peers.known(now, &zone);
                let answered = ask.names && heard.iter().any(|peer| peer.address == address);
                if !answered {
                    self.machines[key.0].peers.record_failure(now, address);
                }
                let follow = &mut self.machines[key.0].follow;
                if follow.peer == Some(ask.number) {
                    follow.peer = None;
                    follow.served = false;
                    self.send(Duration::ZERO, Event::Follow(key, ask.epoch));
                    self.ask_peer(key);
                }
            }
            Recipient::Store | Recipient::Machine(_) => {}
        }
    }

    /// Asks the store, unless another instance does.
    pub(super) fn follow_store(&mut self, key: MachineKey, epoch: u32) {
        if !self.is_running(key, epoch) || !self.takes(key, || Event::Follow(key, epoch)) {
            return;
        }
        let follow = &self.machines[key.0].follow;
        if follow.store.is_some() || follow.served {
            return;
        }
        let known = self.machines[key.0].archive.revision();
        self.ask(key, Recipient::Store, known, false);
    }

    /// Looks which instance leads the zone.
    pub(super) fn elect(&mut self, key: MachineKey, epoch: u32) {
        if self.machines[key.0].epoch != epoch || self.machines[key.0].state == State::Down {
            return;
        }
        self.send(ELECTION, Event::Elect(key, epoch));
        if self.machines[key.0].state == State::Up {
            self.ask_peer(key);
            self.confirm(key);
            self.refresh(key);
        }
    }

    /// Asks the store if nobody confirmed the documents in time.
    fn confirm(&mut self, key: MachineKey) {
        let machine = &self.machines[key.0];
        let Some(known) = machine.archive.known() else {
            return;
        };
        let bound = Settings::default().max_age();
        let due = Freshness::new(0.0).call_at(known.confirmed, bound);
        let thinks = !matches!(machine.mind, Mind::Omniscient);
        if thinks && machine.follow.store.is_none() && self.now >= due {
            self.ask(key, Recipient::Store, Some(known.revision), false);
        }
    }

    fn ask_peer(&mut self, key: MachineKey) {
        let now = self.now;
        let machine = &mut self.machines[key.0];
        if machine.follow.peer.is_some() {
            return;
        }
        let to = match machine.peers.source(now) {
            Source::Peer(parent) => Some(parent),
            Source::Store if !machine.follow.connected => machine.peers.pick(now),
            Source::Store => None,
        };
        if to.is_none() && std::mem::replace(&mut machine.follow.served, false) {
            let epoch = machine.epoch;
            self.send(Duration::ZERO, Event::Follow(key, epoch));
        }
        let machine = &self.machines[key.0];
        let known = Some(machine.archive.revision().unwrap_or_default());
        if let Some(to) = to.and_then(|to| self.machine_at(to)) {
            self.ask(key, Recipient::Machine(to), known, false);
        }
    }

    fn refresh(&mut self, key: MachineKey) {
        let now = self.now;
        let machine = &mut self.machines[key.0];
        if now.since(machine.follow.refreshed) < REFRESH {
            return;
        }
        machine.follow.refreshed = now;
        if let Some(address) = machine.peers.pick(now) {
            self.meet(key, &[address]);
        }
    }

    /// Exchanges names with other instances.
    pub(super) fn meet(&mut self, key: MachineKey, others: &[std::net::SocketAddrV4]) {
        for address in others {
            if let Some(other) = self.machine_at(*address).filter(|other| *other != key) {
                self.ask(key, Recipient::Machine(other), None, true);
            }
        }
    }

    fn machine_at(&self, address: std::net::SocketAddrV4) -> Option<MachineKey> {
        let at = |machine: &Machine| machine.address == address;
        self.machines.iter().position(at).map(MachineKey)
    }

    fn is_running(&self, key: MachineKey, epoch: u32) -> bool {
        let machine = &self.machines[key.0];
        let thinks = !matches!(machine.mind, Mind::Omniscient);
        machine.epoch == epoch && machine.state != State::Down && thinks
    }
}

/// Returns whether an instance that knows something has news for another one.
fn is_news(ask: &Ask, known: Option<Revision>, confirmed: Option<Time>) -> bool {
    known > ask.known || confirmed > ask.confirmed.map(|confirmed| confirmed + MIN_ADVANCE)
}

/// Decodes the documents of a bulletin.
fn decode(bulletin: DocumentUpdate) -> StoreUpdate {
    let changes = bulletin.documents.iter().filter_map(|document| {
        // The stand-in writes no document that cannot be read.
        let change = documents::decode(document).ok()??;
        Some(Revisioned {
            revision: document.revision,
            change,
        })
    });
    StoreUpdate {
        changes: changes.collect(),
        revision: bulletin.revision,
        kind: bulletin.kind,
        age: bulletin.age,
    }
}
