//! Instances that start while a cut keeps them from backend servers: routers must not send flows to
//! them before they can serve.

use crate::rig::{
    Rig,
    cases,
    ms, //
};
use lovagespindle_decisions::dsr::balancer::Action;

/// Returns a fresh instance whose probes are not answered unless a test does so, with these backend
/// servers.
fn start(servers: &[(u64, &str)]) -> Rig {
    let mut rig = Rig::new();
    rig.cut_off();
    rig.serve_only(servers);
    rig
}

/// Returns the backend servers of the last round of probes, by the last byte of their addresses.
fn probed(rig: &mut Rig) -> Vec<u8> {
    let mut rounds = rig.actions().into_iter().filter_map(|action| match action {
        Action::Probe(addresses) => Some(addresses),
        _ => None,
    });
    let last = rounds.next_back().unwrap_or_default();
    last.iter()
        .map(|address| address.ip().octets()[3])
        .collect()
}

cases! {
    /// Guards against flows at an instance that is restarted behind a cut: without a check it is
    /// ready until its first flows have timed out.
    instance_is_ready_once_a_server_has_answered => {
        let mut rig = start(&[(1, "a"), (2, "a"), (3, "b"), (4, "b")]);
        assert!(!rig.is_ready());
        rig.record_probes(3, 1);
        assert!(rig.is_ready());
    }

    /// Guards against an instance that reports ready although no probe was answered, and against one
    /// that never probes again.
    instance_behind_a_cut_probes_until_it_is_over => {
        let mut rig = start(&[(1, "a"), (2, "a"), (3, "b"), (4, "b")]);
        for _ in 0..3 {
            assert!(!probed(&mut rig).is_empty());
            rig.record_probes(3, 0);
            assert!(!rig.is_ready());
            rig.advance(ms(600));
        }
        rig.record_probes(3, 1);
        assert!(rig.is_ready());
    }

    /// Guards against instances of a zone that is cut off from the others: they serve by the backend
    /// servers of their own zone, which must be probed too.
    own_zone_is_probed_after_a_start => {
        let mut rig = start(&[(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b")]);
        let servers = probed(&mut rig);
        assert_eq!(servers.len(), 3);
        assert_eq!(servers.iter().filter(|server| **server <= 3).count(), 2, "{servers:?}");
    }

    /// Guards against an instance that never becomes ready because the only backend server is dead.
    single_dead_server_does_not_hold_an_instance_back => {
        let mut rig = start(&[(1, "a")]);
        rig.record_probes(1, 0);
        assert!(rig.is_ready());
    }

    /// Guards against a site without backend servers, where new routes are to be refused at once.
    instance_without_servers_is_ready => {
        assert!(start(&[]).is_ready());
    }

    /// Guards against packets that wait for the check: routers send them if no instance is ready.
    flows_open_while_the_check_runs => {
        let mut rig = start(&[(1, "a"), (2, "a"), (3, "b"), (4, "b")]);
        assert!(!rig.is_ready());
        rig.open();
    }
}
