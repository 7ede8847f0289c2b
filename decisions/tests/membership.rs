//! Membership over an in-memory network in virtual time.

#![allow(clippy::unwrap_used, reason = "helpers outside test functions")]

mod net;

use std::time::Duration;

use lovagespindle_decisions::action::Action;
use lovagespindle_decisions::event::Listed;
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
use net::Net;
use quickcheck::Gen;
use smallvec::SmallVec;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

const ZONE: ZoneId = ZoneId(1);
const FAR: ZoneId = ZoneId(2);

/// Returns a network that has converged, after some more quiet seconds.
fn settled(sizes: &[usize], seed: u64) -> Net {
    let mut net = Net::new(sizes, seed);
    let took = net.run_until(20_000, Net::converged);
    assert!(took.is_some(), "the members did not find each other");
    net.run(10_000);
    assert!(net.converged());
    net
}

fn all_see(net: &Net, at: usize, state: Option<MemberState>) -> bool {
    let id = net.id(at);
    let mut others = net.nodes.iter().enumerate();
    others.all(|(n, node)| n == at || !node.alive || node.membership.state(id) == state)
}

fn crash(n: usize, seed: u64) {
    let mut net = settled(&[n], seed);
    let since = net.now;
    net.crash(1);
    let first = net.run_until(3000, |net| !net.verdicts(since).is_empty());
    // The failure timeout, one heartbeat period before the last sign of life, and delays.
    assert!((1240..=1600).contains(&first.unwrap()), "{first:?}");
    let all = net.run_until(2500, |net| all_see(net, 1, Some(MemberState::Dead)));
    assert!(all.is_some(), "the verdict did not reach everyone");
    println!("1 of {n} dead after {first:?} ms, known everywhere {all:?} ms later");
    let dead = net.id(1);
    assert!(net.verdicts(since).iter().all(|v| v.0 == dead));
    net.run(61_000);
    assert!(all_see(&net, 1, None), "a dead member is kept too long");
}

fn pause() {
    let mut net = settled(&[8], 5);
    net.pause(3);
    net.run(4000);
    assert!(all_see(&net, 3, Some(MemberState::Dead)));
    let woken = net.now;
    let notes = net.nodes[3].notes.len();
    net.wake(3);
    let took = net.run_until(3000, Net::converged);
    assert!(took.is_some(), "the wrong verdict was not refuted");
    let judged = net.nodes[3].notes.split_off(notes);
    assert!(
        judged.is_empty(),
        "the paused member blamed others: {judged:?}"
    );
    net.run(5000);
    assert!(net.converged());
    let lost = net.verdicts(woken);
    assert!(lost.is_empty(), "more verdicts after waking: {lost:?}");
}

fn wake_to_silence() {
    let mut net = settled(&[3], 6);
    net.pause(0);
    net.crash(1);
    net.crash(2);
    net.run(3000);
    let (woken, notes) = (net.now, net.nodes[0].notes.len());
    net.wake(0);
    let judged = |net: &Net| net.nodes[0].notes.len() > notes;
    let first = net.run_until(5000, judged).unwrap();
    assert!(first >= 1500, "judged {first} ms after waking");
    assert!(net.nodes[0].notes[notes].0 >= woken + Duration::from_millis(1500));
}

fn lost_messages() {
    let mut net = settled(&[12], 7);
    let since = net.now;
    net.loss = 10;
    net.run(60_000);
    let verdicts = net.verdicts(since);
    assert!(verdicts.is_empty(), "{verdicts:?}");
    net.crash(4);
    let all = net.run_until(6000, |net| all_see(net, 4, Some(MemberState::Dead)));
    assert!(all.is_some());
}

