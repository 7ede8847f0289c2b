//! The command that shows what happened.

use std::time::SystemTime;

use lovagespindle_decisions::ids::FlowId;
use lovagespindle_operators::client::ReadFailure;
use lovagespindle_operators::connection::{
    CallError,
    TimelineQuery, //
};
use lovagespindle_operators::names::Names;
use lovagespindle_operators::timeline::merge;
use pico_args::Arguments;
use uhlc::NTP64;

use crate::args::{
    UsageError,
    hex,
    text, //
};
use crate::exit::Failure;
use crate::report::Report;
use crate::session::Session;
use crate::{
    entry,
    follow, //
};

/// Shows time lines.
#[derive(Debug)]
pub(crate) struct Command {
    query: TimelineQuery,
    follow: bool,
}

impl Command {
    /// Takes the rest of the command line.
    pub(crate) fn parse(arguments: &mut Arguments) -> Result<Command, UsageError> {
        let now = SystemTime::now();
        let query = TimelineQuery {
            service: text(arguments, "--service")?,
            server: text(arguments, "--server")?,
            zone: text(arguments, "--zone")?,
            flow: hex(arguments, "--flow")?.map(FlowId),
            since: moment(arguments, "--since", now)?,
            until: moment(arguments, "--until", now)?,
        };
        let follow = arguments.contains("--follow");
        if follow && query.until.is_some() {
            return Err(UsageError::Exclusive {
                first: "--follow",
                second: "--until",
            });
        }
        Ok(Command { query, follow })
    }

    /// Runs the command.
    pub(crate) async fn run(self, session: &Session) -> Result<Report, Failure> {
        if self.follow {
            return follow::run(session, &self.query).await;
        }
        let mut lists = Vec::new();
        let mut names = Names::default();
        let mut failures = Vec::new();
        for (_, answer) in session.client.timeline(&self.query).await {
            match answer {
                Ok((entries, named)) => {
                    lists.push(entries);
                    names.0.extend(named.0);
                }
                Err(e) => failures.push(e),
            }
        }
        if lists.is_empty() {
            return Err(Failure::Read(failure(failures)));
        }
        for failure in failures {
            eprintln!("lovagespindle: missing in the output: {failure}");
        }
        let merged = merge(lists);
        let lines = merged.iter().map(|e| entry::line(e, &names));
        Ok(Report {
            text: lines.collect(),
            json: merged.iter().map(|e| entry::value(e, &names)).collect(),
        })
    }
}

/// Returns why no instance answered; a refusal, which the operator can correct, comes first.
pub(crate) fn failure(mut failures: Vec<CallError>) -> ReadFailure {
    let refusal = |e: &CallError| matches!(e, CallError::Refused { .. });
    if let Some(position) = failures.iter().position(refusal) {
        return ReadFailure::Refused(failures.swap_remove(position));
    }
    ReadFailure::Unreachable(failures.pop().unwrap_or(CallError::NoInstance))
}

/// Takes an option with a time, or with how long ago it was.
fn moment(
    arguments: &mut Arguments,
    option: &'static str,
    now: SystemTime,
) -> Result<Option<NTP64>, UsageError> {
    let Some(text) = text(arguments, option)? else {
        return Ok(None);
    };
    if let Ok(time) = NTP64::parse_rfc3339(&text) {
        return Ok(Some(time));
    }
    let ago = humantime::parse_duration(&text).ok();
    let then = ago.and_then(|ago| now.checked_sub(ago));
    let since_epoch = then.and_then(|t| t.duration_since(SystemTime::UNIX_EPOCH).ok());
    match since_epoch {
        Some(time) => Ok(Some(NTP64::from(time))),
        None => Err(UsageError::Value {
            option,
            form: "a time such as 2026-01-31T08:00:00Z or how long ago, such as 10m",
            value: text,
        }),
    }
}
