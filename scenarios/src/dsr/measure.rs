//! What was served, and what was lost to which cause.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagespindle_decisions::Time;

use super::site::Site;
use super::world::{
    Event,
    LEAD,
    World, //
};

/// How many seconds one window has.
const WINDOW: usize = 2;

/// What kept a request from its answer.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Loss {
    /// The instance that got its packets was not running, or none was.
    Instance,
    /// The backend server was not running.
    Server,
    /// A cut was on the way.
    Cut,
    /// A packet was lost, or no answer came for another reason.
    Packet,
    /// An instance refused the flow.
    Refused,
    /// An instance dropped the packet.
    Dropped,
    /// The backend server was full.
    Full,
    /// A backend server broke the flow off.
    Reset,
    /// The answer was not complete at the time limit.
    Late,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    owed: f64,
    earned: f64,
}

impl Sum {
    fn share(&self) -> f64 {
        if self.owed == 0.0 {
            1.0
        } else {
            self.earned / self.owed
        }
    }
}

/// Sums over a day.
pub(super) struct Measure {
    all: Sum,
    classes: Vec<Sum>,
    zones: Vec<Sum>,
    seconds: Vec<Sum>,
    requests: u64,
    served: u64,
    losses: BTreeMap<Loss, u64>,
    /// How long answers took, in milliseconds, by class.
    waits: Vec<Vec<u64>>,
    site: Site,
    pub(super) channels: u64,
    pub(super) store_calls: u64,
    pub(super) peer_calls: u64,
    pub(super) probes: u64,
    /// The busiest backend server over the mean, by windows.
    balance: Vec<f64>,
}

/// What a day came to for a class of requests.
#[derive(Clone, Debug)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// The benefit earned of that owed.
    pub served: f64,
    /// The median time to an answer, in milliseconds.
    pub median: u64,
    /// The 99th percentile of the same.
    pub p99: u64,
}

/// What a day came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests of clients.
    pub requests: u64,
    /// Requests answered within their time limit.
    pub answered: u64,
    /// The benefit earned of that owed: an answer after its aim counts less.
    pub served: f64,
    /// The same over the two worst windows of two seconds.
    pub worst_windows: f64,
    /// The same for the worst zone of clients.
    pub worst_zone: f64,
    /// The same for the worst class of requests.
    pub worst_class: f64,
    /// The classes of requests.
    pub classes: Vec<ClassReport>,
    /// The benefit earned of that owed, by zone of clients.
    pub zones: Vec<f64>,
    /// The most flows that a backend server took over the mean of its service, where that is worst.
    pub imbalance: f64,
    /// The most requests that came to a backend server of the first service over their mean, in each
    /// window of two seconds, among those that may be used. Requests on flows that clients keep
    /// count at each turn.
    pub balance: Vec<f64>,
    /// Requests that were not answered, by cause.
    pub losses: BTreeMap<Loss, u64>,
    /// Handshakes of backend servers.
    pub channels: u64,
    /// Calls of the store.
    pub store_calls: u64,
    /// Questions between instances.
    pub peer_calls: u64,
    /// Connections opened to see whether backend servers are reached.
    pub probes: u64,
    /// The share served in each second.
    pub seconds: Vec<f64>,
}

impl Measure {
    pub(super) fn new(site: &Site) -> Measure {
        let seconds = site.length.as_secs() as usize + 1;
        Measure {
            all: Sum::default(),
            classes: vec![Sum::default(); site.classes.len()],
            zones: vec![Sum::default(); site.zones],
            seconds: vec![Sum::default(); seconds],
            requests: 0,
            served: 0,
            losses: BTreeMap::new(),
            waits: vec![Vec::new(); site.classes.len()],
            site: site.clone(),
            channels: 0,
            store_calls: 0,
            peer_calls: 0,
            probes: 0,
            balance: Vec::new(),
        }
    }

    pub(super) fn owe(&mut self, started: Time, class: usize, zone: usize) {
        let worth = self.site.classes[class].worth;
        self.requests += 1;
        for sum in self.sums(started, class, zone) {
            sum.owed += worth;
        }
    }

