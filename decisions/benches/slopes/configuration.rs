//! Measures the configuration index growing numbers of backend servers, and ownership index growing
//! numbers of members.

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
    resident_bytes, //
};
use crate::site::{
    self,
    Shape,
    ZONES_PER_REGION, //
};

/// Maximum number of measurements of a step.
const ROUNDS: usize = 200;

/// Time limit for the measurements of a step, so that the whole benchmark ends within two minutes.
const TIME_LIMIT: Duration = Duration::from_secs(1);

/// Number of availability zones in all regions.
const ZONES: usize = 18;

pub(crate) fn run() -> Result<(), Box<dyn Error>> {
    let mut all_tables = Vec::new();
    for servers in [1_000, 10_000, 100_000] {
        // 10.5 backend servers for each service, the ratio expected in two years.
        let shape = Shape {
            zones: ZONES,
            services: servers * 2 / 21,
            servers,
        };
        let before = resident_bytes()?;
        let mut configuration = site::configure(&shape)?;
        let growth = (resident_bytes()? - before) as f64 / servers as f64;
        println!("servers {servers}: configuration {growth:.0} bytes per backend server");
        measure_apply(&shape, &mut configuration)?;
        all_tables.push(measure_tables(&shape, &mut configuration)?);
        for members in [3, 60, 1_055] {
            measure_owners(&shape, &configuration, members)?;
        }
    }
    Ok(())
}

/// Counts the rounds of a measurement up to [`ROUNDS`] or until [`TIME_LIMIT`] has passed.
fn rounds() -> impl Iterator<Item = usize> {
    let start = Instant::now();
    (0..ROUNDS).take_while(move |_| start.elapsed() < TIME_LIMIT)
}

/// Returns a change of one backend server's weight, which changes the table of its service.
fn change_weight(shape: &Shape, round: usize) -> Change {
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
    times.print(&format!(
        "servers {servers}: apply a record with one change"
    ));
    Ok(())
}

fn measure_tables(
    shape: &Shape,
    configuration: &mut Configuration,
) -> Result<Tables, Box<dyn Error>> {
    let servers = shape.servers;
    let before = resident_bytes()?;
    let mut tables = Tables::default();
    let mut build_times = Times::new()?;
    build_times.time(1, || black_box(tables.update(configuration)))?;
    let growth = resident_bytes()?.saturating_sub(before) as f64 / servers as f64;
    println!("servers {servers}: tables {growth:.0} bytes per backend server");
    build_times.print(&format!("servers {servers}: build all tables"));
    let mut times = Times::new()?;
    for round in rounds() {
        let record = site::next_record(configuration, vec![change_weight(shape, round)]);
        configuration.apply(&record)?;
        let changed = times.time(1, || {
            let mut affected = Vec::new();
            configuration.affected_services(&record, &mut affected);
            tables.update_services(configuration, affected)
        })?;
        if changed.len() != 1 {
            return Err("one change must change exactly one table".into());
        }
    }
    times.print(&format!(
        "servers {servers}: update the tables after one change"
    ));
    Ok(tables)
}

fn measure_owners(
    shape: &Shape,
    configuration: &Configuration,
    members: usize,
) -> Result<(), Box<dyn Error>> {
    let mut others = Vec::new();
    for zone in 0..ZONES_PER_REGION {
        for index in 0..members {
            others.push(site::member(zone * members + index, zone));
        }
    }
    others.remove(0);
    let mut instance = site::instance(Time::ZERO, &others, configuration.clone());
    let label = format!("servers {}, {members} members in each zone", shape.servers);
    let mut times = Times::new()?;
    let mut out = Vec::new();
    for round in rounds() {
        // Every third instance joins the local zone.
        let joined = site::member(10_000 + round, round % ZONES_PER_REGION);
        let event = site::heartbeat(joined, &[]);
        times.time(1, || instance.handle(Time::ZERO, event, &mut out))?;
        out.clear();
    }
    times.print(&format!("{label}: a member joins the region"));
    let mut times = Times::new()?;
    for round in rounds() {
        let next = site::next_record(
            instance.configuration(),
            vec![change_weight(shape, round + 1)],
        );
        let event = Event::Records(vec![next]);
        times.time(1, || instance.handle(Time::ZERO, event, &mut out))?;
        out.clear();
    }
    times.print(&format!("{label}: apply a record with one change"));
    Ok(())
}
