//! The command line.

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

/// The environment variable that lists instances, separated by commas or blanks.
pub(crate) const INSTANCES_VARIABLE: &str = "LOVAGESPINDLE_INSTANCES";

/// Why a command line is wrong.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UsageError {
    /// An option or value is missing or malformed.
    #[error("{0}")]
    Argument(#[from] pico_args::Error),
    /// A value is not of the form that its option takes.
    #[error("{option} takes {form}, not {value:?}")]
    Value {
        /// The option.
        option: &'static str,
        /// What it takes.
        form: &'static str,
        /// What was given.
        value: String,
    },
    /// No command was given.
    #[error("no command is given")]
    NoCommand,
    /// The command does not exist.
    #[error("there is no command {0:?}")]
    Command(String),
    /// The name of the object is missing.
    #[error("{0} is not given")]
    Missing(&'static str),
    /// Something is left over.
    #[error("unexpected argument {0:?}")]
    Unexpected(OsString),
    /// No instance is known.
    #[error("no instance is given: use --instance ADDR or set {INSTANCES_VARIABLE}")]
    NoInstance,
    /// Options exclude each other.
    #[error("{first} and {second} exclude each other")]
    Exclusive {
        /// One option.
        first: &'static str,
        /// The other option.
        second: &'static str,
    },
    /// Confirmation is needed and there is no terminal to ask at.
    #[error("there is no terminal to ask for confirmation: give --yes or --preview")]
    NoTerminal,
}

/// Options of all commands.
#[derive(Clone, Debug)]
pub(crate) struct Globals {
    /// The instances, in order of preference; at least one.
    pub(crate) instances: Vec<SocketAddr>,
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// How long one instance may take to answer.
    pub(crate) timeout: Duration,
    /// Apply changes only to exactly this revision.
    pub(crate) expected: Option<Revision>,
    /// The operation id of an earlier attempt.
    pub(crate) operation: Option<OperationId>,
}

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum Invocation {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Run a command.
    Run(Globals, Box<Command>),
}

/// Parses the command line; `variable` is the value of [`INSTANCES_VARIABLE`].
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
    let mut globals = globals(&mut arguments)?;
    let command = Command::parse(&mut arguments)?;
    if let Some(left) = arguments.finish().into_iter().next() {
        return Err(UsageError::Unexpected(left));
    }
    if globals.instances.is_empty() {
        globals.instances = listed(variable.unwrap_or_default())?;
    }
    if globals.instances.is_empty() {
        return Err(UsageError::NoInstance);
    }
    remove_repeats(&mut globals.instances);
    if globals.operation.is_some() && matches!(command, Command::Apply(_)) {
        return Err(UsageError::Exclusive {
            first: "apply",
            second: "--operation",
        });
    }
    Ok(Invocation::Run(globals, Box::new(command)))
}

fn globals(arguments: &mut Arguments) -> Result<Globals, UsageError> {
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

/// Keeps the first of addresses that are given more than once.
fn remove_repeats(instances: &mut Vec<SocketAddr>) {
    let mut seen = BTreeSet::new();
    instances.retain(|i| seen.insert(*i));
}

fn listed(list: &str) -> Result<Vec<SocketAddr>, UsageError> {
    let separated = list.split(|c: char| c == ',' || c.is_whitespace());
    let given = separated.filter(|text| !text.is_empty());
    given
        .map(|text| parsed(INSTANCES_VARIABLE, "addresses of the form IP:PORT", text))
        .collect()
}

fn parsed<T: FromStr>(
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

/// Takes an option with a text value.
pub(crate) fn text(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<Option<String>, UsageError> {
    let own = |text: &str| Ok::<_, Infallible>(text.to_owned());
    Ok(arguments.opt_value_from_fn(option, own)?)
}

/// Takes an option with an address.
pub(crate) fn address(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<Option<SocketAddr>, UsageError> {
    let text = text(arguments, option)?;
    text.map(|t| parsed(option, "an address of the form IP:PORT", &t))
        .transpose()
}

/// Takes an option with a number.
pub(crate) fn number<T: FromStr>(
    arguments: &mut Arguments,
    option: &'static str,
    form: &'static str,
) -> Result<Option<T>, UsageError> {
    let text = text(arguments, option)?;
    text.map(|t| parsed(option, form, &t)).transpose()
}

/// Takes an option with a duration.
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

/// Takes an option with up to 32 hexadecimal digits.
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

/// Returns an option that must be given.
pub(crate) fn given<T>(option: &'static str, value: Option<T>) -> Result<T, UsageError> {
    value.ok_or(UsageError::Missing(option))
}

/// Takes the next argument that is no option. All options must have been taken before.
pub(crate) fn free(arguments: &mut Arguments, what: &'static str) -> Result<String, UsageError> {
    let own = |text: &str| Ok::<_, Infallible>(text.to_owned());
    match arguments.opt_free_from_fn(own)? {
        Some(text) if text.starts_with('-') => Err(UsageError::Unexpected(text.into())),
        Some(text) => Ok(text),
        None => Err(UsageError::Missing(what)),
    }
}

/// Takes the verb of a command.
pub(crate) fn verb(arguments: &mut Arguments, what: &'static str) -> Result<String, UsageError> {
    given(what, arguments.subcommand()?)
}
