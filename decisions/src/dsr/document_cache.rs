//! Cache of the documents of the store, from which other instances are updated.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

use super::store_update::{
    Document,
    DocumentUpdate,
    Revision,
    UpdateKind, //
};

/// Number of recent changes that are kept for deltas. They cover more than a minute at current
/// rates; an instance that is further behind gets a snapshot.
const MAX_RECENT: usize = 512;

/// The documents of the store up to one revision, and the latest changes.
#[derive(Debug, Default)]
pub struct DocumentCache {
    documents: BTreeMap<Arc<str>, Document>,
    /// The changes after `compacted` up to `revision`, in the order of the store. Removals that
    /// came with a snapshot are older.
    recent: VecDeque<Document>,
    /// Changes up to this revision are no longer kept.
    compacted: Revision,
    /// The revision up to which the cache is complete.
    revision: Revision,
    /// Time at which the store last confirmed the contents.
    last_confirmed: Option<Time>,
}

/// What an instance knows of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Known {
    /// The revision up to which the cache is complete.
    pub revision: Revision,
    /// Time at which the store last confirmed the contents.
    pub confirmed: Time,
}

impl DocumentCache {
    /// Returns what is known of the store, or `None` before the first update.
    pub fn known(&self) -> Option<Known> {
        self.last_confirmed.map(|confirmed| Known {
            revision: self.revision,
            confirmed,
        })
    }

    /// Returns the revision up to which the cache is complete, or `None` before the first update.
    pub fn revision(&self) -> Option<Revision> {
        self.known().map(|known| known.revision)
    }

    /// Returns the time since the store last confirmed the contents, or `None` if it never did.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.last_confirmed
            .map(|last_confirmed| now.since(last_confirmed))
    }

    /// Applies an update. A part of a snapshot is ignored. A delta that starts after the known revision is ignored, because changes
    /// in between would be lost.
    ///
    /// So is an update of an earlier era of the store: its changes do not count any more, and a source
    /// that has only those confirms nothing.
    pub fn apply(&mut self, now: Time, update: &DocumentUpdate) {
        if update.revision.era < self.revision.era {
            return;
        }
        match update.kind {
            UpdateKind::Delta(base) if base > self.revision => return,
            UpdateKind::Part => return,
            UpdateKind::Delta(_) => self.extend(update),
            UpdateKind::Snapshot if update.revision > self.revision => self.replace(update),
            UpdateKind::Snapshot => {}
        }
        self.revision = self.revision.max(update.revision);
        self.last_confirmed = self.last_confirmed.max(Some(now - update.age));
    }

    fn replace(&mut self, update: &DocumentUpdate) {
        let (held, removed): (Vec<_>, Vec<_>) = update
            .documents
            .iter()
            .cloned()
            .partition(|d| d.value.is_some());
        self.documents = held.into_iter().map(|d| (d.key.clone(), d)).collect();
        self.recent = removed.into();
        self.compacted = update.revision;
    }

    fn extend(&mut self, update: &DocumentUpdate) {
        let known = self.revision;
        for document in update.documents.iter().filter(|d| d.revision > known) {
            match &document.value {
                Some(_) => {
                    self.documents
                        .insert(document.key.clone(), document.clone());
                }
                None => {
                    self.documents.remove(&document.key);
                }
            }
            self.recent.push_back(document.clone());
            if self.recent.len() > MAX_RECENT
                && let Some(oldest) = self.recent.pop_front()
            {
                self.compacted = oldest.revision;
            }
        }
    }

    /// Returns the changes after the revision `known`, or a snapshot if they are no longer kept. A
    /// snapshot includes recent removals, because they show which zones were restored. Returns
    /// `None` if the store has not confirmed any contents.
    pub fn since(&self, now: Time, known: Revision) -> Option<DocumentUpdate> {
        let age = self.age(now)?;
        let (kind, documents) = if known < self.compacted {
            let removed = self.recent.iter().filter(|d| d.value.is_none());
            let held = self.documents.values();
            (UpdateKind::Snapshot, held.chain(removed).cloned().collect())
        } else {
            let newer = self.recent.iter().filter(|d| d.revision > known);
            // The requester may know more, even of a later era.
            let base = known.min(self.revision);
            (UpdateKind::Delta(base), newer.cloned().collect())
        };
        Some(DocumentUpdate {
            documents,
            revision: self.revision,
            kind,
            age,
        })
    }
}
