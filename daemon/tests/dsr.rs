//! Separate daemon processes for direct server return, between stand-ins.

mod dsr_fleet;

use std::time::{
    Duration,
    Instant, //
};

use dsr_fleet::{
    Fleet,
    opening, //
};
use lovagespindle_platform_stand_in::Fault;
use lovagespindle_platform_stand_in::documents::{
    evacuate_zone,
    restore_zone, //
};
use rustix::process::Signal;

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
    /// Guards against flows that reach no backend server, or not the one that answered.
    flow_reaches_its_server(1, fleet) => {
        let daemon = fleet.daemon(&[]).await;
        fleet.until_ready(daemon, true).await;
        let (server, packet) = fleet.open(daemon, opening(1)).await;
        let data = fleet.data_after(&packet);
        fleet.send(daemon, &data);
        assert_eq!(fleet.received(server).await[8..], data);
    }

    /// Guards against clients that wait for a flow without a route.
    unknown_route_is_reset(2, fleet) => {
        let daemon = fleet.daemon(&[]).await;
        fleet.until_ready(daemon, true).await;
        let mut stray = opening(1);
        stray[18] ^= 1;
        fleet.send(daemon, &stray);
        assert_eq!(fleet.client_received().await[8], 16);
    }

    /// Guards against an instance that cannot start while the store is away.
    fresh_daemon_learns_from_another(3, fleet) => {
        let old = fleet.daemon(&[]).await;
        fleet.until_ready(old, true).await;
        fleet.store.set_fault(Fault::Down);
        let fresh = fleet.daemon(&[old]).await;
        fleet.until_ready(fresh, true).await;
        fleet.open(fresh, opening(1)).await;
    }

    /// Guards against an instance that waits for a store that went silent in the middle of a watch.
    silent_store_is_replaced_by_another_instance(4, fleet) => {
        let first = fleet.daemon(&[]).await;
        fleet.until_ready(first, true).await;
        fleet.store.set_fault(Fault::Silent);
        let second = fleet.daemon(&[first]).await;
        fleet.until_ready(second, true).await;
    }

    /// Guards against calls of the store by each instance of a zone.
    one_instance_of_a_zone_follows_the_store(5, fleet) => {
        let first = fleet.daemon(&[]).await;
        let second = fleet.daemon(&[first]).await;
        fleet.until_ready(second, true).await;
        fleet.until_line(&[first, second], "event=leader_followed").await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let before = fleet.store.calls();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let calls = fleet.store.calls() - before;
        assert!((2..=4).contains(&calls), "{calls} calls in 3 s, one a second expected");
    }

    /// Guards against changes that do not come through to those who follow another instance, and
    /// against the death of that instance.
    changes_come_through_a_leader_and_after_its_death(6, fleet) => {
        let first = fleet.daemon(&[]).await;
        let second = fleet.daemon(&[first]).await;
        fleet.until_line(&[first, second], "event=leader_followed").await;
        fleet.put_config(2);
        fleet.until_line_of(first, "event=routes version=2").await;
        fleet.until_line_of(second, "event=routes version=2").await;
        let leader = fleet.leader(first, second);
        fleet.kill(leader);
        fleet.put_config(3);
        let follower = if leader == first { second } else { first };
        fleet.until_line_of(follower, "event=routes version=3").await;
    }

    /// Guards against a process that ends before the routers send elsewhere, or too late.
    terminated_daemon_forwards_for_a_while(7, fleet) => {
        let daemon = fleet.daemon(&[]).await;
        fleet.until_ready(daemon, true).await;
        fleet.signal(daemon, Signal::TERM);
        fleet.until_ready(daemon, false).await;
        fleet.open(daemon, opening(1)).await;
        assert!(fleet.ended(daemon, Duration::from_secs(4)).await);
    }

    /// Guards against settings that are changed and not taken over, and against wrong ones that end
    /// the process.
    settings_are_reloaded(8, fleet) => {
        let daemon = fleet.daemon(&[]).await;
        fleet.until_ready(daemon, true).await;
        fleet.append_settings(daemon, "[decisions]\nzone_preference = -1.0\n");
        fleet.signal(daemon, Signal::HUP);
        fleet.until_line_of(daemon, "event=reload_failed").await;
        fleet.append_settings(daemon, "[decisions]\nzone_preference = 2.0\n");
        fleet.signal(daemon, Signal::HUP);
        fleet.until_line_of(daemon, "event=reload changed=decisions").await;
    }

    /// Guards against an instance that does not forward because the port of its metrics is taken.
    taken_metrics_port_does_not_end_the_daemon(10, fleet) => {
        let _taken = tokio::net::TcpListener::bind("127.78.10.100:9464").await.expect("a port");
        let daemon = fleet.daemon(&[]).await;
        fleet.until_line_of(daemon, "event=metrics_unavailable").await;
        fleet.until_ready(daemon, true).await;
        fleet.open(daemon, opening(1)).await;
    }

    /// Guards against connections that cannot be accepted without a word in the log.
    refused_connections_are_logged(11, fleet) => {
        let daemon = fleet.daemon(&[]).await;
        fleet.until_ready(daemon, true).await;
        let limit = fleet.limit_descriptors(daemon, Some(0));
        let waiting = fleet.connect_metrics(daemon).await;
        fleet.until_line_of(daemon, "event=accept_failed purpose=/metrics").await;
        fleet.limit_descriptors(daemon, limit);
        fleet.until_line_of(daemon, "event=accept_resumed purpose=/metrics").await;
        drop(waiting);
    }

    /// Guards against a store that stays away without a word in the log.
    failed_calls_are_logged(12, fleet) => {
        fleet.store.set_fault(Fault::Down);
        let daemon = fleet.daemon(&[]).await;
        fleet.until_line_of(daemon, "event=store_retry").await;
    }

    /// Guards against a fresh instance that does not know that a zone came back a moment ago, from
    /// the store and from another instance.
    fresh_daemon_learns_of_a_zone_that_came_back(14, fleet) => {
        fleet.store.write(evacuate_zone("a"));
        fleet.store.write(restore_zone("a"));
        let first = fleet.daemon(&[]).await;
        fleet.until_line_of(first, "event=zone zone=a out=false").await;
        fleet.store.set_fault(Fault::Down);
        let second = fleet.daemon(&[first]).await;
        fleet.until_line_of(second, "event=zone zone=a out=false").await;
    }

    /// Guards against fresh instances of a zone that ask only each other while the store is away.
    fresh_daemons_do_not_wait_for_each_other(15, fleet) => {
        let store = fleet.store.address();
        let other = fleet.daemon_at("b", &[], store);
        let first = fleet.daemon_at("a", &[other], store);
        let second = fleet.daemon_at("a", &[other, first], store);
        for daemon in [other, first, second] {
            fleet.until_ready(daemon, true).await;
        }
        fleet.store.set_fault(Fault::Down);
        fleet.kill(first);
        fleet.kill(second);
        fleet.restart(first);
        fleet.restart(second);
        fleet.until_ready(first, true).await;
        fleet.until_ready(second, true).await;
    }

    /// Guards against an instance without seeds in reach that its neighbours leave alone after its
    /// restart.
    restarted_daemon_is_found_by_its_neighbour(16, fleet) => {
        let first = fleet.daemon(&[]).await;
        let second = fleet.daemon(&[first]).await;
        fleet.until_ready(first, true).await;
        fleet.until_ready(second, true).await;
        fleet.store.set_fault(Fault::Down);
        fleet.until_line_of(second, "event=store_lost").await;
        fleet.kill(first);
        fleet.until_line_of(second, "event=peer_lost").await;
        fleet.restart(first);
        let restarted = Instant::now();
        fleet.until_ready(first, true).await;
        let after = restarted.elapsed();
        assert!(after < Duration::from_secs(4), "ready after {after:?}");
    }

    /// Guards against datagrams that are dropped without a word in the log.
    dropped_datagrams_are_logged(13, fleet) => {
        let daemon = fleet.daemon(&[]).await;
        fleet.until_ready(daemon, true).await;
        fleet.send(daemon, &opening(1)[..30]);
        fleet.until_line_of(daemon, "event=packet_malformed length=30").await;
    }

    /// Guards against metrics that miss what was done.
    metrics_are_served(9, fleet) => {
        let daemon = fleet.daemon(&[]).await;
        fleet.until_ready(daemon, true).await;
        fleet.open(daemon, opening(1)).await;
        let page = fleet.metrics(daemon).await;
        let opened = |line: &str| {
            line.starts_with("lovagespindle_opened_total") && line.ends_with(" 1")
        };
        assert!(page.lines().any(opened), "{page}");
    }
}
