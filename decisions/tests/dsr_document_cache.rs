//! Tests of the document cache, from which other instances are updated.

use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::document_cache::{
    DocumentCache,
    Known, //
};
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
        revision: Revision::from(revision),
        value: held.then(|| "{}".into()),
    }
}

fn update(documents: &[Document], revision: u64, kind: UpdateKind) -> DocumentUpdate {
    DocumentUpdate {
        documents: documents.to_vec(),
        revision: Revision::from(revision),
        kind,
        age: Duration::ZERO,
    }
}

fn cache(updates: &[DocumentUpdate]) -> DocumentCache {
    let mut cache = DocumentCache::default();
    for update in updates {
        cache.apply(NOW, update);
    }
    cache
}

/// Returns the kind and the keys of the update for an instance that knows revision `known`.
fn update_since(cache: &DocumentCache, known: u64) -> (UpdateKind, Vec<String>) {
    let update = cache.since(NOW, Revision::from(known)).expect("an update");
    let keys = update.documents.iter().map(|d| d.key.to_string());
    (update.kind, keys.collect())
}

cases! {
    /// Guards against a new instance that does not learn that a zone was restored, whether the
    /// cache got the removal with a snapshot or with a delta.
    snapshots_contain_removals => {
        let all = [document("held", 3, true), document("zone", 4, false)];
        let read = cache(&[update(&all, 5, UpdateKind::Snapshot)]);
        assert_eq!(update_since(&read, 0), (UpdateKind::Snapshot, vec!["held".to_owned(), "zone".to_owned()]));
        assert_eq!(update_since(&read, 5), (UpdateKind::Delta(Revision::from(5)), vec![]));
        let observed = cache(&[
            update(&all[..1], 3, UpdateKind::Snapshot),
            update(&[document("zone", 4, true)], 4, UpdateKind::Delta(Revision::from(3))),
            update(&[document("zone", 5, false)], 5, UpdateKind::Delta(Revision::from(4))),
        ]);
        let (kind, keys) = update_since(&observed, 0);
        assert_eq!((kind, keys.last().map(String::as_str)), (UpdateKind::Snapshot, Some("zone")));
    }

    /// Guards against a cache that applies a change without those before it.
    delta_after_a_gap_is_ignored => {
        let gap = update(&[document("later", 9, true)], 9, UpdateKind::Delta(Revision::from(8)));
        let cache = cache(&[update(&[document("held", 3, true)], 3, UpdateKind::Snapshot), gap]);
        let known = Known { revision: Revision::from(3), confirmed: NOW };
        assert_eq!(cache.known(), Some(known));
    }

    /// Guards against a cache that ignores the documents of a restored store, because their revisions
    /// are lower than those that it knows.
    restored_store_replaces_the_contents => {
        let mut cache = cache(&[update(&[document("lost", 9, true)], 9, UpdateKind::Snapshot)]);
        let at = |number| Revision { era: 1, number };
        let restored = Document { revision: at(3), ..document("held", 3, true) };
        cache.apply(NOW, &DocumentUpdate { revision: at(4), ..update(&[restored], 4, UpdateKind::Snapshot) });
        assert_eq!(cache.revision(), Some(at(4)));
        // An instance that knows more of the earlier era gets everything, one of a later era nothing.
        assert_eq!(update_since(&cache, 9), (UpdateKind::Snapshot, vec!["held".to_owned()]));
        let later = cache.since(NOW, Revision { era: 2, number: 1 }).expect("an update");
        assert_eq!((later.kind, later.documents), (UpdateKind::Delta(at(4)), Vec::new()));
        // Changes of the earlier era come too late.
        cache.apply(NOW, &update(&[document("late", 10, true)], 10, UpdateKind::Delta(Revision::from(9))));
        assert_eq!(update_since(&cache, 0).1, ["held".to_owned()]);
    }

    /// Guards against a source of an earlier era whose answers count as confirmations, although its
    /// changes are left out.
    source_of_an_earlier_era_confirms_nothing => {
        let at = Revision { era: 1, number: 3 };
        let mut cache = cache(&[DocumentUpdate { revision: at, ..update(&[], 3, UpdateKind::Snapshot) }]);
        let later = NOW + Duration::from_secs(1);
        for kind in [UpdateKind::Delta(Revision::from(9)), UpdateKind::Snapshot] {
            cache.apply(later, &update(&[document("late", 10, true)], 10, kind));
        }
        assert_eq!(cache.known(), Some(Known { revision: at, confirmed: NOW }));
    }

    /// Guards against updates that repeat what the requester already knows.
    update_contains_only_newer_changes => {
        let cache = cache(&[
            update(&[document("held", 3, true)], 3, UpdateKind::Snapshot),
            update(&[document("new", 4, true)], 4, UpdateKind::Delta(Revision::from(3))),
        ]);
        assert_eq!(update_since(&cache, 3), (UpdateKind::Delta(Revision::from(3)), vec!["new".to_owned()]));
        assert_eq!(update_since(&cache, 2).0, UpdateKind::Snapshot);
    }
}
