//! The `service` command: changes and lists services.

use lovagespindle_decisions::config::{
    Change,
    Configuration, //
};
use pico_args::Arguments;
use serde_json::json;

use crate::args::{
    UsageError,
    address,
    duration,
    positional,
    required,
    subcommand, //
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
        let verb = subcommand(arguments, "put, delete or list")?;
        match verb.as_str() {
            "put" => {
                let address = required("--address", address(arguments, "--address")?)?;
                let idle = required("--idle", duration(arguments, "--idle")?)?;
                let name = positional(arguments, "the service")?;
                Ok(Command::Change(Change::PutService {
                    name,
                    address,
                    idle,
                }))
            }
            "delete" => {
                let name = positional(arguments, "the service")?;
                Ok(Command::Change(Change::DeleteService { name }))
            }
            "list" => Ok(Command::List),
            _ => Err(UsageError::Command(format!("service {verb}"))),
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
    let services = configuration.services.values();
    let rows: Vec<_> = services
        .clone()
        .map(|s| {
            let servers = configuration.service_servers(s.id).count();
            [
                s.name.clone(),
                s.address.to_string(),
                humantime::format_duration(s.idle).to_string(),
                servers.to_string(),
            ]
        })
        .collect();
    let json = services.map(|s| {
        json!({
            "id": s.id.0,
            "name": s.name,
            "address": s.address,
            "idle_ms": u64::try_from(s.idle.as_millis()).unwrap_or(u64::MAX),
        })
    });
    Report {
        text: table(["SERVICE", "ADDRESS", "IDLE", "SERVERS"], &rows),
        json: json.collect(),
    }
}
