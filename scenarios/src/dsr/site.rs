//! Deployments: zones, machines, backend servers and what clients ask for.

use std::time::Duration;

use crate::prelude::Dice;

/// How routers spread flows over the instances of a zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hashing {
    /// Only the flows of an instance that joins or leaves move.
    Steady,
    /// Nearly all flows move.
    Modulo,
}

/// A service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) name: String,
    /// How many backend servers each zone has.
    pub(crate) servers: Vec<usize>,
    /// How many requests a backend server works on at once.
    pub(crate) slots: u32,
}

/// A kind of requests.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) name: String,
    /// The index of its service.
    pub(crate) service: usize,
    /// Requests a second, in all zones.
    pub(crate) rate: f64,
    /// The mean time that a backend server works on one.
    pub(crate) work: Duration,
    /// Packets of an answer.
    pub(crate) packets: u32,
    /// Whether clients keep a flow for later requests. Otherwise each request has its own flow.
    pub(crate) pooled: bool,
    /// Whether a client repeats a request that may have run.
    pub(crate) idempotent: bool,
    /// An answer after this is worth [`Class::late`] of one in time.
    pub(crate) aim: Duration,
    /// An answer after this is worth nothing.
    pub(crate) limit: Duration,
    pub(crate) worth: f64,
    pub(crate) late: f64,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: String,
    pub(crate) zones: usize,
    /// How many instances each zone has.
    pub(crate) machines: Vec<usize>,
    pub(crate) services: Vec<Service>,
    pub(crate) classes: Vec<Class>,
    pub(crate) hashing: Hashing,
    /// One-way delays: inside a zone, between zones, and to clients.
    pub(crate) inside: Duration,
    pub(crate) between: Duration,
    pub(crate) clients: Duration,
    /// The part of the packets that is lost on each way.
    pub(crate) loss: f64,
    /// How long the store takes to answer.
    pub(crate) store: Duration,
    /// How long a day lasts.
    pub(crate) length: Duration,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Site {
    /// Returns the deployment `waipuna-tickets`.
    pub fn waipuna() -> Site {
        Site {
            name: "waipuna-tickets".to_owned(),
            zones: 3,
            machines: vec![3, 3, 2],
            services: vec![
                service("ticket-desk", &[5, 5, 4], 4),
                service("ledger-store", &[2, 1, 1], 4),
            ],
            classes: vec![
                class("ticket-view", 0, 292.0, 55, 4, true, (300, 1_500)),
                class("consign-notice", 0, 83.3, 72, 1, false, (300, 2_000)),
                class("ledger-pull", 1, 25.0, 5, 67, true, (500, 3_000)),
            ],
            hashing: Hashing::Steady,
            inside: Duration::from_micros(100),
            between: Duration::from_micros(5_400),
            clients: ms(3),
            loss: 0.0005,
            store: ms(4),
            length: Duration::from_secs(34),
        }
    }

    /// Returns the deployment `tsb-orders`.
    pub fn tsb() -> Site {
        Site {
            name: "tsb-orders".to_owned(),
            machines: vec![2, 2, 2],
            services: vec![
                service("order-desk", &[5, 5, 4], 3),
                service("proof-room", &[2, 1, 1], 3),
            ],
            classes: vec![
                class("status-check", 0, 292.0, 40, 4, true, (250, 2_000)),
                class("rebind-request", 0, 83.3, 52, 1, false, (300, 2_500)),
                class("proof-scan", 1, 25.0, 5, 67, true, (500, 5_000)),
            ],
            between: Duration::from_micros(3_900),
            ..Site::waipuna()
        }
    }

    /// Returns the deployment `cpu-padana`, whose clients keep their flows.
    pub fn padana() -> Site {
        let mut pushes = class("fixing-push", 0, 255.0, 15, 2, true, (120, 500));
        let mut offers = class("lot-offers", 0, 73.0, 20, 1, false, (150, 600));
        (pushes.pooled, offers.pooled) = (true, true);
        offers.late = 0.6;
        Site {
            name: "cpu-padana".to_owned(),
            machines: vec![2, 3, 1],
            services: vec![
                service("borsa-uova", &[5, 5, 4], 2),
                service("bollettino", &[2, 1, 1], 2),
            ],
            classes: vec![
                pushes,
                offers,
                class("bulletin-get", 1, 22.0, 5, 29, true, (500, 3_000)),
            ],
            between: Duration::from_micros(3_900),
            loss: 0.0015,
            // The last trouble of a day starts after 40 s, 8 s before its end.
            length: Duration::from_secs(48),
            ..Site::waipuna()
        }
    }

    /// Draws a deployment like [`Site::drawn`], whose clients keep their flows for later requests.
    pub fn pooled(seed: u64) -> Site {
        let mut site = Site::drawn(seed);
        site.name = format!("pooled-{seed}");
        for class in &mut site.classes {
            class.pooled = true;
        }
        site
    }

    /// Draws a deployment: 1 to 5 zones, 2 to 30 instances, 1 to 60 backend servers a service.
    pub fn drawn(seed: u64) -> Site {
        let mut dice = Dice::new(seed);
        let zones = 1 + dice.below(5);
        let instances = (2 + dice.below(29)).max(zones);
        let slots = 1 + dice.below(6) as u32;
        let mut services = Vec::new();
        let mut classes = Vec::new();
        for n in 0..1 + dice.below(3) {
            let count = 1 + dice.below(60);
            let name = format!("service-{n}");
            services.push(service(&name, &dealt(count, zones), slots));
            let work = 5 + dice.below(80) as u64;
            // A load of three fifths: slots over work time.
            let rate = 0.6 * count as f64 * f64::from(slots) * 1_000.0 / work as f64;
            let packets = [1, 4, 30][dice.below(3)];
            let rate = rate.min(400.0);
            let limits = (300, 2_000);
            let idempotent = dice.chance(0.7);
            let name = format!("class-{n}");
            classes.push(class(&name, n, rate, work, packets, idempotent, limits));
        }
        Site {
            name: format!("drawn-{seed}"),
            zones,
            machines: dealt(instances, zones),
            services,
            classes,
            hashing: [Hashing::Steady, Hashing::Modulo][dice.below(2)],
            between: Duration::from_micros(500 + dice.below(9_500) as u64),
            clients: ms(1 + dice.below(10) as u64),
            loss: [0.0, 0.0005, 0.005][dice.below(3)],
            ..Site::waipuna()
        }
    }

    /// Returns how many zones there are.
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// Returns how many instances there are.
    pub fn instances(&self) -> usize {
        self.machines.iter().sum()
    }
}

fn service(name: &str, servers: &[usize], slots: u32) -> Service {
    Service {
        name: name.to_owned(),
        servers: servers.to_vec(),
        slots,
    }
}

fn class(
    name: &str,
    service: usize,
    rate: f64,
    work: u64,
    packets: u32,
    idempotent: bool,
    (aim, limit): (u64, u64),
) -> Class {
    let worth = if idempotent { 1.0 } else { 2.0 };
    Class {
        name: name.to_owned(),
        service,
        rate,
        work: ms(work),
        packets,
        pooled: false,
        idempotent,
        aim: ms(aim),
        limit: ms(limit),
        worth,
        late: 0.3 * worth,
    }
}

/// Deals a number out to the zones in turn.
fn dealt(count: usize, zones: usize) -> Vec<usize> {
    let share = |zone| count / zones + usize::from(zone < count % zones);
    (0..zones).map(share).collect()
}
