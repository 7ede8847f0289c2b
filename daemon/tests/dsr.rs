//! Tests of daemon processes in direct server return mode, with stand-ins for the store, backend
//! servers and clients.

mod dsr_fleet;

use std::time::{
    Duration,
    Instant, //
};

use dsr_fleet::{
    Fleet,
    syn, //
};
use lovagespindle_platform_stand_in::Fault;
use lovagespindle_platform_stand_in::documents::{
    evacuate_zone,
    odd_entries,
    restore_zone, //
};
use rustix::process::Signal;

/// Time within which an acknowledged change must be in force.
const BOUND: Duration = Duration::from_secs(3);

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($host:literal, $fleet:ident) => $body:block)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                let mut $fleet = Fleet::start($host).await;
                $body
            }
        )*
    };
}

cases! {
    /// Guards against packets of a flow that reach no backend server, or another one than its SYN.
    packets_reach_selected_server(1, fleet) => {
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(daemon, true).await;
        let (server, packet) = fleet.open(daemon, syn(1)).await;
        let data = fleet.data_packet(&packet);
        fleet.send(daemon, &data);
        assert_eq!(fleet.receive_at_server(server).await[8..], data);
    }

    /// Guards against clients that wait until their timeout because no route exists.
    flow_without_route_is_reset(2, fleet) => {
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(daemon, true).await;
        let mut packet = syn(1);
        packet[18] ^= 1;
        fleet.send(daemon, &packet);
        assert_eq!(fleet.receive_at_client().await[8], 16);
    }

    /// Guards against an instance that cannot start while the store is down.
    new_daemon_syncs_while_store_is_down(3, fleet) => {
        let existing = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(existing, true).await;
        fleet.store.set_fault(Fault::Down);
        let new = fleet.start_daemon(&[existing]).await;
        fleet.wait_until_ready(new, true).await;
        fleet.open(new, syn(1)).await;
    }

    /// Guards against an instance that waits for a store that stopped replying during a watch.
    new_daemon_syncs_while_store_is_unresponsive(4, fleet) => {
        let first = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(first, true).await;
        fleet.store.set_fault(Fault::Silent);
        let second = fleet.start_daemon(&[first]).await;
        fleet.wait_until_ready(second, true).await;
    }

    /// Guards against an instance that started while the store was down, got the documents from
    /// another instance and then never calls the store.
    new_daemon_turns_to_the_store_when_it_returns(17, fleet) => {
        let existing = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(existing, true).await;
        fleet.store.set_fault(Fault::Down);
        let new = fleet.start_daemon(&[existing]).await;
        fleet.wait_until_ready(new, true).await;
        fleet.kill(existing);
        fleet.store.set_fault(Fault::None);
        fleet.put_config(2);
        fleet.wait_for_line_of(new, "event=routes version=2").await;
    }

    /// Guards against more than one instance of a zone that calls the store.
    only_leader_watches_store(5, fleet) => {
        let first = fleet.start_daemon(&[]).await;
        let second = fleet.start_daemon(&[first]).await;
        fleet.wait_until_ready(second, true).await;
        fleet.wait_for_line(&[first, second], "event=leader_followed").await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let before = fleet.store.calls();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let calls = fleet.store.calls() - before;
        assert!((2..=4).contains(&calls), "{calls} calls in 3 s, one a second expected");
    }

    /// Guards against changes that do not reach instances that sync from a leader, also after the
    /// leader was killed.
    changes_arrive_through_leader_and_after_its_failure(6, fleet) => {
        let first = fleet.start_daemon(&[]).await;
        let second = fleet.start_daemon(&[first]).await;
        fleet.wait_for_line(&[first, second], "event=leader_followed").await;
        fleet.put_config(2);
        fleet.wait_for_line_of(first, "event=routes version=2").await;
        fleet.wait_for_line_of(second, "event=routes version=2").await;
        let leader = fleet.leader(first, second);
        fleet.kill(leader);
        fleet.put_config(3);
        let follower = if leader == first { second } else { first };
        fleet.wait_for_line_of(follower, "event=routes version=3").await;
    }

    /// Guards against instances that follow each other in a cycle and take their old documents for
    /// recent ones: the watcher of a zone is refused by the store and follows its own children.
    changes_arrive_while_the_watcher_is_refused_by_the_store(19, fleet) => {
        let mut endpoints = Vec::new();
        let mut daemons: Vec<usize> = Vec::new();
        for _ in 0..5 {
            let endpoint = fleet.store_endpoint().await;
            daemons.push(fleet.start_daemon_in("a", &daemons, endpoint.address()));
            endpoints.push(endpoint);
        }
        for daemon in &daemons {
            fleet.wait_until_ready(*daemon, true).await;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let follows = |daemon: &usize| fleet.last_source(*daemon) == "leader_followed";
        let watcher = daemons.iter().position(|daemon| !follows(daemon)).expect("a watcher");
        endpoints[watcher].set_fault(Fault::Silent);
        daemons.remove(watcher);
        let lags = fleet.measure_lag(&daemons, 150).await;
        assert!(lags.iter().all(|lag| *lag < BOUND), "{lags:?}");
    }

    /// Guards against instances that ignore the changes after the store was restored from a copy,
    /// because revisions are given out again.
    changes_arrive_after_the_store_was_restored(20, fleet) => {
        let first = fleet.start_daemon(&[]).await;
        let second = fleet.start_daemon(&[first]).await;
        fleet.wait_for_line(&[first, second], "event=leader_followed").await;
        let copy = fleet.store.copy();
        for version in 2..12 {
            fleet.put_config(version);
        }
        for daemon in [first, second] {
            fleet.wait_for_line_of(daemon, "event=routes version=11").await;
        }
        fleet.store.restore(copy);
        let lags = fleet.lag_of(&[first, second], 12).await;
        assert!(lags.iter().all(|lag| *lag < BOUND), "{lags:?}");
    }

    /// Guards against a backend server that has left and is used again, because the copy from which
    /// the store was restored is older than its leaving.
    server_that_left_stays_out_after_the_store_was_restored(21, fleet) => {
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(daemon, true).await;
        let copy = fleet.store.copy();
        fleet.drain_server(0);
        fleet.wait_for_line_of(daemon, "server=i-1 zone=a listing=draining").await;
        fleet.store.restore(copy);
        // A change of the restored store shows that the instance has read it.
        fleet.put_config(2);
        fleet.wait_for_line_of(daemon, "event=routes version=2").await;
        for port in 1..20 {
            assert_eq!(fleet.open(daemon, syn(port)).await.0, 1);
        }
    }

    /// Guards against processes that end, or stop following the store, because another writer left odd
    /// entries among those of the backend servers: while they watch, from another instance, and at
    /// their start.
    odd_entries_are_survived(22, fleet) => {
        let first = fleet.start_daemon(&[]).await;
        let second = fleet.start_daemon(&[first]).await;
        fleet.wait_for_line(&[first, second], "event=leader_followed").await;
        for entry in odd_entries() {
            fleet.store.write(entry);
        }
        let third = fleet.start_daemon(&[first, second]).await;
        fleet.put_config(2);
        for daemon in [first, second, third] {
            fleet.wait_for_line_of(daemon, "event=routes version=2").await;
            fleet.wait_for_line_of(daemon, "event=entry_unreadable").await;
            assert!(!fleet.has_exited(daemon));
            let log = fleet.read_log(daemon);
            assert!(log.lines().all(|line| line.len() < 1_000), "a long line");
            assert!(!log.lines().any(|line| line.starts_with("event=forged")), "a forged line");
            fleet.wait_until_ready(daemon, true).await;
            fleet.open(daemon, syn(1)).await;
        }
    }

    /// Guards against a process that exits before the routers send to other instances, or too late.
    terminated_daemon_forwards_during_shutdown(7, fleet) => {
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(daemon, true).await;
        fleet.signal(daemon, Signal::TERM);
        fleet.wait_until_ready(daemon, false).await;
        fleet.open(daemon, syn(1)).await;
        // The routers check twice before they leave the instance out.
        fleet.wait_until_ready(daemon, false).await;
        assert!(fleet.exits_within(daemon, Duration::from_secs(4)).await);
    }

    /// Guards against packets that reach an ended process, while the routers use all instances of a
    /// zone because more of them stop.
    terminated_daemon_runs_while_packets_arrive(18, fleet) => {
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(daemon, true).await;
        fleet.signal(daemon, Signal::TERM);
        for _ in 0..2 {
            fleet.wait_until_ready(daemon, false).await;
        }
        for number in 0..25 {
            fleet.open(daemon, syn(number)).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(fleet.exits_within(daemon, Duration::from_secs(1)).await);
    }

    /// Guards against changed settings that are not applied, and against invalid ones that stop the
    /// process.
    changed_settings_are_reloaded(8, fleet) => {
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(daemon, true).await;
        fleet.write_settings(daemon, "[decisions]\nzone_preference = -1.0\n");
        fleet.signal(daemon, Signal::HUP);
        fleet.wait_for_line_of(daemon, "event=reload_failed").await;
        fleet.write_settings(daemon, "[decisions]\nzone_preference = 2.0\n");
        fleet.signal(daemon, Signal::HUP);
        fleet.wait_for_line_of(daemon, "event=reload changed=decisions").await;
    }

    /// Guards against an instance that does not forward because its metrics port is in use.
    daemon_runs_if_metrics_port_is_taken(10, fleet) => {
        let _taken = tokio::net::TcpListener::bind("127.78.10.100:9464").await.expect("a port");
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_for_line_of(daemon, "event=metrics_unavailable").await;
        fleet.wait_until_ready(daemon, true).await;
        fleet.open(daemon, syn(1)).await;
    }

    /// Guards against connections that cannot be accepted without a line in the log.
    failed_accepts_are_logged(11, fleet) => {
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(daemon, true).await;
        let limit = fleet.limit_descriptors(daemon, Some(0));
        let connection = fleet.connect_metrics(daemon).await;
        fleet.wait_for_line_of(daemon, "event=accept_failed purpose=/metrics").await;
        fleet.limit_descriptors(daemon, limit);
        fleet.wait_for_line_of(daemon, "event=accept_resumed purpose=/metrics").await;
        drop(connection);
    }

    /// Guards against an unreachable store without a line in the log.
    failed_store_calls_are_logged(12, fleet) => {
        fleet.store.set_fault(Fault::Down);
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_for_line_of(daemon, "event=store_retry").await;
    }

    /// Guards against a new instance that does not know of a zone that was just restored, whether
    /// it reads from the store or from another instance.
    new_daemon_detects_restored_zone(14, fleet) => {
        fleet.store.write(evacuate_zone("a"));
        fleet.store.write(restore_zone("a"));
        let first = fleet.start_daemon(&[]).await;
        fleet.wait_for_line_of(first, "event=zone zone=a out=false").await;
        fleet.store.set_fault(Fault::Down);
        let second = fleet.start_daemon(&[first]).await;
        fleet.wait_for_line_of(second, "event=zone zone=a out=false").await;
    }

    /// Guards against new instances of a zone that only request updates from each other while the
    /// store is down, although an instance in another zone has them.
    new_daemons_sync_from_other_zone(15, fleet) => {
        let store = fleet.store.address();
        let other = fleet.start_daemon_in("b", &[], store);
        let first = fleet.start_daemon_in("a", &[other], store);
        let second = fleet.start_daemon_in("a", &[other, first], store);
        for daemon in [other, first, second] {
            fleet.wait_until_ready(daemon, true).await;
        }
        fleet.store.set_fault(Fault::Down);
        fleet.kill(first);
        fleet.kill(second);
        fleet.restart(first);
        fleet.restart(second);
        fleet.wait_until_ready(first, true).await;
        fleet.wait_until_ready(second, true).await;
    }

    /// Guards against a restarted instance without seeds that no other instance contacts, so that
    /// it gets no updates while the store is down.
    restarted_daemon_is_contacted_by_peer(16, fleet) => {
        let first = fleet.start_daemon(&[]).await;
        let second = fleet.start_daemon(&[first]).await;
        fleet.wait_until_ready(first, true).await;
        fleet.wait_until_ready(second, true).await;
        fleet.store.set_fault(Fault::Down);
        fleet.wait_for_line_of(second, "event=store_lost").await;
        fleet.kill(first);
        fleet.wait_for_line_of(second, "event=peer_lost").await;
        fleet.restart(first);
        let restarted = Instant::now();
        fleet.wait_until_ready(first, true).await;
        let elapsed = restarted.elapsed();
        assert!(elapsed < Duration::from_secs(4), "ready after {elapsed:?}");
    }

    /// Guards against datagrams that are dropped without a line in the log.
    malformed_datagrams_are_logged(13, fleet) => {
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(daemon, true).await;
        fleet.send(daemon, &syn(1)[..30]);
        fleet.wait_for_line_of(daemon, "event=packet_malformed length=30").await;
    }

    /// Guards against metrics that do not count opened flows.
    metrics_count_opened_flows(9, fleet) => {
        let daemon = fleet.start_daemon(&[]).await;
        fleet.wait_until_ready(daemon, true).await;
        fleet.open(daemon, syn(1)).await;
        let page = fleet.metrics(daemon).await;
        let opened = |line: &str| {
            line.starts_with("lovagespindle_opened_total") && line.ends_with(" 1")
        };
        assert!(page.lines().any(opened), "{page}");
    }
}
