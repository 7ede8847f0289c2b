//! Tests the timeline: ring buffer, filters, merging and clock.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

mod fakes;

use std::sync::Arc;

use kameo::actor::Spawn;
use lovagespindle_decisions::config::{
    Configuration,
    Record, //
};
use lovagespindle_decisions::ids::{
    BackendServerId,
    FlowId,
    InstanceId,
    OperationId,
    Revision,
    ServiceId,
    ZoneId, //
};
use lovagespindle_decisions::packet::Reason;
use lovagespindle_decisions::peer::MemberState;
use lovagespindle_decisions::state_change::StateChange;
use lovagespindle_operators::filter::{
    Filter,
    Selection, //
};
use lovagespindle_operators::messages::ReadTimeline;
use lovagespindle_operators::timeline::{
    AppendTimeline,
    Entry,
    ObserveTimestamp,
    Ring,
    Settings,
    Timeline,
    merge,
    timestamp, //
};
use uhlc::NTP64;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

fn entry(time: u64, instance: u64, change: StateChange) -> Entry {
    Entry {
        timestamp: timestamp(time, InstanceId(instance)),
        change,
    }
}

fn select(filter: Filter) -> Selection {
    let mut configuration = Configuration::default();
    let record = Record {
        revision: Revision(1),
        operation: OperationId(1),
        changes: fakes::small(),
    };
    configuration.apply(&record).unwrap();
    Selection {
        filter,
        configuration: Arc::new(configuration),
    }
}

const DOWN: StateChange = StateChange::ServerDown {
    backend_server: BackendServerId(2),
};
const OTHER_DOWN: StateChange = StateChange::ServerDown {
    backend_server: BackendServerId(99),
};
const CLOSED: StateChange = StateChange::FlowClosed {
    flow: FlowId(5),
    service: ServiceId(0),
    backend_server: BackendServerId(2),
    reason: Reason::ZoneOut,
};
fn dead() -> StateChange {
    StateChange::Member {
        instance: InstanceId(4),
        zone: ZoneId::of("z"),
        state: MemberState::Dead,
    }
}

/// Returns the positions of the entries that match a filter.
fn matching(filter: Filter) -> Vec<usize> {
    let selection = select(filter);
    let all = [StateChange::Started, DOWN, OTHER_DOWN, CLOSED, dead()];
    let entries = all.into_iter().enumerate();
    let selected = entries.filter(|(n, o)| selection.matches(&entry(*n as u64, 1, *o)));
    selected.map(|(n, _)| n).collect()
}

cases! {
    /// Guards against a ring buffer that grows without limit or drops the latest entries.
    ring_keeps_the_latest_entries => {
        let mut ring = Ring::new(3);
        for time in 0..5 {
            ring.push(entry(time, 1, StateChange::Started));
        }
        let kept = ring.select(&select(Filter::default()));
        let times: Vec<_> = kept.iter().map(|e| e.timestamp.get_time().as_u64()).collect();
        assert_eq!(times, [2, 3, 4]);
    };
    /// Guards against a default that differs from the documented one.
    default_ring_has_4096_entries => assert_eq!(Settings::default().entries, 4096);
    /// Guards against an empty filter that matches no entries.
    empty_filter_matches_all => assert_eq!(matching(Filter::default()), [0, 1, 2, 3, 4]);
    /// Guards against omitting entries about the backend servers of a service.
    service_filter_covers_servers_and_flows => {
        let filter = Filter { service: Some(ServiceId(0)), ..Filter::default() };
        assert_eq!(matching(filter), [1, 3]);
    };
    /// Guards against a filter that finds no entries about a deleted backend server.
    server_filter_needs_no_configuration => {
        let filter = Filter { server: Some(BackendServerId(99)), ..Filter::default() };
        assert_eq!(matching(filter), [2]);
    };
    /// Guards against omitting entries about the members or backend servers of a zone.
    zone_filter_covers_members_servers_and_flows => {
        let filter = Filter { zone: Some(ZoneId::of("z")), ..Filter::default() };
        assert_eq!(matching(filter), [1, 3, 4]);
    };
    /// Guards against returning entries about other flows.
    flow_filter_is_exact => {
        let filter = Filter { flow: Some(FlowId(5)), ..Filter::default() };
        assert_eq!(matching(filter), [3]);
    };
    /// Guards against off-by-one errors in the time bounds.
    time_bounds_include_since_and_exclude_until => {
        let filter = Filter { since: Some(NTP64(1)), until: Some(NTP64(3)), ..Filter::default() };
        assert_eq!(matching(filter), [1, 2]);
    };
    /// Guards against duplicate entries and an order that depends on which instance replied first.
    merge_orders_by_timestamp_and_drops_duplicates => {
        let a = [entry(1, 7, DOWN), entry(4, 7, CLOSED)];
        let b = [entry(1, 2, dead()), entry(3, 2, DOWN)];
        let expected = [b[0], a[0], b[1], a[1]];
        assert_eq!(merge(vec![a.to_vec(), b.to_vec(), a.to_vec()]), expected);
        assert_eq!(merge(vec![b.to_vec(), a.to_vec()]), expected);
    };
    /// Guards against timestamps that do not identify their instance.
    timestamp_identifies_the_instance => {
        for id in [1, 0x0102_0304_0506_0708, u64::MAX] {
            assert_eq!(entry(1, id, DOWN).instance(), InstanceId(id));
        }
    };
    /// Guards against an effect with an earlier timestamp than its cause at another instance.
    timestamps_follow_observed_ones => {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let a = Timeline::spawn(Timeline::new(InstanceId(1), &Settings::default()));
            let b = Timeline::spawn(Timeline::new(InstanceId(2), &Settings::default()));
            let cause = a.ask(AppendTimeline(DOWN)).await.unwrap();
            b.ask(ObserveTimestamp(cause)).await.unwrap();
            let effect = b.ask(AppendTimeline(CLOSED)).await.unwrap();
            assert!(effect > cause);
            let read = b.ask(ReadTimeline(select(Filter::default()))).await.unwrap();
            assert_eq!(read, [Entry { timestamp: effect, change: CLOSED }]);
        });
    };
}
