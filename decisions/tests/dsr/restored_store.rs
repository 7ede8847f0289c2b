//! A store that was restored from a copy some seconds old. Operators and backend servers write again
//! what was lost.

use std::time::Duration;

use crate::rig::{
    Rig,
    cases,
    entry,
    ms,
    table, //
};
use lovagespindle_decisions::dsr::balancer::Verdict;
use lovagespindle_decisions::dsr::store_update::{
    Change,
    EntryVersion,
    ServerEntry, //
};

/// Returns a later entry of a backend server than the one in snapshots.
fn later_entry(number: u64, sequence: u64, draining: bool) -> ServerEntry {
    ServerEntry {
        version: EntryVersion { born: 0, sequence },
        draining,
        ..entry(number, "a")
    }
}

fn drain(rig: &mut Rig, number: u64) {
    let leaving = later_entry(number, 1, true);
    rig.apply(Change::Server(format!("s{number}").into(), leaving));
}

/// Returns whether any of several flows is opened at a backend server.
fn opens_at(rig: &mut Rig, number: u64) -> bool {
    (0..12).any(|_| matches!(rig.send_syn(), Verdict::Open(target) if target.identity == number))
}

const BOTH: [(u64, &str); 2] = [(1, "a"), (2, "a")];

cases! {
    /// Guards against a backend server that is about to leave and is used again, because the copy is
    /// older than its leaving.
    draining_server_stays_out => {
        let mut rig = Rig::new();
        rig.serve_only(&BOTH);
        drain(&mut rig, 1);
        rig.restore_store(&BOTH);
        assert!(!opens_at(&mut rig, 1));
    }

    /// Guards against a backend server that has left and is used again: its entry is back in the
    /// copy until it expires.
    departed_server_stays_out => {
        let mut rig = Rig::new();
        rig.serve_only(&BOTH);
        drain(&mut rig, 1);
        rig.apply(Change::ServerRemoved("s1".into()));
        rig.restore_store(&BOTH);
        assert!(!opens_at(&mut rig, 1));
    }

    /// Guards against a backend server that is left out although it wrote a later entry.
    later_entry_is_applied => {
        let mut rig = Rig::new();
        rig.serve_only(&BOTH);
        drain(&mut rig, 1);
        rig.restore_store(&BOTH);
        rig.apply(Change::Server("s1".into(), later_entry(1, 2, false)));
        assert!(opens_at(&mut rig, 1));
    }

    /// Guards against a live backend server that counts as gone: its entry had expired, is back with
    /// the copy as it was, and so is not written again.
    expired_server_returns_with_the_copy => {
        for expired_for in [0, 4_000] {
            let mut rig = Rig::new();
            rig.serve_only(&BOTH);
            rig.apply(Change::ServerRemoved("s1".into()));
            rig.confirm_for(ms(expired_for));
            rig.restore_store(&BOTH);
            rig.confirm_for(ms(4_000));
            assert!(opens_at(&mut rig, 1));
        }
    }

    /// Guards against a backend server that registered after the copy was made and counts as gone
    /// before it could write its entry again.
    missing_server_is_the_last_choice => {
        let mut rig = Rig::new();
        rig.serve_only(&BOTH);
        rig.restore_store(&[(2, "a")]);
        assert!(!opens_at(&mut rig, 1));
        rig.restore_store(&[]);
        assert!(opens_at(&mut rig, 1));
    }

    /// Guards against resets of open flows at a live backend server whose entry was lost: it is about
    /// to leave, or it writes the entry again some seconds later.
    flows_are_kept_while_entries_are_written_again => {
        for leaves in [false, true] {
            let mut rig = Rig::new();
            rig.serve_only(&[(1, "a")]);
            let (_, target) = rig.open_long_flow();
            if leaves {
                drain(&mut rig, 1);
            }
            rig.confirm_for(ms(3_000));
            rig.restore_store(&[(2, "a")]);
            rig.confirm_for(ms(2_000));
            rig.apply(Change::Server("s1".into(), later_entry(1, 2, leaves)));
            rig.confirm_for(ms(3_000));
            assert_eq!(rig.resets(), Vec::new());
            assert!(matches!(rig.send_data(target.tag), Verdict::Forward(_)));
        }
    }

    /// Guards against packets for an evacuated zone: the copy is older than the evacuation.
    evacuated_zone_stays_out_until_operators_could_write_it_again => {
        let mut rig = Rig::new();
        rig.serve();
        rig.apply(Change::ZoneEvacuated("a".into()));
        rig.restore_store(&[(1, "a"), (2, "a"), (3, "b"), (4, "b")]);
        rig.confirm_for(ms(1_500));
        assert!(!opens_at(&mut rig, 1) && !opens_at(&mut rig, 2));
        // Operators took the evacuation back while the store was away.
        rig.confirm_for(Duration::from_secs(5));
        assert!(opens_at(&mut rig, 1));
    }

    /// Guards against cold backend servers that count as warm: their zone came back, and the store was
    /// restored before all of them had written that they are cold.
    servers_of_a_restored_zone_stay_out_until_they_could_write => {
        let all = [(1, "a"), (2, "a"), (3, "b"), (4, "b")];
        let mut rig = Rig::new();
        rig.serve();
        rig.apply(Change::ZoneEvacuated("a".into()));
        rig.apply(Change::ZoneRestored("a".into()));
        rig.confirm_for(ms(800));
        rig.restore_store(&all);
        rig.confirm_for(ms(600));
        assert!(!opens_at(&mut rig, 1) && !opens_at(&mut rig, 2));
        rig.confirm_for(ms(3_000));
        assert!(opens_at(&mut rig, 1) || opens_at(&mut rig, 2));
    }

    /// Guards against an evacuation that ends by itself although operators wrote it again.
    evacuation_that_is_written_again_stays => {
        let mut rig = Rig::new();
        rig.serve();
        rig.apply(Change::ZoneEvacuated("a".into()));
        rig.restore_store(&[(1, "a"), (2, "a"), (3, "b"), (4, "b")]);
        rig.apply(Change::ZoneEvacuated("a".into()));
        rig.confirm_for(Duration::from_secs(8));
        assert!(!opens_at(&mut rig, 1));
    }

    /// Guards against a view that counts as confirmed by a source of an earlier era, whose changes are
    /// left out.
    source_of_an_earlier_era_confirms_nothing => {
        let mut rig = Rig::new();
        rig.serve_only(&BOTH);
        rig.restore_store(&BOTH);
        rig.advance(ms(1_000));
        rig.confirm_earlier_era();
        assert_eq!(rig.view_age(), ms(1_000));
    }

    /// Guards against routes that come back older, and against later ones that are not applied.
    routes_do_not_go_back => {
        let mut rig = Rig::new();
        rig.serve_only(&BOTH);
        let later = |version| Change::Routes(table(version, &[]));
        rig.apply(later(5));
        rig.restore_store(&BOTH);
        assert!(matches!(rig.send_syn(), Verdict::Reset { .. }));
        let service = rig.last_flow().service;
        rig.apply(Change::Routes(table(6, &[service])));
        assert!(matches!(rig.send_syn(), Verdict::Open(_)));
    }
}
