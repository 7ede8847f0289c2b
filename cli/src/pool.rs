//! The `pool` command: changes and lists pools.

use lovagespindle_decisions::config::{
    Change,
    Configuration,
    Pool, //
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
        let verb = subcommand(arguments, "create, delete or list")?;
        match verb.as_str() {
            "create" => {
                let service = required("--service", text(arguments, "--service")?)?;
                let zone = required("--zone", text(arguments, "--zone")?)?;
                let name = positional(arguments, "the pool")?;
                Ok(Command::Change(Change::CreatePool {
                    name,
                    service,
                    zone,
                }))
            }
            "delete" => {
                let name = positional(arguments, "the pool")?;
                Ok(Command::Change(Change::DeletePool { name }))
            }
            "list" => Ok(Command::List),
            _ => Err(UsageError::Command(format!("pool {verb}"))),
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
    let pools = configuration.pools.values();
    let rows: Vec<_> = pools
        .clone()
        .map(|p| {
            let (service, zone) = parents(configuration, p);
            let servers = configuration.pool_servers(p.id).len();
            let (service, zone) = (service.to_owned(), zone.to_owned());
            [p.name.clone(), service, zone, servers.to_string()]
        })
        .collect();
    let json = pools.map(|p| {
        let (service, zone) = parents(configuration, p);
        json!({
            "id": p.id.0,
            "name": p.name,
            "service": service,
            "zone": zone,
        })
    });
    Report {
        text: table(["POOL", "SERVICE", "ZONE", "SERVERS"], &rows),
        json: json.collect(),
    }
}

/// Returns the names of a pool's service and zone.
fn parents<'a>(configuration: &'a Configuration, pool: &Pool) -> (&'a str, &'a str) {
    let service = configuration.services.get(&pool.service);
    let zone = configuration.zones.get(&pool.zone);
    (
        service.map_or("", |s| s.name.as_str()),
        zone.map_or("", |z| z.name.as_str()),
    )
}
