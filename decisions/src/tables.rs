//! Candidate tables: which backend servers a flow of a service would choose, in order.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::config::{
    Configuration,
    ZoneState, //
};
use crate::ids::{
    BackendServerId,
    FlowId,
    ServiceId,
    ZoneId, //
};
use crate::rendezvous::{
    TopN,
    hash_flow,
    score,
    weighted_score, //
};

/// How many candidates of a flow are tried.
pub const CANDIDATES: usize = 4;

/// How many earlier tables of a service are kept. A flow placed under an older table is found only
/// through its registered exception.
pub const EARLIER_TABLES: usize = 8;

/// A backend server that a flow may choose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The backend server.
    pub backend_server: BackendServerId,
    /// Its zone, kept here because earlier tables outlive the configuration's entry.
    pub zone: ZoneId,
    /// Its share of first choices.
    pub weight: u32,
}

/// The candidates of a flow, first choice first.
pub type Ranking = SmallVec<[Candidate; CANDIDATES]>;

#[derive(Clone, Debug, Default, PartialEq)]
struct Table {
    candidates: Vec<Candidate>,
    /// Whether all weights are equal, which spares the logarithm.
    uniform: bool,
}

impl Table {
    fn new(candidates: Vec<Candidate>) -> Table {
        let uniform = candidates.windows(2).all(|w| w[0].weight == w[1].weight);
        Table {
            candidates,
            uniform,
        }
    }

    fn rank(&self, flow: FlowId) -> Ranking {
        let flow = hash_flow(flow);
        if self.uniform {
            let mut best: TopN<Candidate, u64, CANDIDATES> = TopN::default();
            for candidate in &self.candidates {
                best.offer(score(flow, candidate.backend_server), *candidate);
            }
            return best.into_items();
        }
        let mut best: TopN<Candidate, f64, CANDIDATES> = TopN::default();
        for c in &self.candidates {
            best.offer(weighted_score(flow, c.backend_server, c.weight), *c);
        }
        best.into_items()
    }
}

#[derive(Debug, Default)]
struct ServiceTables {
    present: Table,
    /// Newest first; at most [`EARLIER_TABLES`].
    earlier: VecDeque<Table>,
}

/// The candidate tables of all services.
#[derive(Debug, Default)]
pub struct Tables {
    services: FxHashMap<ServiceId, ServiceTables>,
}

impl Tables {
    /// Follows a new configuration and returns the services whose table changed.
    ///
    /// Backend servers of zones that are out have no place in the table. Draining ones keep
    /// theirs, so that their flows stay at their first choice.
    pub fn update(&mut self, configuration: &Configuration) -> Vec<ServiceId> {
        let known = self.services.keys();
        let services: Vec<_> = configuration
            .services
            .keys()
            .chain(known)
            .copied()
            .collect();
        self.update_services(configuration, services)
    }

    /// Follows a new configuration that differs from the one before in `services` only, and returns
    /// those whose table changed, in order. The cost grows with these services alone.
    pub fn update_services(
        &mut self,
        configuration: &Configuration,
        mut services: Vec<ServiceId>,
    ) -> Vec<ServiceId> {
        services.sort_unstable();
        services.dedup();
        services.retain(|service| {
            if configuration.services.contains_key(service) {
                return self.replace(*service, table_of(configuration, *service));
            }
            self.services.remove(service);
            false
        });
        services
    }

    fn replace(&mut self, service: ServiceId, table: Table) -> bool {
        let tables = self.services.entry(service).or_default();
        if tables.present == table {
            return false;
        }
        let old = std::mem::replace(&mut tables.present, table);
        if !old.candidates.is_empty() {
            tables.earlier.push_front(old);
            tables.earlier.truncate(EARLIER_TABLES);
        }
        true
    }

    /// Ranks the candidates of a flow; none if the service is not configured.
    pub fn rank(&self, service: ServiceId, flow: FlowId) -> Option<Ranking> {
        Some(self.services.get(&service)?.present.rank(flow))
    }

    /// Returns how many earlier tables a service has.
    pub fn depth(&self, service: ServiceId) -> usize {
        self.services.get(&service).map_or(0, |t| t.earlier.len())
    }

    /// Returns the first choice of a flow under an earlier table; 0 is the newest of them.
    pub fn earlier(&self, service: ServiceId, flow: FlowId, table: usize) -> Option<Candidate> {
        let table = self.services.get(&service)?.earlier.get(table)?;
        table.rank(flow).first().copied()
    }
}

fn table_of(configuration: &Configuration, service: ServiceId) -> Table {
    let in_service = |zone: ZoneId| {
        let zone = configuration.zones.get(&zone);
        zone.is_some_and(|zone| zone.state == ZoneState::In)
    };
    let candidates = configuration
        .service_servers(service)
        .filter(|(_, zone)| in_service(*zone))
        .map(|(server, zone)| Candidate {
            backend_server: server.id,
            zone,
            weight: server.weight,
        });
    Table::new(candidates.collect())
}
