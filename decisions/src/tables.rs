//! Candidate tables, which rank the backend servers of a service for a flow.

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

/// Maximum number of candidates that are tried for a flow.
pub const CANDIDATES: usize = 4;

/// Number of earlier tables that are kept for each service. A flow that was placed under an older
/// table is found only through its registered override.
pub const EARLIER_TABLES: usize = 8;

/// A backend server that a flow may choose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub backend_server: BackendServerId,
    /// Stored here because an earlier table may contain a backend server that the configuration no
    /// longer has.
    pub zone: ZoneId,
    /// Share of new flows relative to the other candidates.
    pub weight: u32,
}

/// The candidates of a flow in order of preference.
pub type Ranking = SmallVec<[Candidate; CANDIDATES]>;

#[derive(Clone, Debug, Default, PartialEq)]
struct Table {
    candidates: Vec<Candidate>,
    /// Whether all weights are equal, so that scores need no logarithm.
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
    current: Table,
    /// Newest first; at most [`EARLIER_TABLES`].
    earlier: VecDeque<Table>,
}

#[derive(Debug, Default)]
pub struct Tables {
    services: FxHashMap<ServiceId, ServiceTables>,
}

impl Tables {
    /// Updates the tables to a configuration and returns the services whose table changed, in order
    /// of identifier.
    ///
    /// A table has no backend servers in zones that are out of service. Draining backend servers
    /// stay in it, so that their flows keep their first choice.
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

    /// Updates the tables to a configuration that differs from the previous one in `services` only.
    /// Returns those whose table changed, in order of identifier. The cost depends on the size of
    /// these services alone.
    pub fn update_services(
        &mut self,
        configuration: &Configuration,
        mut services: Vec<ServiceId>,
    ) -> Vec<ServiceId> {
        services.sort_unstable();
        services.dedup();
        services.retain(|service| {
            if configuration.services.contains_key(service) {
                return self.replace(*service, build_table(configuration, *service));
            }
            self.services.remove(service);
            false
        });
        services
    }

    fn replace(&mut self, service: ServiceId, table: Table) -> bool {
        let tables = self.services.entry(service).or_default();
        if tables.current == table {
            return false;
        }
        let old = std::mem::replace(&mut tables.current, table);
        if !old.candidates.is_empty() {
            tables.earlier.push_front(old);
            tables.earlier.truncate(EARLIER_TABLES);
        }
        true
    }

    /// Returns the candidates of a flow, or `None` if the service is not configured.
    pub fn rank(&self, service: ServiceId, flow: FlowId) -> Option<Ranking> {
        Some(self.services.get(&service)?.current.rank(flow))
    }

    /// Returns the number of earlier tables that are kept for a service.
    pub fn earlier_count(&self, service: ServiceId) -> usize {
        self.services.get(&service).map_or(0, |t| t.earlier.len())
    }

    /// Returns the first choice of a flow under an earlier table; `table` 0 is the newest.
    pub fn earlier(&self, service: ServiceId, flow: FlowId, table: usize) -> Option<Candidate> {
        let table = self.services.get(&service)?.earlier.get(table)?;
        table.rank(flow).first().copied()
    }
}

fn build_table(configuration: &Configuration, service: ServiceId) -> Table {
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
