//! The platform's store: documents, their history, and what is wrong with it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::store_update::{
    Document,
    DocumentUpdate,
    Revision,
    UpdateKind, //
};
use lovagespindle_platform_stand_in::documents::DocumentWrite;

use super::news::Ask;

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum StoreState {
    #[default]
    Up,
    Down,
    Silent,
    Slow,
}

/// The platform's store.
#[derive(Default)]
pub(super) struct Store {
    documents: BTreeMap<Arc<str>, Document>,
    history: Vec<Document>,
    /// All changes of the day, from which an earlier state is restored.
    log: Vec<(Time, Document)>,
    floor: Revision,
    pub(super) revision: Revision,
    pub(super) state: StoreState,
    /// When something was last wrong with it.
    pub(super) disturbed: Option<Time>,
    /// Questions that wait for changes.
    pub(super) waiting: Vec<Ask>,
}

impl Store {
    /// Writes or removes a document.
    pub(super) fn write(&mut self, now: Time, written: DocumentWrite) {
        self.revision.number += 1;
        let document = Document {
            key: written.key.into(),
            revision: self.revision,
            value: written.value.map(Bytes::from),
        };
        self.log.push((now, document.clone()));
        self.history.push(document.clone());
        self.apply(document);
    }

    fn apply(&mut self, document: Document) {
        match document.value {
            Some(_) => drop(self.documents.insert(document.key.clone(), document)),
            None => drop(self.documents.remove(&document.key)),
        }
    }

    /// Restores the contents of an earlier time. Later changes are lost, and revisions are given out
    /// again.
    pub(super) fn restore(&mut self, at: Time) {
        let era = self.revision.era + 1;
        self.revision = Revision { era, number: 0 };
        self.documents.clear();
        let mut log = std::mem::take(&mut self.log);
        log.retain(|(time, _)| *time <= at);
        for (_, document) in &mut log {
            document.revision.era = era;
            self.revision = document.revision;
            self.apply(document.clone());
        }
        self.log = log;
        self.compact();
    }

    /// Returns whether there is a document with this key.
    pub(super) fn holds(&self, key: &str) -> bool {
        self.documents.contains_key(key)
    }

    pub(super) fn compact(&mut self) {
        self.history.clear();
        self.floor = self.revision;
    }

    /// Returns what changed after a revision, or everything; nothing if that history is gone.
    pub(super) fn since(&self, known: Option<Revision>) -> Option<DocumentUpdate> {
        let (kind, documents) = match known {
            Some(known) if known < self.floor => return None,
            Some(known) => {
                let newer = self.history.iter().filter(|d| d.revision > known);
                (UpdateKind::Delta(known), newer.cloned().collect())
            }
            None => {
                // As the daemon reads the history for zones that came back.
                let removed = self.history.iter().filter(|d| d.value.is_none());
                let held = self.documents.values();
                (UpdateKind::Snapshot, held.chain(removed).cloned().collect())
            }
        };
        Some(DocumentUpdate {
            documents,
            revision: self.revision,
            kind,
            age: Duration::ZERO,
        })
    }
}
