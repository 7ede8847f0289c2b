//! Tests of the membership on a simulated network in virtual time.

#![allow(clippy::unwrap_used, reason = "helper functions outside of tests")]

mod net;

use std::time::Duration;

use lovagespindle_decisions::action::Action;
use lovagespindle_decisions::event::RegistryEntry;
use lovagespindle_decisions::ids::{
    Revision,
    ZoneId, //
};
use lovagespindle_decisions::membership::Context;
use lovagespindle_decisions::peer::{
    MemberState,
    MemberUpdate,
    PeerMessage, //
};
use lovagespindle_decisions::time::Time;
use net::Network;
use quickcheck::Gen;
use smallvec::SmallVec;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

const ZONE: ZoneId = ZoneId(1);
const OTHER_ZONE: ZoneId = ZoneId(2);

/// Returns a network that has converged and then run for 10 more seconds.
fn converged_network(sizes: &[usize], seed: u64) -> Network {
    let mut net = Network::new(sizes, seed);
    let took = net.run_until(20_000, Network::converged);
    assert!(took.is_some(), "the members did not converge");
    net.run(10_000);
    assert!(net.converged());
    net
}

fn all_see(net: &Network, at: usize, state: Option<MemberState>) -> bool {
    let id = net.id(at);
    let mut others = net.nodes.iter().enumerate();
    others.all(|(n, node)| n == at || !node.alive || node.membership.state(id) == state)
}

fn detect_crash(n: usize, seed: u64) {
    let mut net = converged_network(&[n], seed);
    let since = net.now;
    net.crash(1);
    let first = net.run_until(3000, |net| !net.reported_failures(since).is_empty());
    // The failure timeout of 1,500 ms starts up to one heartbeat period of 250 ms before the crash;
    // message delays add to it.
    assert!((1240..=1600).contains(&first.unwrap()), "{first:?}");
    let all = net.run_until(2500, |net| all_see(net, 1, Some(MemberState::Dead)));
    assert!(
        all.is_some(),
        "the dead declaration did not reach all members"
    );
    println!("1 of {n} dead after {first:?} ms, known everywhere {all:?} ms later");
    let dead = net.id(1);
    assert!(net.reported_failures(since).iter().all(|v| v.0 == dead));
    net.run(61_000);
    assert!(all_see(&net, 1, None), "a dead member was not removed");
}

fn refute_after_pause() {
    let mut net = converged_network(&[8], 5);
    net.pause(3);
    net.run(4000);
    assert!(all_see(&net, 3, Some(MemberState::Dead)));
    let resumed = net.now;
    let recorded = net.nodes[3].state_changes.len();
    net.resume(3);
    let took = net.run_until(3000, Network::converged);
    assert!(took.is_some(), "the false dead declaration was not refuted");
    let declared = net.nodes[3].state_changes.split_off(recorded);
    assert!(
        declared.is_empty(),
        "the paused member declared others dead: {declared:?}"
    );
    net.run(5000);
    assert!(net.converged());
    let failures = net.reported_failures(resumed);
    assert!(
        failures.is_empty(),
        "further failures after resuming: {failures:?}"
    );
}

fn resume_among_dead() {
    let mut net = converged_network(&[3], 6);
    net.pause(0);
    net.crash(1);
    net.crash(2);
    net.run(3000);
    let (resumed, recorded) = (net.now, net.nodes[0].state_changes.len());
    net.resume(0);
    let declared = |net: &Network| net.nodes[0].state_changes.len() > recorded;
    let first = net.run_until(5000, declared).unwrap();
    assert!(first >= 1500, "declared dead {first} ms after resuming");
    assert!(net.nodes[0].state_changes[recorded].0 >= resumed + Duration::from_millis(1500));
}

fn lose_messages() {
    let mut net = converged_network(&[12], 7);
    let since = net.now;
    net.loss_percent = 10;
    net.run(60_000);
    let failures = net.reported_failures(since);
    assert!(failures.is_empty(), "{failures:?}");
    net.crash(4);
    let all = net.run_until(6000, |net| all_see(net, 4, Some(MemberState::Dead)));
    assert!(all.is_some());
}

