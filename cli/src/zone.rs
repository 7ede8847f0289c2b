//! The `zone` command: changes and lists availability zones.

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    ZoneState, //
};
use pico_args::Arguments;
use serde_json::json;

use crate::args::{
    UsageError,
    positional,
    required,
    subcommand, //
    text,
};
use crate::exit::Failure;
use crate::report::{
    Report,
    table, //
};
use crate::session::Session;

#[derive(Debug)]
pub(crate) enum Command {
    Change(Change),
    List,
}

impl Command {
    /// Parses the remaining arguments.
    pub(crate) fn parse(arguments: &mut Arguments) -> Result<Command, UsageError> {
        let verb = subcommand(arguments, "create, delete, out, in or list")?;
        let set = |arguments: &mut Arguments, state| {
            let name = positional(arguments, "the zone")?;
            Ok(Command::Change(Change::SetZone { name, state }))
        };
        match verb.as_str() {
            "create" => {
                let region = required("--region", text(arguments, "--region")?)?;
                let name = positional(arguments, "the zone")?;
                Ok(Command::Change(Change::CreateZone { name, region }))
            }
            "delete" => {
                let name = positional(arguments, "the zone")?;
                Ok(Command::Change(Change::DeleteZone { name }))
            }
            "out" => set(arguments, ZoneState::Out),
            "in" => set(arguments, ZoneState::In),
            "list" => Ok(Command::List),
            _ => Err(UsageError::Command(format!("zone {verb}"))),
        }
    }

    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        match self {
            Command::Change(change) => session.change(change).await,
            Command::List => Ok(list(&session.client.configuration().await?)),
        }
    }
}

fn list(configuration: &Configuration) -> Report {
    // Zone ids are hashes and have no useful order, so the list is sorted by name.
    let mut zones: Vec<_> = configuration.zones.values().collect();
    zones.sort_by(|a, b| a.name.cmp(&b.name));
    let rows: Vec<_> = zones
        .iter()
        .map(|z| {
            let servers = configuration.zone_servers(z.id).count();
            let (region, state) = (z.region.clone(), z.state.to_string());
            [z.name.clone(), region, state, servers.to_string()]
        })
        .collect();
    let json = zones.iter().map(|z| {
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
