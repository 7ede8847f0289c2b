//! Selects the command to run.

use pico_args::Arguments;

use crate::args::UsageError;
use crate::exit::Failure;
use crate::report::Report;
use crate::session::Session;
use crate::{
    apply,
    explain,
    pool,
    server,
    service,
    status,
    timeline,
    zone, //
};

#[derive(Debug)]
pub(crate) enum Command {
    Zone(zone::Command),
    Service(service::Command),
    Pool(pool::Command),
    Server(server::Command),
    /// Applies a deployment file.
    Apply(apply::Command),
    /// Shows the state of all given instances.
    Status,
    /// Shows where the packets of a flow are sent.
    Explain(explain::Command),
    /// Shows the timelines of all given instances.
    Timeline(timeline::Command),
}

impl Command {
    /// Parses the command and its options.
    pub(crate) fn parse(arguments: &mut Arguments) -> Result<Command, UsageError> {
        let name = arguments.subcommand()?.ok_or(UsageError::NoCommand)?;
        Ok(match name.as_str() {
            "zone" => Command::Zone(zone::Command::parse(arguments)?),
            "service" => Command::Service(service::Command::parse(arguments)?),
            "pool" => Command::Pool(pool::Command::parse(arguments)?),
            "server" => Command::Server(server::Command::parse(arguments)?),
            "apply" => Command::Apply(apply::Command::parse(arguments)?),
            "status" => Command::Status,
            "explain" => Command::Explain(explain::Command::parse(arguments)?),
            "timeline" => Command::Timeline(timeline::Command::parse(arguments)?),
            _ => return Err(UsageError::Command(name)),
        })
    }

    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        match self {
            Command::Zone(command) => command.run(session).await,
            Command::Service(command) => command.run(session).await,
            Command::Pool(command) => command.run(session).await,
            Command::Server(command) => command.run(session).await,
            Command::Apply(command) => command.run(session).await,
            Command::Status => status::run(session).await,
            Command::Explain(command) => command.run(session).await,
            Command::Timeline(command) => command.run(session).await,
        }
    }
}
