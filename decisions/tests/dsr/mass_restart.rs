//! All instances of a large fleet restart at once: each one serves with the first page of the store's
//! documents, while the rest is still on its way.

use lovagespindle_decisions::dsr::balancer::Verdict;
use lovagespindle_decisions::dsr::segment::Tag;

use crate::rig::{
    Rig,
    cases,
    ms, //
};

cases! {
    /// Guards against clients that wait until an instance has read thousands of backend servers.
    first_page_is_enough_to_open_flows => {
        let mut rig = Rig::new();
        rig.serve_part(&[(1, "a")]);
        assert!(rig.is_ready());
        assert_eq!(rig.open().identity, 1);
    }

    /// Guards against packets of open flows that are dropped or reset because their backend server
    /// is on a later page.
    open_flows_of_later_pages_wait => {
        let mut rig = Rig::new();
        rig.serve_part(&[(1, "a")]);
        let flow = rig.next_segment().flow;
        for _ in 0..3 {
            assert_eq!(rig.send_request(flow, Tag(2), (200, 1)), Verdict::Hold);
            rig.advance(ms(200));
        }
        rig.serve_only(&[(1, "a"), (2, "a")]);
        let verdict = rig.send_request(flow, Tag(2), (200, 1));
        assert!(matches!(verdict, Verdict::Forward(target) if target.identity == 2), "{verdict:?}");
    }

    /// Guards against a late first page that replaces a complete view.
    late_first_page_is_ignored => {
        let mut rig = Rig::new();
        rig.serve_only(&[(1, "a"), (2, "a")]);
        rig.serve_part(&[(3, "a")]);
        for _ in 0..8 {
            assert_ne!(rig.open().identity, 3);
        }
    }

    /// Guards against records of flows that the instance did not open and cannot place yet: they
    /// would count against the limit during a mass restart.
    waiting_packets_create_one_record_each => {
        let mut rig = Rig::new();
        rig.serve_part(&[(1, "a")]);
        let flow = rig.next_segment().flow;
        for _ in 0..5 {
            rig.send_request(flow, Tag(2), (200, 1));
        }
        assert_eq!(rig.flows(), 1);
    }
}