fn zones_cut() {
    let mut net = settled(&[6, 6, 6], 8);
    let since = net.now;
    let far: Vec<_> = (6..12).collect();
    let rest: Vec<_> = (0..6).chain(12..18).collect();
    net.set_cut(&far, &rest, true);
    let unreachable = |net: &Net| {
        let mut rest = rest.iter();
        rest.all(|&n| !net.nodes[n].membership.reachable(FAR))
    };
    let took = net.run_until(5000, unreachable);
    println!("zone unreachable after {took:?} ms");
    assert!(took.is_some_and(|t| t <= 3500), "{took:?}");
    net.run(60_000);
    assert!(net.verdicts(since).is_empty(), "unreachable is not dead");
    assert_eq!(net.nodes[0].membership.live(FAR).len(), 6);
    assert!(net.nodes[6].membership.reachable(FAR));
    net.set_cut(&far, &rest, false);
    let healed = net.now;
    // With a part of its members, a zone would get most of its owners changed.
    let whole = |net: &Net| {
        let mut seen = rest.iter().map(|&n| &net.nodes[n].membership);
        seen.all(|m| m.live(FAR).len() == 6)
    };
    while !net.converged() && net.now < healed + Duration::from_secs(10) {
        net.run(1);
        assert!(whole(&net), "a part of the zone counts as the zone");
    }
    let took = net.converged().then(|| net.now - healed);
    println!("zones joined {took:?} after a cut of 60 s");
    assert!(took.is_some(), "the zones did not join again");
    assert!(net.verdicts(since).is_empty());
}

fn zone_replaced() {
    let mut net = settled(&[5, 5], 9);
    (5..10).for_each(|n| net.crash(n));
    net.run(90_000);
    assert!(!net.nodes[0].membership.reachable(FAR));
    for _ in 0..5 {
        net.start(FAR, 2);
    }
    net.list();
    let took = net.run_until(10_000, Net::converged);
    assert!(took.is_some(), "members of the old zone still count");
}

fn inner_cut() {
    let mut net = settled(&[10], 10);
    let (a, b): (Vec<_>, Vec<_>) = ((0..5).collect(), (5..10).collect());
    net.set_cut(&a, &b, true);
    net.run(90_000);
    assert_eq!(net.nodes[0].membership.live(ZONE).len(), 5);
    net.set_cut(&a, &b, false);
    let took = net.run_until(10_000, Net::converged);
    println!("parts of a zone joined {took:?} ms after a cut of 90 s");
    assert!(took.is_some(), "the parts did not join again");
}

fn leave() {
    let mut net = settled(&[8], 11);
    net.act(2, |m, now, _| m.start_leaving(now));
    let took = net.run_until(2000, |net| all_see(net, 2, Some(MemberState::Leaving)));
    assert!(took.is_some());
    assert_eq!(net.nodes[2].membership.live(ZONE).len(), 7);
    net.run(5000);
    assert!(all_see(&net, 2, Some(MemberState::Leaving)));
    net.act(2, |m, now, out| m.leave(now, out));
    assert_eq!(net.nodes[2].membership.deadline(), None);
    let took = net.run_until(2000, |net| all_see(net, 2, Some(MemberState::Dead)));
    assert!(took.is_some());
}

fn leaving_crash() {
    let mut net = settled(&[8], 12);
    net.act(2, |m, now, _| m.start_leaving(now));
    net.run(2000);
    net.crash(2);
    let took = net.run_until(4000, |net| all_see(net, 2, Some(MemberState::Dead)));
    assert!(took.is_some());
}

fn restart() {
    let mut net = settled(&[8], 13);
    net.crash(2);
    let new = net.start(ZONE, 1);
    net.list();
    let took = net.run_until(6000, Net::converged);
    assert!(took.is_some());
    assert_ne!(net.id(new), net.id(2));
}

/// Messages from 0 to `to` are lost, so that only indirect probes are acknowledged.
fn one_way() {
    let mut net = settled(&[6], 14);
    let (since, id) = (net.now, net.id(1));
    net.cut.insert((0, 1));
    net.act(0, |m, _, _| m.set_partners(&[id]));
    net.run(1000);
    for _ in 0..300 {
        net.run(100);
        let acked = net.nodes[0].membership.acked(id).unwrap();
        let age = net.local(0).since(acked);
        assert!(age <= Duration::from_millis(900), "fenced after {age:?}");
    }
    assert!(net.verdicts(since).is_empty());
    assert!(net.nodes[0].reconnects > 0);
}

