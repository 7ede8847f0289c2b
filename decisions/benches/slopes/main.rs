//! Measures how the cost of decisions scales: of packets with the number of flows, of the
//! configuration with the number of backend servers, and of ownership with the number of members.
//!
//! `cargo bench -p lovagespindle-decisions -- [packets|configuration]` runs one part or, without an
//! argument, both.

mod configuration;
mod measure;
mod packets;
mod site;

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let selected = std::env::args().nth(1).unwrap_or_default();
    if selected != "configuration" {
        packets::run()?;
    }
    if selected != "packets" {
        configuration::run()?;
    }
    Ok(())
}
