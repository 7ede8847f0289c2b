//! The command line of the daemon.

use std::ffi::OsString;
use std::path::PathBuf;

use lovagespindle_platform::SETTINGS_VARIABLE;

/// The help text.
pub const HELP: &str = "\
lovagespindled: one instance of the lovagespindle load balancer

Usage: lovagespindled --config FILE [--check]
       lovagespindled --dsr [--config FILE] [--check]

  --config FILE  the settings, in TOML
  --dsr          forward packets for direct server return, on the users' platform;
                 without --config, LOVAGESPINDLE_CONFIG names the settings
  --check        check the settings and exit
  --version      print the version and exit
  --help         print this text and exit

SIGTERM or SIGINT starts a graceful shutdown; a second one ends it at once.
Exit codes: 0 ok, 1 failure, 2 wrong usage or settings.
";

/// How the instance meets callers and backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Through the fabric, with the product's own datagrams both ways.
    Relay,
    /// Direct server return on the users' platform.
    Dsr,
}

/// What the command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Run with the settings of a file.
    Run(Mode, PathBuf),
    /// Check the settings of a file.
    Check(Mode, PathBuf),
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
    /// No settings file is named.
    #[error("no settings file is named; see lovagespindled --help")]
    NoFile,
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
