//! Open flows of backend servers that are gone: when they are reset, and when they must not be.

use crate::rig::{
    Rig,
    cases,
    entry,
    ms, //
};
use lovagespindle_decisions::dsr::balancer::Verdict;
use lovagespindle_decisions::dsr::segment::{
    FlowTuple,
    Tag,
    Target, //
};
use lovagespindle_decisions::dsr::server_loss::ProbeAnswer;
use lovagespindle_decisions::dsr::store_update::Change;

/// Opens long flows until one backend server has two. Returns these two flows.
fn two_flows_of_one_server(rig: &mut Rig) -> (FlowTuple, FlowTuple, Target) {
    let (first, target) = rig.open_long_flow();
    for _ in 0..20 {
        let (flow, other) = rig.open_long_flow();
        if other.identity == target.identity {
            rig.advance(ms(300));
            rig.confirm();
            return (first, flow, target);
        }
    }
    panic!("no backend server has two flows");
}

/// Sends a request and its retransmission after 200 ms. Returns the verdict on the latter.
fn retransmit(rig: &mut Rig, flow: FlowTuple, tag: Tag) -> Verdict {
    rig.send_request(flow, tag, (200, 1));
    rig.advance(ms(200));
    rig.send_request(flow, tag, (200, 1))
}

fn server_id(target: Target) -> std::sync::Arc<str> {
    format!("s{}", target.identity).into()
}

