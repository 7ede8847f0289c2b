//! What the membership costs on the wire.

#[path = "../../decisions/tests/net/mod.rs"]
mod net;

use lovagespindle_decisions::ids::InstanceId;
use lovagespindle_decisions::peer::PeerMessage;
use lovagespindle_instances::frame::encode;
use lovagespindle_stand_ins::cases;
use net::Network;

/// Returns the bytes of a frame with its length; headers of TCP and IP come on top.
fn size(sender: InstanceId, message: &PeerMessage) -> usize {
    encode(sender, message).map_or(0, |frame| frame.len() + 4)
}

/// Returns messages and bytes that one instance sends in a second.
fn rate(sizes: &[usize], partners: usize) -> (f64, f64) {
    let mut net = Network::new(sizes, 1);
    net.message_size = size;
    let n = net.nodes.len();
    for at in 0..n {
        // Some instances of the same zone that the ring does not cover.
        let zone = net.nodes[at].member.zone;
        let mates = (1..n).map(|d| (at + d * 7 + 1) % n);
        let mates = mates.filter(|&m| m != at && net.nodes[m].member.zone == zone);
        let ids: Vec<_> = mates.take(partners).map(|m| net.id(m)).collect();
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
    let per = |n: u64| n as f64 / net.nodes.len() as f64 / 20.0;
    (per(after.0 - before.0), per(after.1 - before.1))
}

/// The control budget of an instance is 21 KB/s; the membership may take half of it.
fn within_budget(sizes: &[usize], partners: usize) {
    let (messages, bytes) = rate(sizes, partners);
    println!("{sizes:?}, {partners} partners: {messages:.1} messages/s, {bytes:.0} bytes/s");
    assert!(bytes <= 10_500.0, "{bytes} bytes/s");
}

cases! {
    eight_members => within_budget(&[8], 0);
    two_hundred_members => within_budget(&[200], 0);
    three_zones_of_eight => within_budget(&[8, 8, 8], 5);
    three_zones_of_sixty => within_budget(&[60, 60, 60], 5);
}
