//! The `server` command: changes and lists backend servers.

use lovagespindle_decisions::config::{
    BackendServer,
    Change,
    Configuration,
    ServerState, //
};
use lovagespindle_operators::plan::DEFAULT_WEIGHT;
use pico_args::Arguments;
use serde_json::json;

use crate::args::{
    UsageError,
    address,
    number,
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
        let verb = subcommand(arguments, "put, drain, undrain, delete or list")?;
        let set = |arguments: &mut Arguments, state| {
            let name = positional(arguments, "the backend server")?;
            Ok(Command::Change(Change::SetServer { name, state }))
        };
        match verb.as_str() {
            "put" => Ok(Command::Change(put(arguments)?)),
            "drain" => set(arguments, ServerState::Draining),
            "undrain" => set(arguments, ServerState::Active),
            "delete" => {
                let name = positional(arguments, "the backend server")?;
                Ok(Command::Change(Change::DeleteServer { name }))
            }
            "list" => Ok(Command::List),
            _ => Err(UsageError::Command(format!("server {verb}"))),
        }
    }

    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        match self {
            Command::Change(change) => session.change(change).await,
            Command::List => Ok(list(&session.client.configuration().await?)),
        }
    }
}

fn put(arguments: &mut Arguments) -> Result<Change, UsageError> {
    let pool = required("--pool", text(arguments, "--pool")?)?;
    let server_address = required("--address", address(arguments, "--address")?)?;
    let health = required("--health", address(arguments, "--health")?)?;
    let weight = number(arguments, "--weight", "a number from 1 to 1000")?;
    let slots = number(arguments, "--slots", "a number from 1")?;
    let connections = number(arguments, "--connections", "a number from 1")?;
    Ok(Change::PutServer {
        name: positional(arguments, "the backend server")?,
        pool,
        address: server_address,
        health,
        weight: weight.unwrap_or(DEFAULT_WEIGHT),
        slots: required("--slots", slots)?,
        connections: required("--connections", connections)?,
    })
}

fn list(configuration: &Configuration) -> Report {
    let servers = configuration.servers.values();
    let rows: Vec<_> = servers
        .clone()
        .map(|s| {
            [
                s.name.clone(),
                pool(configuration, s).to_owned(),
                s.address.to_string(),
                s.health.to_string(),
                s.weight.to_string(),
                s.slots.to_string(),
                s.connections.to_string(),
                s.state.to_string(),
            ]
        })
        .collect();
    let json = servers.map(|s| {
        json!({
            "id": s.id.0,
            "name": s.name,
            "pool": pool(configuration, s),
            "address": s.address,
            "health": s.health,
            "weight": s.weight,
            "slots": s.slots,
            "connections": s.connections,
            "state": s.state.to_string(),
        })
    });
    let header = [
        "SERVER",
        "POOL",
        "ADDRESS",
        "HEALTH",
        "WEIGHT",
        "SLOTS",
        "CONNECTIONS",
        "STATE",
    ];
    Report {
        text: table(header, &rows),
        json: json.collect(),
    }
}

fn pool<'a>(configuration: &'a Configuration, server: &BackendServer) -> &'a str {
    let pool = configuration.pools.get(&server.pool);
    pool.map_or("", |p| p.name.as_str())
}