fn partition_zones() {
    let mut net = converged_network(&[6, 6, 6], 8);
    let since = net.now;
    let other_zone: Vec<_> = (6..12).collect();
    let rest: Vec<_> = (0..6).chain(12..18).collect();
    net.set_blocked(&other_zone, &rest, true);
    let unreachable = |net: &Network| {
        let mut rest = rest.iter();
        rest.all(|&n| !net.nodes[n].membership.reachable(OTHER_ZONE))
    };
    let took = net.run_until(5000, unreachable);
    println!("zone unreachable after {took:?} ms");
    assert!(took.is_some_and(|t| t <= 3500), "{took:?}");
    net.run(60_000);
    assert!(
        net.reported_failures(since).is_empty(),
        "members of an unreachable zone must not be declared dead"
    );
    assert_eq!(net.nodes[0].membership.live(OTHER_ZONE).len(), 6);
    assert!(net.nodes[6].membership.reachable(OTHER_ZONE));
    net.set_blocked(&other_zone, &rest, false);
    let unblocked = net.now;
    // Owners are computed from the live members, so a partly live zone would change most of them.
    let all_live = |net: &Network| {
        let mut memberships = rest.iter().map(|&n| &net.nodes[n].membership);
        memberships.all(|m| m.live(OTHER_ZONE).len() == 6)
    };
    while !net.converged() && net.now < unblocked + Duration::from_secs(10) {
        net.run(1);
        assert!(all_live(&net), "only a part of the zone is live");
    }
    let took = net.converged().then(|| net.now - unblocked);
    println!("zones converged {took:?} after a partition of 60 s");
    assert!(
        took.is_some(),
        "the zones did not converge after the partition"
    );
    assert!(net.reported_failures(since).is_empty());
}

fn replace_zone() {
    let mut net = converged_network(&[5, 5], 9);
    (5..10).for_each(|n| net.crash(n));
    net.run(90_000);
    assert!(!net.nodes[0].membership.reachable(OTHER_ZONE));
    for _ in 0..5 {
        net.start(OTHER_ZONE, 2);
    }
    net.publish_registry();
    let took = net.run_until(10_000, Network::converged);
    assert!(
        took.is_some(),
        "members of the replaced zone are still live"
    );
}

fn partition_zone() {
    let mut net = converged_network(&[10], 10);
    let (a, b): (Vec<_>, Vec<_>) = ((0..5).collect(), (5..10).collect());
    net.set_blocked(&a, &b, true);
    net.run(90_000);
    assert_eq!(net.nodes[0].membership.live(ZONE).len(), 5);
    net.set_blocked(&a, &b, false);
    let took = net.run_until(10_000, Network::converged);
    println!("parts of a zone converged {took:?} ms after a partition of 90 s");
    assert!(
        took.is_some(),
        "the parts of the zone did not converge after the partition"
    );
}

fn leave() {
    let mut net = converged_network(&[8], 11);
    net.with_membership(2, |m, now, _| m.start_leaving(now));
    let took = net.run_until(2000, |net| all_see(net, 2, Some(MemberState::Leaving)));
    assert!(took.is_some());
    assert_eq!(net.nodes[2].membership.live(ZONE).len(), 7);
    net.run(5000);
    assert!(all_see(&net, 2, Some(MemberState::Leaving)));
    net.with_membership(2, |m, now, out| m.leave(now, out));
    assert_eq!(net.nodes[2].membership.deadline(), None);
    let took = net.run_until(2000, |net| all_see(net, 2, Some(MemberState::Dead)));
    assert!(took.is_some());
}

fn crash_while_leaving() {
    let mut net = converged_network(&[8], 12);
    net.with_membership(2, |m, now, _| m.start_leaving(now));
    net.run(2000);
    net.crash(2);
    let took = net.run_until(4000, |net| all_see(net, 2, Some(MemberState::Dead)));
    assert!(took.is_some());
}

fn restart() {
    let mut net = converged_network(&[8], 13);
    net.crash(2);
    let new = net.start(ZONE, 1);
    net.publish_registry();
    let took = net.run_until(6000, Network::converged);
    assert!(took.is_some());
    assert_ne!(net.id(new), net.id(2));
}

/// Messages from node 0 to node 1 are lost, so only indirect probes can renew the lease of node 0.
fn block_one_direction() {
    let mut net = converged_network(&[6], 14);
    let (since, id) = (net.now, net.id(1));
    net.blocked_links.insert((0, 1));
    net.with_membership(0, |m, _, _| m.set_partners(&[id]));
    net.run(1000);
    for _ in 0..300 {
        net.run(100);
        let acked = net.nodes[0].membership.acked(id).unwrap();
        let age = net.local_time(0).since(acked);
        assert!(age <= Duration::from_millis(900), "fenced after {age:?}");
    }
    assert!(net.reported_failures(since).is_empty());
    assert!(net.nodes[0].reconnects > 0);
}

