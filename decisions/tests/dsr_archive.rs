//! The documents of the store as an instance passes them on.

use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::archive::Archive;
use lovagespindle_decisions::dsr::store_update::{
    Document,
    DocumentUpdate,
    Revision,
    Scope, //
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

fn bulletin(documents: &[Document], at: u64, scope: Scope) -> DocumentUpdate {
    DocumentUpdate {
        documents: documents.to_vec(),
        at: Revision(at),
        scope,
        age: Duration::ZERO,
    }
}

fn archive(bulletins: &[DocumentUpdate]) -> Archive {
    let mut archive = Archive::default();
    for bulletin in bulletins {
        archive.learn(NOW, bulletin);
    }
    archive
}

/// Returns scope and keys of what an instance is told that knows that much.
fn told(archive: &Archive, known: u64) -> (Scope, Vec<String>) {
    let bulletin = archive.since(NOW, Revision(known)).expect("news");
    let keys = bulletin.documents.iter().map(|d| d.key.to_string());
    (bulletin.scope, keys.collect())
}

cases! {
    /// Guards against a fresh instance that is not told of a zone that came back, by an instance
    /// that read it with everything else or saw it happen.
    removals_are_told_to_fresh_instances => {
        let all = [document("held", 3, true), document("zone", 4, false)];
        let read = archive(&[bulletin(&all, 5, Scope::All)]);
        assert_eq!(told(&read, 0), (Scope::All, vec!["held".to_owned(), "zone".to_owned()]));
        assert_eq!(told(&read, 5), (Scope::After(Revision(5)), vec![]));
        let seen = archive(&[
            bulletin(&all[..1], 3, Scope::All),
            bulletin(&[document("zone", 4, true)], 4, Scope::After(Revision(3))),
            bulletin(&[document("zone", 5, false)], 5, Scope::After(Revision(4))),
        ]);
        let (scope, keys) = told(&seen, 0);
        assert_eq!((scope, keys.last().map(String::as_str)), (Scope::All, Some("zone")));
    }

    /// Guards against an archive that takes a change for complete whose predecessors it missed.
    gaps_are_not_learnt => {
        let gap = bulletin(&[document("later", 9, true)], 9, Scope::After(Revision(8)));
        let archive = archive(&[bulletin(&[document("held", 3, true)], 3, Scope::All), gap]);
        assert_eq!(archive.known(), Some(Revision(3)));
    }

    /// Guards against answers that repeat what the asker knows.
    only_news_are_told => {
        let archive = archive(&[
            bulletin(&[document("held", 3, true)], 3, Scope::All),
            bulletin(&[document("new", 4, true)], 4, Scope::After(Revision(3))),
        ]);
        assert_eq!(told(&archive, 3), (Scope::After(Revision(3)), vec!["new".to_owned()]));
        assert_eq!(told(&archive, 2).0, Scope::All);
    }
}
