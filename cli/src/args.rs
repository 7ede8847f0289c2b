//! Parsing of the command line.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use lovagespindle_decisions::ids::{
    OperationId,
    Revision, //
};
use pico_args::Arguments;

use crate::command::Command;

/// Environment variable with instance addresses, separated by commas or whitespace. It is read only
/// if the command line gives no `--instance`.
pub(crate) const INSTANCES_VARIABLE: &str = "LOVAGESPINDLE_INSTANCES";

/// An error in the command line.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UsageError {
    /// `pico_args` could not parse an option or its value.
    #[error("{0}")]
    Argument(#[from] pico_args::Error),
    /// A value does not have the form that its option expects.
    #[error("{option} takes {form}, not {value:?}")]
    Value {
        option: &'static str,
        /// The expected form, as text.
        form: &'static str,
        value: String,
    },
    #[error("no command given")]
    NoCommand,
    #[error("unknown command {0:?}")]
    Command(String),
    /// A required option or positional argument is missing.
    #[error("missing argument: {0}")]
    Missing(&'static str),
    /// An argument was not consumed by the command.
    #[error("unexpected argument {0:?}")]
    Unexpected(OsString),
    /// Neither `--instance` nor [`INSTANCES_VARIABLE`] gives an address.
    #[error("no instance given: use --instance ADDR or set {INSTANCES_VARIABLE}")]
    NoInstance,
    /// Two options or commands cannot be combined.
    #[error("{first} and {second} cannot be used together")]
    Exclusive {
        first: &'static str,
        second: &'static str,
    },
    /// Confirmation is required, but standard input is not a terminal.
    #[error("cannot ask for confirmation without a terminal: use --yes or --preview")]
    NoTerminal,
}

/// Options that all commands accept.
#[derive(Clone, Debug)]
pub(crate) struct Globals {
    /// Addresses of the instances in order of preference, without duplicates and never empty.
    pub(crate) instances: Vec<SocketAddr>,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Time after which a call to one instance fails.
    pub(crate) timeout: Duration,
    /// Revision that the configuration must have for changes to be applied.
    pub(crate) expected: Option<Revision>,
    /// Operation id of an earlier attempt, which makes a repeated change take effect only once.
    pub(crate) operation: Option<OperationId>,
}

/// The parsed command line.
#[derive(Debug)]
pub(crate) enum Invocation {
    Help,
    Version,
    Run(Globals, Box<Command>),
}

/// Parses the command line; `variable` is the value of [`INSTANCES_VARIABLE`].
///
/// Returns an error if an argument is missing, malformed or unexpected, or if no instance is given.
pub(crate) fn parse(
    mut arguments: Arguments,
    variable: Option<&str>,
) -> Result<Invocation, UsageError> {
    if arguments.contains(["-h", "--help"]) {
        return Ok(Invocation::Help);
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Invocation::Version);
    }
    let mut globals = parse_globals(&mut arguments)?;
    let command = Command::parse(&mut arguments)?;
    if let Some(left) = arguments.finish().into_iter().next() {
        return Err(UsageError::Unexpected(left));
    }
    if globals.instances.is_empty() {
        globals.instances = parse_instances(variable.unwrap_or_default())?;
    }
    if globals.instances.is_empty() {
        return Err(UsageError::NoInstance);
    }
    remove_duplicates(&mut globals.instances);
    if globals.operation.is_some() && matches!(command, Command::Apply(_)) {
        return Err(UsageError::Exclusive {
            first: "apply",
            second: "--operation",
        });
    }
    Ok(Invocation::Run(globals, Box::new(command)))
}

fn parse_globals(arguments: &mut Arguments) -> Result<Globals, UsageError> {
    let mut instances = Vec::new();
    while let Some(instance) = address(arguments, "--instance")? {
        instances.push(instance);
    }
    let timeout = duration(arguments, "--timeout")?;
    let expected = number(arguments, "--expect", "a revision")?;
    Ok(Globals {
        instances,
        json: arguments.contains("--json"),
        timeout: timeout.unwrap_or(Duration::from_secs(5)),
        expected: expected.map(Revision),
        operation: hex(arguments, "--operation")?.map(OperationId),
    })
}