fn refute() {
    let mut net = converged_network(&[8], 15);
    let me = net.id(3);
    let mut update = net.nodes[0]
        .membership
        .updates()
        .find(|u| u.member.id == me)
        .unwrap();
    update.state = MemberState::Dead;
    let from = net.id(1);
    let message = PeerMessage::Members {
        updates: vec![update],
    };
    net.with_membership(0, |m, now, _| m.observe(now, from, &message));
    assert!(!net.nodes[0].membership.is_live(me));
    let took = net.run_until(6000, Network::converged);
    assert!(took.is_some(), "the false dead declaration was not refuted");
}

/// An acknowledgement means "I regard you as live", so a sender that is dead here must get the dead
/// declaration instead, and an acknowledgement only after it has refuted that.
fn heartbeat_from_dead() {
    let mut net = converged_network(&[4], 16);
    let me = net.id(3);
    net.crash(3);
    net.run(3000);
    let granted = net.nodes[0].membership.granted(me);
    let updates = net.nodes[0].membership.updates();
    let declaration = updates.into_iter().find(|u| u.member.id == me).unwrap();
    let heartbeat = |incarnation| PeerMessage::Heartbeat {
        sender: MemberUpdate {
            state: MemberState::Live,
            incarnation,
            ..declaration
        },
        sequence: 9,
        revision: Revision(1),
        digest: 0,
        updates: SmallVec::new(),
        loads: SmallVec::new(),
    };
    let now = net.local_time(0);
    let mut handle = |message| {
        let (mut out, ctx) = (Vec::new(), Context::default());
        let membership = &mut net.nodes[0].membership;
        membership.handle(now, me, &message, &ctx, &mut out);
        let sent = out.into_iter().find_map(|action| match action {
            Action::SendPeer { message, .. } => Some(*message),
            _ => None,
        });
        (sent.unwrap(), membership.granted(me))
    };
    let (sent, after) = handle(heartbeat(0));
    assert!(matches!(sent, PeerMessage::Heartbeat { updates, .. } if updates[0] == declaration));
    assert_eq!(after, granted);
    let (sent, after) = handle(heartbeat(1));
    assert!(matches!(
        sent,
        PeerMessage::HeartbeatAck { sequence: 9, .. }
    ));
    assert_eq!(after, Some(now));
}

fn lease_times() {
    let mut net = converged_network(&[6], 17);
    let (a, b) = (net.id(0), net.id(1));
    net.with_membership(0, |m, _, _| m.set_partners(&[b]));
    for _ in 0..100 {
        net.run(100);
        let acked = net
            .local_time(0)
            .since(net.nodes[0].membership.acked(b).unwrap());
        let granted = net
            .local_time(1)
            .since(net.nodes[1].membership.granted(a).unwrap());
        // The fence of the owner counts from the send time, which is before the acknowledgement.
        assert!(granted <= acked);
        assert!(acked <= Duration::from_millis(260), "{acked:?}");
    }
}

fn late_gossip() {
    let mut net = converged_network(&[5], 18);
    let dead = net.id(1);
    let stale = net.nodes[0]
        .membership
        .updates()
        .find(|u| u.member.id == dead)
        .unwrap();
    net.crash(1);
    net.run(20_000);
    let from = net.id(2);
    let list = [RegistryEntry {
        member: stale.member,
        state: MemberState::Live,
    }];
    let message = PeerMessage::Members {
        updates: vec![stale],
    };
    net.with_membership(0, |m, now, _| {
        m.observe(now, from, &message);
        m.set_candidates(now, &list);
    });
    assert!(all_see(&net, 1, Some(MemberState::Dead)));
    net.run(3000);
    assert!(all_see(&net, 1, Some(MemberState::Dead)));
}

fn registry_state() {
    let mut net = converged_network(&[5], 19);
    let list: Vec<_> = [1, 2]
        .map(|n| RegistryEntry {
            member: net.nodes[n].member,
            state: MemberState::Leaving,
        })
        .into();
    let live = RegistryEntry {
        state: MemberState::Live,
        ..list[0]
    };
    net.with_membership(0, |m, now, _| m.set_candidates(now, &list[..1]));
    net.run(1000);
    assert!(all_see(&net, 1, Some(MemberState::Leaving)));
    // A registry without the other members leaves them live, because they answer.
    net.with_membership(0, |m, now, _| m.set_candidates(now, &[live]));
    net.run(3000);
    assert_eq!(net.nodes[0].membership.live(ZONE).len(), 4);
}

