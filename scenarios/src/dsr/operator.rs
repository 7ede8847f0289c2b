//! Operators: routes, zones out of service, and visits that check what is in force.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};
use std::time::Duration;

use lovagespindle_decisions::Time;
use lovagespindle_platform_stand_in::documents::{
    config,
    evacuate_zone,
    restore_zone, //
};

use super::clients::Uplink;
use super::machines::{
    MachineKey,
    State,
    zone_name, //
};
use super::site::Site;
use super::store::StoreState;
use super::world::{
    Event,
    World, //
};

/// When a change has to be in force, after the store took it.
pub(super) const APPLY: Duration = Duration::from_secs(3);

/// A route.
pub(super) struct Route {
    pub(super) address: SocketAddrV4,
    pub(super) service: usize,
    pub(super) added: Time,
    pub(super) removed: Option<Time>,
}

/// What operators want.
pub(super) struct Operator {
    version: u64,
    /// The first routes are those of the classes.
    pub(super) routes: Vec<Route>,
    /// Since when each zone is out of service.
    pub(super) out: Vec<Option<Time>>,
}

impl Operator {
    pub(super) fn new(site: &Site) -> Operator {
        let classes = site.classes.iter().enumerate();
        let routes = classes.map(|(n, class)| Route {
            address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, n as u8 + 1), 443),
            service: class.service,
            added: Time::ZERO,
            removed: None,
        });
        Operator {
            version: 0,
            routes: routes.collect(),
            out: vec![None; site.zones],
        }
    }

    /// Returns the address that clients of a class open flows to.
    pub(super) fn address(&self, class: usize) -> SocketAddrV4 {
        self.routes[class].address
    }

    /// Returns the service of an address, if a route leads there.
    pub(super) fn service(&self, address: SocketAddrV4) -> Option<usize> {
        let mut routes = self.routes.iter();
        let found = routes.find(|route| route.address == address && route.removed.is_none());
        found.map(|route| route.service)
    }

    pub(super) fn is_out(&self, zone: usize) -> bool {
        self.out[zone].is_some()
    }
}

impl World {
    pub(super) fn store_takes_writes(&self) -> bool {
        matches!(self.store.state, StoreState::Up | StoreState::Slow)
    }

    /// Writes the configuration.
    pub(super) fn put_config(&mut self) {
        self.operator.version += 3;
        self.write_config();
    }

    /// Writes again what a restored store may have lost.
    pub(super) fn rewrite(&mut self) {
        if !self.store_takes_writes() {
            return;
        }
        self.write_config();
        for zone in 0..self.site.zones {
            let out = evacuate_zone(&zone_name(zone));
            match (self.operator.is_out(zone), self.store.holds(&out.key)) {
                (true, false) => self.write(out),
                (false, true) => self.write(restore_zone(&zone_name(zone))),
                (true, true) | (false, false) => {}
            }
        }
    }

    fn write_config(&mut self) {
        let routes = self.operator.routes.iter();
        let routes = routes.filter(|route| route.removed.is_none());
        let routes: Vec<(SocketAddrV4, &str)> = routes
            .map(|route| {
                (
                    route.address,
                    self.site.services[route.service].name.as_str(),
                )
            })
            .collect();
        let written = config(self.operator.version, &routes);
        self.write(written);
    }

    /// Adds a route and removes the one that was added before; then looks whether that is in force.
    pub(super) fn change_config(&mut self) {
        if !self.store_takes_writes() {
            return;
        }
        let (now, n) = (self.now, self.operator.routes.len());
        let classes = self.site.classes.len();
        if let Some(last) = self.operator.routes.iter_mut().skip(classes).last() {
            last.removed.get_or_insert(now);
        }
        self.operator.routes.push(Route {
            address: SocketAddrV4::new(
                Ipv4Addr::new(198, 19, (n / 250) as u8, (n % 250) as u8),
                443,
            ),
            service: 0,
            added: now,
            removed: None,
        });
        self.put_config();
        self.send(APPLY + Duration::from_millis(50), Event::Visit);
    }

    /// Opens flows at each ready instance to routes that were added or removed.
    pub(super) fn visit(&mut self) {
        let classes = self.site.classes.len();
        let changed = self.operator.routes.iter().skip(classes);
        let addresses: Vec<SocketAddrV4> = changed.map(|route| route.address).collect();
        for address in addresses.into_iter().rev().take(2) {
            for index in 0..self.machines.len() {
                let machine = &self.machines[index];
                if machine.state != State::Up || !machine.is_ready() {
                    continue;
                }
                let flow = self.open_flow(machine.zone, address, None);
                let uplink = Uplink::Open { copy: 0 };
                self.send(
                    self.site.clients,
                    Event::Uplink(MachineKey(index), flow, uplink),
                );
            }
        }
    }

    /// Returns whether the zone was not out before, and the store took it.
    pub(super) fn take_zone_out(&mut self, zone: usize) -> bool {
        let takes = self.store_takes_writes() && !self.operator.is_out(zone);
        if takes {
            self.operator.out[zone] = Some(self.now);
            self.write(evacuate_zone(&zone_name(zone)));
        }
        takes
    }

    pub(super) fn bring_zone_back(&mut self, zone: usize) {
        if self.operator.out[zone].take().is_some() {
            self.write(restore_zone(&zone_name(zone)));
        }
    }
}
