//! Tests the network traffic of the membership protocol.

#[path = "../../decisions/tests/net/mod.rs"]
mod net;

use lovagespindle_decisions::ids::InstanceId;
use lovagespindle_decisions::peer::PeerMessage;
use lovagespindle_instances::frame::encode;
use lovagespindle_stand_ins::cases;
use net::Network;

/// Returns the size in bytes of a frame with its length prefix, without the headers of TCP and IP.
fn size(sender: InstanceId, message: &PeerMessage) -> usize {
    encode(sender, message).map_or(0, |frame| frame.len() + 4)
}

/// Returns how many messages and bytes an instance sends per second on average.
fn rate(sizes: &[usize], partners: usize) -> (f64, f64) {
    let mut net = Network::new(sizes, 1);
    net.message_size = size;
    let n = net.nodes.len();
    for at in 0..n {
        // The lease partners are some members of the same zone, which the ring does not cover.
        let zone = net.nodes[at].member.zone;
        let peers = (1..n).map(|d| (at + d * 7 + 1) % n);
        let peers = peers.filter(|&m| m != at && net.nodes[m].member.zone == zone);
        let ids: Vec<_> = peers.take(partners).map(|m| net.id(m)).collect();
        net.with_membership(at, |m, _, _| m.set_partners(&ids));
    }
    assert!(net.run_until(30_000, Network::converged).is_some());
    net.run(10_000);
    let total = |net: &Network| {
        let sums = net.nodes.iter().map(|n| (n.sent, n.bytes));
        sums.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    };
    let before = total(&net);
    net.run(20_000);
    let after = total(&net);
    let mean = |n: u64| n as f64 / net.nodes.len() as f64 / 20.0;
    (mean(after.0 - before.0), mean(after.1 - before.1))
}

/// Checks that the membership takes at most half of an instance's budget for control messages,
/// which is 21 KB/s.
fn check_budget(sizes: &[usize], partners: usize) {
    let (messages, bytes) = rate(sizes, partners);
    println!("{sizes:?}, {partners} partners: {messages:.1} messages/s, {bytes:.0} bytes/s");
    assert!(bytes <= 10_500.0, "{bytes} bytes/s");
}

cases! {
    /// Guards against a fixed cost that exceeds the budget in a small zone.
    eight_members => check_budget(&[8], 0);
    /// Guards against traffic that grows with the size of a zone.
    two_hundred_members => check_budget(&[200], 0);
    /// Guards against traffic to other zones and lease partners that exceeds the budget.
    three_zones_of_eight => check_budget(&[8, 8, 8], 5);
    /// Guards against traffic that grows with the size of several zones.
    three_zones_of_sixty => check_budget(&[60, 60, 60], 5);
}