/// Removes repeated addresses and keeps the first occurrence of each.
fn remove_duplicates(instances: &mut Vec<SocketAddr>) {
    let mut seen = BTreeSet::new();
    instances.retain(|i| seen.insert(*i));
}

fn parse_instances(list: &str) -> Result<Vec<SocketAddr>, UsageError> {
    let separated = list.split(|c: char| c == ',' || c.is_whitespace());
    let addresses = separated.filter(|text| !text.is_empty());
    addresses
        .map(|text| parse_value(INSTANCES_VARIABLE, "addresses of the form IP:PORT", text))
        .collect()
}

fn parse_value<T: FromStr>(
    option: &'static str,
    form: &'static str,
    text: &str,
) -> Result<T, UsageError> {
    text.parse().map_err(|_| UsageError::Value {
        option,
        form,
        value: text.to_owned(),
    })
}

/// Parses an optional text option.
pub(crate) fn text(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<Option<String>, UsageError> {
    let to_owned = |text: &str| Ok::<_, Infallible>(text.to_owned());
    Ok(arguments.opt_value_from_fn(option, to_owned)?)
}

/// Parses an optional option whose value is a socket address.
pub(crate) fn address(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<Option<SocketAddr>, UsageError> {
    let text = text(arguments, option)?;
    text.map(|t| parse_value(option, "an address of the form IP:PORT", &t))
        .transpose()
}

/// Parses an optional numeric option; `form` describes the expected value in the error.
pub(crate) fn number<T: FromStr>(
    arguments: &mut Arguments,
    option: &'static str,
    form: &'static str,
) -> Result<Option<T>, UsageError> {
    let text = text(arguments, option)?;
    text.map(|t| parse_value(option, form, &t)).transpose()
}

/// Parses an optional option whose value is a duration.
pub(crate) fn duration(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<Option<Duration>, UsageError> {
    let text = text(arguments, option)?;
    let parse = |t: String| {
        humantime::parse_duration(&t).map_err(|_| UsageError::Value {
            option,
            form: "a duration such as 5s or 2m",
            value: t,
        })
    };
    text.map(parse).transpose()
}

/// Parses an optional option whose value is a hexadecimal number of up to 128 bits, with or without
/// the prefix `0x`.
pub(crate) fn hex(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<Option<u128>, UsageError> {
    let text = text(arguments, option)?;
    let parse = |t: String| {
        let digits = t.strip_prefix("0x").unwrap_or(&t);
        u128::from_str_radix(digits, 16).map_err(|_| UsageError::Value {
            option,
            form: "1 to 32 hexadecimal digits",
            value: t,
        })
    };
    text.map(parse).transpose()
}

/// Returns the value of a required option, or an error if it is missing.
pub(crate) fn required<T>(option: &'static str, value: Option<T>) -> Result<T, UsageError> {
    value.ok_or(UsageError::Missing(option))
}

/// Returns the next positional argument. All options must be parsed before this call, because
/// an option that is left is reported as unexpected.
pub(crate) fn positional(
    arguments: &mut Arguments,
    what: &'static str,
) -> Result<String, UsageError> {
    let to_owned = |text: &str| Ok::<_, Infallible>(text.to_owned());
    match arguments.opt_free_from_fn(to_owned)? {
        Some(text) if text.starts_with('-') => Err(UsageError::Unexpected(text.into())),
        Some(text) => Ok(text),
        None => Err(UsageError::Missing(what)),
    }
}

/// Returns the subcommand, or an error that names `what` was expected.
pub(crate) fn subcommand(
    arguments: &mut Arguments,
    what: &'static str,
) -> Result<String, UsageError> {
    required(what, arguments.subcommand()?)
}
