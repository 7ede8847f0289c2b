//! Random runs of three document caches that get updates from a store and from each other, while the
//! store is written and restored from copies.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::document_cache::DocumentCache;
use lovagespindle_decisions::dsr::store_update::{
    Document,
    DocumentUpdate,
    Revision,
    UpdateKind, //
};
use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};

const CACHES: usize = 3;
const KEYS: u8 = 4;

/// Time between two steps.
const STEP: Duration = Duration::from_millis(100);

type Contents = BTreeMap<Arc<str>, Document>;

#[derive(Clone, Copy, Debug)]
enum Step {
    Write(u8),
    Remove(u8),
    /// Restores the store to what it was some changes before.
    Restore(u8),
    /// A cache watches the store, and reads everything if the store cannot tell the changes.
    Watch(usize),
    /// A cache gets the changes of the store since what another one knows: there may be a gap.
    Skip(usize, usize),
    /// A cache gets an update from another one.
    Sync(usize, usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let key = u8::arbitrary(g) % KEYS;
        let cache = |g: &mut Gen| usize::arbitrary(g) % CACHES;
        match u8::arbitrary(g) % 8 {
            0 | 1 => Step::Write(key),
            2 => Step::Remove(key),
            3 => Step::Restore(u8::arbitrary(g) % 6),
            4 => Step::Watch(cache(g)),
            5 => Step::Skip(cache(g), cache(g)),
            _ => Step::Sync(cache(g), cache(g)),
        }
    }
}

#[derive(Default)]
struct Store {
    revision: Revision,
    contents: Contents,
    /// The changes since the restoration or the start.
    changes: Vec<Document>,
    /// The contents after each change of this history, the latest last.
    past: Vec<(u64, Contents)>,
    /// The contents at each revision of all eras.
    all: BTreeMap<Revision, Contents>,
    /// The revision at each time.
    timeline: Vec<(Time, Revision)>,
}

impl Store {
    fn record(&mut self, now: Time) {
        self.all.insert(self.revision, self.contents.clone());
        self.timeline.push((now, self.revision));
    }

    fn put(&mut self, now: Time, key: u8, held: bool) {
        self.past
            .push((self.revision.number, self.contents.clone()));
        self.revision.number += 1;
        let document = Document {
            key: format!("key-{key}").into(),
            revision: self.revision,
            value: held.then(|| format!("{:?}", self.revision).into()),
        };
        match held {
            true => drop(self.contents.insert(document.key.clone(), document.clone())),
            false => drop(self.contents.remove(&document.key)),
        }
        self.changes.push(document);
        self.record(now);
    }

    fn restore(&mut self, now: Time, back: u8) {
        let left = self.past.len().saturating_sub(back.into());
        let era = self.revision.era + 1;
        if let Some((number, contents)) = self.past.drain(left..).next() {
            self.revision.number = number;
            self.contents = contents;
        }
        self.revision.era = era;
        for document in self.contents.values_mut() {
            document.revision.era = era;
        }
        self.changes.clear();
        self.record(now);
    }

    /// Returns what a cache gets: the changes, or everything where the store cannot tell them.
    fn since(&self, known: Option<Revision>) -> DocumentUpdate {
        let first = self.changes.first().map_or(self.revision, |d| d.revision);
        let tells = |known: &Revision| {
            known.era == self.revision.era
                && known.number + 1 >= first.number
                && *known <= self.revision
        };
        let (kind, documents): (_, Vec<Document>) = match known.filter(tells) {
            Some(known) => {
                let newer = self.changes.iter().filter(|d| d.revision > known);
                (UpdateKind::Delta(known), newer.cloned().collect())
            }
            None => (
                UpdateKind::Snapshot,
                self.contents.values().cloned().collect(),
            ),
        };
        DocumentUpdate {
            documents,
            revision: self.revision,
            kind,
            age: Duration::ZERO,
        }
    }

    /// Returns the revision that the store had at a time.
    fn revision_at(&self, time: Time) -> Revision {
        let before = self.timeline.iter().rev().find(|(at, _)| *at <= time);
        before.map_or(Revision::default(), |(_, revision)| *revision)
    }
}

fn values(contents: impl IntoIterator<Item = Document>) -> BTreeMap<Arc<str>, Document> {
    let held = contents.into_iter().filter(|d| d.value.is_some());
    held.map(|d| (d.key.clone(), d)).collect()
}

/// Checks that a cache holds exactly what the store held at the cache's revision, and at least what it
/// held when it confirmed the cache.
fn is_sound(now: Time, store: &Store, cache: &DocumentCache) -> bool {
    let Some(known) = cache.known() else {
        return true;
    };
    // Everything, as for an instance that knows nothing.
    let Some(all) = cache.since(now, Revision::default()) else {
        return false;
    };
    let held = all.kind != UpdateKind::Snapshot
        || store.all.get(&known.revision) == Some(&values(all.documents));
    held && known.revision >= store.revision_at(known.confirmed)
}

/// Guards against caches that mix two histories of a restored store, and against a cache that takes
/// itself for confirmed at a time when the store had changes that it does not hold.
#[test]
fn caches_hold_what_the_store_confirmed() {
    fn property(steps: Vec<Step>) -> bool {
        let mut store = Store::default();
        let mut now = Time::from_millis(1_000);
        store.record(now);
        let mut caches: Vec<DocumentCache> =
            (0..CACHES).map(|_| DocumentCache::default()).collect();
        steps.into_iter().all(|step| {
            now = now + STEP;
            match step {
                Step::Write(key) => store.put(now, key, true),
                Step::Remove(key) => store.put(now, key, false),
                Step::Restore(back) => store.restore(now, back),
                Step::Watch(n) => {
                    let update = store.since(caches[n].revision());
                    caches[n].apply(now, &update);
                }
                Step::Skip(to, base) => {
                    let update = store.since(caches[base].revision());
                    caches[to].apply(now, &update);
                }
                Step::Sync(to, from) => {
                    let known = caches[to].revision().unwrap_or_default();
                    if let Some(update) = caches[from].since(now, known) {
                        caches[to].apply(now, &update);
                    }
                }
            }
            caches.iter().all(|cache| is_sound(now, &store, cache))
        })
    }
    let mut check = QuickCheck::new().tests(20_000).max_tests(20_000);
    check.quickcheck(property as fn(Vec<Step>) -> bool);
}
