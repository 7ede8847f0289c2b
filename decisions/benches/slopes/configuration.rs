//! Configurations and owners at rising numbers of backend servers and members.

use std::error::Error;
use std::hint::black_box;
use std::time::{
    Duration,
    Instant, //
};

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    ServerState, //
};
use lovagespindle_decisions::tables::Tables;
use lovagespindle_decisions::{
    Event,
    Time, //
};

use crate::measure::{
    Times,
    resident, //
};
use crate::site::{
    self,
    Shape,
    ZONES_PER_REGION, //
};

/// How often each step is timed at most.
const ROUNDS: usize = 200;

/// How long one step is timed at most, so that all measurements end within two minutes.
const LONGEST: Duration = Duration::from_secs(1);

/// The zones of all regions.
const ZONES: usize = 18;

pub(crate) fn run() -> Result<(), Box<dyn Error>> {
    let mut kept = Vec::new();
    for servers in [1_000, 10_000, 100_000] {
        // Services have 10.5 backend servers each at the two-year size.
        let shape = Shape {
            zones: ZONES,
            services: servers * 2 / 21,
            servers,
        };
        let before = resident()?;
        let mut configuration = site::configure(&shape)?;
        let grown = (resident()? - before) as f64 / servers as f64;
        println!("servers {servers}: configuration {grown:.0} bytes per backend server");
        measure_apply(&shape, &mut configuration)?;
        kept.push(measure_tables(&shape, &mut configuration)?);
        for members in [3, 60, 1_055] {
            measure_owners(&shape, &configuration, members)?;
        }
    }
    Ok(())
}

/// Counts rounds until there are enough of them or the time is up.
fn rounds() -> impl Iterator<Item = usize> {
    let start = Instant::now();
    (0..ROUNDS).take_while(move |_| start.elapsed() < LONGEST)
}

/// Returns a change of one backend server that changes the table of its service.
fn reweigh(shape: &Shape, round: usize) -> Change {
    site::put_server(shape, round % shape.servers, 101 + (round / 7) as u32 % 100)
}

fn measure_apply(shape: &Shape, configuration: &mut Configuration) -> Result<(), Box<dyn Error>> {
    let mut times = Times::new()?;
    for round in rounds() {
        let change = Change::SetServer {
            name: format!("backend-server-{:06}", round * 13 % shape.servers),
            state: ServerState::Draining,
        };
        let record = site::next_record(configuration, vec![change]);
        times.time(1, || configuration.apply(&record))??;
    }
    let servers = shape.servers;
    times.print(&format!("servers {servers}: apply a record of one change"));
    Ok(())
}

fn measure_tables(
    shape: &Shape,
    configuration: &mut Configuration,
) -> Result<Tables, Box<dyn Error>> {
    let servers = shape.servers;
    let before = resident()?;
    let mut tables = Tables::default();
    let mut first = Times::new()?;
    first.time(1, || black_box(tables.update(configuration)))?;
    let grown = resident()?.saturating_sub(before) as f64 / servers as f64;
    println!("servers {servers}: tables {grown:.0} bytes per backend server");
    first.print(&format!("servers {servers}: first tables"));
    let mut times = Times::new()?;
    for round in rounds() {
        let record = site::next_record(configuration, vec![reweigh(shape, round)]);
        configuration.apply(&record)?;
        let changed = times.time(1, || {
            let mut affected = Vec::new();
            configuration.affected_services(&record, &mut affected);
            tables.update_services(configuration, affected)
        })?;
        if changed.len() != 1 {
            return Err("one change must change one table".into());
        }
    }
    times.print(&format!("servers {servers}: tables after one change"));
    Ok(tables)
}

fn measure_owners(
    shape: &Shape,
    configuration: &Configuration,
    members: usize,
) -> Result<(), Box<dyn Error>> {
    let mut others = Vec::new();
    for zone in 0..ZONES_PER_REGION {
        for at in 0..members {
            others.push(site::member(zone * members + at, zone));
        }
    }
    others.remove(0);
    let mut instance = site::instance(Time::ZERO, &others, configuration.clone());
    let what = format!("servers {}, {members} live in the zone", shape.servers);
    let mut times = Times::new()?;
    let mut out = Vec::new();
    for round in rounds() {
        // One instance in three joins the own zone.
        let joined = site::member(10_000 + round, round % ZONES_PER_REGION);
        let event = site::heartbeat(joined, &[]);
        times.time(1, || instance.handle(Time::ZERO, event, &mut out))?;
        out.clear();
    }
    times.print(&format!("{what}: member of the region joins"));
    let mut times = Times::new()?;
    for round in rounds() {
        let next = site::next_record(instance.configuration(), vec![reweigh(shape, round + 1)]);
        let event = Event::Records(vec![next]);
        times.time(1, || instance.handle(Time::ZERO, event, &mut out))?;
        out.clear();
    }
    times.print(&format!("{what}: a record of one change in force"));
    Ok(())
}