fn refuted() {
    let mut net = settled(&[8], 15);
    let me = net.id(3);
    let mut verdict = net.nodes[0]
        .membership
        .updates()
        .find(|u| u.member.id == me)
        .unwrap();
    verdict.state = MemberState::Dead;
    let from = net.id(1);
    let leave = PeerMessage::Members {
        updates: vec![verdict],
    };
    net.act(0, |m, now, _| m.observe(now, from, &leave));
    assert!(!net.nodes[0].membership.is_live(me));
    let took = net.run_until(6000, Net::converged);
    assert!(took.is_some(), "the verdict was not refuted");
}

/// The acknowledgement means "I regard you as live", so a dead sender must get the verdict
/// instead, and an acknowledgement only after it refuted.
fn no_ack_for_dead() {
    let mut net = settled(&[4], 16);
    let me = net.id(3);
    net.crash(3);
    net.run(3000);
    let granted = net.nodes[0].membership.granted(me);
    let updates = net.nodes[0].membership.updates();
    let verdict = updates.into_iter().find(|u| u.member.id == me).unwrap();
    let answer = |incarnation| PeerMessage::Heartbeat {
        sender: MemberUpdate {
            state: MemberState::Live,
            incarnation,
            ..verdict
        },
        sequence: 9,
        revision: Revision(1),
        digest: 0,
        updates: SmallVec::new(),
        loads: SmallVec::new(),
    };
    let now = net.local(0);
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
    let (sent, after) = handle(answer(0));
    assert!(matches!(sent, PeerMessage::Heartbeat { updates, .. } if updates[0] == verdict));
    assert_eq!(after, granted);
    let (sent, after) = handle(answer(1));
    assert!(matches!(
        sent,
        PeerMessage::HeartbeatAck { sequence: 9, .. }
    ));
    assert_eq!(after, Some(now));
}

fn lease_times() {
    let mut net = settled(&[6], 17);
    let (a, b) = (net.id(0), net.id(1));
    net.act(0, |m, _, _| m.set_partners(&[b]));
    for _ in 0..100 {
        net.run(100);
        let acked = net
            .local(0)
            .since(net.nodes[0].membership.acked(b).unwrap());
        let granted = net
            .local(1)
            .since(net.nodes[1].membership.granted(a).unwrap());
        // The owner's fence counts from the sending, which is before the acknowledgement.
        assert!(granted <= acked);
        assert!(acked <= Duration::from_millis(260), "{acked:?}");
    }
}

fn late_gossip() {
    let mut net = settled(&[5], 18);
    let dead = net.id(1);
    let stale = net.nodes[0]
        .membership
        .updates()
        .find(|u| u.member.id == dead)
        .unwrap();
    net.crash(1);
    net.run(20_000);
    let from = net.id(2);
    let list = [Listed {
        member: stale.member,
        state: MemberState::Live,
    }];
    let message = PeerMessage::Members {
        updates: vec![stale],
    };
    net.act(0, |m, now, _| {
        m.observe(now, from, &message);
        m.set_candidates(now, &list);
    });
    assert!(all_see(&net, 1, Some(MemberState::Dead)));
    net.run(3000);
    assert!(all_see(&net, 1, Some(MemberState::Dead)));
}

fn platform_leaving() {
    let mut net = settled(&[5], 19);
    let list: Vec<_> = [1, 2]
        .map(|n| Listed {
            member: net.nodes[n].member,
            state: MemberState::Leaving,
        })
        .into();
    let gone = Listed {
        state: MemberState::Live,
        ..list[0]
    };
    net.act(0, |m, now, _| m.set_candidates(now, &list[..1]));
    net.run(1000);
    assert!(all_see(&net, 1, Some(MemberState::Leaving)));
    // A list without the others, which answer, leaves them live.
    net.act(0, |m, now, _| m.set_candidates(now, &[gone]));
    net.run(3000);
    assert_eq!(net.nodes[0].membership.live(ZONE).len(), 4);
}

