//! The operators' routes: which service a flow belongs to.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::segment::FlowTuple;

/// One version of the routes.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Rises with each change.
    pub version: u64,
    /// The routes by the address that clients open flows to.
    pub routes: HashMap<SocketAddrV4, Route>,
    /// How long a flow may be idle.
    pub idle: Duration,
    /// The longest time that a backend server of any service stays cold after its start.
    pub warmup: Duration,
}

/// What one address leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Shown in logs.
    pub name: Arc<str>,
    /// The services that share the flows; most routes have one.
    pub shares: SmallVec<[Share; 1]>,
}

/// A service's part of the flows of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The name of the service.
    pub service: Arc<str>,
    /// Its weight among the shares of the route.
    pub weight: f64,
}

impl Route {
    /// Returns the service of a flow. Copies of an opening packet get the same one at every
    /// instance.
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
