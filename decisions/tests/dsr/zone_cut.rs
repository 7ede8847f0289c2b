//! A zone with many backend servers is cut off: its servers stop answering all at once, and the local
//! zone may be out of service at the same time.

use crate::rig::{
    Rig,
    cases,
    ms, //
};
use lovagespindle_decisions::dsr::server_loss::ProbeAnswer;
use lovagespindle_decisions::dsr::store_update::Change;

/// Number of backend servers of each zone.
const SERVERS: u64 = 100;

/// Serves with many backend servers in each of these zones, numbered from 1.
fn serve(zones: &[&'static str]) -> Rig {
    let mut rig = Rig::new();
    let servers: Vec<_> = zones
        .iter()
        .enumerate()
        .flat_map(|(index, zone)| {
            let first = index as u64 * SERVERS + 1;
            (first..first + SERVERS).map(|number| (number, *zone))
        })
        .collect();
    rig.serve_only(&servers);
    rig
}

/// Returns the number of SYNs that the servers with these numbers got.
fn syns(rig: &Rig, servers: std::ops::Range<u64>) -> u32 {
    servers.map(|server| rig.syn_count(server)).sum()
}

/// Opens a long flow, and lets its backend server answer neither the client nor a probe.
fn lose_open_flow(rig: &mut Rig) {
    let (flow, target) = rig.open_long_flow();
    rig.advance(ms(300));
    rig.send_request(flow, target.tag, (200, 1));
    rig.advance(ms(200));
    rig.send_request(flow, target.tag, (200, 1));
    assert_eq!(rig.answer_server_probes(ms(100), ProbeAnswer::Silent), 1);
}

cases! {
    /// Guards against clients that wait for a handshake timeout at each of the servers of a zone that
    /// is cut off.
    flows_leave_a_zone_after_a_few_timeouts => {
        let mut rig = serve(&["b", "c"]);
        (1..=SERVERS).for_each(|server| rig.stop_answers(server));
        rig.run_flows(200, ms(10));
        let lost = syns(&rig, 1..SERVERS + 1);
        assert!((6..=30).contains(&lost), "{lost} SYNs to the zone that is cut off");
    }

    /// Guards against a zone that gets no flows although its servers answer again.
    zone_is_used_again_after_a_trial => {
        let mut rig = serve(&["b", "c"]);
        (1..=SERVERS).for_each(|server| rig.stop_answers(server));
        rig.run_flows(100, ms(10));
        (1..=SERVERS).for_each(|server| rig.resume_answers(server));
        rig.run_flows(500, ms(10));
        let before = syns(&rig, 1..SERVERS + 1);
        rig.run_flows(100, ms(10));
        let used = syns(&rig, 1..SERVERS + 1) - before;
        assert!(used >= 25, "{used} of 100 flows");
    }

    /// Guards against a zone that is taken for cut off because a few of its servers are dead.
    zone_with_dead_servers_stays_in_use => {
        let mut rig = serve(&["b"]);
        (1..=10).for_each(|server| rig.stop_answers(server));
        rig.run_flows(300, ms(10));
        assert_eq!(rig.zone_changes(), 0);
    }

    /// Guards against clients with long flows whose own zone is out of service and whose instance is
    /// cut off from the others: the instance must not wait for handshakes to time out, as such clients
    /// open few flows.
    isolation_is_checked_when_an_open_flow_is_lost => {
        let mut rig = serve(&["a", "b", "c"]);
        rig.apply(Change::ZoneEvacuated("a".into()));
        lose_open_flow(&mut rig);
        assert_eq!(rig.probe_rounds(), 1);
    }

    /// Guards against an instance that is taken for isolated, and its clients sent away, while the
    /// backend servers of its own zone serve.
    lost_flow_does_not_isolate_where_the_own_zone_serves => {
        let mut rig = serve(&["a", "b", "c"]);
        lose_open_flow(&mut rig);
        assert_eq!(rig.probe_rounds(), 0);
    }

    /// Guards against the same while the entries of the own zone's backend servers have expired,
    /// because the store was away: these servers still serve.
    lost_flow_does_not_isolate_where_the_own_zone_has_expired_entries => {
        let mut rig = serve(&["a", "b", "c"]);
        (1..=SERVERS).for_each(|server| {
            rig.apply(Change::ServerRemoved(format!("s{server}").as_str().into()));
        });
        lose_open_flow(&mut rig);
        assert_eq!(rig.probe_rounds(), 0);
    }

    /// Guards against clients whose instance is cut off from all zones that may serve them, and that
    /// finds out only when it has tried hundreds of servers.
    isolation_is_checked_after_a_few_timeouts => {
        let mut rig = serve(&["a", "b", "c"]);
        rig.apply(Change::ZoneEvacuated("a".into()));
        (SERVERS + 1..=3 * SERVERS).for_each(|server| rig.stop_answers(server));
        rig.run_flows(20, ms(10));
        rig.advance(ms(200));
        assert!(rig.probe_rounds() >= 1);
    }
}
