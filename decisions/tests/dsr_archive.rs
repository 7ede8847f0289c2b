//! The documents of the store as an instance passes them on.

use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::document_cache::DocumentCache;
use lovagespindle_decisions::dsr::store_update::{
    Document,
    DocumentUpdate,
    Revision,
    UpdateKind, //
};

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:block)*) => {
        $($(#[$doc])* #[test] fn $name() $body)*
    };
}

const NOW: Time = Time::from_millis(60_000);

fn document(key: &str, revision: u64, held: bool) -> Document {
    Document {
        key: key.into(),
        revision: Revision(revision),
        value: held.then(|| "{}".into()),
    }
}

fn update(documents: &[Document], revision: u64, kind: UpdateKind) -> DocumentUpdate {
    DocumentUpdate {
        documents: documents.to_vec(),
        revision: Revision(revision),
        kind,
        age: Duration::ZERO,
    }
}

fn archive(bulletins: &[DocumentUpdate]) -> DocumentCache {
    let mut archive = DocumentCache::default();
    for update in bulletins {
        archive.apply(NOW, update);
    }
    archive
}

/// Returns scope and keys of what an instance is told that knows that much.
fn told(archive: &DocumentCache, known: u64) -> (UpdateKind, Vec<String>) {
    let update = archive.since(NOW, Revision(known)).expect("news");
    let keys = update.documents.iter().map(|d| d.key.to_string());
    (update.kind, keys.collect())
}

cases! {
    /// Guards against a fresh instance that is not told of a zone that came back, by an instance
    /// that read it with everything else or saw it happen.
    removals_are_told_to_fresh_instances => {
        let all = [document("held", 3, true), document("zone", 4, false)];
        let read = archive(&[update(&all, 5, UpdateKind::Snapshot)]);
        assert_eq!(told(&read, 0), (UpdateKind::Snapshot, vec!["held".to_owned(), "zone".to_owned()]));
        assert_eq!(told(&read, 5), (UpdateKind::Delta(Revision(5)), vec![]));
        let seen = archive(&[
            update(&all[..1], 3, UpdateKind::Snapshot),
            update(&[document("zone", 4, true)], 4, UpdateKind::Delta(Revision(3))),
            update(&[document("zone", 5, false)], 5, UpdateKind::Delta(Revision(4))),
        ]);
        let (kind, keys) = told(&seen, 0);
        assert_eq!((kind, keys.last().map(String::as_str)), (UpdateKind::Snapshot, Some("zone")));
    }

    /// Guards against an archive that takes a change for complete whose predecessors it missed.
    gaps_are_not_learnt => {
        let gap = update(&[document("later", 9, true)], 9, UpdateKind::Delta(Revision(8)));
        let archive = archive(&[update(&[document("held", 3, true)], 3, UpdateKind::Snapshot), gap]);
        assert_eq!(archive.known(), Some(Revision(3)));
    }

    /// Guards against answers that repeat what the asker knows.
    only_news_are_told => {
        let archive = archive(&[
            update(&[document("held", 3, true)], 3, UpdateKind::Snapshot),
            update(&[document("new", 4, true)], 4, UpdateKind::Delta(Revision(3))),
        ]);
        assert_eq!(told(&archive, 3), (UpdateKind::Delta(Revision(3)), vec!["new".to_owned()]));
        assert_eq!(told(&archive, 2).0, UpdateKind::Snapshot);
    }
}