cases! {
    /// Guards against clients that wait for their time limits at a backend server that is dead. Its
    /// idle flows are reset as well, before a request is sent on them.
    flows_of_a_dead_server_are_reset => {
        let mut rig = Rig::new();
        rig.serve();
        let (first, second, target) = two_flows_of_one_server(&mut rig);
        assert_eq!(retransmit(&mut rig, first, target.tag), Verdict::Forward(target));
        assert_eq!(rig.answer_server_probes(ms(80), ProbeAnswer::Silent), 1);
        let mut resets = rig.resets();
        resets.sort_by_key(|(flow, _)| flow.client.port());
        assert_eq!(resets, [(first, 1), (second, 1)]);
        let late = rig.send_request(second, target.tag, (200, 1));
        assert_eq!(late, Verdict::Reset { sequence: 1 });
    }

    /// Guards against new flows at a backend server that just failed to answer a probe.
    dead_server_gets_no_new_flow => {
        let mut rig = Rig::new();
        rig.serve();
        let (flow, target) = rig.open_long_flow();
        rig.advance(ms(300));
        retransmit(&mut rig, flow, target.tag);
        rig.answer_server_probes(ms(80), ProbeAnswer::Silent);
        for _ in 0..8 {
            assert_ne!(rig.open().identity, target.identity);
        }
    }

    /// Guards against resets of flows whose packet was lost by chance: the server accepts
    /// connections.
    flow_of_a_live_server_is_not_reset => {
        let mut rig = Rig::new();
        rig.serve();
        let (flow, target) = rig.open_long_flow();
        rig.advance(ms(300));
        retransmit(&mut rig, flow, target.tag);
        assert_eq!(rig.answer_server_probes(ms(1), ProbeAnswer::Accepted), 1);
        assert_eq!(rig.resets(), []);
        assert_eq!(rig.send_request(flow, target.tag, (200, 1)), Verdict::Forward(target));
    }

    /// Guards against resets of flows at a server that answered while the probe was under way, as
    /// after a short cut.
    sign_of_life_outweighs_an_unanswered_probe => {
        let mut rig = Rig::new();
        rig.serve();
        let (first, second, target) = two_flows_of_one_server(&mut rig);
        retransmit(&mut rig, first, target.tag);
        rig.send_request(second, target.tag, (200, 1));
        rig.send_request(second, target.tag, (200, 900));
        rig.answer_server_probes(ms(80), ProbeAnswer::Silent);
        assert_eq!(rig.resets(), []);
    }

    /// Guards against a process that was paused and then acts on a probe from before the pause.
    late_probe_result_is_discarded => {
        let mut rig = Rig::new();
        rig.serve();
        let (flow, target) = rig.open_long_flow();
        rig.advance(ms(300));
        retransmit(&mut rig, flow, target.tag);
        rig.answer_server_probes(ms(3_000), ProbeAnswer::Silent);
        assert_eq!(rig.resets(), []);
    }

    /// Guards against a zone that is cut off and whose servers are found one by one, each by a client
    /// that waits.
    servers_of_the_same_zone_are_probed => {
        let mut rig = Rig::new();
        rig.serve_only(&[(1, "b"), (2, "b"), (3, "b"), (4, "b")]);
        let flows: Vec<_> = (0..8).map(|_| rig.open_long_flow()).collect();
        rig.advance(ms(300));
        let (first, target) = flows[0];
        retransmit(&mut rig, first, target.tag);
        assert_eq!(rig.answer_server_probes(ms(80), ProbeAnswer::Silent), 1);
        let reset = rig.answer_zone_probes(ms(80));
        assert_eq!(reset, (3, 8));
    }

    /// Guards against evidence that is used for longer than it holds: a cut ends.
    evidence_expires => {
        let mut rig = Rig::new();
        rig.serve();
        let (first, second, target) = two_flows_of_one_server(&mut rig);
        retransmit(&mut rig, first, target.tag);
        rig.answer_server_probes(ms(80), ProbeAnswer::Silent);
        rig.resets();
        rig.advance(ms(1_000));
        let verdict = rig.send_request(second, target.tag, (200, 1));
        assert_eq!(verdict, Verdict::Forward(target));
        assert_eq!(rig.answer_server_probes(ms(1), ProbeAnswer::Accepted), 1);
    }

    /// Guards against a draining server whose last flows are reset because it no longer listens.
    draining_server_that_refuses_connections_keeps_its_flows => {
        let mut rig = Rig::new();
        rig.serve();
        let (flow, target) = rig.open_long_flow();
        let mut leaving = entry(target.identity, "a");
        leaving.draining = true;
        rig.apply(Change::Server(server_id(target), leaving));
        rig.advance(ms(300));
        retransmit(&mut rig, flow, target.tag);
        rig.answer_server_probes(ms(1), ProbeAnswer::Refused);
        assert_eq!(rig.resets(), []);
    }

    /// Guards against probes for each packet that the network reorders or loses.
    reordered_and_answered_packets_cause_no_probe => {
        let mut rig = Rig::new();
        rig.serve();
        let (first, second, target) = two_flows_of_one_server(&mut rig);
        rig.send_request(first, target.tag, (300, 1));
        rig.advance(ms(5));
        rig.send_request(first, target.tag, (200, 1));
        assert_eq!(rig.answer_server_probes(ms(0), ProbeAnswer::Silent), 0);
        rig.advance(ms(200));
        rig.send_request(second, target.tag, (200, 900));
        rig.send_request(first, target.tag, (300, 1));
        assert_eq!(rig.answer_server_probes(ms(0), ProbeAnswer::Silent), 0);
    }

    /// Guards against clients that find out only with their next request that a server has left.
    flows_of_a_departed_server_are_reset => {
        let mut rig = Rig::new();
        rig.serve();
        let (flow, target) = rig.open_long_flow();
        rig.confirm_for(ms(3_000));
        let mut leaving = entry(target.identity, "a");
        leaving.draining = true;
        rig.apply(Change::Server(server_id(target), leaving));
        rig.confirm_for(ms(500));
        rig.apply(Change::ServerRemoved(server_id(target)));
        assert_eq!(rig.resets(), []);
        rig.confirm_for(ms(1_000));
        assert_eq!(rig.resets(), [(flow, 1)]);
    }

    /// Guards against resets of flows of a live server whose entry another writer has overwritten
    /// with one that is invalid.
    flows_of_a_server_with_an_invalid_entry_are_kept => {
        let mut rig = Rig::new();
        rig.serve_only(&[(1, "a")]);
        let (_, target) = rig.open_long_flow();
        rig.confirm_for(ms(3_000));
        rig.apply(Change::ServerInvalid("s1".into(), "odd".to_owned()));
        rig.confirm_for(ms(4_000));
        assert_eq!(rig.resets(), Vec::new());
        assert!(matches!(rig.send_data(target.tag), Verdict::Forward(_)));
        // It gets no new flows.
        assert!(matches!(rig.send_syn(), Verdict::Reset { .. }));
    }

    /// Guards against resets of flows of live servers whose entries expired while the store was
    /// down: they write them again within about two seconds after its return.
    flows_of_a_lapsed_server_are_kept_until_it_could_return => {
        let mut rig = Rig::new();
        rig.serve();
        let (flow, target) = rig.open_long_flow();
        rig.advance(ms(6_000));
        rig.apply(Change::ServerRemoved(server_id(target)));
        rig.confirm_for(ms(1_900));
        assert_eq!(rig.resets(), []);
        rig.apply(Change::Server(server_id(target), entry(target.identity, "a")));
        rig.confirm_for(ms(3_000));
        assert_eq!(rig.resets(), []);
        assert_eq!(rig.send_request(flow, target.tag, (200, 1)), Verdict::Forward(target));
    }

    /// Guards against flows that are reset on a stale view: the store has not confirmed since that
    /// the server's entry is missing.
    stale_view_resets_no_flow => {
        let mut rig = Rig::new();
        rig.serve();
        let (_, target) = rig.open_long_flow();
        rig.confirm_for(ms(3_000));
        rig.apply(Change::ServerRemoved(server_id(target)));
        rig.advance(ms(5_000));
        assert_eq!(rig.resets(), []);
    }

    /// Guards against a new instance that leaves clients waiting whose server left before it
    /// started.
    unknown_tag_is_reset_when_the_store_confirms_it => {
        let mut rig = Rig::new();
        rig.serve();
        rig.confirm_for(ms(3_000));
        let flow = rig.next_segment().flow;
        assert_eq!(rig.send_request(flow, Tag(99), (200, 7)), Verdict::Drop);
        rig.advance(ms(200));
        assert_eq!(rig.send_request(flow, Tag(99), (200, 7)), Verdict::Drop);
        rig.confirm();
        rig.advance(ms(200));
        let verdict = rig.send_request(flow, Tag(99), (200, 7));
        assert_eq!(verdict, Verdict::Reset { sequence: 7 });
    }

    /// Guards against a new instance that resets flows of live servers whose entries expired while
    /// the store was down.
    new_instance_waits_before_it_resets_unknown_tags => {
        let mut rig = Rig::new();
        rig.serve();
        let flow = rig.next_segment().flow;
        rig.send_request(flow, Tag(99), (200, 7));
        rig.confirm_for(ms(400));
        assert_eq!(rig.send_request(flow, Tag(99), (200, 7)), Verdict::Drop);
    }

    /// Guards against flows that a restarted instance does not count when it places new ones.
    adopted_flows_count_as_load => {
        let mut rig = Rig::new();
        rig.serve_only(&[(1, "a"), (2, "a")]);
        let target = rig.open();
        for _ in 0..8 {
            let flow = rig.next_segment().flow;
            rig.send_request(flow, target.tag, (200, 1));
        }
        for _ in 0..8 {
            assert_ne!(rig.open().identity, target.identity);
        }
    }

    /// Guards against a late copy of a SYN that opens a flow at a second server, after this
    /// instance took the flow over from another one.
    late_syn_of_an_adopted_flow_is_dropped => {
        let mut rig = Rig::new();
        rig.serve();
        let target = rig.open();
        let mut syn = rig.next_segment();
        rig.send_request(syn.flow, target.tag, (200, 1));
        if let lovagespindle_decisions::dsr::segment::SegmentKind::Syn(syn) = &mut syn.kind {
            syn.retransmits = 1;
        }
        assert_eq!(rig.packet(&syn), Verdict::Drop);
    }

    /// Guards against packets of open flows that are dropped before the first update of the store.
    packets_before_the_first_update_are_held => {
        let mut rig = Rig::new();
        let flow = rig.next_segment().flow;
        assert_eq!(rig.send_request(flow, Tag(1), (200, 1)), Verdict::Hold);
    }
}
