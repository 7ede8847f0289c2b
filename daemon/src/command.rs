//! The command line of the daemon.

use std::ffi::OsString;
use std::path::PathBuf;

use lovagespindle_platform::SETTINGS_VARIABLE;

pub const HELP: &str = "\
lovagespindled: one instance of the lovagespindle load balancer

Usage: lovagespindled --config FILE [--check]
       lovagespindled --dsr [--config FILE] [--check]

  --config FILE  read the settings from this TOML file
  --dsr          forward packets in direct server return mode; without --config,
                 LOVAGESPINDLE_CONFIG names the settings file
  --check        check the settings and exit
  --version      print the version and exit
  --help         print this text and exit

SIGTERM or SIGINT starts a graceful shutdown; a second one stops the process
immediately.
Exit codes: 0 success, 1 failure, 2 invalid arguments or settings.
";

/// How the instance forwards packets between callers and backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Packets in both directions pass through the instance, in lovagespindle's own datagram format.
    Relay,
    /// Direct server return: backend servers answer callers directly.
    Dsr,
}

/// What the command line requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Runs an instance with the settings of a file.
    Run(Mode, PathBuf),
    /// Validates the settings of a file.
    Check(Mode, PathBuf),
    Version,
    Help,
}

/// An invalid command line.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An option has no value or an invalid one.
    #[error("{0}; see lovagespindled --help")]
    Options(#[from] pico_args::Error),
    /// Neither an option nor the environment names a settings file.
    #[error("no settings file given; see lovagespindled --help")]
    NoFile,
    #[error("unknown argument {0:?}; see lovagespindled --help")]
    Unknown(OsString),
}

/// Parses the arguments after the program name. Returns an error if an argument is unknown or
/// invalid, or if no settings file is given.
pub fn parse(arguments: Vec<OsString>) -> Result<Command, CommandError> {
    let mut arguments = pico_args::Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if arguments.contains("--version") {
        return Ok(Command::Version);
    }
    let check = arguments.contains("--check");
    let mode = if arguments.contains("--dsr") {
        Mode::Dsr
    } else {
        Mode::Relay
    };
    let named: Option<PathBuf> = arguments.opt_value_from_str("--config")?;
    let file = named.or_else(|| default_file(mode));
    let file = file.ok_or(CommandError::NoFile)?;
    if let Some(other) = arguments.finish().into_iter().next() {
        return Err(CommandError::Unknown(other));
    }
    Ok(if check {
        Command::Check(mode, file)
    } else {
        Command::Run(mode, file)
    })
}

fn default_file(mode: Mode) -> Option<PathBuf> {
    match mode {
        Mode::Relay => None,
        Mode::Dsr => std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from),
    }
}