fn choose_ahead() {
    let mut net = converged_network(&[5], 20);
    assert_eq!(net.nodes[0].membership.choose_ahead(Revision(1)), None);
    net.nodes[2].revision = Revision(4);
    net.run(2000);
    let ahead = net.id(2);
    let found = (0..5).filter(|&n| n != 2).filter(|&n| {
        let membership = &mut net.nodes[n].membership;
        membership.choose_ahead(Revision(1)) == Some(ahead)
    });
    assert!(
        found.count() >= 3,
        "neighbours must know of the later configuration"
    );
    assert_eq!(net.nodes[0].membership.choose_ahead(Revision(4)), None);
}

fn lose_gossip() {
    let mut net = converged_network(&[30], 21);
    net.set_blocked(&[7], &(0..30).filter(|&n| n != 7).collect::<Vec<_>>(), true);
    net.run(1000);
    net.crash(8);
    net.run(200);
    net.set_blocked(
        &[7],
        &(0..30).filter(|&n| n != 7).collect::<Vec<_>>(),
        false,
    );
    net.loss_percent = 30;
    net.run(8000);
    net.loss_percent = 0;
    let took = net.run_until(15_000, Network::converged);
    assert!(took.is_some(), "digests did not repair the membership");
}

/// The cost of an instance must not grow with the zone: it sends heartbeats and acknowledgements
/// for three ring neighbours and one random neighbour, four times a second.
fn measure_cost() {
    for n in [8, 32, 200] {
        let mut net = converged_network(&[n], 22);
        let sums = |net: &Network| {
            let nodes = net.nodes.iter();
            nodes.fold((0, 0), |sum, n| (sum.0 + n.sent, sum.1 + n.ticks))
        };
        let before = sums(&net);
        net.run(20_000);
        let after = sums(&net);
        let per = |n: u64| n as f64 / net.nodes.len() as f64 / 20.0;
        let (sent, ticks) = (per(after.0 - before.0), per(after.1 - before.1));
        println!("{n} members: {sent:.1} messages and {ticks:.1} ticks per instance and second");
        assert!(sent <= 32.5, "{n} members: {sent}");
        // At most one tick for each heartbeat and for each slower timer.
        assert!(ticks <= 18.0, "{n} members: {ticks}");
    }
}

/// The registry may arrive before the configuration that contains the zones of the region.
fn zones_after_registry() {
    let member_of_other = Network::new(&[1, 1], 24).nodes[1].member;
    let mut near = Network::new(&[1], 25);
    let state = MemberState::Live;
    near.with_membership(0, |m, now, out| {
        m.set_candidates(
            now,
            &[RegistryEntry {
                member: member_of_other,
                state,
            }],
        );
        m.set_zones(&[ZONE, OTHER_ZONE]);
        m.tick(now, &Context::default(), out);
        let to = out.iter().map(|action| match action {
            Action::SendPeer { to, .. } => Some(*to),
            _ => None,
        });
        assert!(to.flatten().any(|to| to == member_of_other.id));
        out.clear();
    });
}

fn crash_storm() {
    let mut net = converged_network(&[60], 23);
    (0..20).for_each(|n| net.crash(n));
    let took = net.run_until(20_000, Network::converged);
    println!("20 of 60 members dead everywhere after {took:?} ms");
    assert!(took.is_some());
}

cases! {
    crash_of_one_in_8_is_detected => detect_crash(8, 1);
    crash_of_one_in_2_is_detected => detect_crash(2, 2);
    crash_of_one_in_3_is_detected => detect_crash(3, 3);
    crash_of_one_in_100_is_detected => detect_crash(100, 4);
    paused_member_refutes_and_declares_nobody_dead => refute_after_pause();
    resumed_member_waits_a_full_failure_timeout => resume_among_dead();
    message_loss_causes_no_dead_declaration => lose_messages();
    zones_converge_after_a_partition => partition_zones();
    members_of_an_unreachable_zone_can_be_replaced => replace_zone();
    parts_of_a_zone_converge_after_a_partition => partition_zone();
    departure_reaches_all_members => leave();
    crash_of_a_leaving_member_is_detected => crash_while_leaving();
    restarted_instance_is_a_new_member => restart();
    indirect_probes_renew_the_lease => block_one_direction();
    false_dead_declaration_is_refuted => refute();
    dead_sender_gets_no_acknowledgement => heartbeat_from_dead();
    fence_counts_from_the_send_time => lease_times();
    late_gossip_revives_no_dead_member => late_gossip();
    registry_is_advisory => registry_state();
    member_with_later_configuration_is_found => choose_ahead();
    digests_repair_missed_gossip => lose_gossip();
    cost_does_not_grow_with_the_zone => measure_cost();
    registry_is_used_when_zones_come_later => zones_after_registry();
    simultaneous_crashes_are_detected => crash_storm();
    // Failed when only one instance had a dead declaration and its member never got it, so that it
    // could not refute it.
    dead_declaration_of_one_instance_reaches_its_member =>
        assert!(random_zone_faults(vec![(93, 0, 12), (29, 184, 3), (15, 0, 30), (32, 23, 0)]));
    // Failed when a member that could not reach its own zone refuted a dead declaration and then
    // crashed.
    refutation_known_in_other_zones_reaches_its_zone =>
        assert!(random_zone_faults(vec![(93, 0, 48), (29, 184, 50), (32, 23, 0), (0, 0, 0)]));
}