fn behind() {
    let mut net = settled(&[5], 20);
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
        "neighbours must learn of a later configuration"
    );
    assert_eq!(net.nodes[0].membership.choose_ahead(Revision(4)), None);
}

fn missed_gossip() {
    let mut net = settled(&[30], 21);
    net.set_cut(&[7], &(0..30).filter(|&n| n != 7).collect::<Vec<_>>(), true);
    net.run(1000);
    net.crash(8);
    net.run(200);
    net.set_cut(
        &[7],
        &(0..30).filter(|&n| n != 7).collect::<Vec<_>>(),
        false,
    );
    net.loss = 30;
    net.run(8000);
    net.loss = 0;
    let took = net.run_until(15_000, Net::converged);
    assert!(took.is_some(), "digests did not repair the membership");
}

/// The cost of an instance must not grow with the zone: heartbeats and acknowledgements for
/// three ring neighbours and one random one, four times a second.
fn constant_cost() {
    for n in [8, 32, 200] {
        let mut net = settled(&[n], 22);
        let sums = |net: &Net| {
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
        // At most one tick for each heartbeat and for each of the slower timers.
        assert!(ticks <= 18.0, "{n} members: {ticks}");
    }
}

/// The list may arrive before the configuration that names the zones of the region.
fn zones_after_list() {
    let far = Net::new(&[1, 1], 24).nodes[1].member;
    let mut near = Net::new(&[1], 25);
    let state = MemberState::Live;
    near.act(0, |m, now, out| {
        m.set_candidates(now, &[Listed { member: far, state }]);
        m.set_zones(&[ZONE, FAR]);
        m.tick(now, &Context::default(), out);
        let to = out.iter().map(|action| match action {
            Action::SendPeer { to, .. } => Some(*to),
            _ => None,
        });
        assert!(to.flatten().any(|to| to == far.id));
        out.clear();
    });
}

fn crash_storm() {
    let mut net = settled(&[60], 23);
    (0..20).for_each(|n| net.crash(n));
    let took = net.run_until(20_000, Net::converged);
    println!("20 of 60 members dead everywhere after {took:?} ms");
    assert!(took.is_some());
}

cases! {
    crash_of_one_in_8 => crash(8, 1);
    crash_of_one_in_2 => crash(2, 2);
    crash_of_one_in_3 => crash(3, 3);
    crash_of_one_in_100 => crash(100, 4);
    pause_and_wake => pause();
    wake_gives_others_a_full_timeout => wake_to_silence();
    lost_messages_kill_nobody => lost_messages();
    zones_cut_and_healed => zones_cut();
    zone_replaced_while_unreachable => zone_replaced();
    zone_split_and_healed => inner_cut();
    leave_spreads => leave();
    leaving_member_may_crash => leaving_crash();
    restart_is_a_new_member => restart();
    one_way_cut_is_probed_around => one_way();
    wrong_verdict_is_refuted => refuted();
    dead_sender_gets_no_acknowledgement => no_ack_for_dead();
    fence_counts_from_sending => lease_times();
    late_gossip_revives_nobody => late_gossip();
    platform_list_is_a_hint => platform_leaving();
    later_configuration_is_found => behind();
    missed_gossip_is_pulled => missed_gossip();
    cost_is_constant => constant_cost();
    zones_may_come_after_the_list => zones_after_list();
    many_crashes_at_once => crash_storm();
    // One instance alone held a verdict that its member had no chance to refute.
    lonely_verdict_is_told =>
        assert!(zones_recover(vec![(93, 0, 12), (29, 184, 3), (15, 0, 30), (32, 23, 0)]));
    // A member refuted, out of sight of its own zone, and crashed.
    refutation_seen_elsewhere_is_told =>
        assert!(zones_recover(vec![(93, 0, 48), (29, 184, 50), (32, 23, 0), (0, 0, 0)]));
}

/// The owner's fence (900 ms after the sending of the last acknowledged heartbeat) must close
/// before the takeover delay (1,500 ms after the last acknowledgement) ends at the partner.
fn assert_fenced(net: &Net, owner: usize, partner: usize) {
    let (a, b) = (&net.nodes[owner], &net.nodes[partner]);
    let Some(granted) = b.membership.granted(a.member.id) else {
        return;
    };
    let delay = net.local(partner).since(granted);
    let acked = a.membership.acked(b.member.id);
    let age = acked.map(|t| net.local(owner).since(t));
    let takes_over = delay >= Duration::from_millis(1500);
    let admits = age.is_some_and(|a| a <= Duration::from_millis(900));
    assert!(!(takes_over && admits), "both admit: {delay:?} {age:?}");
}

/// Random faults must never let both sides of a lease admit, and must leave no trace once they
/// are over.
fn random_faults(faults: Vec<(u8, u8, u8)>) -> bool {
    const N: usize = 6;
    let mut net = settled(&[N], faults.len() as u64);
    for at in 0..N {
        let partner = net.id((at + 1) % N);
        net.act(at, |m, _, _| m.set_partners(&[partner]));
    }
    for (kind, a, b) in faults.into_iter().take(12) {
        let (a, b) = (usize::from(a) % N, usize::from(b) % N);
        match kind % 6 {
            0 => net.pause(a),
            1 => net.wake(a),
            2 => net.set_cut(&[a], &[b], true),
            3 => drop(net.cut.insert((a, b))),
            4 => net.loss = 20,
            _ => net.cut.clear(),
        }
        for _ in 0..20 {
            net.run(50);
            (0..N).for_each(|at| assert_fenced(&net, at, (at + 1) % N));
        }
    }
    (0..N).for_each(|at| net.wake(at));
    net.cut.clear();
    net.loss = 0;
    net.run_until(20_000, Net::converged).is_some()
}

#[test]
fn random_faults_never_let_both_admit() {
    let mut checks = quickcheck::QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(12, 7));
    checks.quickcheck(random_faults as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// After any mixture of faults, restarts and cuts over three zones, everyone must agree again.
fn zones_recover(faults: Vec<(u8, u8, u8)>) -> bool {
    let mut net = settled(&[3, 3, 3], 1 + faults.len() as u64);
    for (kind, a, b) in faults.into_iter().take(16) {
        let n = net.nodes.len();
        let (a, b) = (usize::from(a) % n, usize::from(b) % n);
        let zone = |z: usize| (0..n).filter(|&n| n % 3 == z).collect::<Vec<_>>();
        match kind % 9 {
            0 => net.pause(a),
            1 => net.wake(a),
            2 => net.set_cut(&[a], &[b], true),
            3 => net.set_cut(&zone(0), &zone(1 + b % 2), true),
            4 => net.loss = 30,
            5 => net.crash(a),
            6 => drop(net.start(net.nodes[a].member.zone, 3)),
            7 => net.list(),
            _ => {
                net.cut.clear();
                net.loss = 0;
            }
        }
        net.run(700 * (1 + b as u64));
    }
    (0..net.nodes.len()).for_each(|at| net.wake(at));
    net.cut.clear();
    net.loss = 0;
    net.list();
    net.run_until(60_000, Net::agreed).is_some()
}

#[test]
fn zones_agree_after_random_faults() {
    let mut checks = quickcheck::QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(16, 3));
    checks.quickcheck(zones_recover as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn first_deadline_is_at_once() {
    let net = Net::new(&[1], 30);
    assert_eq!(net.nodes[0].membership.deadline(), Some(Time::ZERO));
}
