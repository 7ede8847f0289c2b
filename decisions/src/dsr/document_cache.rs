//! The documents of the store as an instance knows them, to pass them on to others.

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

/// How many changes are kept to tell those who know the rest. More than a minute of them at today's
/// rates; who is further behind gets everything.
const MAX_RECENT: usize = 512;

/// The documents of the store.
#[derive(Debug, Default)]
pub struct DocumentCache {
    documents: BTreeMap<Arc<str>, Document>,
    /// The changes after `floor` up to `at`, in the order of the store, and removals before that
    /// came with everything else.
    recent: VecDeque<Document>,
    compacted: Revision,
    /// Everything up to this revision is known.
    revision: Revision,
    /// When the store confirmed the latest that is known.
    last_confirmed: Option<Time>,
}

impl DocumentCache {
    /// Returns the revision up to which everything is known, or nothing if nothing is.
    pub fn known(&self) -> Option<Revision> {
        self.last_confirmed.map(|_| self.revision)
    }

    /// Returns how long ago the store confirmed what is known, or nothing if it never did.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.last_confirmed
            .map(|last_confirmed| now.since(last_confirmed))
    }

    /// Takes a bulletin over. One that leaves a gap cannot be used.
    pub fn apply(&mut self, now: Time, update: &DocumentUpdate) {
        match update.kind {
            UpdateKind::Delta(base) if base > self.revision => return,
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

    /// Returns what happened after a revision, or everything if that is not known any more, with
    /// removals of not long ago: they tell that a zone came back. Returns nothing if the store never
    /// confirmed anything.
    pub fn since(&self, now: Time, known: Revision) -> Option<DocumentUpdate> {
        let age = self.age(now)?;
        let (kind, documents) = if known < self.compacted {
            let removed = self.recent.iter().filter(|d| d.value.is_none());
            let held = self.documents.values();
            (UpdateKind::Snapshot, held.chain(removed).cloned().collect())
        } else {
            let newer = self.recent.iter().filter(|d| d.revision > known);
            (UpdateKind::Delta(known), newer.cloned().collect())
        };
        Some(DocumentUpdate {
            documents,
            revision: self.revision,
            kind,
            age,
        })
    }
}