/// The fence of the owner (900 ms after the send time of the last acknowledged heartbeat) must take
/// effect before the takeover delay (1,500 ms after the last acknowledgement) ends at the partner.
fn assert_fenced(net: &Network, owner: usize, partner: usize) {
    let (a, b) = (&net.nodes[owner], &net.nodes[partner]);
    let Some(granted) = b.membership.granted(a.member.id) else {
        return;
    };
    let delay = net.local_time(partner).since(granted);
    let acked = a.membership.acked(b.member.id);
    let age = acked.map(|t| net.local_time(owner).since(t));
    let takes_over = delay >= Duration::from_millis(1500);
    let admits = age.is_some_and(|a| a <= Duration::from_millis(900));
    assert!(
        !(takes_over && admits),
        "owner and successor both admit: {delay:?} {age:?}"
    );
}

/// Random faults must never let both partners of a lease admit requests, and the members must
/// converge after the faults.
fn random_faults(faults: Vec<(u8, u8, u8)>) -> bool {
    const N: usize = 6;
    let mut net = converged_network(&[N], faults.len() as u64);
    for at in 0..N {
        let partner = net.id((at + 1) % N);
        net.with_membership(at, |m, _, _| m.set_partners(&[partner]));
    }
    for (kind, a, b) in faults.into_iter().take(12) {
        let (a, b) = (usize::from(a) % N, usize::from(b) % N);
        match kind % 6 {
            0 => net.pause(a),
            1 => net.resume(a),
            2 => net.set_blocked(&[a], &[b], true),
            3 => drop(net.blocked_links.insert((a, b))),
            4 => net.loss_percent = 20,
            _ => net.blocked_links.clear(),
        }
        for _ in 0..20 {
            net.run(50);
            (0..N).for_each(|at| assert_fenced(&net, at, (at + 1) % N));
        }
    }
    (0..N).for_each(|at| net.resume(at));
    net.blocked_links.clear();
    net.loss_percent = 0;
    net.run_until(20_000, Network::converged).is_some()
}

#[test]
fn random_faults_never_let_both_partners_admit() {
    let mut checks = quickcheck::QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(12, 7));
    checks.quickcheck(random_faults as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// All live members must agree after any mixture of faults, restarts and network partitions in
/// three zones.
fn random_zone_faults(faults: Vec<(u8, u8, u8)>) -> bool {
    let mut net = converged_network(&[3, 3, 3], 1 + faults.len() as u64);
    for (kind, a, b) in faults.into_iter().take(16) {
        let n = net.nodes.len();
        let (a, b) = (usize::from(a) % n, usize::from(b) % n);
        let zone = |z: usize| (0..n).filter(|&n| n % 3 == z).collect::<Vec<_>>();
        match kind % 9 {
            0 => net.pause(a),
            1 => net.resume(a),
            2 => net.set_blocked(&[a], &[b], true),
            3 => net.set_blocked(&zone(0), &zone(1 + b % 2), true),
            4 => net.loss_percent = 30,
            5 => net.crash(a),
            6 => drop(net.start(net.nodes[a].member.zone, 3)),
            7 => net.publish_registry(),
            _ => {
                net.blocked_links.clear();
                net.loss_percent = 0;
            }
        }
        net.run(700 * (1 + b as u64));
    }
    (0..net.nodes.len()).for_each(|at| net.resume(at));
    net.blocked_links.clear();
    net.loss_percent = 0;
    net.publish_registry();
    net.run_until(60_000, Network::populated_converged)
        .is_some()
}

#[test]
fn zones_agree_after_random_faults() {
    let mut checks = quickcheck::QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(16, 3));
    checks.quickcheck(random_zone_faults as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn first_tick_is_due_immediately() {
    let net = Network::new(&[1], 30);
    assert_eq!(net.nodes[0].membership.deadline(), Some(Time::ZERO));
}
