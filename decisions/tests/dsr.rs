//! Tests of the decisions for direct server return.

mod dsr_rig;

use std::time::Duration;

use dsr_rig::{
    Rig,
    cases,
    entry,
    ms, //
};
use lovagespindle_decisions::dsr::balancer::{
    Action,
    Verdict, //
};
use lovagespindle_decisions::dsr::segment::SegmentKind;
use lovagespindle_decisions::dsr::store_update::Change;

cases! {
    /// Guards against flows that nobody places in the own zone although it has room.
    own_zone_is_preferred => {
        let mut rig = Rig::new();
        rig.serve();
        for _ in 0..4 {
            assert_eq!(rig.zone_of_open(), "a");
        }
    }

    /// Guards against overload of the own zone while another has idle backend servers.
    other_zone_takes_what_the_own_cannot => {
        let mut rig = Rig::new();
        rig.serve();
        let zones: Vec<_> = (0..12).map(|_| rig.zone_of_open()).collect();
        assert!(zones.contains(&"b"), "{zones:?}");
    }

    /// Guards against new flows at a backend server that is about to leave.
    draining_server_gets_no_flow => {
        let mut rig = Rig::new();
        rig.serve();
        let mut leaving = entry(1, "a");
        leaving.draining = true;
        rig.learn(Change::Server("s1".into(), leaving));
        for _ in 0..8 {
            assert_ne!(rig.open().identity, 1);
        }
    }

    /// Guards against a fresh instance that takes the backend servers of a zone for warm that came
    /// back a moment ago, because they have not written their entries since.
    fresh_instance_waits_for_a_zone_that_came_back => {
        let mut rig = Rig::new();
        rig.serve_after_return("a");
        for _ in 0..8 {
            assert_eq!(rig.zone_of_open(), "b");
        }
        rig.wait(ms(1_600));
        rig.hear();
        let zones: Vec<_> = (0..8).map(|_| rig.zone_of_open()).collect();
        assert!(zones.contains(&"a"), "{zones:?}");
    }

    /// Guards against backend servers that came back cold and cannot say so, as the store is away.
    returned_zone_waits_longer_without_the_store => {
        let mut rig = Rig::new();
        rig.serve();
        rig.learn(Change::ZoneEvacuated("a".into()));
        rig.learn(Change::ZoneRestored("a".into()));
        rig.wait(ms(1_900));
        assert_eq!(rig.zone_of_open(), "b");
        rig.wait(ms(150));
        let zones: Vec<_> = (0..8).map(|_| rig.zone_of_open()).collect();
        assert!(zones.contains(&"a"), "{zones:?}");
    }

    /// Guards against flows at a zone that operators took out, and too early ones at its return.
    zone_out_gets_no_flow => {
        let mut rig = Rig::new();
        rig.serve();
        rig.learn(Change::ZoneEvacuated("a".into()));
        rig.play(8, ms(10));
        assert_eq!(rig.opens(1) + rig.opens(2), 0);
        rig.learn(Change::ZoneRestored("a".into()));
        rig.play(8, ms(10));
        assert_eq!(rig.opens(1) + rig.opens(2), 0);
        rig.wait(ms(1_500));
        rig.hear();
        rig.play(8, ms(10));
        assert_eq!(rig.opens(1) + rig.opens(2), 8);
    }

    /// Guards against floods at a backend server that is still cold.
    cold_server_gets_no_flow => {
        let mut rig = Rig::new();
        rig.serve();
        let mut cold = entry(1, "a");
        cold.warmup_left = ms(2_000);
        rig.learn(Change::Server("s1".into(), cold));
        for _ in 0..8 {
            assert_ne!(rig.open().identity, 1);
        }
    }

    /// Guards against an opening packet that waits for the client's copy while a backend server is
    /// silent.
    unanswered_opening_goes_elsewhere => {
        let mut rig = Rig::new();
        rig.serve();
        let first = rig.open();
        rig.wait(ms(200));
        let actions = rig.actions();
        assert!(
            matches!(actions[..], [Action::Open { target, .. }] if target != first),
            "{actions:?}"
        );
    }

    /// Guards against more than single trial flows at a backend server that does not answer.
    silent_server_becomes_suspect => {
        let mut rig = Rig::new();
        rig.serve();
        rig.silence(1);
        rig.play(40, ms(10));
        let before = rig.opens(1);
        rig.play(40, ms(10));
        assert!(before >= 2);
        assert!(rig.opens(1) - before <= 1, "{} more", rig.opens(1) - before);
    }

    /// Guards against trials of a silent backend server that stay frequent: each costs a client the
    /// wait for its answer. Pauses of 0.5, 1, 2 and 4 s leave room for five in 10 s.
    trials_of_a_silent_server_become_rare => {
        let mut rig = Rig::new();
        rig.serve();
        rig.silence(1);
        rig.play(40, ms(10));
        let before = rig.opens(1);
        rig.play(500, ms(10));
        let trials = rig.opens(1) - before;
        assert!((1..=5).contains(&trials), "{trials} trials");
    }

    /// Guards against a flood at a backend server that answers again: it may have started anew.
    answering_server_recovers_slowly => {
        let mut rig = Rig::new();
        rig.serve();
        rig.silence(1);
        rig.play(60, ms(10));
        rig.unsilence(1);
        rig.wait(ms(4_100));
        let before = rig.opens(1);
        rig.play(20, ms(10));
        let trial = rig.opens(1) - before;
        assert!((1..=5).contains(&trial), "{trial} flows");
        rig.wait(ms(2_100));
        let before = rig.opens(1);
        rig.play(20, ms(10));
        assert!(rig.opens(1) > before);
    }

    /// Guards against the loss of backend servers whose entries lapsed with the store.
    lapsed_server_is_a_last_choice => {
        let mut rig = Rig::new();
        rig.serve_only(&[(1, "a")]);
        rig.learn(Change::ServerRemoved("s1".into()));
        assert_eq!(rig.open().identity, 1);
        rig.wait(ms(2_500));
        assert_eq!(rig.try_open(), Verdict::Reset);
    }

    /// Guards against flows at a backend server that said that it leaves and is gone.
    departed_server_gets_no_flow => {
        let mut rig = Rig::new();
        rig.serve_only(&[(1, "a")]);
        let mut leaving = entry(1, "a");
        leaving.draining = true;
        rig.learn(Change::Server("s1".into(), leaving));
        rig.learn(Change::ServerRemoved("s1".into()));
        assert_eq!(rig.try_open(), Verdict::Reset);
    }

    /// Guards against packets of open flows that do not reach a backend server that left.
    open_flow_follows_its_tag => {
        let mut rig = Rig::new();
        rig.serve();
        let target = rig.open();
        rig.learn(Change::ServerRemoved("s1".into()));
        rig.learn(Change::ServerRemoved("s2".into()));
        rig.wait(ms(10_000));
        assert_eq!(rig.data(target.tag), Verdict::Forward(target));
    }

    /// Guards against a flow that leaves its backend server when a second one answers as well.
    second_answer_does_not_move_a_flow => {
        let mut rig = Rig::new();
        rig.serve();
        let first = rig.open();
        rig.wait(ms(200));
        let [Action::Open { target: second, .. }] = rig.actions()[..] else {
            panic!("no second opening");
        };
        assert_eq!(rig.data(first.tag), Verdict::Forward(first));
        assert_eq!(rig.data(second.tag), Verdict::Forward(first));
    }

    /// Guards against a reset of a flow that was opened by way of another instance.
    late_copy_is_not_reset => {
        let mut rig = Rig::new();
        rig.serve_only(&[]);
        assert_eq!(rig.try_open(), Verdict::Reset);
        let mut copy = rig.next_segment();
        if let SegmentKind::Syn(opening) = &mut copy.kind {
            opening.retransmits = 1;
        }
        assert_eq!(rig.packet(&copy), Verdict::Drop);
    }

    /// Guards against a configuration that goes back.
    older_routes_change_nothing => {
        let mut rig = Rig::new();
        rig.serve();
        rig.learn(Change::Routes(dsr_rig::table(0, &[])));
        rig.open();
    }

    /// Guards against clients that wait for their next copy because the instance has just started.
    opening_before_the_first_news_is_kept => {
        let mut rig = Rig::new();
        assert_eq!(rig.try_open(), Verdict::Drop);
        rig.wait(ms(50));
        rig.serve();
        let actions = rig.actions();
        assert!(matches!(actions[..], [Action::Open { .. }]), "{actions:?}");
    }

    /// Guards against old opening packets that leave no room for those of clients that still wait.
    old_kept_openings_make_room => {
        let mut rig = Rig::new();
        for _ in 0..2_000 {
            rig.try_open();
        }
        rig.wait(Duration::from_secs(2));
        rig.try_open();
        rig.serve();
        assert_eq!(rig.actions().len(), 1);
    }

    /// Guards against openings at backend servers whose client has given up.
    opening_kept_too_long_is_dropped => {
        let mut rig = Rig::new();
        rig.try_open();
        rig.wait(Duration::from_secs(2));
        rig.serve();
        assert!(rig.actions().is_empty());
    }

    /// Guards against clients that stay with an instance that is cut off from all backend servers.
    cut_off_instance_is_not_ready => {
        let mut rig = Rig::new();
        rig.serve();
        rig.learn(Change::ZoneEvacuated("a".into()));
        rig.silence(3);
        rig.silence(4);
        rig.play(20, ms(20));
        assert!(rig.probes() > 0);
        assert!(rig.is_ready());
        rig.probed(2, 0);
        assert!(!rig.is_ready());
        let before = rig.probes();
        rig.wait(ms(1_000));
        assert!(rig.probes() > before);
        rig.probed(2, 1);
        assert!(rig.is_ready());
    }

    /// Guards against an instance that sends its clients away while a service is down everywhere.
    dead_service_does_not_isolate => {
        let mut rig = Rig::new();
        rig.serve();
        for server in 1..=4 {
            rig.silence(server);
        }
        rig.play(40, ms(20));
        rig.probed(2, 2);
        assert!(rig.is_ready());
    }

    /// Guards against clients that wait for backend servers after a cut has healed.
    healed_instance_tries_at_once => {
        let mut rig = Rig::new();
        rig.serve();
        rig.learn(Change::ZoneEvacuated("a".into()));
        rig.silence(3);
        rig.silence(4);
        rig.play(200, ms(20));
        rig.probed(2, 0);
        rig.unsilence(3);
        rig.unsilence(4);
        rig.probed(2, 2);
        let before = rig.opens(3) + rig.opens(4);
        rig.play(2, ms(20));
        assert_eq!(rig.opens(3) + rig.opens(4) - before, 2);
        assert_eq!(rig.standing_changes(), 2);
    }

    /// Guards against distrust of all backend servers when one resets its flows: the client turned
    /// away, so that nobody answers the further openings of the flow.
    reset_flows_accuse_only_their_server => {
        let mut rig = Rig::new();
        rig.serve();
        rig.close(1);
        rig.play(60, ms(60));
        assert_eq!(rig.standing_changes(), 1);
    }

    /// Guards against trust in a backend server that leaves the copies of a client unanswered.
    copies_accuse_all_that_were_silent => {
        let mut rig = Rig::new();
        rig.serve();
        for server in 1..=4 {
            rig.silence(server);
        }
        for _ in 0..4 {
            rig.open();
            rig.wait(ms(190));
            rig.copy();
            rig.wait(ms(190));
        }
        assert!(rig.standing_changes() >= 2);
    }

    /// Guards against changes that are lost between those that are known and those that are told:
    /// the missing ones would count as known.
    news_after_a_gap_are_not_taken => {
        let mut rig = Rig::new();
        rig.serve();
        rig.learn_after_gap(Change::ZoneEvacuated("a".into()));
        assert_eq!(rig.zone_of_open(), "a");
    }
}