    pub(super) fn earn(&mut self, now: Time, started: Time, class: usize, zone: usize) {
        let kind = &self.site.classes[class];
        let worth = if now.since(started) <= kind.aim {
            kind.worth
        } else {
            kind.late
        };
        self.served += 1;
        self.waits[class].push(now.since(started).as_millis() as u64);
        for sum in self.sums(started, class, zone) {
            sum.earned += worth;
        }
    }

    pub(super) fn lose(&mut self, loss: Loss) {
        *self.losses.entry(loss).or_default() += 1;
    }

    fn sums(&mut self, started: Time, class: usize, zone: usize) -> [&mut Sum; 4] {
        let second = started.since(Time::ZERO + LEAD).as_secs() as usize;
        let last = self.seconds.len() - 1;
        [
            &mut self.all,
            &mut self.classes[class],
            &mut self.zones[zone],
            &mut self.seconds[second.min(last)],
        ]
    }

    fn class_reports(&self) -> Vec<ClassReport> {
        let classes = self.site.classes.iter().enumerate();
        let reports = classes.map(|(n, class)| {
            let mut waits = self.waits[n].clone();
            waits.sort_unstable();
            let at = |share: f64| {
                let index = (waits.len() as f64 * share) as usize;
                waits.get(index).copied().unwrap_or_default()
            };
            ClassReport {
                name: class.name.clone(),
                served: self.classes[n].share(),
                median: at(0.5),
                p99: at(0.99),
            }
        });
        reports.collect()
    }

    fn worst_windows(&self) -> f64 {
        let mut windows: Vec<f64> = self
            .seconds
            .chunks_exact(WINDOW)
            .map(|window| {
                let owed = window.iter().map(|sum| sum.owed).sum();
                let earned = window.iter().map(|sum| sum.earned).sum();
                Sum { owed, earned }.share()
            })
            .collect();
        windows.sort_by(f64::total_cmp);
        let worst = windows.iter().take(2);
        worst.sum::<f64>() / windows.len().clamp(1, 2) as f64
    }
}

fn least(sums: &[Sum]) -> f64 {
    sums.iter().map(Sum::share).fold(1.0, f64::min)
}

impl World {
    /// Returns the largest over the mean number of flows, of the backend servers that were there
    /// all day.
    fn imbalance(&self) -> f64 {
        let services = 0..self.site.services.len();
        let worst = services.map(|service| {
            let servers = self.servers.iter();
            let whole = servers.filter(|s| s.service == service && s.lived_all_day());
            let taken: Vec<u64> = whole.map(|server| server.taken).collect();
            let largest = taken.iter().copied().max().unwrap_or_default() as f64;
            let sum: u64 = taken.iter().sum();
            if sum == 0 {
                return 1.0;
            }
            largest * taken.len() as f64 / sum as f64
        });
        worst.fold(1.0, f64::max)
    }

    /// Ends a window of the balance.
    pub(super) fn sample_balance(&mut self) {
        let now = self.now;
        let begun = self.servers.iter_mut().filter_map(|server| {
            let count = std::mem::take(&mut server.begun);
            (server.service == 0 && server.takes_flows(now)).then_some(count)
        });
        let begun: Vec<u64> = begun.collect();
        let (sum, largest) = (begun.iter().sum::<u64>(), begun.iter().max());
        if let Some(largest) = largest.filter(|_| sum > 0) {
            let ratio = *largest as f64 * begun.len() as f64 / sum as f64;
            self.measure.balance.push(ratio);
        }
        self.send(Duration::from_secs(WINDOW as u64), Event::Sample);
    }

    /// Returns what the day came to.
    pub fn report(&self) -> Report {
        let measure = &self.measure;
        Report {
            requests: measure.requests,
            answered: measure.served,
            served: measure.all.share(),
            worst_windows: measure.worst_windows(),
            worst_zone: least(&measure.zones),
            worst_class: least(&measure.classes),
            classes: measure.class_reports(),
            zones: measure.zones.iter().map(Sum::share).collect(),
            imbalance: self.imbalance(),
            balance: measure.balance.clone(),
            losses: measure.losses.clone(),
            channels: measure.channels,
            store_calls: measure.store_calls,
            peer_calls: measure.peer_calls,
            probes: measure.probes,
            seconds: measure.seconds.iter().map(Sum::share).collect(),
        }
    }
}
