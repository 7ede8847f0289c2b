//! The command line of the daemon.

use std::ffi::OsString;
use std::path::PathBuf;

/// The help text.
pub const HELP: &str = "\
lovagespindled: one instance of the lovagespindle load balancer

Usage: lovagespindled --config FILE [--check]

  --config FILE  the settings, in TOML
  --check        check the settings and exit
  --version      print the version and exit
  --help         print this text and exit

SIGTERM or SIGINT starts a graceful shutdown; a second one ends it at once.
Exit codes: 0 ok, 1 failure, 2 wrong usage or settings.
";

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Run with the settings of a file.
    Run(PathBuf),
    /// Check the settings of a file.
    Check(PathBuf),
    /// Print the version.
    Version,
    /// Print the help text.
    Help,
}

/// Why the command line can't be understood.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An option is missing or wrong.
    #[error("{0}; see lovagespindled --help")]
    Options(#[from] pico_args::Error),
    /// There is an argument that is not known.
    #[error("unknown argument {0:?}; see lovagespindled --help")]
    Unknown(OsString),
}

/// Parses the arguments after the program's name.
pub fn parse(arguments: Vec<OsString>) -> Result<Command, CommandError> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if arguments.contains("--version") {
        return Ok(Command::Version);
    }
    let check = arguments.contains("--check");
    let file: PathBuf = arguments.value_from_str("--config")?;
    if let Some(other) = arguments.finish().into_iter().next() {
        return Err(CommandError::Unknown(other));
    }
    Ok(if check {
        Command::Check(file)
    } else {
        Command::Run(file)
    })
}
