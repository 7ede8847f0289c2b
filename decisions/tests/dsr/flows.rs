//! Opening and forwarding of flows.

use std::time::Duration;

use crate::rig::{
    Rig,
    cases,
    entry,
    ms,
    table, //
};
use lovagespindle_decisions::dsr::balancer::{
    Action,
    Verdict, //
};
use lovagespindle_decisions::dsr::segment::SegmentKind;
use lovagespindle_decisions::dsr::store_update::Change;

cases! {
    /// Guards against flows that go to other zones although the local zone has capacity.
    local_zone_is_preferred => {
        let mut rig = Rig::new();
        rig.serve();
        for _ in 0..4 {
            assert_eq!(rig.open_zone(), "a");
        }
    }

    /// Guards against overload of the local zone while another has idle backend servers.
    other_zone_takes_flows_beyond_local_capacity => {
        let mut rig = Rig::new();
        rig.serve();
        let zones: Vec<_> = (0..12).map(|_| rig.open_zone()).collect();
        assert!(zones.contains(&"b"), "{zones:?}");
    }

    /// Guards against new flows at a backend server that is about to leave.
    draining_server_gets_no_flow => {
        let mut rig = Rig::new();
        rig.serve();
        let mut leaving = entry(1, "a");
        leaving.draining = true;
        rig.apply(Change::Server("s1".into(), leaving));
        for _ in 0..8 {
            assert_ne!(rig.open().identity, 1);
        }
    }

    /// Guards against a retransmitted SYN that goes to the backend server chosen for the first one,
    /// although that server may not get new flows by now.
    retransmitted_syn_avoids_a_server_that_may_not_open_flows => {
        let mut leaving = entry(1, "a");
        leaving.draining = true;
        let mut cold = entry(1, "a");
        cold.warmup_left = ms(2_000);
        let changes = [
            Change::Server("s1".into(), leaving),
            Change::Server("s1".into(), cold),
            Change::ZoneEvacuated("a".into()),
        ];
        for change in changes {
            let mut rig = Rig::new();
            rig.serve_only(&[(1, "a")]);
            assert_eq!(rig.open().identity, 1);
            rig.apply(change);
            assert_eq!(rig.retransmit(), Verdict::Drop);
            rig.apply(Change::Server("s3".into(), entry(3, "b")));
            assert!(matches!(rig.retransmit(), Verdict::Open(target) if target.identity == 3));
        }
    }

    /// Guards against a new instance that treats the backend servers of a restored zone as warm,
    /// although they have not written their entries since.
    new_instance_waits_for_a_restored_zone => {
        let mut rig = Rig::new();
        rig.serve_after_restore("a");
        for _ in 0..8 {
            assert_eq!(rig.open_zone(), "b");
        }
        rig.advance(ms(1_600));
        rig.confirm();
        let zones: Vec<_> = (0..8).map(|_| rig.open_zone()).collect();
        assert!(zones.contains(&"a"), "{zones:?}");
    }

    /// Guards against flows at backend servers that are cold after their zone was restored, and
    /// cannot report it because the store is unavailable.
    restored_zone_waits_longer_without_the_store => {
        let mut rig = Rig::new();
        rig.serve();
        rig.apply(Change::ZoneEvacuated("a".into()));
        rig.apply(Change::ZoneRestored("a".into()));
        rig.advance(ms(1_900));
        assert_eq!(rig.open_zone(), "b");
        rig.advance(ms(150));
        let zones: Vec<_> = (0..8).map(|_| rig.open_zone()).collect();
        assert!(zones.contains(&"a"), "{zones:?}");
    }

    /// Guards against flows at an evacuated zone, and at a zone that was restored too recently.
    evacuated_zone_gets_no_flow => {
        let mut rig = Rig::new();
        rig.serve();
        rig.apply(Change::ZoneEvacuated("a".into()));
        rig.run_flows(8, ms(10));
        assert_eq!(rig.syn_count(1) + rig.syn_count(2), 0);
        rig.apply(Change::ZoneRestored("a".into()));
        rig.run_flows(8, ms(10));
        assert_eq!(rig.syn_count(1) + rig.syn_count(2), 0);
        rig.advance(ms(1_500));
        rig.confirm();
        rig.run_flows(8, ms(10));
        assert_eq!(rig.syn_count(1) + rig.syn_count(2), 8);
    }

    /// Guards against a burst of flows at a backend server that is still cold.
    cold_server_gets_no_flow => {
        let mut rig = Rig::new();
        rig.serve();
        let mut cold = entry(1, "a");
        cold.warmup_left = ms(2_000);
        rig.apply(Change::Server("s1".into(), cold));
        for _ in 0..8 {
            assert_ne!(rig.open().identity, 1);
        }
    }

    /// Guards against a SYN that waits for the client's retransmission although a backend server
    /// does not answer.
    timed_out_syn_goes_to_another_server => {
        let mut rig = Rig::new();
        rig.serve();
        let first = rig.open();
        rig.advance(ms(200));
        let actions = rig.actions();
        assert!(
            matches!(actions[..], [Action::Open { target, .. }] if target != first),
            "{actions:?}"
        );
    }

    /// Guards against more than single trial flows at a backend server that does not answer.
    unresponsive_server_becomes_suspect => {
        let mut rig = Rig::new();
        rig.serve();
        rig.stop_answers(1);
        rig.run_flows(40, ms(10));
        let before = rig.syn_count(1);
        rig.run_flows(40, ms(10));
        assert!(before >= 2);
        assert!(rig.syn_count(1) - before <= 1, "{} more", rig.syn_count(1) - before);
    }

    /// Guards against frequent trials of an unresponsive backend server: each delays a client by
    /// the handshake timeout. Retry delays of 0.5, 1, 2 and 4 s allow at most five in 10 s.
    trials_of_an_unresponsive_server_become_rare => {
        let mut rig = Rig::new();
        rig.serve();
        rig.stop_answers(1);
        rig.run_flows(40, ms(10));
        let before = rig.syn_count(1);
        rig.run_flows(500, ms(10));
        let trials = rig.syn_count(1) - before;
        assert!((1..=5).contains(&trials), "{trials} trials");
    }

    /// Guards against a burst of flows at a backend server that answers again, because it may have
    /// restarted.
    recovering_server_gets_few_flows => {
        let mut rig = Rig::new();
        rig.serve();
        rig.stop_answers(1);
        rig.run_flows(60, ms(10));
        rig.resume_answers(1);
        rig.advance(ms(4_100));
        let before = rig.syn_count(1);
        rig.run_flows(20, ms(10));
        let trial = rig.syn_count(1) - before;
        assert!((1..=5).contains(&trial), "{trial} flows");
        rig.advance(ms(2_100));
        let before = rig.syn_count(1);
        rig.run_flows(20, ms(10));
        assert!(rig.syn_count(1) > before);
    }

    /// Guards against the loss of backend servers whose entries expired because the store was
    /// unavailable.
    expired_server_is_the_last_choice => {
        let mut rig = Rig::new();
        rig.serve_only(&[(1, "a")]);
        rig.apply(Change::ServerRemoved("s1".into()));
        assert_eq!(rig.open().identity, 1);
        rig.advance(ms(2_500));
        assert_eq!(rig.send_syn(), Verdict::Reset { sequence: 0 });
    }

    /// Guards against flows at a backend server that drained and left.
    removed_server_gets_no_flow => {
        let mut rig = Rig::new();
        rig.serve_only(&[(1, "a")]);
        let mut leaving = entry(1, "a");
        leaving.draining = true;
        rig.apply(Change::Server("s1".into(), leaving));
        rig.apply(Change::ServerRemoved("s1".into()));
        assert_eq!(rig.send_syn(), Verdict::Reset { sequence: 0 });
    }

    /// Guards against packets of open flows that do not reach a backend server without an entry.
    open_flow_is_forwarded_by_its_tag => {
        let mut rig = Rig::new();
        rig.serve();
        let target = rig.open();
        rig.apply(Change::ServerRemoved("s1".into()));
        rig.apply(Change::ServerRemoved("s2".into()));
        rig.advance(ms(10_000));
        assert_eq!(rig.send_data(target.tag), Verdict::Forward(target));
    }

    /// Guards against a flow that moves to another backend server when that one answers as well.
    second_answer_does_not_move_a_flow => {
        let mut rig = Rig::new();
        rig.serve();
        let first = rig.open();
        rig.advance(ms(200));
        let [Action::Open { target: second, .. }] = rig.actions()[..] else {
            panic!("no SYN to a second backend server");
        };
        assert_eq!(rig.send_data(first.tag), Verdict::Forward(first));
        assert_eq!(rig.send_data(second.tag), Verdict::Forward(first));
    }

    /// Guards against a reset of a flow that was opened through another instance.
    late_retransmission_is_not_reset => {
        let mut rig = Rig::new();
        rig.serve_only(&[]);
        assert_eq!(rig.send_syn(), Verdict::Reset { sequence: 0 });
        let mut retransmission = rig.next_segment();
        if let SegmentKind::Syn(syn) = &mut retransmission.kind {
            syn.retransmits = 1;
        }
        assert_eq!(rig.packet(&retransmission), Verdict::Drop);
    }

    /// Guards against a return to an older configuration.
    older_routes_are_ignored => {
        let mut rig = Rig::new();
        rig.serve();
        rig.apply(Change::Routes(table(0, &[])));
        rig.open();
    }

    /// Guards against clients that have to retransmit their SYN because the instance just started.
    syn_before_the_first_update_is_buffered => {
        let mut rig = Rig::new();
        assert_eq!(rig.send_syn(), Verdict::Drop);
        rig.advance(ms(50));
        rig.serve();
        let actions = rig.actions();
        assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
    }

    /// Guards against expired SYNs that fill the buffer, so that those of waiting clients are lost.
    expired_syns_leave_the_buffer => {
        let mut rig = Rig::new();
        for _ in 0..2_000 {
            rig.send_syn();
        }
        rig.advance(Duration::from_secs(2));
        rig.send_syn();
        rig.serve();
        assert_eq!(rig.actions().len(), 1);
    }

    /// Guards against opening flows whose clients have given up.
    syn_buffered_too_long_is_dropped => {
        let mut rig = Rig::new();
        rig.send_syn();
        rig.advance(Duration::from_secs(2));
        rig.serve();
        assert!(rig.actions().is_empty());
    }

    /// Guards against clients that stay with an instance that is isolated from all backend servers.
    isolated_instance_is_not_ready => {
        let mut rig = Rig::new();
        rig.serve();
        rig.apply(Change::ZoneEvacuated("a".into()));
        rig.stop_answers(3);
        rig.stop_answers(4);
        rig.run_flows(20, ms(20));
        assert!(rig.probe_rounds() > 0);
        assert!(rig.is_ready());
        rig.record_probes(2, 0);
        assert!(!rig.is_ready());
        let before = rig.probe_rounds();
        rig.advance(ms(1_000));
        assert!(rig.probe_rounds() > before);
        rig.record_probes(2, 1);
        assert!(rig.is_ready());
    }

    /// Guards against an instance that becomes not ready while a service is down everywhere.
    failed_service_does_not_isolate_an_instance => {
        let mut rig = Rig::new();
        rig.serve();
        for server in 1..=4 {
            rig.stop_answers(server);
        }
        rig.run_flows(40, ms(20));
        rig.record_probes(2, 2);
        assert!(rig.is_ready());
    }

    /// Guards against clients that wait for a retry of backend servers after the network recovered.
    reconnected_instance_uses_servers_immediately => {
        let mut rig = Rig::new();
        rig.serve();
        rig.apply(Change::ZoneEvacuated("a".into()));
        rig.stop_answers(3);
        rig.stop_answers(4);
        rig.run_flows(200, ms(20));
        rig.record_probes(2, 0);
        rig.resume_answers(3);
        rig.resume_answers(4);
        rig.record_probes(2, 2);
        let before = rig.syn_count(3) + rig.syn_count(4);
        rig.run_flows(2, ms(20));
        assert_eq!(rig.syn_count(3) + rig.syn_count(4) - before, 2);
        assert_eq!(rig.health_changes(), 2);
    }

    /// Guards against suspecting all backend servers when one resets its flows: the client gives
    /// up, so that the further attempts of the flow remain unanswered.
    reset_flows_affect_only_their_server => {
        let mut rig = Rig::new();
        rig.serve();
        rig.refuse_flows(1);
        rig.run_flows(60, ms(60));
        assert_eq!(rig.health_changes(), 1);
    }

    /// Guards against backend servers that stay healthy although they leave the retransmissions of
    /// a client unanswered.
    retransmissions_affect_all_unresponsive_servers => {
        let mut rig = Rig::new();
        rig.serve();
        for server in 1..=4 {
            rig.stop_answers(server);
        }
        for _ in 0..4 {
            rig.open();
            rig.advance(ms(190));
            rig.retransmit();
            rig.advance(ms(190));
        }
        assert!(rig.health_changes() >= 2);
    }

    /// Guards against lost changes: a delta that starts after the known revision would mark the
    /// changes in between as known.
    delta_after_a_gap_is_ignored => {
        let mut rig = Rig::new();
        rig.serve();
        rig.apply_after_gap(Change::ZoneEvacuated("a".into()));
        assert_eq!(rig.open_zone(), "a");
    }
}
