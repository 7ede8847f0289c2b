//! The operators' routes, which assign flows to services.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::segment::FlowTuple;

#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Increases with each change.
    pub version: u64,
    /// The routes by service address.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// Longest time for which a flow may be idle.
    pub idle: Duration,
    /// The longest warm-up time of any service.
    pub warmup: Duration,
}

/// The services that serve one address.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name in logs.
    pub name: Arc<str>,
    /// Most routes have one service.
    pub shares: SmallVec<[Share; 1]>,
}

/// The part of a route's flows that a service gets.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The name of the service.
    pub service: Arc<str>,
    /// The weight relative to the other shares of the route.
    pub weight: f64,
}

impl Route {
    /// Returns the service of a flow. The weight of a single share is ignored. Every instance
    /// returns the same service for a SYN and its retransmissions.
    pub fn service(&self, flow: &FlowTuple) -> Option<&Arc<str>> {
        if let [only] = self.shares.as_slice() {
            return Some(&only.service);
        }
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = flow.fraction() * total;
        let usable = self.shares.iter().filter(|share| share.weight > 0.0);
        let mut last = None;
        for share in usable {
            last = Some(&share.service);
            left -= share.weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}
