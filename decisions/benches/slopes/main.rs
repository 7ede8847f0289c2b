//! Measures how the cost of the decisions grows: packets with the flows, configurations with the
//! backend servers, and owners with the members.
//!
//! `cargo bench -p lovagespindle-decisions -- [packets|configuration]` runs one part or both.

mod configuration;
mod measure;
mod packets;
mod site;

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let chosen = std::env::args().nth(1).unwrap_or_default();
    if chosen != "configuration" {
        packets::run()?;
    }
    if chosen != "packets" {
        configuration::run()?;
    }
    Ok(())
}
