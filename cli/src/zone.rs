//! Commands about availability zones.

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    ZoneState, //
};
use pico_args::Arguments;
use serde_json::json;

use crate::args::{
    UsageError,
    free,
    given,
    text,
    verb, //
};
use crate::exit::Failure;
use crate::report::{
    Report,
    table, //
};
use crate::session::Session;

/// A command about availability zones.
#[derive(Debug)]
pub(crate) enum Command {
    /// Makes a change.
    Change(Change),
    /// Lists them.
    List,
}

impl Command {
    /// Takes the rest of the command line.
    pub(crate) fn parse(arguments: &mut Arguments) -> Result<Command, UsageError> {
        let verb = verb(arguments, "create, delete, out, in or list")?;
        let set = |arguments: &mut Arguments, state| {
            let name = free(arguments, "the zone")?;
            Ok(Command::Change(Change::SetZone { name, state }))
        };
        match verb.as_str() {
            "create" => {
                let region = given("--region", text(arguments, "--region")?)?;
                let name = free(arguments, "the zone")?;
                Ok(Command::Change(Change::CreateZone { name, region }))
            }
            "delete" => {
                let name = free(arguments, "the zone")?;
                Ok(Command::Change(Change::DeleteZone { name }))
            }
            "out" => set(arguments, ZoneState::Out),
            "in" => set(arguments, ZoneState::In),
            "list" => Ok(Command::List),
            _ => Err(UsageError::Command(format!("zone {verb}"))),
        }
    }

    /// Runs the command.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        match self {
            Command::Change(change) => session.change(change).await,
            Command::List => Ok(list(&session.client.configuration().await?)),
        }
    }
}

fn list(configuration: &Configuration) -> Report {
    let zones = configuration.zones.values();
    let rows: Vec<_> = zones
        .clone()
        .map(|z| {
            let servers = configuration.zone_servers(z.id).count();
            let (region, state) = (z.region.clone(), z.state.to_string());
            [z.name.clone(), region, state, servers.to_string()]
        })
        .collect();
    let json = zones.map(|z| {
        json!({
            "id": z.id.0,
            "name": z.name,
            "region": z.region,
            "state": z.state.to_string(),
        })
    });
    Report {
        text: table(["ZONE", "REGION", "STATE", "SERVERS"], &rows),
        json: json.collect(),
    }
}
